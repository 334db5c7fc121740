"""The operators' agreement: which capacity each service must keep, and who and what there is.

Pure: bytes in, `Agreement` out, or every problem at once with its key and line. In the file capacities are in
converters' sizes with up to three decimals; in `Agreement` they are whole thousandths.
"""

from __future__ import annotations

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated, Literal

import msgspec

from ryepier.conf import toml_schema
from ryepier.conf.key_lines import KeyLines, Path, Problem, spell
from ryepier.conf.toml_schema import ConfigurationError

UNITS_PER_SIZE = 1000  # of capacity in a size of 1
MAX_FILE_BYTES = 4 * 1024 * 1024  # bytes
MIN_REPLICAS = 3  # of a region: a majority must survive the loss of one

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^:/\s]+:[0-9]{1,5}$")]  # host:port
Amount = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]  # of capacity, in converters' sizes
Size = Annotated[float, msgspec.Meta(ge=0.001, le=1000)]


class AgreementError(ConfigurationError):
    """An agreement that can't be used; `problems` holds all that is wrong with it, in the order of its lines."""


class ReplicaTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[regions.replicas]]` table of the file."""

    name: Name
    address: Address


class RegionTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[regions]]` table of the file."""

    name: Name
    replicas: list[ReplicaTable]


class ServiceRegionTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[services.regions]]` table: what a service keeps in a region, and what the region may first take out."""

    region: Name
    min_available: Amount = msgspec.field(name="least", default=0.0)
    allowance: Amount = 0.0


class ServiceTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[services]]` table of the file."""

    name: Name
    min_available: Amount = msgspec.field(name="least")
    survives: Literal["", "zone"] = ""
    min_allowance: Amount = msgspec.field(
        name="least_part", default=0.0
    )  # of the allowances: what a region keeps when it gives
    warm_up_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    regions: list[ServiceRegionTable]


class ConverterTable(msgspec.Struct, kw_only=True, frozen=True):
    """One `[[converters]]` table of the file."""

    name: Name
    service: Name
    region: Name
    zone: Name
    size: Size = 1.0


class AgreementTables(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file as it is written."""

    services: list[ServiceTable]
    regions: list[RegionTable]
    converters: list[ConverterTable]


@dataclass(frozen=True, slots=True)
class Replica:
    """One coordinator process of a region."""

    name: str
    address: str  # host:port


@dataclass(frozen=True, slots=True)
class Region:
    """A region and the replicas of its log of decisions."""

    name: str
    replicas: tuple[Replica, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """What is agreed of a service; capacities in thousandths."""

    name: str
    min_available: int
    min_available_by_region: Mapping[str, int]
    tolerates_zone_loss: bool
    min_allowance: int
    warm_up_ms: int
    allowances: Mapping[str, int]  # the initial ones, by region


@dataclass(frozen=True, slots=True)
class Converter:
    """A converter; its size in thousandths. A zone belongs to its region: equal names elsewhere are other zones."""

    name: str
    service: str
    region: str
    zone: str
    size: int


@dataclass(frozen=True)
class Agreement:
    """A checked agreement. `digest` tells two files apart."""

    services: Mapping[str, Service]
    regions: Mapping[str, Region]
    converters: Mapping[str, Converter]
    digest: str

    def converters_of(self, service: str, region: str | None = None) -> list[Converter]:
        """The converters of a service, in one region or in all, in the order of the file."""
        return [
            one
            for one in self.converters.values()
            if one.service == service and (region is None or one.region == region)
        ]

    def capacity(self, service: str, region: str | None = None) -> int:
        """The capacity of a service when all its converters are ready and warm."""
        return sum(one.size for one in self.converters_of(service, region))

    def zone_capacities(self, service: str, region: str | None = None) -> dict[tuple[str, str], int]:
        """The same by (region, zone)."""
        sums: defaultdict[tuple[str, str], int] = defaultdict(int)
        for one in self.converters_of(service, region):
            sums[one.region, one.zone] += one.size
        return dict(sums)

    def max_unavailable(self, service: str) -> int:
        """What may be out of a service over all regions; the initial allowances add up to this."""
        agreed = self.services[service]
        return self.capacity(service) - agreed.min_available - self._reserve(agreed, None)

    def max_unavailable_in(self, service: str, region: str) -> int:
        """The same in one region, by the region's own least capacity."""
        agreed = self.services[service]
        least = agreed.min_available_by_region.get(region, 0)
        return self.capacity(service, region) - least - self._reserve(agreed, region)

    def _reserve(self, agreed: Service, region: str | None) -> int:
        """The capacity of the largest zone where its loss must be survived."""
        if not agreed.tolerates_zone_loss:
            return 0
        return max(self.zone_capacities(agreed.name, region).values(), default=0)


def parse(data: bytes) -> Agreement:
    """The agreement in a TOML file's bytes. Raises AgreementError."""
    if len(data) > MAX_FILE_BYTES:
        raise AgreementError([Problem("", 0, f"{len(data)} bytes; {MAX_FILE_BYTES} are allowed")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        raise AgreementError([Problem("", data[: error.start].count(b"\n") + 1, "not UTF-8")]) from None
    try:
        tables = toml_schema.parse(text, AgreementTables)
    except ConfigurationError as error:
        raise AgreementError(error.problems) from None
    checker = _AgreementValidator(tables, KeyLines(text))
    checker.check_names()
    checker.check_decimals()
    if not checker.problems:  # amounts are worth comparing only where every name is known
        agreement = _build(tables, hashlib.sha256(data).hexdigest())
        checker.check_amounts(agreement)
        if not checker.problems:
            return agreement
    raise AgreementError(checker.problems)


def to_units(amount: float) -> int:
    """An amount of the file in thousandths; what has more decimals is refused before."""
    return round(amount * UNITS_PER_SIZE)


def format_units(units: int) -> str:
    """An amount in thousandths as people write it: `2.5`."""
    return f"{units / UNITS_PER_SIZE:g}"


def _build(tables: AgreementTables, digest: str) -> Agreement:
    regions = {
        one.name: Region(one.name, tuple(Replica(replica.name, replica.address) for replica in one.replicas))
        for one in tables.regions
    }
    converters = {
        one.name: Converter(one.name, one.service, one.region, one.zone, to_units(one.size))
        for one in tables.converters
    }
    return Agreement({one.name: _service(one) for one in tables.services}, regions, converters, digest)


def _service(table: ServiceTable) -> Service:
    return Service(
        name=table.name,
        min_available=to_units(table.min_available),
        min_available_by_region={one.region: to_units(one.min_available) for one in table.regions},
        tolerates_zone_loss=table.survives == "zone",
        min_allowance=to_units(table.min_allowance),
        warm_up_ms=round(table.warm_up_s * 1000),
        allowances={one.region: to_units(one.allowance) for one in table.regions},
    )


class _AgreementValidator:
    """What the tables must hold together; problems are collected, and nothing is raised."""

    def __init__(self, tables: AgreementTables, lines: KeyLines) -> None:
        self.tables = tables
        self.lines = lines
        self.problems: list[Problem] = []

    def problem(self, path: Path, text: str) -> None:
        self.problems.append(self.lines.problem(path, text))

    def check_names(self) -> None:
        """Every name is given once, and every name that is referred to is given."""
        tables = self.tables
        services = self._unique((("services", i, "name"), one.name) for i, one in enumerate(tables.services))
        regions = self._unique((("regions", i, "name"), one.name) for i, one in enumerate(tables.regions))
        self._unique((("converters", i, "name"), one.name) for i, one in enumerate(tables.converters))
        self._check_replicas()
        for i, service in enumerate(tables.services):
            at: Path = ("services", i, "regions")
            self._unique(((*at, j, "region"), one.region) for j, one in enumerate(service.regions))
            for j, one in enumerate(service.regions):
                self._known((*at, j, "region"), one.region, regions, "region")
        for i, converter in enumerate(tables.converters):
            self._known(("converters", i, "service"), converter.service, services, "service")
            self._known(("converters", i, "region"), converter.region, regions, "region")

    def _check_replicas(self) -> None:
        names: list[tuple[Path, str]] = []
        addresses: list[tuple[Path, str]] = []
        for i, region in enumerate(self.tables.regions):
            at: Path = ("regions", i, "replicas")
            if len(region.replicas) < MIN_REPLICAS:
                self.problem(at, f"{len(region.replicas)} replicas; a region needs at least {MIN_REPLICAS}")
            for j, replica in enumerate(region.replicas):
                names.append(((*at, j, "name"), replica.name))
                addresses.append(((*at, j, "address"), replica.address))
        self._unique(names)
        self._unique(addresses)

    def _unique(self, names: Iterable[tuple[Path, str]]) -> set[str]:
        first: dict[str, Path] = {}
        for path, name in names:
            if name in first:
                self.problem(path, f"{name!r} is named before, at {spell(first[name])}")
            first.setdefault(name, path)
        return set(first)

    def _known(self, path: Path, name: str, known: set[str], what: str) -> None:
        if name not in known:
            self.problem(path, f"unknown {what} {name!r}; known are {', '.join(sorted(known)) or 'none'}")

    def check_decimals(self) -> None:
        """Amounts are whole thousandths (which also refuses `nan`)."""
        amounts: list[tuple[Path, float]] = []
        for i, service in enumerate(self.tables.services):
            amounts.append((("services", i, "least"), service.min_available))
            amounts.append((("services", i, "least_part"), service.min_allowance))
            amounts.append((("services", i, "warm_up_s"), service.warm_up_s))
            for j, one in enumerate(service.regions):
                amounts.append((("services", i, "regions", j, "least"), one.min_available))
                amounts.append((("services", i, "regions", j, "allowance"), one.allowance))
        amounts += [(("converters", i, "size"), one.size) for i, one in enumerate(self.tables.converters)]
        for path, amount in amounts:
            if amount != round(amount, 3):
                self.problem(path, f"{amount!r} is no number with up to three decimals")

    def check_amounts(self, agreement: Agreement) -> None:
        """No service asks for more than there is, and its allowances add up to what may be out."""
        for i, table in enumerate(self.tables.services):
            service = agreement.services[table.name]
            left = agreement.max_unavailable(service.name)
            if left < 0:
                self.problem(("services", i, "least"), _describe_excess(service, agreement, None, -left))
                continue
            self._check_regions(i, table, service, agreement)
            given = sum(service.allowances.values())
            if given != left:
                text = (
                    f"allowances of {service.name!r} add up to {format_units(given)}; {format_units(left)} may be out"
                )
                self.problem(("services", i, "regions"), text)

    def _check_regions(self, number: int, table: ServiceTable, service: Service, agreement: Agreement) -> None:
        for j, one in enumerate(table.regions):
            at: Path = ("services", number, "regions", j)
            left = agreement.max_unavailable_in(service.name, one.region)
            if left < 0:
                self.problem((*at, "least"), _describe_excess(service, agreement, one.region, -left))
            if service.allowances[one.region] < service.min_allowance:
                text = f"{one.allowance:g} is less than the service's least_part, {table.min_allowance:g}"
                self.problem((*at, "allowance"), text)
        listed = {one.region for one in table.regions}
        for region in agreement.regions:
            if region not in listed and agreement.capacity(service.name, region):
                self.problem(("services", number, "regions"), f"region {region!r} has its converters and is missing")


def _describe_excess(service: Service, agreement: Agreement, region: str | None, over: int) -> str:
    where = f" in {region!r}" if region else ""
    least = service.min_available_by_region[region] if region else service.min_available
    there = agreement.capacity(service.name, region)
    zone = " less its largest zone" if service.tolerates_zone_loss else ""
    return (
        f"{service.name!r} asks for {format_units(least)}{where}; there are {format_units(there)}{zone}: "
        f"{format_units(over)} too much"
    )
