"""Validates an agreement across its tables.

Names must be unique and defined, amounts must have at most three decimals, and the minimums must be attainable.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ryepier.conf.key_lines import KeyLines, KeyPath, Problem, format_key_path
from ryepier.maintenance.agreement import Agreement, Service, format_capacity
from ryepier.maintenance.agreement_tables import AgreementTables, ServiceTable

MIN_REPLICAS = 3  # minimum number of replicas per region, so that a majority remains after the loss of one replica
MAX_DECIMALS = 3  # maximum number of decimals in an amount, because amounts are stored in thousandths


class _KeyedName(NamedTuple):
    """A name or address, and the path of its key in the agreement file."""

    path: KeyPath
    name: str


class _KeyedAmount(NamedTuple):
    """An amount or a warm-up time, and the path of its key in the agreement file."""

    path: KeyPath
    amount: float


class AgreementValidator:
    """Checks the tables of an agreement and collects all problems in `problems` instead of raising an error."""

    def __init__(self, tables: AgreementTables, key_lines: KeyLines) -> None:
        """Start without problems; nothing is checked yet. `key_lines` maps keys of `tables` to line numbers."""
        self.tables = tables
        self.key_lines = key_lines
        self.problems: list[Problem] = []

    def _add_problem(self, path: KeyPath, text: str) -> None:
        """Record a problem with the value at `path`, which is reported with the line of its key."""
        self.problems.append(self.key_lines.problem_at(path, text))

    def check_names(self) -> None:
        """Check that all names are unique and that all references name something that is defined."""
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
        """Check that each service lists known regions, each at most once."""
        for i, service in enumerate(self.tables.services):
            region_names = [
                _KeyedName(("services", i, "regions", j, "region"), region_table.region)
                for j, region_table in enumerate(service.regions)
            ]
            self._check_unique(region_names)
            for keyed_name in region_names:
                self._check_known(keyed_name.path, keyed_name.name, regions, "region")

    def _check_replicas(self) -> None:
        """Check that each region has enough replicas, and that all replicas have unique names and addresses."""
        names: list[_KeyedName] = []
        addresses: list[_KeyedName] = []
        for i, region in enumerate(self.tables.regions):
            path: KeyPath = ("regions", i, "replicas")
            if len(region.replicas) < MIN_REPLICAS:
                self._add_problem(path, f"{len(region.replicas)} replicas; a region needs at least {MIN_REPLICAS}")
            for j, replica in enumerate(region.replicas):
                names.append(_KeyedName((*path, j, "name"), replica.name))
                addresses.append(_KeyedName((*path, j, "address"), replica.address))
        self._check_unique(names)
        self._check_unique(addresses)

    def _check_unique(self, keyed_names: Iterable[_KeyedName]) -> set[str]:
        """Record a problem for each name that was used before, and return the set of names."""
        first_paths: dict[str, KeyPath] = {}
        for path, name in keyed_names:
            if name in first_paths:
                self._add_problem(path, f"{name!r} is a duplicate, first used at {format_key_path(first_paths[name])}")
            first_paths.setdefault(name, path)
        return set(first_paths)

    def _check_known(self, path: KeyPath, name: str, known_names: set[str], kind: str) -> None:
        """Record a problem if `name` is not in `known_names`."""
        if name not in known_names:
            self._add_problem(path, f"unknown {kind} {name!r}; known are {', '.join(sorted(known_names)) or 'none'}")

    def check_decimals(self) -> None:
        """Check that amounts are whole thousandths. `nan` fails the check too, because it equals no number."""
        for path, amount in self._amounts():
            if amount != round(amount, MAX_DECIMALS):
                self._add_problem(path, f"{amount!r} is not a number with at most three decimals")

    def _amounts(self) -> list[_KeyedAmount]:
        """Return all amounts and warm-up times of the file, with the paths of their keys."""
        amounts: list[_KeyedAmount] = []
        for i, service in enumerate(self.tables.services):
            amounts.append(_KeyedAmount(("services", i, "least"), service.min_available))
            amounts.append(_KeyedAmount(("services", i, "least_part"), service.min_allowance))
            amounts.append(_KeyedAmount(("services", i, "warm_up_s"), service.warm_up_s))
            for j, region_table in enumerate(service.regions):
                amounts.append(_KeyedAmount(("services", i, "regions", j, "least"), region_table.min_available))
                amounts.append(_KeyedAmount(("services", i, "regions", j, "allowance"), region_table.allowance))
        amounts += [
            _KeyedAmount(("converters", i, "size"), converter.size)
            for i, converter in enumerate(self.tables.converters)
        ]
        return amounts

    def check_amounts(self, agreement: Agreement) -> None:
        """Check that the minimums are attainable and that allowances add up to the capacity that may be unavailable."""
        for i, table in enumerate(self.tables.services):
            service = agreement.services[table.name]
            max_unavailable = agreement.max_unavailable(service.name)
            if max_unavailable < 0:
                self._add_problem(
                    ("services", i, "least"), _describe_excess(service, agreement, None, -max_unavailable)
                )
                continue
            self._check_region_amounts(i, table, service, agreement)
            allowance_sum = sum(service.allowances.values())
            if allowance_sum != max_unavailable:
                text = (
                    f"allowances of {service.name!r} add up to {format_capacity(allowance_sum)}; "
                    f"they must add up to {format_capacity(max_unavailable)}, the capacity that may be unavailable"
                )
                self._add_problem(("services", i, "regions"), text)

    def _check_region_amounts(
        self, service_index: int, table: ServiceTable, service: Service, agreement: Agreement
    ) -> None:
        """Check a service's amounts in each region, and that it lists every region in which it has converters."""
        for j, region_table in enumerate(table.regions):
            path: KeyPath = ("services", service_index, "regions", j)
            max_unavailable = agreement.max_unavailable_in(service.name, region_table.region)
            if max_unavailable < 0:
                self._add_problem(
                    (*path, "least"), _describe_excess(service, agreement, region_table.region, -max_unavailable)
                )
            if service.allowances[region_table.region] < service.min_allowance:
                text = f"{region_table.allowance:g} is less than the service's least_part, {table.min_allowance:g}"
                self._add_problem((*path, "allowance"), text)
        listed_regions = {region_table.region for region_table in table.regions}
        for region in agreement.regions:
            if region not in listed_regions and agreement.capacity(service.name, region):
                self._add_problem(
                    ("services", service_index, "regions"),
                    f"region {region!r} has converters of the service but is not listed",
                )


def _describe_excess(service: Service, agreement: Agreement, region: str | None, excess: int) -> str:
    """Describe by how much a service's minimum exceeds its capacity, in `region` or, if it is None, in all regions."""
    scope = f" in {region!r}" if region else ""
    min_available = service.min_available_by_region[region] if region else service.min_available
    total_capacity = agreement.capacity(service.name, region)
    zone = " less the largest zone" if service.tolerates_zone_loss else ""
    return (
        f"{service.name!r} requires {format_capacity(min_available)}{scope} but has "
        f"{format_capacity(total_capacity)}{zone}: {format_capacity(excess)} too much"
    )
