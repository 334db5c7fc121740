"""Computes how much of a region's capacity is available, out of service or lost, from the state of its ledger.

Reads the state without changing it. Capacities are in thousandths.
"""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement, Converter, format_capacity
from ryepier.maintenance.commands import FULL_WARMTH
from ryepier.maintenance.limits import Limit, allowance_limit, region_limits
from ryepier.maintenance.state import LedgerState, ObservedState


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of one service in a region. `available + unavailable + lost` is its total."""

    available: int  # of ready converters, in proportion to their warmth
    unavailable: int  # of converters under a lease: their full size until they are observed ready and warm again
    lost: int  # under no lease: all of a converter not ready or never observed, the missing warmth of others
    allowance: int  # of this region


class CapacityView:
    """Read-only view of a region's limits and of the capacity that is currently charged against them."""

    def __init__(self, agreement: Agreement, region: str, state: LedgerState) -> None:
        """View `state`, which may change between calls, as the state of `region`."""
        self.agreement = agreement
        self.region = region
        self.state = state
        self._converters = {service: tuple(agreement.converters_of(service, region)) for service in agreement.services}
        self._region_limits = {service: region_limits(agreement, region, service) for service in agreement.services}

    def is_recovered(self, observed: ObservedState) -> bool:
        """Return whether an observation shows the converter ready and fully warm."""
        return observed.ready and observed.warmth >= FULL_WARMTH

    def lost_capacity(self, converter: Converter) -> int:
        """Return the capacity lost on a converter under no lease: all of it if the converter was never observed."""
        observed = self.state.observed.get(converter.name)
        if observed is None or not observed.ready:
            return converter.size
        return converter.size - converter.size * observed.warmth // FULL_WARMTH

    def allowance_bound(self, service: str) -> int:
        """Return the region's allowance less the reported deficits, by which other regions exceed their allowances."""
        deficits = (peer.needs[service].deficit for peer in self.state.peers.values() if service in peer.needs)
        return self.state.escrow.allowances[service] - sum(deficits)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """Return all limits that currently apply to the service in this region."""
        return (allowance_limit(service, self.region, self.allowance_bound(service)), *self._region_limits[service])

    def leased_converters(self) -> set[str]:
        """Return the names of the converters that open leases keep out of service."""
        return {name for lease in self.state.leases.values() for name in lease.unavailable}

    def charge(self, limit: Limit, unavailable: set[str]) -> int:
        """Return the capacity charged against a limit if the converters in `unavailable` are out of service."""
        return sum(
            converter.size if converter.name in unavailable else self.lost_capacity(converter)
            for converter in self._converters[limit.service]
            if limit.applies_to(converter)
        )

    def first_exceeded_limit(self, service: str, unavailable: set[str]) -> str | None:
        """Describe, in one line, the first limit exceeded if the converters in `unavailable` are out of service.

        Returns None if every limit holds.
        """
        for limit in self.limits(service):
            charge = self.charge(limit, unavailable)
            if charge > limit.bound:
                return (
                    f"{limit.name}: {format_capacity(charge)} would be out or lost and at most "
                    f"{format_capacity(max(0, limit.bound))} may be, {format_capacity(charge - limit.bound)} too much"
                )
        return None

    def capacity(self, service: str) -> Capacity:
        """Return the current capacity of a service. Raises KeyError if the service is unknown."""
        leased_names = self.leased_converters()
        converters = self._converters[service]
        unavailable = sum(converter.size for converter in converters if converter.name in leased_names)
        lost = sum(self.lost_capacity(converter) for converter in converters if converter.name not in leased_names)
        total = sum(converter.size for converter in converters)
        return Capacity(total - unavailable - lost, unavailable, lost, self.state.escrow.allowances[service])
