"""Experiment `slices-drain`: sidecars are notified of drains although EndpointSlices contradict each other.

Every converter of the service is replaced; in a third of the drains, slices disagree about the converter. The claims
require that sidecars are notified of nearly every termination, that new converters get requests, and a high service
level.
"""

from __future__ import annotations

from ryepier.emulator.timeline import ListState
from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load

WARM_UP_S = 6.0  # a converter that started at least this long before the end of the run should have had requests
MIN_TERMINATING_CONVERTERS = 200  # converters observed as terminating, of the 204 that are replaced
MIN_NOTIFIED_SHARE = 0.95
MIN_USED_SHARE = 0.95
MIN_SERVICE = 0.97
US_PER_S = 1e6


def _world(scale: Scale) -> World:
    return load("slices-drain")


def _claims(run: Run) -> list[Claim]:
    terminating_uids = {notice.uid for notice in run.history.notices if notice.state == ListState.LEAVING}
    notified_pairs = {
        (notice.sidecar, notice.uid) for notice in run.history.notices if notice.state == ListState.LEAVING
    }
    min_notified = MIN_NOTIFIED_SHARE * len(phases.started_uids(run)) * run.world.sidecars.count
    early_started_uids = phases.started_uids(run, until_us=(run.world.duration_s - WARM_UP_S) * US_PER_S)
    used_uids = {attempt.uid for attempt in run.history.converter_attempts} & early_started_uids
    used_share = len(used_uids) / max(1, len(early_started_uids))
    used_share_claim_name = f"share in use of the converters that came up {WARM_UP_S:g} s before the end"
    service = figures.service_level(run.operations, phases.during(fault_of_kind(run.world, FaultKind.RELEASE)))
    return [
        Claim("converters seen terminating", len(terminating_uids), ">=", MIN_TERMINATING_CONVERTERS),
        Claim("terminations told to a sidecar", len(notified_pairs), ">=", min_notified),
        Claim(used_share_claim_name, used_share, ">=", MIN_USED_SHARE),
        Claim("service during the release", service, ">=", MIN_SERVICE),
    ]


EXPERIMENT = Experiment(
    name="slices-drain",
    description="204 converters are replaced; a third of the drains come with contradicting slices",
    world=_world,
    claims=_claims,
    seeded_faults=("last-writer",),
)
