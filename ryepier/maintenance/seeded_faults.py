"""Ledgers with one mistake each, put in on purpose: a test or experiment must fail with it, or it proves nothing."""

from __future__ import annotations

from ryepier.maintenance.agreement import Agreement, Converter
from ryepier.maintenance.capacity import CapacityView
from ryepier.maintenance.commands import Transfer
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.results import Result
from ryepier.maintenance.state import ObservedState


class IgnoreWarmUpView(CapacityView):
    """A converter that is ready counts as whole, however cold."""

    def is_recovered(self, seen: ObservedState) -> bool:
        """Ready is enough."""
        return seen.ready

    def lost(self, converter: Converter) -> int:
        """Nothing is missing of a cold one."""
        seen = self.state.observed.get(converter.name)
        return 0 if seen is not None and seen.ready else converter.size


class IgnoreWarmUpLedger(Ledger):
    """Back is warm."""

    view_type = IgnoreWarmUpView


class ExpiryFreesLedger(Ledger):
    """A lease ends when its time has run out."""

    def _advance(self, now_ms: int) -> Result:
        result = super()._advance(now_ms)
        for lease in list(self.state.leases.values()):
            request = self.state.requests[lease.request].request
            if lease.granted_ms + request.duration_ms <= self.state.now_ms:
                self._close(lease)
        return result


class DoubleCreditLedger(Ledger):
    """A transfer that comes twice is counted twice."""

    def _is_credited(self, transfer: Transfer) -> bool:
        return False


class BorrowView(CapacityView):
    """The other regions' allowances are taken for the region's own."""

    def allowance_bound(self, service: str) -> int:
        """All that may be out globally."""
        return self.agreement.max_unavailable(service)


class BorrowLedger(Ledger):
    """A region that is cut off goes on with the whole."""

    view_type = BorrowView


class ForgetGrantLedger(Ledger):
    """Leases are not in the snapshot."""

    @classmethod
    def restore(cls, agreement: Agreement, region: str, snapshot: bytes) -> Ledger:
        """All but the leases."""
        ledger = super().restore(agreement, region, snapshot)
        ledger.state.leases.clear()
        return ledger


class IgnoreLossView(CapacityView):
    """What nobody planned is not charged."""

    def lost(self, converter: Converter) -> int:
        """Nothing is ever lost."""
        return 0


class IgnoreLossLedger(Ledger):
    """Losses do not count."""

    view_type = IgnoreLossView


class StaleObservationLedger(Ledger):
    """A look that was begun before the release ends a lease."""

    def _mark_recovered(self, converter: str, seen: ObservedState) -> list[str]:
        return super()._mark_recovered(converter, ObservedState(seen.ready, seen.warmth, self.state.applied))


class OverdrawLedger(Ledger):
    """A region gives away what its leases have out."""

    def _transferable(self, service: str) -> int:
        return self.capacity(service).allowance


FAULTY_LEDGERS: dict[str, type[Ledger]] = {
    "cold-counts": IgnoreWarmUpLedger,
    "expiry-frees": ExpiryFreesLedger,
    "double-credit": DoubleCreditLedger,
    "borrow": BorrowLedger,
    "forget-grant": ForgetGrantLedger,
    "ignore-loss": IgnoreLossLedger,
    "stale-look": StaleObservationLedger,
    "overdraw": OverdrawLedger,
}
