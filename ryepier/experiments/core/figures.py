"""What a run was worth and what it cost, from the clients' and the converters' notes. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from ryepier.emulator.records import NEVER, ClientAttempt, ConverterAttempt, History, Incarnation
from ryepier.emulator.world import World

LONGEST_US = 60_000_000
PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class Operation:
    """What a client wanted once: its first try and the retries that belong to it."""

    first: ClientAttempt
    worth: float
    earned: float
    latency_us: int | None  # from when the first try was due to the served answer
    tries: int


def operations(world: World, tries: Iterable[ClientAttempt]) -> list[Operation]:
    """Each first try with what became of it, by the time at which it was due."""
    groups: dict[int, list[ClientAttempt]] = {}
    for item in tries:
        groups.setdefault(item.arrival, []).append(item)
    found = []
    for group in groups.values():
        first = min(group, key=lambda item: item.number)
        kind = world.classes[first.request_class]
        ends = [item.ended_us for item in group if item.outcome == "served"]
        latency_us = min(ends) - first.planned_us if ends else None
        earned = 0.0
        if latency_us is not None and latency_us <= kind.deadline_ms * 1000:
            earned = kind.priority_weight * (1.0 if latency_us <= kind.objective_ms * 1000 else kind.late_weight)
        found.append(Operation(first, kind.priority_weight, earned, latency_us, len(group)))
    return sorted(found, key=lambda order: order.first.planned_us)


def service_level(found: Iterable[Operation], keep: Callable[[ClientAttempt], bool] = lambda item: True) -> float:
    """The worth earned over the worth asked for, of those whose first try `keep` holds; 1 where there are none."""
    asked = earned = 0.0
    for order in found:
        if keep(order.first):
            asked += order.worth
            earned += order.earned
    return earned / asked if asked else 1.0


def due_between(begin_s: float, end_s: float) -> Callable[[ClientAttempt], bool]:
    """First tries that were due in this part of the run."""
    return lambda item: begin_s * 1e6 <= item.planned_us < end_s * 1e6


def latency_histogram(found: Iterable[Operation]) -> HdrHistogram:
    """The latencies of all that were served, in microseconds, to three digits."""
    result = HdrHistogram(1, LONGEST_US, 3)
    for order in found:
        if order.latency_us is not None:
            result.record_value(min(max(1, order.latency_us), LONGEST_US))
    return result


def wasted_work_share(history: History) -> float:
    """The share of the converters' work that gave no client an answer."""
    served = {item.request_id for item in history.client_attempts if item.outcome == "served"}
    ran = [attempt for attempt in history.converter_attempts if attempt.started_us != NEVER]
    total = sum(attempt.work_us for attempt in ran)
    lost = sum(attempt.work_us for attempt in ran if attempt.request_id not in served)
    return lost / total if total else 0.0


def retry_after_share(tries: Iterable[ClientAttempt]) -> float:
    """The share of refusals that told when to come back; 1 where there were none."""
    refused = [item for item in tries if item.outcome == "refused"]
    return sum(item.retry_after_us > 0 for item in refused) / len(refused) if refused else 1.0


def cpu_used_us(life: Incarnation, begin_us: float = 0.0, end_us: float = float("inf")) -> int:
    """CPU that a life of a sidecar used between its first and last sample in a part of the run."""
    inside = [cpu for at_us, cpu, _ in life.samples if begin_us <= at_us <= end_us]
    return inside[-1] - inside[0] if inside else 0


def max_resident_mib(lives: Iterable[Incarnation]) -> float:
    """The most that any sidecar held resident."""
    return max((kib for life in lives for _, _, kib in life.samples), default=0) / 1024


def count_attempts(
    attempts: Iterable[ConverterAttempt], uids: set[str], begin_s: float, end_s: float
) -> tuple[int, int]:
    """How many attempts came to these converters in a part of the run, and to all."""
    inside = [a.uid for a in attempts if begin_s * 1e6 <= a.received_us < end_s * 1e6]
    return sum(uid in uids for uid in inside), len(inside)


def summary(world: World, history: History, found: list[Operation]) -> dict[str, float]:
    """The figures that every experiment reports."""
    latencies = latency_histogram(found)
    endings = Counter(item.outcome for item in history.client_attempts)
    tries = max(1, len(history.client_attempts))
    result = {
        "orders": float(len(found)),
        "service": service_level(found),
        "tries_per_order": len(history.client_attempts) / max(1, len(found)),
        "attempts_per_try": len(history.converter_attempts) / tries,
        "waste": wasted_work_share(history),
        "sidecar_most_mib": max_resident_mib(history.incarnations),
        "emulator_p999_late_ms": max((late.p999_us for late in history.lateness), default=0) / 1000,
    }
    result |= {
        f"latency_p{percentile:g}_ms": latencies.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    result |= {f"share_{ending}": count / tries for ending, count in sorted(endings.items())}
    result |= {
        f"service_{kind.name}": service_level(found, lambda item, i=i: item.request_class == i)  # type: ignore[misc]
        for i, kind in enumerate(world.classes)
    }
    return result
