"""Derives the leader's decisions from its ledger: the schedule, the next due window and the observations to record."""

from __future__ import annotations

from collections.abc import Iterable

from ryepier.maintenance.commands import FULL_WARMTH, RecordObservation
from ryepier.maintenance.ledger import Ledger
from ryepier.maintenance.observer import WarmthProbe
from ryepier.maintenance.placement import FREEZE_MS
from ryepier.maintenance.problem import Window, build_problem
from ryepier.maintenance.schedule import Schedule
from ryepier.maintenance.scheduler import make_schedule
from ryepier.maintenance.state import Lease
from ryepier.maintenance.tables import LeaseState

STATES_AWAITING_RECOVERY = (LeaseState.RETURNING, LeaseState.REVOKED)
NOT_SCHEDULED = -1  # `Planner.scheduled_index` before the first schedule


class Planner:
    """Caches the schedule of a ledger until the ledger changes. Not thread-safe: use it on the event loop only."""

    def __init__(self, ledger: Ledger, freeze_ms: int = FREEZE_MS) -> None:
        """Start with an empty schedule. Windows that start within `freeze_ms` are not moved by a new schedule."""
        self.ledger = ledger
        self.freeze_ms = freeze_ms
        self.schedule = Schedule()
        self.scheduled_index = NOT_SCHEDULED

    def current_schedule(self) -> Schedule:
        """Return the schedule as of the last applied command."""
        if self.scheduled_index != self.ledger.applied:
            self.scheduled_index = self.ledger.applied
            frozen_until_ms = self.ledger.now_ms + self.freeze_ms
            frozen_windows = [window for window in self.schedule.windows if window.start_ms < frozen_until_ms]
            self.schedule = make_schedule(build_problem(self.ledger, frozen_windows))
        return self.schedule

    def due_window(self) -> Window | None:
        """Return the first scheduled window whose start time has been reached, or None."""
        windows = self.current_schedule().windows
        return next((window for window in windows if window.start_ms <= self.ledger.now_ms), None)

    def observation_command(self, observer: str, as_of: int, probes: Iterable[WarmthProbe]) -> RecordObservation | None:
        """Return the command that records all probes that differ from the ledger or may close a lease.

        Returns None if there are none.
        """
        observations = tuple(probe.observation for probe in probes if self._is_reportable(probe))
        if not observations:
            return None
        return RecordObservation(observer, as_of + 1, as_of, observations)

    def warm_ups_to_restart(self, probes: Iterable[WarmthProbe]) -> list[str]:
        """Return the converters of released leases whose warm-up appears to have started before the lease was granted.

        Either discovery's endpoint list is outdated, or this observer did not know the region's time yet when it first
        saw the converter's incarnation. The caller must restart the warm-up of these converters: once they have been
        listed as ready for another full warm-up time, neither can be the cause.
        """
        names = []
        for probe in probes:
            lease = self._open_lease_of(probe.observation.converter)
            if lease is None or lease.state is not LeaseState.RETURNING or not probe.observation.ready:
                continue
            if probe.warm_up_started_region_ms < lease.granted_at_ms:
                names.append(probe.observation.converter)
        return names

    def _is_reportable(self, probe: WarmthProbe) -> bool:
        """Return whether a probe differs from the ledger or may close a lease, so that it has to be recorded."""
        observation = probe.observation
        lease = self._open_lease_of(observation.converter)
        if lease is not None and observation.ready:
            if lease.state is not LeaseState.REVOKED and probe.warm_up_started_region_ms < lease.granted_at_ms:
                return False
            if lease.state in STATES_AWAITING_RECOVERY and observation.warmth == FULL_WARMTH:
                return True
        observed_state = self.ledger.state.observed.get(observation.converter)
        if observed_state is None:
            return True
        return (observed_state.ready, observed_state.warmth) != (observation.ready, observation.warmth)

    def _open_lease_of(self, converter: str) -> Lease | None:
        """Return the open lease that has a converter out of service, or None."""
        leases = self.ledger.state.leases.values()
        return next((lease for lease in leases if converter in lease.unavailable), None)
