"""The operators' agreement: how much capacity each service must keep, and which regions and converters exist.

Pure. Capacities are whole thousandths of a converter's size.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

THOUSANDTHS_PER_UNIT = 1000  # of capacity in a size of 1


@dataclass(frozen=True, slots=True)
class Replica:
    """One coordinator process of a region."""

    name: str
    address: str  # host:port


@dataclass(frozen=True, slots=True)
class Region:
    """A region and the replicas of its log."""

    name: str
    replicas: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """What is agreed for a service; capacities in thousandths."""

    name: str
    min_available: int
    min_available_by_region: Mapping[str, int]
    tolerates_zone_loss: bool  # the minimum must hold even when the largest zone is then lost
    min_allowance: int  # what a region keeps of its allowance when it lends
    warm_up_ms: int
    allowances: Mapping[str, int]  # the initial ones, by region


@dataclass(frozen=True, slots=True, order=True)
class Zone:
    """A zone of a region: equal names in two regions are two zones."""

    region: str
    name: str


@dataclass(frozen=True, slots=True)
class Converter:
    """A converter; its size in thousandths."""

    name: str
    service: str
    region: str
    zone: str
    size: int


@dataclass(frozen=True)
class Agreement:
    """A checked agreement. `digest` (SHA-256 of the file, hexadecimal) identifies the file."""

    services: Mapping[str, Service]
    regions: Mapping[str, Region]
    converters: Mapping[str, Converter]
    digest: str

    def converters_of(self, service: str, region: str | None = None) -> list[Converter]:
        """Return the converters of a service, in one region or in all, in the order of the file."""
        return [
            converter
            for converter in self.converters.values()
            if converter.service == service and (region is None or converter.region == region)
        ]

    def capacity(self, service: str, region: str | None = None) -> int:
        """Return the capacity of a service when all its converters are ready and warm."""
        return sum(converter.size for converter in self.converters_of(service, region))

    def zone_capacities(self, service: str, region: str | None = None) -> dict[Zone, int]:
        """Return the capacity of a service by zone when all its converters are ready and warm."""
        sums: defaultdict[Zone, int] = defaultdict(int)
        for converter in self.converters_of(service, region):
            sums[Zone(converter.region, converter.zone)] += converter.size
        return dict(sums)

    def max_unavailable(self, service: str) -> int:
        """Return how much of a service may be out over all regions; the initial allowances add up to this."""
        agreed = self.services[service]
        return self.capacity(service) - agreed.min_available - self._reserve(agreed, None)

    def max_unavailable_in(self, service: str, region: str) -> int:
        """Return how much of a service may be out in one region, by the region's own minimum."""
        agreed = self.services[service]
        min_available = agreed.min_available_by_region.get(region, 0)
        return self.capacity(service, region) - min_available - self._reserve(agreed, region)

    def _reserve(self, agreed: Service, region: str | None) -> int:
        """Return the capacity of the largest zone where its loss must be tolerated, else 0."""
        if not agreed.tolerates_zone_loss:
            return 0
        return max(self.zone_capacities(agreed.name, region).values(), default=0)


def to_thousandths(amount: float) -> int:
    """Return an amount of the file in thousandths. The file's check has rejected more decimals."""
    return round(amount * THOUSANDTHS_PER_UNIT)


def format_capacity(thousandths: int) -> str:
    """Return an amount in thousandths as people write it: `2.5`."""
    return f"{thousandths / THOUSANDTHS_PER_UNIT:g}"
