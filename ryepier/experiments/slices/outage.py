"""Experiment `slices-outage`: a fleet keeps serving while the API server is down, and catches up afterwards.

The API server is down for 10 s while converters are replaced, and restarts without its earlier revisions. The claims
require a high service level during and after the outage, that all sidecars soon have the new list, and that they send
no attempts to removed converters once they have it.
"""

from __future__ import annotations

from ryepier.emulator import timeline
from ryepier.emulator.timeline import FaultAction
from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load

LIST_UPDATE_MARGIN_S = 0.5  # time allowed for the use of a list after the last sidecar received it
MIN_OBSERVED_S = 1.0  # minimum time at the run's end over which the service level is computed
MIN_SERVICE_DURING = 0.97
MIN_SERVICE_AFTER = 0.98
MAX_CATCH_UP_S = 11.0
MAX_SHARE_TO_REMOVED = 0.0
FAR_FUTURE_US = 1 << 60  # later than the end of any run
US_PER_S = 1e6
US_PER_MS = 1000


def _world(scale: Scale) -> World:
    return load("slices-outage")


def catch_up_s(run: Run) -> float:
    """Return the time from the API server's restart until all sidecars have a list; infinite if a sidecar got none."""
    returned_at_us = phases.end_s(fault_of_kind(run.world, FaultKind.DISCOVERY_DOWN)) * US_PER_S
    first_notice_us: dict[int, int] = {}
    for notice in run.history.notices:
        if notice.at_us >= returned_at_us:
            first_notice_us.setdefault(notice.sidecar, notice.at_us)
    if len(first_notice_us) < run.world.sidecars.count:
        return float("inf")
    return (max(first_notice_us.values()) - returned_at_us) / US_PER_S


def share_to_removed(run: Run, since_s: float) -> float:
    """Return the share of attempts after `since_s` that drained converters received too late.

    An attempt is too late if it arrives later after the start of the drain than the longest delay of discovery plus the
    grace period. Attempts at an address where no process listens any more are not recorded, and thus not counted.
    """
    steps = timeline.build(run.world, run.seed).steps
    drained_at_us = {step.uid: step.at_us for step in steps if step.action is FaultAction.DRAIN}
    attempts = [attempt for attempt in run.history.converter_attempts if attempt.first_byte_us > since_s * US_PER_S]
    allowed_delay_us = (run.world.discovery.notice_delay_ms[1] + run.world.sidecars.drain_grace_ms) * US_PER_MS
    late_count = sum(
        attempt.first_byte_us > drained_at_us.get(attempt.uid, FAR_FUTURE_US) + allowed_delay_us for attempt in attempts
    )
    return late_count / max(1, len(attempts))


def _claims(run: Run) -> list[Claim]:
    outage = fault_of_kind(run.world, FaultKind.DISCOVERY_DOWN)
    catch_up_time_s = catch_up_s(run)
    up_to_date_at_s = phases.end_s(outage) + catch_up_time_s + LIST_UPDATE_MARGIN_S
    measured_from_s = min(up_to_date_at_s, run.world.duration_s - MIN_OBSERVED_S)
    service_during = figures.service_level(run.operations, phases.during(outage))
    service_after = figures.service_level(run.operations, phases.from_time(measured_from_s, run.world))
    removed_share = share_to_removed(run, up_to_date_at_s)
    removed_share_claim_name = "share of attempts to converters that are gone, from then on"
    return [
        Claim("service while the API server is away", service_during, ">=", MIN_SERVICE_DURING),
        Claim("time until all sidecars have the new list (s)", catch_up_time_s, "<=", MAX_CATCH_UP_S),
        Claim("service from then on", service_after, ">=", MIN_SERVICE_AFTER),
        Claim(removed_share_claim_name, removed_share, "<=", MAX_SHARE_TO_REMOVED),
    ]


EXPERIMENT = Experiment(
    name="slices-outage",
    description="the API server is away for 10 s and comes back compacted, converters going meanwhile",
    world=_world,
    claims=_claims,
    seeded_faults=("never-again",),
)
