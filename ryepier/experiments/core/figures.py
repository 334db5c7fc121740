"""Computes the figures of a run from the records of clients and converters: service level, latency, waste, CPU time.

All functions are pure: they take records and return numbers.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from ryepier.emulator.records import NEVER, ClientAttempt, ConverterAttempt, History, Incarnation, RequestOutcome
from ryepier.emulator.world import RequestClass, World

MAX_LATENCY_US = 60_000_000
LATENCY_DIGITS = 3  # significant digits of the histogram
PERCENTILES = (50.0, 99.0, 99.9)
US_PER_S = 1_000_000
US_PER_MS = 1000
KIB_PER_MIB = 1024


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a client: its first attempt with the retries that belong to it."""

    first_attempt: ClientAttempt
    weight: float  # priority weight of the operation's class
    earned_weight: float  # the part of `weight` that the latency earns; 0 if served too late or never
    latency_us: int | None  # time from the planned first attempt to the served answer; None if it was never served
    attempt_count: int  # number of attempts of the client, including the first


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Numbers of attempts in a part of a run: at selected converters, and at all converters."""

    at_selected: int
    total: int

    @property
    def share(self) -> float:
        """Return the share of the attempts that went to the selected converters."""
        return self.at_selected / max(1, self.total)


def group_operations(world: World, client_attempts: Iterable[ClientAttempt]) -> list[Operation]:
    """Group the clients' attempts into operations, ordered by the planned time of the first attempt."""
    attempts_by_arrival: dict[int, list[ClientAttempt]] = {}
    for attempt in client_attempts:
        attempts_by_arrival.setdefault(attempt.arrival, []).append(attempt)
    operations = [_make_operation(world.classes, attempts) for attempts in attempts_by_arrival.values()]
    return sorted(operations, key=lambda operation: operation.first_attempt.planned_us)


def _make_operation(classes: list[RequestClass], attempts: list[ClientAttempt]) -> Operation:
    first_attempt = min(attempts, key=lambda attempt: attempt.number)
    request_class = classes[first_attempt.request_class]
    served_at_us = [attempt.ended_us for attempt in attempts if attempt.outcome is RequestOutcome.SERVED]
    latency_us = min(served_at_us) - first_attempt.planned_us if served_at_us else None
    earned_weight = _earned_weight(request_class, latency_us)
    return Operation(first_attempt, request_class.priority_weight, earned_weight, latency_us, len(attempts))


def _earned_weight(request_class: RequestClass, latency_us: int | None) -> float:
    """Return the full weight within the latency objective, a part of it until the deadline, and 0 afterwards."""
    if latency_us is None or latency_us > request_class.deadline_ms * US_PER_MS:
        return 0.0
    if latency_us <= request_class.objective_ms * US_PER_MS:
        return request_class.priority_weight
    return request_class.priority_weight * request_class.late_weight


def service_level(
    operations: Iterable[Operation], is_included: Callable[[ClientAttempt], bool] = lambda attempt: True
) -> float:
    """Return the earned share of the weight of the operations that `is_included` selects; 1 if there are none."""
    offered_weight = earned_weight = 0.0
    for operation in operations:
        if is_included(operation.first_attempt):
            offered_weight += operation.weight
            earned_weight += operation.earned_weight
    return earned_weight / offered_weight if offered_weight else 1.0


def due_between(begin_s: float, end_s: float) -> Callable[[ClientAttempt], bool]:
    """Return a filter for first attempts planned between two times of the run; the end is exclusive."""
    return lambda attempt: begin_s * US_PER_S <= attempt.planned_us < end_s * US_PER_S


def latency_histogram(operations: Iterable[Operation]) -> HdrHistogram:
    """Return a histogram of the served operations' latencies in microseconds, capped at `MAX_LATENCY_US`."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
    for operation in operations:
        if operation.latency_us is not None:
            histogram.record_value(min(max(1, operation.latency_us), MAX_LATENCY_US))
    return histogram


def wasted_work_share(history: History) -> float:
    """Return the share of the converters' work that was spent on requests whose client got no served answer."""
    served_ids = {attempt.request_id for attempt in history.client_attempts if attempt.outcome is RequestOutcome.SERVED}
    executed_attempts = [attempt for attempt in history.converter_attempts if attempt.started_us != NEVER]
    total_us = sum(attempt.work_us for attempt in executed_attempts)
    wasted_us = sum(attempt.work_us for attempt in executed_attempts if attempt.request_id not in served_ids)
    return wasted_us / total_us if total_us else 0.0


