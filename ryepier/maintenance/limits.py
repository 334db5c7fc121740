"""What bounds the capacity that a region may have out, as limits that ledger and scheduler share.

Each limit bounds a sum over the region's converters of one service. Where the loss of a zone must be survived there is
one limit for each zone: what is out of all other zones has to leave the least capacity without that zone.
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
        """Whether a converter of the region comes under this limit."""
        return converter.service == self.service and converter.zone != self.excluded_zone


def allowance_limit(service: str, region: str, bound: int) -> Limit:
    """The region's part of what may be out globally."""
    return Limit(f"the allowance of {region!r} for {service!r}", service, bound)


def region_limits(agreement: Agreement, region: str, service: str) -> tuple[Limit, ...]:
    """What the least capacity that is agreed for the region leaves."""
    agreed = agreement.services[service]
    capacity = agreement.capacity(service, region)
    left = capacity - agreed.min_available_by_region.get(region, 0)
    name = f"the least capacity of {service!r} in {region!r}"
    if not agreed.tolerates_zone_loss:
        return (Limit(name, service, left),)
    zones = agreement.zone_capacities(service, region)
    return tuple(
        Limit(f"{name} without zone {zone!r}", service, left - size, zone) for (_, zone), size in sorted(zones.items())
    )
