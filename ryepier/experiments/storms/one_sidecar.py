"""Experiment `retry-storm-one`: the retry storm guard acts only at the sidecar whose requests are rejected.

For five seconds, converters reject all requests of one of three sidecars. The claims require that only that sidecar's
guard detects a storm, that the clients of the other sidecars lose almost no service, and that the service recovers.
"""

from __future__ import annotations

from ryepier.emulator.records import ClientAttempt
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run
from ryepier.experiments.storms import measures, worlds
from ryepier.experiments.storms.after_outage import MAX_RECOVERY_S, MAX_RETRY_AFTER_UNIFORMITY

AFFECTED_LOG = f"sidecar-{worlds.AFFECTED_SIDECAR}.log"
MIN_SERVICE = 0.97
MAX_LOST_POINTS = 0.5  # percentage points of the service level


def _is_at_other_sidecar(attempt: ClientAttempt) -> bool:
    return attempt.sidecar != worlds.AFFECTED_SIDECAR


def _claims(run: Run) -> list[Claim]:
    assert run.control is not None
    logs_with_detection = measures.logs_with_detection(run)
    service = figures.service_level(run.operations, _is_at_other_sidecar)
    lost_points = 100 * (figures.service_level(run.control.operations, _is_at_other_sidecar) - service)
    return [
        Claim("the struck sidecar's guard opened", AFFECTED_LOG in logs_with_detection, "==", 1),
        Claim("other guards that opened", len(logs_with_detection - {AFFECTED_LOG}), "==", 0),
        Claim("service of the others", service, ">=", MIN_SERVICE),
        Claim("service of the others lost to the guard (points)", lost_points, "<=", MAX_LOST_POINTS),
        Claim("time until service is back (s)", measures.recovery_s(run), "<=", MAX_RECOVERY_S),
        Claim(
            "share of refusals of one moment told the same",
            measures.retry_after_uniformity(run),
            "<=",
            MAX_RETRY_AFTER_UNIFORMITY,
        ),
    ]


EXPERIMENT = Experiment(
    name="retry-storm-one",
    description="converters turn away for 5 s what comes by one of three sidecars",
    world=worlds.rejections_for_one_sidecar,
    claims=_claims,
    seeded_faults=("no-spread",),
    control_world=worlds.without_guard,
)
