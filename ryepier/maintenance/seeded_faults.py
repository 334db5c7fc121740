"""Ledgers that each contain one seeded fault, which tests and experiments have to detect."""

from __future__ import annotations

from ryepier.maintenance.agreement import Agreement, Converter
from ryepier.maintenance.capacity import CapacityView
from ryepier.maintenance.commands import Transfer
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.observation_commands import ObservationCommandHandler
from ryepier.maintenance.request_commands import RequestCommandHandler
from ryepier.maintenance.results import Result
from ryepier.maintenance.state import ObservedState
from ryepier.maintenance.transfer_commands import TransferCommandHandler


class IgnoreWarmUpView(CapacityView):
    """Seeded fault: counts a ready converter at its full size before its warm-up has ended."""

    def is_recovered(self, observed_state: ObservedState) -> bool:
        """Return whether the converter is ready, whatever its warmth."""
        return observed_state.ready

    def lost_capacity(self, converter: Converter) -> int:
        """Return 0 for a ready converter, even while it warms up."""
        observed_state = self.state.observed.get(converter.name)
        return 0 if observed_state is not None and observed_state.ready else converter.size


class IgnoreWarmUpLedger(Ledger):
    """Seeded fault: closes leases before their converters are warm."""

    view_type = IgnoreWarmUpView


class LeaseExpiryCommandHandler(RequestCommandHandler):
    """Seeded fault: closes a lease when its request's duration has passed."""

    def advance_time(self, now_ms: int) -> Result:
        """Advance the time, and close the leases that have lasted for their request's duration."""
        result = super().advance_time(now_ms)
        for lease in list(self.state.leases.values()):
            request = self.state.requests[lease.request].request
            if lease.granted_at_ms + request.duration_ms <= self.state.now_ms:
                self.context.close(lease)
        return result


class LeaseExpiryLedger(Ledger):
    """Seeded fault: lets leases expire, which frees capacity that may still be out of service."""

    request_handler_type = LeaseExpiryCommandHandler


class DoubleCreditCommandHandler(TransferCommandHandler):
    """Seeded fault: credits a transfer each time it arrives."""

    def is_credited(self, transfer: Transfer) -> bool:
        """Return False for every transfer, so that a repeated credit is applied again."""
        return False


class DoubleCreditLedger(Ledger):
    """Seeded fault: credits a transfer twice if it arrives twice."""

    transfer_handler_type = DoubleCreditCommandHandler


class GlobalAllowanceView(CapacityView):
    """Seeded fault: counts the allowances of all regions as the region's own."""

    def allowance_bound(self, service: str) -> int:
        """Return the capacity that may be unavailable globally."""
        return self.agreement.max_unavailable(service)


class GlobalAllowanceLedger(Ledger):
    """Seeded fault: grants leases against the allowances of all regions, for example during a partition."""

    view_type = GlobalAllowanceView


class ForgetLeasesLedger(Ledger):
    """Seeded fault: loses its leases when it is restored from a snapshot."""

    @classmethod
    def restore(cls, agreement: Agreement, region: str, snapshot: bytes) -> Ledger:
        """Restore everything except the leases."""
        ledger = super().restore(agreement, region, snapshot)
        ledger.state.leases.clear()
        return ledger


class IgnoreLossView(CapacityView):
    """Seeded fault: does not charge losses."""

    def lost_capacity(self, converter: Converter) -> int:
        """Return 0, even for a converter that is not ready."""
        return 0


class IgnoreLossLedger(Ledger):
    """Seeded fault: grants leases without regard to losses."""

    view_type = IgnoreLossView


class StaleObservationCommandHandler(ObservationCommandHandler):
    """Seeded fault: lets an observation close a lease that was released after the observation began."""

    def mark_recovered(self, converter: str, observed_state: ObservedState) -> list[str]:
        """Treat the observation as if it began at the current log index."""
        current_state = ObservedState(observed_state.ready, observed_state.warmth, self.state.applied)
        return super().mark_recovered(converter, current_state)


class StaleObservationLedger(Ledger):
    """Seeded fault: closes a lease by an observation that began before the lease was released."""

    observation_handler_type = StaleObservationCommandHandler


class OverdrawCommandHandler(TransferCommandHandler):
    """Seeded fault: lets the whole allowance be given away."""

    def transferable_allowance(self, service: str) -> int:
        """Return the whole allowance, although part of it is in use or must be kept."""
        return self.context.view.capacity(service).allowance


class OverdrawLedger(Ledger):
    """Seeded fault: gives away allowance that its own leases are using."""

    transfer_handler_type = OverdrawCommandHandler


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
