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
    """The capacity of one service in a region, in thousandths.

    `available + unavailable + lost` is the size of all its converters. `unavailable` is the full size of the converters
    under a lease; they stay under it until they are observed ready and warm again. `available` and `lost` divide the
    size of the other converters: a ready converter is available in proportion to its warmth, and one that is not ready
    or was never observed is lost entirely. `allowance` is the region's current allowance.
    """

    available: int
    unavailable: int
    lost: int
    allowance: int


class CapacityView:
    """Read-only view of a region's limits and of the capacity that is currently charged against them."""

    def __init__(self, agreement: Agreement, region: str, state: LedgerState) -> None:
        """View `state`, the ledger state of `region`. The view reflects later changes of `state`."""
        self.agreement = agreement
        self.region = region
        self.state = state
        self._converters = {service: tuple(agreement.converters_of(service, region)) for service in agreement.services}
        self._region_limits = {service: region_limits(agreement, region, service) for service in agreement.services}

    def is_recovered(self, observed_state: ObservedState) -> bool:
        """Return whether an observation shows the converter ready and fully warm."""
        return observed_state.ready and observed_state.warmth >= FULL_WARMTH

    def lost_capacity(self, converter: Converter) -> int:
        """Return how much of the capacity of a converter without a lease is lost.

        A converter that is not ready or was never observed is lost entirely; a ready one that is still warming up is
        lost in part.
        """
        observed_state = self.state.observed.get(converter.name)
        if observed_state is None or not observed_state.ready:
            return converter.size
        return converter.size - converter.size * observed_state.warmth // FULL_WARMTH

    def allowance_bound(self, service: str) -> int:
        """Return the region's allowance, reduced by the deficits that the other regions have reported.

        A deficit is the amount by which a region's lost capacity and leases exceed its allowance.
        """
        deficits = (peer.needs[service].deficit for peer in self.state.peers.values() if service in peer.needs)
        return self.state.escrow.allowances[service] - sum(deficits)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """Return all limits that currently apply to the service in this region."""
        return (allowance_limit(service, self.region, self.allowance_bound(service)), *self._region_limits[service])

    def leased_converters(self) -> set[str]:
        """Return the names of the converters that open leases keep out of service."""
        return {name for lease in self.state.leases.values() for name in lease.unavailable}

    def charge(self, limit: Limit, unavailable_names: set[str]) -> int:
        """Return the capacity charged against a limit with the converters in `unavailable_names` out of service."""
        return sum(
            converter.size if converter.name in unavailable_names else self.lost_capacity(converter)
            for converter in self._converters[limit.service]
            if limit.applies_to(converter)
        )

    def describe_first_exceeded_limit(self, service: str, unavailable_names: set[str]) -> str | None:
        """Describe, in one line, the first limit exceeded with the converters in `unavailable_names` out of service.

        Returns None if every limit holds.
        """
        for limit in self.limits(service):
            charge = self.charge(limit, unavailable_names)
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
        total_size = sum(converter.size for converter in converters)
        return Capacity(total_size - unavailable - lost, unavailable, lost, self.state.escrow.allowances[service])
