"""Figures of a run, computed from the clients' and the converters' records: service level, latencies, waste, costs.

Pure: records in, numbers out.
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

    first: ClientAttempt
    weight: float  # priority weight of its class
    earned: float  # the part of the weight that it is worth, by when it was served; 0 if too late or never
    latency_us: int | None  # from the time when the first attempt was due to the served answer; None: not served
    attempts: int


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Attempts in a part of a run: those at chosen converters, and those at all."""

    at_selected: int
    total: int

    @property
    def share(self) -> float:
        """Return the share of the attempts that went to the chosen converters."""
        return self.at_selected / max(1, self.total)


def group_operations(world: World, client_attempts: Iterable[ClientAttempt]) -> list[Operation]:
    """Group the clients' attempts into operations, in the order in which they were due."""
    groups: dict[int, list[ClientAttempt]] = {}
    for item in client_attempts:
        groups.setdefault(item.arrival, []).append(item)
    found = [_make_operation(world.classes, group) for group in groups.values()]
    return sorted(found, key=lambda operation: operation.first.planned_us)


def _make_operation(classes: list[RequestClass], attempts: list[ClientAttempt]) -> Operation:
    first = min(attempts, key=lambda item: item.number)
    request_class = classes[first.request_class]
    served_us = [item.ended_us for item in attempts if item.outcome is RequestOutcome.SERVED]
    latency_us = min(served_us) - first.planned_us if served_us else None
    earned = _earned_weight(request_class, latency_us)
    return Operation(first, request_class.priority_weight, earned, latency_us, len(attempts))


def _earned_weight(request_class: RequestClass, latency_us: int | None) -> float:
    """Return the weight within the latency objective, a part of it until the deadline, 0 later."""
    if latency_us is None or latency_us > request_class.deadline_ms * US_PER_MS:
        return 0.0
    if latency_us <= request_class.objective_ms * US_PER_MS:
        return request_class.priority_weight
    return request_class.priority_weight * request_class.late_weight


def service_level(found: Iterable[Operation], keep: Callable[[ClientAttempt], bool] = lambda item: True) -> float:
    """Return the earned share of the weight of those operations whose first attempt `keep` selects; 1 if none."""
    offered = earned = 0.0
    for operation in found:
        if keep(operation.first):
            offered += operation.weight
            earned += operation.earned
    return earned / offered if offered else 1.0


def due_between(begin_s: float, end_s: float) -> Callable[[ClientAttempt], bool]:
    """Return a filter for first attempts that were due in this part of the run, its end excluded."""
    return lambda item: begin_s * US_PER_S <= item.planned_us < end_s * US_PER_S


def latency_histogram(found: Iterable[Operation]) -> HdrHistogram:
    """Return the latencies of all served operations, in microseconds; longer ones count as `MAX_LATENCY_US`."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, LATENCY_DIGITS)
    for operation in found:
        if operation.latency_us is not None:
            histogram.record_value(min(max(1, operation.latency_us), MAX_LATENCY_US))
    return histogram


def wasted_work_share(history: History) -> float:
    """Return the share of the converters' work after which no client had an answer."""
    served = {item.request_id for item in history.client_attempts if item.outcome is RequestOutcome.SERVED}
    executed = [attempt for attempt in history.converter_attempts if attempt.started_us != NEVER]
    total_us = sum(attempt.work_us for attempt in executed)
    wasted_us = sum(attempt.work_us for attempt in executed if attempt.request_id not in served)
    return wasted_us / total_us if total_us else 0.0


def retry_after_share(client_attempts: Iterable[ClientAttempt]) -> float:
    """Return the share of rejections with a Retry-After; 1 if there were no rejections."""
    rejected = [item for item in client_attempts if item.outcome is RequestOutcome.REFUSED]
    return sum(item.retry_after_us > 0 for item in rejected) / len(rejected) if rejected else 1.0


def cpu_used_us(incarnation: Incarnation, begin_us: float = 0.0, end_us: float = float("inf")) -> int:
    """Return a sidecar's CPU time between its first and last sample in a part of the run."""
    inside = [cpu_us for at_us, cpu_us, _ in incarnation.samples if begin_us <= at_us <= end_us]
    return inside[-1] - inside[0] if inside else 0


def cpu_us_per_request(history: History, sidecar: int, begin_s: float, end_s: float) -> float | None:
    """Return a sidecar's CPU time per request sent in a part of the run; None with fewer than two samples there."""
    samples = [
        (at_us, cpu_us)
        for at_us, cpu_us, _ in history.incarnations[sidecar].samples
        if begin_s * US_PER_S <= at_us <= end_s * US_PER_S
    ]
    if len(samples) < 2:
        return None
    (begin_us, cpu_before_us), (end_us, cpu_after_us) = samples[0], samples[-1]
    requests = sum(begin_us <= item.sent_us < end_us for item in history.client_attempts)
    return (cpu_after_us - cpu_before_us) / max(1, requests)


def max_resident_mib(incarnations: Iterable[Incarnation]) -> float:
    """Return the largest resident memory of any sidecar."""
    return max((kib for incarnation in incarnations for _, _, kib in incarnation.samples), default=0) / KIB_PER_MIB


def count_attempts(attempts: Iterable[ConverterAttempt], uids: set[str], begin_s: float, end_s: float) -> AttemptCounts:
    """Count the attempts received in a part of the run, at converters with these uids and at all."""
    received_by = [item.uid for item in attempts if begin_s * US_PER_S <= item.received_us < end_s * US_PER_S]
    return AttemptCounts(sum(uid in uids for uid in received_by), len(received_by))


def summary(world: World, history: History, found: list[Operation]) -> dict[str, float]:
    """Return the figures that every experiment reports."""
    latencies = latency_histogram(found)
    endings = Counter(item.outcome for item in history.client_attempts)
    attempt_count = max(1, len(history.client_attempts))
    result = {
        "orders": float(len(found)),
        "service": service_level(found),
        "tries_per_order": len(history.client_attempts) / max(1, len(found)),
        "attempts_per_try": len(history.converter_attempts) / attempt_count,
        "waste": wasted_work_share(history),
        "sidecar_most_mib": max_resident_mib(history.incarnations),
        "emulator_p999_late_ms": max((late.p999_us for late in history.lateness), default=0) / US_PER_MS,
    }
    for percentile in PERCENTILES:
        result[f"latency_p{percentile:g}_ms"] = latencies.get_value_at_percentile(percentile) / US_PER_MS
    for ending, count in sorted(endings.items()):
        result[f"share_{ending}"] = count / attempt_count
    for index, request_class in enumerate(world.classes):
        of_class = [operation for operation in found if operation.first.request_class == index]
        result[f"service_{request_class.name}"] = service_level(of_class)
    return result
