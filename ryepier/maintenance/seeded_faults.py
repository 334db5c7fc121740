"""Ledgers with one seeded fault each, which the tests and experiments have to detect."""

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
    """A converter that is ready counts at its full size before its warm-up has ended."""

    def is_recovered(self, observed: ObservedState) -> bool:
        """Ignore the warmth."""
        return observed.ready

    def lost_capacity(self, converter: Converter) -> int:
        """Count nothing as missing of a converter that warms up."""
        observed = self.state.observed.get(converter.name)
        return 0 if observed is not None and observed.ready else converter.size


class IgnoreWarmUpLedger(Ledger):
    """A lease is closed before its converter is warm."""

    view_type = IgnoreWarmUpView


class LeaseExpiryCommands(RequestCommands):
    """Closes a lease when its duration has passed."""

    def advance_time(self, now_ms: int) -> Result:
        """Close the leases that have lasted for their request's duration."""
        result = super().advance_time(now_ms)
        for lease in list(self.state.leases.values()):
            request = self.state.requests[lease.request].request
            if lease.granted_ms + request.duration_ms <= self.state.now_ms:
                self.context.close(lease)
        return result


class LeaseExpiryLedger(Ledger):
    """A lease ends when its time has run out."""

    request_commands_type = LeaseExpiryCommands


class DoubleCreditCommands(TransferCommands):
    """Counts a transfer as often as it arrives."""

    def is_credited(self, transfer: Transfer) -> bool:
        """Recognize no transfer."""
        return False


class DoubleCreditLedger(Ledger):
    """A transfer that arrives twice is counted twice."""

    transfer_commands_type = DoubleCreditCommands


class GlobalAllowanceView(CapacityView):
    """The other regions' allowances count as the region's own."""

    def allowance_bound(self, service: str) -> int:
        """Return all that may be out globally."""
        return self.agreement.max_unavailable(service)


class GlobalAllowanceLedger(Ledger):
    """A region that is partitioned uses the allowances of all regions."""

    view_type = GlobalAllowanceView


class ForgetLeasesLedger(Ledger):
    """Leases are lost with a restart."""

    @classmethod
    def restore(cls, agreement: Agreement, region: str, snapshot: bytes) -> Ledger:
        """Restore everything but the leases."""
        ledger = super().restore(agreement, region, snapshot)
        ledger.state.leases.clear()
        return ledger


class IgnoreLossView(CapacityView):
    """Losses are not charged."""

    def lost_capacity(self, converter: Converter) -> int:
        """Return 0."""
        return 0


class IgnoreLossLedger(Ledger):
    """Leases are granted in spite of losses."""

    view_type = IgnoreLossView


class StaleObservationCommands(ObservationCommands):
    """Takes every observation for a present one."""

    def mark_recovered(self, converter: str, observed: ObservedState) -> list[str]:
        """Date the observation at the command's own index."""
        relabelled = ObservedState(observed.ready, observed.warmth, self.state.applied)
        return super().mark_recovered(converter, relabelled)


class StaleObservationLedger(Ledger):
    """An observation that began before the release closes a lease."""

    observation_commands_type = StaleObservationCommands


class OverdrawCommands(TransferCommands):
    """Gives the whole allowance away."""

    def transferable(self, service: str) -> int:
        """Ignore what is out, lost or to be kept."""
        return self.context.view.capacity(service).allowance


class OverdrawLedger(Ledger):
    """A region gives away what its leases have out."""

    transfer_commands_type = OverdrawCommands


FAULTY_LEDGERS: dict[str, type[Ledger]] = {
    "cold-counts": IgnoreWarmUpLedger,
    "expiry-frees": LeaseExpiryLedger,
    "double-credit": DoubleCreditLedger,
    "borrow": GlobalAllowanceLedger,
    "forget-grant": ForgetLeasesLedger,
    "ignore-loss": IgnoreLossLedger,
    "stale-look": StaleObservationLedger,
    "overdraw": OverdrawLedger,
}
