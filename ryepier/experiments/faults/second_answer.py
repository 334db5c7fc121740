"""Experiment `second-answer`: no client gets a response that a converter wrote a second time for another request.

For most of the run all converters write a tenth of their responses twice, some milliseconds apart. The second one may
arrive only once the connection carries the next request, to which it would seem to be the response.
"""

from __future__ import annotations

from ryepier.emulator.records import ClientAttempt, RequestOutcome
from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.scaling import scale_world

MIN_SERVICE = 0.95


def _is_foreign(attempt: ClientAttempt) -> bool:
    """Return whether a client was served with the response to another request."""
    return attempt.outcome is RequestOutcome.SERVED and attempt.response_request_id != attempt.request_id


def _world(scale: Scale) -> World:
    return scale_world(load("second-answer"), scale)


def _claims(run: Run) -> list[Claim]:
    fault = fault_of_kind(run.world, FaultKind.SECOND_ANSWER)
    foreign_count = sum(_is_foreign(attempt) for attempt in run.history.client_attempts)
    service = figures.service_level(run.operations, phases.during(fault))
    return [
        Claim("responses to another request", foreign_count, "<=", 0),
        Claim("service while responses are written twice", service, ">=", MIN_SERVICE),
    ]


EXPERIMENT = Experiment(
    name="second-answer",
    description="converters write some responses twice, some milliseconds apart",
    world=_world,
    claims=_claims,
    seeded_faults=("reuse-at-once",),
)
