"""Experiment `planner-liar`: false reports of a few forwarders can't get healthy converters ejected by the fleet.

Three forwarders report that nearly all requests to a sixth of the converters fail. The claims require that all
forwarders follow plans, that none of the falsely reported converters is without requests for long, and a high service
level.
"""

from __future__ import annotations

import itertools

from ryepier.emulator import timeline
from ryepier.emulator.world import World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load
from ryepier.experiments.planners.followers import count_followers
from ryepier.experiments.planners.seeded_faults import FALSELY_REPORTED_INTERVAL

FALSE_REPORTER_COUNT = 3  # number of forwarders that report false failures
MEASURED_FROM_S = 3.0  # time of the run from which gaps are measured
MAX_GAP_S = 1.0  # a converter that is not reported falsely gets about ten requests per second
MIN_SERVICE = 0.98
US_PER_S = 1e6


def _world(scale: Scale) -> World:
    return load("planner-liar")


def longest_gap_s(run: Run, uid: str, since_s: float) -> float:
    """Return the longest time without an attempt at a converter, between `since_s` and the end of the run."""
    arrivals_s = [
        attempt.received_us / US_PER_S
        for attempt in run.history.converter_attempts
        if attempt.uid == uid and attempt.received_us > since_s * US_PER_S
    ]
    times_s = [since_s, *arrivals_s]
    times_s.append(max(times_s[-1], run.world.duration_s))
    return max(later - earlier for earlier, later in itertools.pairwise(times_s))


def _claims(run: Run) -> list[Claim]:
    instances = timeline.build(run.world, run.seed).instances
    falsely_reported_uids = {instance.uid for instance in instances if instance.index % FALSELY_REPORTED_INTERVAL == 0}
    gap_s = max(longest_gap_s(run, uid, MEASURED_FROM_S) for uid in falsely_reported_uids)
    return [
        Claim("forwarders that follow a plan", count_followers(run), "==", run.world.sidecars.count),
        Claim("longest time that a converter lied about had no request (s)", gap_s, "<=", MAX_GAP_S),
        Claim("service", figures.service_level(run.operations), ">=", MIN_SERVICE),
    ]


EXPERIMENT = Experiment(
    name="planner-liar",
    description="three forwarders tell planners tall tales of converters that are well",
    world=_world,
    claims=_claims,
    seeded_faults=("credulous",),
    sidecar_faults=dict.fromkeys(range(FALSE_REPORTER_COUNT), "liar"),
)
