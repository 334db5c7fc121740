"""How much of a region's capacity is in force, out or lost. Pure views of a ledger's state."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.agreement import Agreement, Converter, format_units
from ryepier.maintenance.commands import FULL_WARMTH
from ryepier.maintenance.limits import Limit, allowance_limit, region_limits
from ryepier.maintenance.state import LedgerState, ObservedState


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of one service in a region, in thousandths; `available + out + lost` is all that there is."""

    available: int  # ready, by warmth
    unavailable: int  # under a lease: at full size until seen ready and warm again
    lost: int  # under no lease and not ready, cold by its missing warmth, or never seen
    allowance: int


class CapacityView:
    """The limits of a region and what stands against them now."""

    def __init__(self, agreement: Agreement, region: str, state: LedgerState) -> None:
        """Look at `state`, which may change meanwhile."""
        self.agreement = agreement
        self.region = region
        self.state = state
        self._converters = {service: tuple(agreement.converters_of(service, region)) for service in agreement.services}
        self._region_limits = {service: region_limits(agreement, region, service) for service in agreement.services}

    def is_recovered(self, seen: ObservedState) -> bool:
        """Whether what was seen shows a converter ready and warm."""
        return seen.ready and seen.warmth >= FULL_WARMTH

    def lost(self, converter: Converter) -> int:
        """What is missing of a converter that is under no lease; one that was never seen is missing as a whole."""
        seen = self.state.observed.get(converter.name)
        if seen is None or not seen.ready:
            return converter.size
        return converter.size - converter.size * seen.warmth // FULL_WARMTH

    def allowance_bound(self, service: str) -> int:
        """What this region may have out or lost for its part of the whole: its allowance, less what other regions
        have lost beyond theirs."""
        deficits = (peer.needs[service].deficit for peer in self.state.peers.values() if service in peer.needs)
        return self.state.escrow.allowances[service] - sum(deficits)

    def limits(self, service: str) -> tuple[Limit, ...]:
        """All limits on the service in this region, as they are now."""
        return (allowance_limit(service, self.region, self.allowance_bound(service)), *self._region_limits[service])

    def leased_converters(self) -> set[str]:
        """The converters that are charged to leases."""
        return {name for lease in self.state.leases.values() for name in lease.unavailable}

    def charge(self, limit: Limit, out: set[str]) -> int:
        """What stands against a limit when the converters in `out` are out."""
        return sum(
            converter.size if converter.name in out else self.lost(converter)
            for converter in self._converters[limit.service]
            if limit.applies_to(converter)
        )

    def first_exceeded_limit(self, service: str, out: set[str]) -> str | None:
        """The first limit that is exceeded when the converters in `out` are out, in one line; None: all hold."""
        for limit in self.limits(service):
            charge = self.charge(limit, out)
            if charge > limit.bound:
                return (
                    f"{limit.name}: {format_units(charge)} would be out or lost and at most "
                    f"{format_units(max(0, limit.bound))} may be, {format_units(charge - limit.bound)} too much"
                )
        return None

    def capacity(self, service: str) -> Capacity:
        """The figures of a service."""
        out = self.leased_converters()
        converters = self._converters[service]
        sizes_out = sum(one.size for one in converters if one.name in out)
        lost = sum(self.lost(one) for one in converters if one.name not in out)
        total = sum(one.size for one in converters)
        return Capacity(total - sizes_out - lost, sizes_out, lost, self.state.escrow.allowances[service])
