"""Checks whether the capacity agreement was kept, independently of ledgers, limits and escrow.

Used by tests, and by experiments that read the converters' own journals. At each capacity change, the capacity that is
actually available is compared with the agreement; the records of the regions' ledgers are not used. Capacities are in
thousandths.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ryepier.maintenance.agreement import Agreement, Zone

FULL_SHARE = 1000  # thousandths of a converter's size


@dataclass(frozen=True, slots=True)
class CapacityChange:
    """A change of how much of a converter is unavailable, through a planned outage or a loss.

    From `at_ms` on, `missing_thousandths` of the converter's size are unavailable; 0 ends the outage or loss. A planned
    outage lasts from the grant of the lease or from the start of the drain, as the caller chooses, until the converter
    is warm. The whole converter counts as missing in a planned outage, but only `missing_thousandths` in a loss.
    """

    at_ms: int
    converter: str
    missing_thousandths: int
    planned: bool


@dataclass(frozen=True, slots=True)
class Breach:
    """A moment at which less than the agreed capacity was available. Capacities are in thousandths.

    `region` is empty if the minimum over all regions was missed. If the loss of a zone must be tolerated, `available`
    does not include the largest zone.
    """

    at_ms: int
    service: str
    region: str
    available: int
    min_available: int

    def __str__(self) -> str:
        """Describe the breach in one line."""
        scope = f" in {self.region}" if self.region else ""
        amounts = f"{self.available} available, {self.min_available} agreed (thousandths)"
        return f"{self.at_ms} ms: {self.service}{scope}: {amounts}"


@dataclass(frozen=True, slots=True)
class _Loss:
    """The share of a converter that is lost, in thousandths, and the time at which the loss began."""

    missing_thousandths: int
    began_at_ms: int


class _ChangeKey(NamedTuple):
    """The sort key of a change: by time and, within the same millisecond, changes that return capacity first."""

    at_ms: int
    reduces_capacity: bool


class AgreementChecker:
    """Processes capacity changes, which must be given in the order of time, and returns the breaches they cause."""

    def __init__(self, agreement: Agreement) -> None:
        """Start with all converters of the agreement available."""
        self.agreement = agreement
        self._planned_outages: set[str] = set()
        self._losses: dict[str, _Loss] = {}

    def apply(self, change: CapacityChange) -> list[Breach]:
        """Record a change and, if it starts a planned outage, return the breaches.

        Lost capacity counts as available; `check_grant` subtracts the known losses.
        """
        self._record(change)
        if not (change.planned and change.missing_thousandths):
            return []
        return self._find_breaches(change, {})

    def check_grant(
        self, change: CapacityChange, detection_delay_ms: int, *, include_global: bool = True
    ) -> list[Breach]:
        """Record the start of a planned outage, and return the breaches that it causes together with the known losses.

        A loss is known once it has lasted for `detection_delay_ms`. Breaches of the minimum over all regions are
        returned only if `include_global` is true. The change must not have been recorded before.
        """
        lost_shares = {
            name: loss.missing_thousandths
            for name, loss in self._losses.items()
            if loss.began_at_ms + detection_delay_ms <= change.at_ms
        }
        self._record(change)
        return [breach for breach in self._find_breaches(change, lost_shares) if include_global or breach.region]

    def _record(self, change: CapacityChange) -> None:
        """Update the recorded planned outages and losses."""
        if change.planned:
            self._planned_outages.discard(change.converter)
            if change.missing_thousandths:
                self._planned_outages.add(change.converter)
        elif change.missing_thousandths:
            earlier_loss = self._losses.get(change.converter)
            self._losses[change.converter] = _Loss(
                change.missing_thousandths, earlier_loss.began_at_ms if earlier_loss else change.at_ms
            )
        else:
            self._losses.pop(change.converter, None)

    def _find_breaches(self, change: CapacityChange, lost_shares: dict[str, int]) -> list[Breach]:
        """Return the breaches of the global and regional minimums of the changed converter's service.

        `lost_shares` holds the lost share by converter, in thousandths.
        """
        converter = self.agreement.converters[change.converter]
        service = self.agreement.services[converter.service]
        region = converter.region
        breaches = [
            Breach(
                change.at_ms,
                service.name,
                "",
                self._available_capacity(service.name, None, lost_shares),
                service.min_available,
            ),
            Breach(
                change.at_ms,
                service.name,
                region,
                self._available_capacity(service.name, region, lost_shares),
                service.min_available_by_region.get(region, 0),
            ),
        ]
        return [breach for breach in breaches if breach.available < breach.min_available]

    def _available_capacity(self, service: str, region: str | None, lost_shares: dict[str, int]) -> int:
        """Return the available capacity of a service, in `region` or, if it is None, in all regions.

        The largest zone is subtracted if the loss of a zone must be tolerated.
        """
        zone_capacities: dict[Zone, int] = {}
        for converter in self.agreement.converters_of(service, region):
            available_share = (
                0 if converter.name in self._planned_outages else FULL_SHARE - lost_shares.get(converter.name, 0)
            )
            zone = Zone(converter.region, converter.zone)
            zone_capacities[zone] = zone_capacities.get(zone, 0) + converter.size * available_share // FULL_SHARE
        available = sum(zone_capacities.values())
        if self.agreement.services[service].tolerates_zone_loss:
            available -= max(zone_capacities.values(), default=0)
        return available


def find_breaches(agreement: Agreement, changes: Iterable[CapacityChange]) -> Iterator[Breach]:
    """Yield every breach of the agreement by planned outages, ordered by time. Lost capacity counts as available."""
    checker = AgreementChecker(agreement)
    for change in sorted(changes, key=_sort_key):
        yield from checker.apply(change)


def find_breaches_with_known_losses(
    agreement: Agreement, changes: Iterable[CapacityChange], detection_delay_ms: int
) -> Iterator[Breach]:
    """Yield every breach that starting a planned outage causes together with the losses known at that time.

    A loss is known once it has lasted for `detection_delay_ms`.
    """
    checker = AgreementChecker(agreement)
    for change in sorted(changes, key=_sort_key):
        if change.planned and change.missing_thousandths:
            yield from checker.check_grant(change, detection_delay_ms)
        else:
            checker.apply(change)


def _sort_key(change: CapacityChange) -> _ChangeKey:
    """Return the key that sorts changes by time, with those that return capacity first."""
    return _ChangeKey(change.at_ms, change.missing_thousandths > 0)
