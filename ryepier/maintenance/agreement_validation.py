"""Checks what the tables of an agreement must fulfil together: unique and known names, exact and attainable amounts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ryepier.conf.key_lines import KeyLines, Path, Problem, spell
from ryepier.maintenance.agreement import Agreement, Service, format_capacity
from ryepier.maintenance.agreement_tables import AgreementTables, ServiceTable

MIN_REPLICAS = 3  # of a region: a majority must survive the loss of one
MAX_DECIMALS = 3


class _KeyedName(NamedTuple):
    """A name, and the key that it stands at."""

    path: Path
    name: str


class _KeyedAmount(NamedTuple):
    """An amount, and the key that it stands at."""

    path: Path
    amount: float


class AgreementValidator:
    """Collects problems; nothing is raised."""

    def __init__(self, tables: AgreementTables, lines: KeyLines) -> None:
        """Check `tables`; `lines` finds the line of a key."""
        self.tables = tables
        self.lines = lines
        self.problems: list[Problem] = []

    def _add_problem(self, path: Path, text: str) -> None:
        """Note a problem at a key."""
        self.problems.append(self.lines.problem(path, text))

    def check_names(self) -> None:
        """Check that every name is given once, and that every name that is referred to is given."""
        tables = self.tables
        services = self._check_unique(
            _KeyedName(("services", i, "name"), service.name) for i, service in enumerate(tables.services)
        )
        regions = self._check_unique(
            _KeyedName(("regions", i, "name"), region.name) for i, region in enumerate(tables.regions)
        )
        self._check_unique(
            _KeyedName(("converters", i, "name"), converter.name) for i, converter in enumerate(tables.converters)
        )
        self._check_replicas()
        self._check_service_regions(regions)
        for i, converter in enumerate(tables.converters):
            self._check_known(("converters", i, "service"), converter.service, services, "service")
            self._check_known(("converters", i, "region"), converter.region, regions, "region")

    def _check_service_regions(self, regions: set[str]) -> None:
        """Check the regions that services name."""
        for i, service in enumerate(self.tables.services):
            named = [
                _KeyedName(("services", i, "regions", j, "region"), part.region)
                for j, part in enumerate(service.regions)
            ]
            self._check_unique(named)
            for key in named:
                self._check_known(key.path, key.name, regions, "region")

    def _check_replicas(self) -> None:
        """Check that each region has enough replicas, each with a name and an address of its own."""
        names: list[_KeyedName] = []
        addresses: list[_KeyedName] = []
        for i, region in enumerate(self.tables.regions):
            at: Path = ("regions", i, "replicas")
            if len(region.replicas) < MIN_REPLICAS:
                self._add_problem(at, f"{len(region.replicas)} replicas; a region needs at least {MIN_REPLICAS}")
            for j, replica in enumerate(region.replicas):
                names.append(_KeyedName((*at, j, "name"), replica.name))
                addresses.append(_KeyedName((*at, j, "address"), replica.address))
        self._check_unique(names)
        self._check_unique(addresses)

    def _check_unique(self, named: Iterable[_KeyedName]) -> set[str]:
        """Note names that are given twice; return all names."""
        first: dict[str, Path] = {}
        for path, name in named:
            if name in first:
                self._add_problem(path, f"{name!r} is named before, at {spell(first[name])}")
            first.setdefault(name, path)
        return set(first)

    def _check_known(self, path: Path, name: str, known: set[str], kind: str) -> None:
        """Note a name that refers to nothing."""
        if name not in known:
            self._add_problem(path, f"unknown {kind} {name!r}; known are {', '.join(sorted(known)) or 'none'}")

    def check_decimals(self) -> None:
        """Check that amounts are whole thousandths, which also rejects `nan`."""
        for path, amount in self._amounts():
            if amount != round(amount, MAX_DECIMALS):
                self._add_problem(path, f"{amount!r} is no number with up to three decimals")

    def _amounts(self) -> list[_KeyedAmount]:
        """Return all amounts of the file."""
        amounts: list[_KeyedAmount] = []
        for i, service in enumerate(self.tables.services):
            amounts.append(_KeyedAmount(("services", i, "least"), service.min_available))
            amounts.append(_KeyedAmount(("services", i, "least_part"), service.min_allowance))
            amounts.append(_KeyedAmount(("services", i, "warm_up_s"), service.warm_up_s))
            for j, part in enumerate(service.regions):
                amounts.append(_KeyedAmount(("services", i, "regions", j, "least"), part.min_available))
                amounts.append(_KeyedAmount(("services", i, "regions", j, "allowance"), part.allowance))
        amounts += [
            _KeyedAmount(("converters", i, "size"), converter.size)
            for i, converter in enumerate(self.tables.converters)
        ]
        return amounts

    def check_amounts(self, agreement: Agreement) -> None:
        """Check that no service asks for more than there is, and that allowances add up to what may be out."""
        for i, table in enumerate(self.tables.services):
            service = agreement.services[table.name]
            max_unavailable = agreement.max_unavailable(service.name)
            if max_unavailable < 0:
                self._add_problem(
                    ("services", i, "least"), _describe_excess(service, agreement, None, -max_unavailable)
                )
                continue
            self._check_regions(i, table, service, agreement)
            given = sum(service.allowances.values())
            if given != max_unavailable:
                text = (
                    f"allowances of {service.name!r} add up to {format_capacity(given)}; "
                    f"{format_capacity(max_unavailable)} may be out"
                )
                self._add_problem(("services", i, "regions"), text)

    def _check_regions(self, number: int, table: ServiceTable, service: Service, agreement: Agreement) -> None:
        """Check a service's amounts in each region, and that no region with its converters is missing."""
        for j, part in enumerate(table.regions):
            at: Path = ("services", number, "regions", j)
            max_unavailable = agreement.max_unavailable_in(service.name, part.region)
            if max_unavailable < 0:
                self._add_problem((*at, "least"), _describe_excess(service, agreement, part.region, -max_unavailable))
            if service.allowances[part.region] < service.min_allowance:
                text = f"{part.allowance:g} is less than the service's least_part, {table.min_allowance:g}"
                self._add_problem((*at, "allowance"), text)
        listed = {part.region for part in table.regions}
        for region in agreement.regions:
            if region not in listed and agreement.capacity(service.name, region):
                self._add_problem(
                    ("services", number, "regions"), f"region {region!r} has its converters and is missing"
                )


def _describe_excess(service: Service, agreement: Agreement, region: str | None, excess: int) -> str:
    """Return by how much a service asks for more than there is, in one region or in all."""
    where = f" in {region!r}" if region else ""
    min_available = service.min_available_by_region[region] if region else service.min_available
    total = agreement.capacity(service.name, region)
    zone = " less its largest zone" if service.tolerates_zone_loss else ""
    return (
        f"{service.name!r} asks for {format_capacity(min_available)}{where}; there are {format_capacity(total)}{zone}: "
        f"{format_capacity(excess)} too much"
    )
