"""Summarizes a run in the figures by which runs are compared."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.emulator.records import History
from ryepier.emulator.world import World
from ryepier.experiments.core import figures, judge

US_PER_MS = 1000


@dataclass(frozen=True, slots=True)
class RunSummary:
    """The figures of one run; `service` is the service level, and `breaches` is the number of rule violations."""

    service: float
    p50_ms: float
    p99_ms: float
    attempts_per_request: float
    requests: int
    breaches: int

    def as_figures(self, prefix: str, suffix: str) -> dict[str, float]:
        """Return the figures for result.json, with `prefix` and `suffix` added to their names."""
        return {
            f"{prefix}service{suffix}": self.service,
            f"{prefix}p50_ms{suffix}": self.p50_ms,
            f"{prefix}p99_ms{suffix}": self.p99_ms,
            f"{prefix}attempts_per_try{suffix}": self.attempts_per_request,
            f"{prefix}tries{suffix}": self.requests,
            f"{prefix}breaches{suffix}": self.breaches,
        }


def summarize(world: World, history: History) -> RunSummary:
    """Return the summary of a run."""
    operations = figures.group_operations(world, history.client_attempts)
    latencies = figures.latency_histogram(operations)
    requests = len(history.client_attempts)
    return RunSummary(
        service=figures.service_level(operations),
        p50_ms=latencies.get_value_at_percentile(50) / US_PER_MS,
        p99_ms=latencies.get_value_at_percentile(99) / US_PER_MS,
        attempts_per_request=len(history.converter_attempts) / max(1, requests),
        requests=requests,
        breaches=len(judge.find_breaches(world, history)),
    )
