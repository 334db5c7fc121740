"""Checks the agreement against what happened to converters, independently of ledgers, limits and escrow.

For tests, and for experiments that read the converters' own journals. At each change the capacity that is available is
compared with the agreement, never with what any region recorded. Capacities are in thousandths.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ryepier.maintenance.agreement import Agreement, Zone

FULL_SHARE = 1000  # thousandths of a converter


@dataclass(frozen=True, slots=True)
class CapacityChange:
    """From `at_ms` on, `missing` thousandths of a converter are unavailable: `planned`, or by a loss.

    A planned outage lasts from the grant or the drain until the converter is warm; the converter counts as wholly
    missing for as long as anything of it is. A loss counts by what is missing.
    """

    at_ms: int
    converter: str
    missing: int
    planned: bool


@dataclass(frozen=True, slots=True)
class Breach:
    """A moment at which less than agreed was available; `region` is empty where it is the global amount."""

    at_ms: int
    service: str
    region: str
    available: int  # after the loss of the largest zone where that must be tolerated
    min_available: int

    def __str__(self) -> str:
        """Return one line."""
        where = f" in {self.region}" if self.region else ""
        amounts = f"{self.available} available, {self.min_available} agreed (thousandths)"
        return f"{self.at_ms} ms: {self.service}{where}: {amounts}"


@dataclass(frozen=True, slots=True)
class _Loss:
    """What is missing of a converter, and since when."""

    missing: int
    since_ms: int


class _ChangeOrder(NamedTuple):
    """Orders changes by time; within a millisecond, those that return capacity go first."""

    at_ms: int
    takes_out: bool


class AgreementChecker:
    """Takes the changes in the order of time and returns the breaches."""

    def __init__(self, agreement: Agreement) -> None:
        """Begin with all converters available."""
        self.agreement = agreement
        self._planned: set[str] = set()
        self._lost: dict[str, _Loss] = {}

    def apply(self, change: CapacityChange) -> list[Breach]:
        """Record a change; return where planned outages alone now exceed what the agreement allows."""
        self._record(change)
        if not (change.planned and change.missing):
            return []
        return self._check(change, {})

    def check_grant(self, change: CapacityChange, known_after_ms: int, *, globally: bool = True) -> list[Breach]:
        """Record a planned outage, and return where it exceeds what losses and the agreement allow.

        Losses count once they have lasted for `known_after_ms`. The change must not have been recorded before.
        """
        lost = {
            name: loss.missing for name, loss in self._lost.items() if loss.since_ms + known_after_ms <= change.at_ms
        }
        self._record(change)
        return [breach for breach in self._check(change, lost) if globally or breach.region]

    def _record(self, change: CapacityChange) -> None:
        """Record what is missing from now on."""
        if change.planned:
            self._planned.discard(change.converter)
            if change.missing:
                self._planned.add(change.converter)
        elif change.missing:
            known = self._lost.get(change.converter)
            self._lost[change.converter] = _Loss(change.missing, known.since_ms if known else change.at_ms)
        else:
            self._lost.pop(change.converter, None)

    def _check(self, change: CapacityChange, lost: dict[str, int]) -> list[Breach]:
        """Compare what is available of the changed service with both of its minimums."""
        converter = self.agreement.converters[change.converter]
        service = self.agreement.services[converter.service]
        region = converter.region
        breaches = [
            Breach(
                change.at_ms,
                service.name,
                "",
                self._available_capacity(service.name, None, lost),
                service.min_available,
            ),
            Breach(
                change.at_ms,
                service.name,
                region,
                self._available_capacity(service.name, region, lost),
                service.min_available_by_region.get(region, 0),
            ),
        ]
        return [breach for breach in breaches if breach.available < breach.min_available]

    def _available_capacity(self, service: str, region: str | None, lost: dict[str, int]) -> int:
        """Return what is available of a service, in one region or in all."""
        zones: dict[Zone, int] = {}
        for converter in self.agreement.converters_of(service, region):
            present = 0 if converter.name in self._planned else FULL_SHARE - lost.get(converter.name, 0)
            zone = Zone(converter.region, converter.zone)
            zones[zone] = zones.get(zone, 0) + converter.size * present // FULL_SHARE
        available = sum(zones.values())
        if self.agreement.services[service].tolerates_zone_loss:
            available -= max(zones.values(), default=0)
        return available


def find_breaches(agreement: Agreement, changes: Iterable[CapacityChange]) -> Iterator[Breach]:
    """Yield every moment at which planned outages exceeded what the agreement allows."""
    judge = AgreementChecker(agreement)
    for change in sorted(changes, key=_order):
        yield from judge.apply(change)


def find_grants_during_shortage(
    agreement: Agreement, changes: Iterable[CapacityChange], known_after_ms: int
) -> Iterator[Breach]:
    """Yield every planned outage that began while it breached the agreement together with the known losses."""
    judge = AgreementChecker(agreement)
    for change in sorted(changes, key=_order):
        if change.planned and change.missing:
            yield from judge.check_grant(change, known_after_ms)
        else:
            judge.apply(change)


def _order(change: CapacityChange) -> _ChangeOrder:
    """Return the sort key of a change."""
    return _ChangeOrder(change.at_ms, change.missing > 0)
