"""The limits on capacity that a region may have out, shared by ledger and scheduler.

Each limit bounds a sum over the region's converters of one service. Where the loss of a zone must be tolerated there is
one limit for each zone: what is out of all other zones has to leave the minimum without that zone.
"""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement, Converter


@dataclass(frozen=True, slots=True)
class Limit:
    """The capacity of `service` out or lost, but for converters in `excluded_zone`, is at most `bound`."""

    name: str
    service: str
    bound: int  # thousandths; below zero where more is lost elsewhere than this region may take out
    excluded_zone: str | None = None

    def applies_to(self, converter: Converter) -> bool:
        """Return whether a converter of the region is charged to this limit."""
        return converter.service == self.service and converter.zone != self.excluded_zone


def allowance_limit(service: str, region: str, bound: int) -> Limit:
    """Return the limit on the region's part of what may be out globally."""
    return Limit(f"the allowance of {region!r} for {service!r}", service, bound)


def region_limits(agreement: Agreement, region: str, service: str) -> tuple[Limit, ...]:
    """Return the limits that the region's own minimum sets."""
    terms = agreement.services[service]
    max_unavailable = agreement.capacity(service, region) - terms.min_available_by_region.get(region, 0)
    name = f"the least capacity of {service!r} in {region!r}"
    if not terms.tolerates_zone_loss:
        return (Limit(name, service, max_unavailable),)
    zones = agreement.zone_capacities(service, region)
    return tuple(
        Limit(f"{name} without zone {zone.name!r}", service, max_unavailable - size, zone.name)
        for zone, size in sorted(zones.items())
    )