def retry_after_share(client_attempts: Iterable[ClientAttempt]) -> float:
    """Return the share of rejections that carry a Retry-After; 1 if there were no rejections."""
    rejected_attempts = [attempt for attempt in client_attempts if attempt.outcome is RequestOutcome.REFUSED]
    return (
        sum(attempt.retry_after_us > 0 for attempt in rejected_attempts) / len(rejected_attempts)
        if rejected_attempts
        else 1.0
    )


def cpu_used_us(incarnation: Incarnation, begin_us: float = 0.0, end_us: float = float("inf")) -> int:
    """Return a sidecar's CPU time between the first and last sample in a part of the run; 0 without samples there."""
    cpu_readings_us = [cpu_us for at_us, cpu_us, _ in incarnation.samples if begin_us <= at_us <= end_us]
    return cpu_readings_us[-1] - cpu_readings_us[0] if cpu_readings_us else 0


def cpu_us_per_request(history: History, sidecar: int, begin_s: float, end_s: float) -> float | None:
    """Return a sidecar's CPU time in a part of the run, divided by the number of requests that all clients sent in it.

    Returns None if there are fewer than two samples in this part of the run.
    """
    samples = [
        (at_us, cpu_us)
        for at_us, cpu_us, _ in history.incarnations[sidecar].samples
        if begin_s * US_PER_S <= at_us <= end_s * US_PER_S
    ]
    if len(samples) < 2:
        return None
    (begin_us, cpu_before_us), (end_us, cpu_after_us) = samples[0], samples[-1]
    request_count = sum(begin_us <= attempt.sent_us < end_us for attempt in history.client_attempts)
    return (cpu_after_us - cpu_before_us) / max(1, request_count)


def max_resident_mib(incarnations: Iterable[Incarnation]) -> float:
    """Return the largest resident memory of any sidecar in MiB, or 0 without samples."""
    return max((kib for incarnation in incarnations for _, _, kib in incarnation.samples), default=0) / KIB_PER_MIB


def count_attempts(attempts: Iterable[ConverterAttempt], uids: set[str], begin_s: float, end_s: float) -> AttemptCounts:
    """Count the attempts received between two times of the run, at the converters with these uids and in total."""
    receiving_uids = [
        attempt.uid for attempt in attempts if begin_s * US_PER_S <= attempt.received_us < end_s * US_PER_S
    ]
    return AttemptCounts(sum(uid in uids for uid in receiving_uids), len(receiving_uids))


def summary(world: World, history: History, operations: list[Operation]) -> dict[str, float]:
    """Return the figures that every experiment reports."""
    latencies = latency_histogram(operations)
    outcomes = Counter(attempt.outcome for attempt in history.client_attempts)
    attempt_count = max(1, len(history.client_attempts))
    values = {
        "orders": float(len(operations)),
        "service": service_level(operations),
        "tries_per_order": len(history.client_attempts) / max(1, len(operations)),
        "attempts_per_try": len(history.converter_attempts) / attempt_count,
        "waste": wasted_work_share(history),
        "sidecar_most_mib": max_resident_mib(history.incarnations),
        "emulator_p999_late_ms": max((lateness.p999_us for lateness in history.lateness), default=0) / US_PER_MS,
    }
    for percentile in PERCENTILES:
        values[f"latency_p{percentile:g}_ms"] = latencies.get_value_at_percentile(percentile) / US_PER_MS
    for outcome, count in sorted(outcomes.items()):
        values[f"share_{outcome}"] = count / attempt_count
    for index, request_class in enumerate(world.classes):
        class_operations = [operation for operation in operations if operation.first_attempt.request_class == index]
        values[f"service_{request_class.name}"] = service_level(class_operations)
    return values
