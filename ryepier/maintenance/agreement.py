"""The capacity agreement that operators write: the capacity each service must keep, the regions and the converters.

Performs no I/O. Capacities are integers in thousandths of a unit; a converter of size 1 has a capacity of one unit.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

THOUSANDTHS_PER_UNIT = 1000


@dataclass(frozen=True, slots=True)
class Replica:
    """A coordinator process that holds a replica of its region's log."""

    name: str
    address: str  # host:port


@dataclass(frozen=True, slots=True)
class Region:
    """A region and the coordinators that hold the replicas of its log."""

    name: str
    replicas: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """The agreed terms for one service. Capacities and allowances are in thousandths of a unit.

    A region's allowance is its share of the capacity that may be unavailable over all regions.
    """

    name: str
    min_available: int
    min_available_by_region: Mapping[str, int]
    tolerates_zone_loss: bool  # the minimums must also hold after the loss of the largest zone
    min_allowance: int  # a region keeps at least this much when it transfers allowance to others
    warm_up_ms: int
    allowances: Mapping[str, int]  # initial allowance by region


@dataclass(frozen=True, slots=True, order=True)
class Zone:
    """A zone of one region. Zones of different regions are distinct even if their names are equal."""

    region: str
    name: str


@dataclass(frozen=True, slots=True)
class Converter:
    """A converter. `size` is its capacity when it is ready and warm, in thousandths of a unit."""

    name: str
    service: str
    region: str
    zone: str
    size: int


@dataclass(frozen=True)
class Agreement:
    """A validated agreement. `digest` is the SHA-256 hash of its file, in hexadecimal."""

    services: Mapping[str, Service]
    regions: Mapping[str, Region]
    converters: Mapping[str, Converter]
    digest: str

    def converters_of(self, service: str, region: str | None = None) -> list[Converter]:
        """Return the converters of a service in the order of the agreement file.

        If `region` is given, only the converters in that region are returned.
        """
        return [
            converter
            for converter in self.converters.values()
            if converter.service == service and (region is None or converter.region == region)
        ]

    def capacity(self, service: str, region: str | None = None) -> int:
        """Return the capacity of a service, in one region or in all, when all its converters are ready and warm."""
        return sum(converter.size for converter in self.converters_of(service, region))

    def zone_capacities(self, service: str, region: str | None = None) -> dict[Zone, int]:
        """Return the capacity of a service by zone when all its converters are ready and warm."""
        capacities: defaultdict[Zone, int] = defaultdict(int)
        for converter in self.converters_of(service, region):
            capacities[Zone(converter.region, converter.zone)] += converter.size
        return dict(capacities)

    def max_unavailable(self, service: str) -> int:
        """Return how much of a service's capacity may be unavailable over all regions.

        The initial allowances add up to the result, which is negative if the capacity is less than the agreed minimum.
        """
        agreed_service = self.services[service]
        return self.capacity(service) - agreed_service.min_available - self._zone_loss_reserve(agreed_service, None)

    def max_unavailable_in(self, service: str, region: str) -> int:
        """Return how much of a service's capacity may be unavailable in one region under the region's own minimum."""
        agreed_service = self.services[service]
        min_available = agreed_service.min_available_by_region.get(region, 0)
        return self.capacity(service, region) - min_available - self._zone_loss_reserve(agreed_service, region)

    def _zone_loss_reserve(self, agreed_service: Service, region: str | None) -> int:
        """Return the capacity of the service's largest zone if the loss of a zone must be tolerated, else 0."""
        if not agreed_service.tolerates_zone_loss:
            return 0
        return max(self.zone_capacities(agreed_service.name, region).values(), default=0)


def to_thousandths(amount: float) -> int:
    """Convert an amount from the agreement file to thousandths; validation ensures that this is exact."""
    return round(amount * THOUSANDTHS_PER_UNIT)


def format_capacity(thousandths: int) -> str:
    """Format an amount in thousandths as a decimal number of units, such as `2.5`."""
    return f"{thousandths / THOUSANDTHS_PER_UNIT:g}"
