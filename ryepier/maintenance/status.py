"""What the leader works out from its ledger: the schedule, the next window, what to record of a look, its status."""

from __future__ import annotations

from collections.abc import Iterable

from ryepier.maintenance.api import CapacityStatus, LeaseStatus, RequestStatus, StatusReply
from ryepier.maintenance.commands import FULL_WARMTH, RecordObservation
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.observer import WarmthProbe
from ryepier.maintenance.placement import FREEZE_MS, Schedule
from ryepier.maintenance.problem import Window, build_problem
from ryepier.maintenance.replication.core import Replica
from ryepier.maintenance.scheduler import make_schedule
from ryepier.maintenance.state import Lease
from ryepier.maintenance.tables import LeaseState

AWAITING_RECOVERY = (LeaseState.RETURNING, LeaseState.REVOKED)


class Planner:
    """The schedule of a ledger, made anew when the ledger has changed."""

    def __init__(self, ledger: Ledger, freeze_ms: int = FREEZE_MS) -> None:
        """Look at `ledger`, which goes on changing; planned windows that start within `freeze_ms` are not moved."""
        self.ledger = ledger
        self.freeze_ms = freeze_ms
        self.schedule = Schedule((), (), ())
        self.scheduled_index = -1

    def current_schedule(self) -> Schedule:
        """The schedule as of the last command."""
        if self.scheduled_index != self.ledger.applied:
            self.scheduled_index = self.ledger.applied
            frozen_until_ms = self.ledger.now_ms + self.freeze_ms
            fixed = [one for one in self.schedule.windows if one.start_ms < frozen_until_ms]
            self.schedule = make_schedule(build_problem(self.ledger, fixed))
        return self.schedule

    def due_window(self) -> Window | None:
        """A window that may begin now."""
        due = (one for one in self.current_schedule().windows if one.start_ms <= self.ledger.now_ms)
        return next(due, None)

    def observation(self, observer: str, as_of: int, probes: Iterable[WarmthProbe]) -> RecordObservation | None:
        """What of a look is worth a command: what differs, and what may end a lease."""
        telling = tuple(one.observation for one in probes if self._is_reportable(one))
        if not telling:
            return None
        return RecordObservation(observer, as_of + 1, as_of, telling)

    def probes_to_restart(self, probes: Iterable[WarmthProbe]) -> list[str]:
        """Converters whose maintenance is done, but whose life seems to be the one from before it.

        Either the listing is late, or this observer has not known the region's time for long. Both are over once the
        life has been listed for a whole time to warm up from now on.
        """
        found = []
        for probe in probes:
            lease = self._lease_on(probe.observation.converter)
            if lease is None or lease.state is not LeaseState.RETURNING or not probe.observation.ready:
                continue
            if probe.incarnation_began_ms < lease.granted_ms:
                found.append(probe.observation.converter)
        return found

    def _is_reportable(self, probe: WarmthProbe) -> bool:
        """Whether a look is news."""
        observation = probe.observation
        lease = self._lease_on(observation.converter)
        if lease is not None and observation.ready:
            if lease.state is not LeaseState.REVOKED and probe.incarnation_began_ms < lease.granted_ms:
                return False
            if lease.state in AWAITING_RECOVERY and observation.warmth == FULL_WARMTH:
                return True
        seen = self.ledger.state.observed.get(observation.converter)
        return seen is None or (seen.ready, seen.warmth) != (observation.ready, observation.warmth)

    def _lease_on(self, converter: str) -> Lease | None:
        """The open lease that has a converter out."""
        for lease in self.ledger.state.leases.values():
            if converter in lease.unavailable:
                return lease
        return None

    def request_statuses(self) -> tuple[RequestStatus, ...]:
        """The open requests with what the schedule says of each."""
        schedule = self.current_schedule()
        reasons = {one.request: one.reason for one in schedule.delayed_requests}
        reasons |= {one.request: one.reason for one in schedule.unplaced_requests}
        starts: dict[str, int] = {}
        for window in schedule.windows:
            starts[window.request] = min(window.start_ms, starts.get(window.request, window.start_ms))
        return tuple(
            RequestStatus(
                name=record.request.name,
                service=record.request.service,
                remaining=tuple(record.remaining()),
                deadline_ms=record.request.deadline_ms,
                starts_ms=starts.get(record.request.name, -1),
                reason=reasons.get(record.request.name, ""),
            )
            for record in self.ledger.open_requests()
        )


def status_of(number: int, now_ms: int, replica: Replica, planning: Planner) -> StatusReply:
    """The region's state as its leader has applied it, at the region's time `now_ms`."""
    ledger = planning.ledger
    return StatusReply(
        number=number,
        region=ledger.region,
        leader=replica.settings.name,
        term=replica.term,
        applied=ledger.applied,
        now_ms=now_ms,
        requests=planning.request_statuses(),
        leases=tuple(
            LeaseStatus(
                lease.name,
                lease.request,
                lease.agent,
                lease.token,
                lease.state,
                lease.converters,
                tuple(lease.unavailable),
            )
            for lease in ledger.open_leases()
        ),
        capacities=tuple(_capacity_status(ledger, service) for service in ledger.agreement.services),
    )


def _capacity_status(ledger: Ledger, service: str) -> CapacityStatus:
    """A service's figures."""
    capacity = ledger.capacity(service)
    return CapacityStatus(service, capacity.available, capacity.unavailable, capacity.lost, capacity.allowance)
