"""Ledgers with one mistake each, put in on purpose: a test or experiment must fail with it, or it proves nothing."""

from __future__ import annotations

from ryepier.maintenance.agreement import Agreement, Converter
from ryepier.maintenance.capacity import CapacityView
from ryepier.maintenance.commands import Transfer
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.observation_commands import ObservationCommands
from ryepier.maintenance.request_commands import RequestCommands
from ryepier.maintenance.results import Result
from ryepier.maintenance.state import ObservedState
from ryepier.maintenance.transfer_commands import TransferCommands


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


class ExpiringLeases(RequestCommands):
    """Closes a lease when its duration has passed."""

    def advance_time(self, now_ms: int) -> Result:
        """Close the leases that have lasted as long as their request said."""
        result = super().advance_time(now_ms)
        for lease in list(self.state.leases.values()):
            request = self.state.requests[lease.request].request
            if lease.granted_ms + request.duration_ms <= self.state.now_ms:
                self.context.close(lease)
        return result


class ExpiryFreesLedger(Ledger):
    """A lease ends when its time has run out."""

    request_commands_type = ExpiringLeases


class RepeatedCredits(TransferCommands):
    """Counts a transfer as often as it arrives."""

    def is_credited(self, transfer: Transfer) -> bool:
        """Recognize no transfer."""
        return False


class DoubleCreditLedger(Ledger):
    """A transfer that arrives twice is counted twice."""

    transfer_commands_type = RepeatedCredits


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


class StaleObservations(ObservationCommands):
    """Takes every observation for a present one."""

    def mark_recovered(self, converter: str, observed: ObservedState) -> list[str]:
        """Date the observation at the command's own index."""
        present = ObservedState(observed.ready, observed.warmth, self.state.applied)
        return super().mark_recovered(converter, present)


class StaleObservationLedger(Ledger):
    """An observation that began before the release closes a lease."""

    observation_commands_type = StaleObservations


class Overdraw(TransferCommands):
    """Gives the whole allowance away."""

    def transferable(self, service: str) -> int:
        """Ignore what is out, lost or to be kept."""
        return self.context.view.capacity(service).allowance


class OverdrawLedger(Ledger):
    """A region gives away what its leases have out."""

    transfer_commands_type = Overdraw


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
