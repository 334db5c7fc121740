"""Measures evenness and bursts at the steady converters, which run and are warm during the whole run."""

from __future__ import annotations

import numpy as np

from ryepier.emulator import timeline
from ryepier.emulator.timeline import TargetKind
from ryepier.emulator.world import FaultKind
from ryepier.experiments.core.contract import Claim, Run
from ryepier.experiments.load_spread.processes import figures
from ryepier.experiments.load_spread.processes.fleets import SETTLED_AT_S

EVENNESS_WINDOW_S = 4.0
MAX_BURST_RATIO = 1.0  # highest allowed `Bursts.worst_ratio`


def steady_uids(run: Run) -> list[str]:
    """Return the uids of the converters that run from the beginning and are not replaced by a release."""
    schedule = timeline.build(run.world, run.seed)
    replaced_indices = {
        step.index for step in schedule.steps if step.target is TargetKind.CONVERTER and step.fault is FaultKind.RELEASE
    }
    return figures.steady_uids(schedule.instances, replaced_indices)


def count_starts(run: Run, begin_s: float, end_s: float, window_s: float) -> list[list[int]]:
    """Return the numbers of starts by window and steady converter, in equal windows of about `window_s`."""
    window_count = max(1, round((end_s - begin_s) / window_s))
    edges_s = np.linspace(begin_s, end_s, window_count + 1).tolist()
    return figures.count_starts(run.history.converter_attempts, steady_uids(run), edges_s)


def measure_evenness(run: Run, begin_s: float, end_s: float, window_s: float = EVENNESS_WINDOW_S) -> figures.Evenness:
    """Return the evenness at the steady converters in a part of the run."""
    return figures.measure_evenness(count_starts(run, begin_s, end_s, window_s))


def zones_of(run: Run, uids: list[str]) -> dict[str, str]:
    """Return the zones of converters, by uid."""
    instances = timeline.build(run.world, run.seed).instances
    return {instance.uid: instance.machine.group.zone for instance in instances if instance.uid in uids}


def measure_bursts(run: Run, begin_s: float = SETTLED_AT_S) -> figures.Bursts:
    """Return the bursts at the steady converters, from a time to the end of the run."""
    zones = zones_of(run, steady_uids(run))
    return figures.measure_bursts(run.history.converter_attempts, zones, begin_s, run.world.duration_s)


def burst_claims(bursts: figures.Bursts) -> list[Claim]:
    """Return the claims that no converter received a burst of attempts."""
    worst_claim_name = "most starts in 100 ms at a converter, beside a Poisson stream's in a run"
    rare_claim_name = "windows of 100 ms with more than a Poisson stream gives once in 10,000"
    return [
        Claim(worst_claim_name, bursts.worst_ratio, "<=", MAX_BURST_RATIO),
        Claim(rare_claim_name, bursts.rare_window_count, "<=", bursts.allowed_rare_window_count),
    ]


def spread_figures(run: Run, begin_s: float, end_s: float, window_s: float = EVENNESS_WINDOW_S) -> dict[str, float]:
    """Return the figures for result.json: evenness in a part of the run, and bursts and occupancy in the whole run."""
    evenness = measure_evenness(run, begin_s, end_s, window_s)
    bursts = measure_bursts(run)
    connections = figures.connection_occupancy(run.history.connections)
    executions = figures.execution_occupancy(run.history.converter_attempts)
    return {
        "variation": evenness.variation,
        "variation_by_chance": evenness.variation_by_chance,
        "variation_ratio": evenness.variation_ratio,
        "most_to_mean": evenness.highest_to_mean,
        "least_to_mean": evenness.lowest_to_mean,
        "burst_windows": bursts.window_count,
        "burst_most": bursts.highest_count,
        "burst_worst": bursts.worst_ratio,
        "burst_beyond": bursts.rare_window_count,
        "burst_beyond_by_chance": bursts.allowed_rare_window_count,
        "connections_most": connections.highest_count,
        "connections_mean": connections.mean_highest_count,
        "connections_opened": len(run.history.connections),
        "places_most": executions.highest_count,
        "places_mean": executions.mean_highest_count,
        "refused": figures.rejected_share(run.history),
        "served_in_the_end": figures.served_operations_share(run.history),
    }
