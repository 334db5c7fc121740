"""The limits on the capacity that a region may have out of service, used by the ledger and by the scheduler.

Each limit bounds the unavailable capacity summed over the region's converters of one service. If the loss of a zone
must be tolerated, there is one limit per zone: the other zones alone must still provide the region's minimum.
"""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement, Converter


@dataclass(frozen=True, slots=True)
class Limit:
    """An upper bound on the unavailable or lost capacity of a service, not counting converters in `excluded_zone`."""

    name: str
    service: str
    bound: int  # thousandths; negative if the deficits of other regions exceed the allowance of this region
    excluded_zone: str | None = None

    def applies_to(self, converter: Converter) -> bool:
        """Return whether a converter of the limit's region counts towards this limit."""
        return converter.service == self.service and converter.zone != self.excluded_zone


def allowance_limit(service: str, region: str, bound: int) -> Limit:
    """Return the limit set by the region's allowance, its share of the capacity that may be unavailable globally."""
    return Limit(f"the allowance of {region!r} for {service!r}", service, bound)


def region_limits(agreement: Agreement, region: str, service: str) -> tuple[Limit, ...]:
    """Return the limits set by the region's own minimum: one, or one per zone if a zone loss must be tolerated."""
    agreed_service = agreement.services[service]
    max_unavailable = agreement.capacity(service, region) - agreed_service.min_available_by_region.get(region, 0)
    name = f"the minimum capacity of {service!r} in {region!r}"
    if not agreed_service.tolerates_zone_loss:
        return (Limit(name, service, max_unavailable),)
    zone_capacities = agreement.zone_capacities(service, region)
    return tuple(
        Limit(f"{name} without zone {zone.name!r}", service, max_unavailable - zone_capacity, zone.name)
        for zone, zone_capacity in sorted(zone_capacities.items())
    )
