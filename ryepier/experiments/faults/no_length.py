"""Experiment `no-length`: responses without a length are forwarded where their connection ends, not where it is reset.

All converters answer without a length for some seconds and end the connection after each response. Later they reset the
connections of some responses after the last byte. The claims compare the converters' records with the clients'.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from ryepier.emulator.records import NEVER, AttemptOutcome, ClientAttempt, ConverterAttempt, RequestOutcome
from ryepier.emulator.world import Effect, Fault, FaultKind, World
from ryepier.experiments.core import phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.scaling import scale_world

MIN_COMPLETE_RESPONSES = 300
MIN_CUT_RESPONSES = 50
EDGE_US = 100_000  # responses this close to the begin or end of a fault may be of the other kind
DELIVERY_US = 50_000  # a response that is complete this long before the client's deadline arrives in time


@dataclass(frozen=True, slots=True)
class ResponseCounts:
    """How many responses without a length converters wrote, and how many of them clients got."""

    complete: int
    complete_forwarded: int
    cut: int
    cut_forwarded: int


def _written_during(run: Run, kind: FaultKind, outcome: AttemptOutcome) -> list[ConverterAttempt]:
    """Return the attempts that ran and whose responses were written while a fault lasted."""
    fault: Fault = fault_of_kind(run.world, kind)
    begin_us = fault.at_s * 1e6 + EDGE_US
    end_us = phases.end_s(fault) * 1e6 - EDGE_US
    return [
        attempt
        for attempt in run.history.converter_attempts
        if attempt.outcome is outcome and attempt.finished_us != NEVER and begin_us <= attempt.ended_us < end_us
    ]


def _is_served_by(client_attempt: ClientAttempt | None, attempt: ConverterAttempt) -> bool:
    """Return whether a client got the response of this attempt."""
    return (
        client_attempt is not None
        and client_attempt.outcome is RequestOutcome.SERVED
        and client_attempt.responder_uid == attempt.uid
    )


def count_responses(run: Run) -> ResponseCounts:
    """Count responses without a length by what converters and clients recorded of them.

    Responses that come too late for their client, and those to clients that have left, are not counted.
    """
    client_attempts = {attempt.request_id: attempt for attempt in run.history.client_attempts}
    complete = [
        attempt
        for attempt in _written_during(run, FaultKind.NO_LENGTH, AttemptOutcome.ANSWERED)
        if (client_attempt := client_attempts.get(attempt.request_id)) is not None
        and client_attempt.outcome is not RequestOutcome.LEFT
        and attempt.ended_us < client_attempt.sent_us + client_attempt.deadline_us - DELIVERY_US
    ]
    cut = _written_during(run, FaultKind.NO_LENGTH_RESET, AttemptOutcome.RESET)
    complete_uids = {
        (attempt.request_id, attempt.uid)
        for attempt in run.history.converter_attempts
        if attempt.outcome is AttemptOutcome.ANSWERED
    }
    cut_forwarded = [
        attempt
        for attempt in cut
        if _is_served_by(client_attempts.get(attempt.request_id), attempt)
        and (attempt.request_id, attempt.uid) not in complete_uids  # a retry at the same converter may be complete
    ]
    return ResponseCounts(
        len(complete),
        sum(_is_served_by(client_attempts.get(attempt.request_id), attempt) for attempt in complete),
        len(cut),
        len(cut_forwarded),
    )


def _runs_beyond_the_first(run: Run) -> int:
    """Return how often requests ran again whose class must run at most once."""
    class_indexes = {
        index for index, request_class in enumerate(run.world.classes) if request_class.effect is Effect.AT_MOST_ONCE
    }
    request_ids = {
        attempt.request_id for attempt in run.history.client_attempts if attempt.request_class in class_indexes
    }
    run_counts = Counter(
        attempt.request_id
        for attempt in run.history.converter_attempts
        if attempt.request_id in request_ids and attempt.started_us != NEVER
    )
    return sum(count - 1 for count in run_counts.values())


def _world(scale: Scale) -> World:
    return scale_world(load("no-length"), scale)


def _claims(run: Run) -> list[Claim]:
    counts = count_responses(run)
    forwarded_share = counts.complete_forwarded / max(1, counts.complete)
    return [
        Claim("complete responses without a length", counts.complete, ">=", MIN_COMPLETE_RESPONSES),
        Claim("share of them that was forwarded", forwarded_share, ">=", 1.0),
        Claim("responses without a length that were reset", counts.cut, ">=", MIN_CUT_RESPONSES),
        Claim("reset responses that were forwarded", counts.cut_forwarded, "<=", 0),
        Claim("runs of a request beyond the first, where only one is allowed", _runs_beyond_the_first(run), "<=", 0),
    ]


def _extra_figures(run: Run) -> Mapping[str, float]:
    counts = count_responses(run)
    return {
        "complete_without_length": counts.complete,
        "complete_without_length_forwarded": counts.complete_forwarded,
        "reset_without_length": counts.cut,
        "reset_without_length_forwarded": counts.cut_forwarded,
    }


EXPERIMENT = Experiment(
    name="no-length",
    description="converters answer without a length and end the connection; later they reset some",
    world=_world,
    claims=_claims,
    seeded_faults=("reset-as-end", "end-as-reset"),
    extra_figures=_extra_figures,
)
