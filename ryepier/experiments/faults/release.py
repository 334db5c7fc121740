"""Experiment `release`: clients are not affected by a rolling release of all converters.

All converters drain, stop and are replaced by cold ones in turn, while discovery watches break. The claims require that
sidecars are notified of nearly every drain, that every new converter gets requests, and a high service level.
"""

from __future__ import annotations

from ryepier.emulator.timeline import ListState
from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.scaling import scale_world

MIN_NOTIFIED_SHARE = 0.9  # share of the pairs of drain and sidecar; a sidecar may miss drains while its watch is broken
MIN_SERVICE = 0.95


def _world(scale: Scale) -> World:
    return scale_world(load("release"), scale)


def _claims(run: Run) -> list[Claim]:
    release = fault_of_kind(run.world, FaultKind.RELEASE)
    started_uids = phases.started_uids(run)
    used_uids = {attempt.uid for attempt in run.history.converter_attempts} & started_uids
    drain_notice_count = sum(notice.state == ListState.LEAVING for notice in run.history.notices)
    service = figures.service_level(run.operations, phases.during(release))
    return [
        Claim(
            "drains told of",
            drain_notice_count,
            ">=",
            len(started_uids) * run.world.sidecars.count * MIN_NOTIFIED_SHARE,
        ),
        Claim("share of fresh converters in use", len(used_uids) / max(1, len(started_uids)), ">=", 1.0),
        Claim("service during the release", service, ">=", MIN_SERVICE),
    ]


EXPERIMENT = Experiment(
    name="release",
    description="all converters are replaced in turn while watches break",
    world=_world,
    claims=_claims,
    seeded_faults=("deaf", "crowd"),
)
