"""How much of a region's capacity is available, out or lost. Pure views of a ledger's state, in thousandths."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement, Converter, format_capacity
from ryepier.maintenance.commands import FULL_WARMTH
from ryepier.maintenance.limits import Limit, allowance_limit, region_limits
from ryepier.maintenance.state import LedgerState, ObservedState


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of one service in a region; `available + unavailable + lost` is its total."""

    available: int  # ready, by warmth
    unavailable: int  # under a lease: at full size until observed ready and warm again
    lost: int  # under no lease and not ready, not warm by the missing warmth, or never observed
    allowance: int


class CapacityView:
    """The limits of a region, and what is charged against them at present."""

    def __init__(self, agreement: Agreement, region: str, state: LedgerState) -> None:
        """Read from `state`, which may change between calls."""
        self.agreement = agreement
        self.region = region
        self.state = state
        self._converters = {service: tuple(agreement.converters_of(service, region)) for service in agreement.services}
        self._region_limits = {service: region_limits(agreement, region, service) for service in agreement.services}

    def is_recovered(self, observed: ObservedState) -> bool:
        """Return whether an observation shows a converter ready and warm."""
        return observed.ready and observed.warmth >= FULL_WARMTH

    def lost(self, converter: Converter) -> int:
        """Return what is missing of a converter under no lease: all of one that was never observed."""
        observed = self.state.observed.get(converter.name)
        if observed is None or not observed.ready:
            return converter.size
        return converter.size - converter.size * observed.warmth // FULL_WARMTH

    def allowance_bound(self, service: str) -> int:
        """Return the region's allowance, less what other regions have lost beyond theirs."""
        deficits = (peer.needs[service].deficit for peer in self.state.peers.values() if service in peer.needs)
        return self.state.escrow.allowances[service] - sum(deficits)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """Return all present limits on the service in this region."""
        return (allowance_limit(service, self.region, self.allowance_bound(service)), *self._region_limits[service])

    def leased_converters(self) -> set[str]:
        """Return the names of the converters that are charged to leases."""
        return {name for lease in self.state.leases.values() for name in lease.unavailable}

    def charge(self, limit: Limit, unavailable: set[str]) -> int:
        """Return what is charged against a limit when the converters named in `unavailable` are out."""
        return sum(
            converter.size if converter.name in unavailable else self.lost(converter)
            for converter in self._converters[limit.service]
            if limit.applies_to(converter)
        )

    def first_exceeded_limit(self, service: str, unavailable: set[str]) -> str | None:
        """Describe the first limit that is exceeded when these converters are out, in one line; None: all hold."""
        for limit in self.limits(service):
            charge = self.charge(limit, unavailable)
            if charge > limit.bound:
                return (
                    f"{limit.name}: {format_capacity(charge)} would be out or lost and at most "
                    f"{format_capacity(max(0, limit.bound))} may be, {format_capacity(charge - limit.bound)} too much"
                )
        return None

    def capacity(self, service: str) -> Capacity:
        """Return the present figures of a service. Raises KeyError."""
        leased = self.leased_converters()
        converters = self._converters[service]
        unavailable = sum(one.size for one in converters if one.name in leased)
        lost = sum(self.lost(one) for one in converters if one.name not in leased)
        total = sum(one.size for one in converters)
        return Capacity(total - unavailable - lost, unavailable, lost, self.state.escrow.allowances[service])
