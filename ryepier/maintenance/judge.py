"""The one rule, worked out from what happened to converters and independently of ledgers, limits and escrow.

For tests, and for experiments that read converters' own journals. At each change the capacity that is left is
compared with the agreement: never with what any region believed.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement

FULL_SIZE = 1000  # thousandths of a converter


@dataclass(frozen=True, slots=True)
class Change:
    """From `at_ms` on, `missing` thousandths of a converter are not there: by a window (`planned`) or by a loss.

    What a window has taken out is missing from the grant or the drain until the converter is warm; it counts as a
    whole for as long as anything of it is missing. A loss counts by what is missing.
    """

    at_ms: int
    converter: str
    missing: int
    planned: bool


@dataclass(frozen=True, slots=True)
class Breach:
    """A moment at which less than agreed was left; `region` is empty where it is the global amount."""

    at_ms: int
    service: str
    region: str
    available: int  # thousandths, after the loss of the largest zone where that must be survived
    min_available: int

    def __str__(self) -> str:
        """One line."""
        where = f" in {self.region}" if self.region else ""
        return (
            f"{self.at_ms} ms: {self.service}{where}: {self.available} left, {self.min_available} agreed (thousandths)"
        )


class Judge:
    """Takes the changes in the order of time and tells the breaches."""

    def __init__(self, agreement: Agreement) -> None:
        """All converters are there at first."""
        self.agreement = agreement
        self._planned: set[str] = set()
        self._lost: dict[str, tuple[int, int]] = {}  # converter: missing, since when

    def apply(self, change: Change) -> list[Breach]:
        """Note a change; gives where windows alone have now taken out more than the agreement leaves."""
        self._record(change)
        if not (change.planned and change.missing):
            return []
        return self._check(change, {})

    def check_grant(self, change: Change, known_after_ms: int, *, globally: bool = True) -> list[Breach]:
        """Where a window that begins now takes out what losses leave no room for. Losses count once they have
        lasted for `known_after_ms`. The change must not have been noted before."""
        lost = {
            name: missing for name, (missing, since) in self._lost.items() if since + known_after_ms <= change.at_ms
        }
        self._record(change)
        return [one for one in self._check(change, lost) if globally or one.region]

    def _record(self, change: Change) -> None:
        if change.planned:
            self._planned.discard(change.converter)
            if change.missing:
                self._planned.add(change.converter)
        elif change.missing:
            since = self._lost.get(change.converter, (0, change.at_ms))[1]
            self._lost[change.converter] = (change.missing, since)
        else:
            self._lost.pop(change.converter, None)

    def _check(self, change: Change, lost: dict[str, int]) -> list[Breach]:
        converter = self.agreement.converters[change.converter]
        service = self.agreement.services[converter.service]
        amounts = [
            ("", service.min_available, self._available_capacity(service.name, None, lost)),
            (
                converter.region,
                service.min_available_by_region.get(converter.region, 0),
                self._available_capacity(service.name, converter.region, lost),
            ),
        ]
        return [
            Breach(change.at_ms, service.name, region, available, min_available)
            for region, min_available, available in amounts
            if available < min_available
        ]

    def _available_capacity(self, service: str, region: str | None, lost: dict[str, int]) -> int:
        """What is left of a service, in a region or of all."""
        zones: dict[tuple[str, str], int] = {}
        for one in self.agreement.converters.values():
            if one.service != service or region not in (None, one.region):
                continue
            there = 0 if one.name in self._planned else FULL_SIZE - lost.get(one.name, 0)
            zone = (one.region, one.zone)
            zones[zone] = zones.get(zone, 0) + one.size * there // FULL_SIZE
        available = sum(zones.values())
        survives = self.agreement.services[service].tolerates_zone_loss
        return available - max(zones.values(), default=0) if survives else available


def breaches(agreement: Agreement, changes: Iterable[Change]) -> Iterator[Breach]:
    """Every moment at which windows had more out than the agreement leaves."""
    judge = Judge(agreement)
    for change in sorted(changes, key=_by_time):
        yield from judge.apply(change)


def grants_during_shortage(agreement: Agreement, changes: Iterable[Change], known_after_ms: int) -> Iterator[Breach]:
    """Every window that began while the agreement was breached or would be with it, by losses that were known."""
    judge = Judge(agreement)
    for change in sorted(changes, key=_by_time):
        if change.planned and change.missing:
            yield from judge.check_grant(change, known_after_ms)
        else:
            judge.apply(change)


def _by_time(change: Change) -> tuple[int, bool]:
    """Of changes within one millisecond, those that give capacity back go first."""
    return change.at_ms, change.missing > 0
