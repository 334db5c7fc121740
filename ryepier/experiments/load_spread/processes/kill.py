"""`load-spread-kill`: is the load even again after a third of the sidecars was killed at once?

A third of sixty sidecars (full scale: 200) is killed and restarted together. Claims: the clients of the other sidecars
are served, those of the restarted sidecars are served once these are ready, and the restarted sidecars do not all send
to the same converters.
"""

from __future__ import annotations

from collections.abc import Mapping

from ryepier.emulator.records import Incarnation
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run
from ryepier.experiments.load_spread.processes import fleets, measures

BASELINE_BEGIN_S = 1.0  # time at which the measurement of evenness before the kill begins
RETRY_GRACE_US = 1_000_000  # time after a restart for clients to retry attempts that reached no sidecar
MIN_SERVICE_LEVEL = 0.97
US_PER_S = 1e6


def restarted_incarnations(run: Run) -> list[Incarnation]:
    """Return the incarnations of sidecars that were started again after a kill."""
    return [incarnation for incarnation in run.history.incarnations if incarnation.started_us > 0]


def recovery_deadline_s(run: Run) -> float:
    """Return the time at which the load must be even again, which is `RECOVERY_S` after the last sidecar was ready.

    It is at least one evenness window before the end of the run.
    """
    last_ready_s = max(incarnation.ready_us for incarnation in run.history.incarnations) / US_PER_S
    return min(last_ready_s + fleets.RECOVERY_S, run.world.duration_s - measures.EVENNESS_WINDOW_S)


def service_of_survivors(run: Run, killed_sidecars: set[int]) -> float:
    """Return the service level of the clients whose sidecars were not killed."""
    return figures.service_level(run.operations, lambda operation: operation.sidecar not in killed_sidecars)


def service_of_restarted(run: Run) -> float:
    """Return the service level of the restarted sidecars' clients, from `RETRY_GRACE_US` after a sidecar was ready."""
    ready_us_by_sidecar = {
        incarnation.sidecar: incarnation.ready_us + RETRY_GRACE_US for incarnation in restarted_incarnations(run)
    }
    run_end_us = run.world.duration_s * US_PER_S
    return figures.service_level(
        run.operations, lambda operation: operation.planned_us >= ready_us_by_sidecar.get(operation.sidecar, run_end_us)
    )


def _figures(run: Run) -> Mapping[str, float]:
    evenness_before_kill = measures.measure_evenness(run, BASELINE_BEGIN_S, fleets.KILL_AT_S)
    start_durations_s = [
        (incarnation.ready_us - incarnation.started_us) / US_PER_S for incarnation in restarted_incarnations(run)
    ]
    return measures.spread_figures(run, recovery_deadline_s(run), run.world.duration_s) | {
        "variation_ratio_before": evenness_before_kill.variation_ratio,
        "up_after_s": max(start_durations_s, default=float("inf")),
    }


def _claims(run: Run) -> list[Claim]:
    killed_sidecars = {incarnation.sidecar for incarnation in run.history.incarnations if incarnation.killed}
    min_killed_count = run.world.sidecars.count / 3
    return [
        Claim("sidecars killed at once", len(killed_sidecars), ">=", min_killed_count),
        Claim("sidecars started again", len(restarted_incarnations(run)), "==", len(killed_sidecars)),
        Claim("service of the others' clients", service_of_survivors(run, killed_sidecars), ">=", MIN_SERVICE_LEVEL),
        Claim("service of their own, 1 s after their start", service_of_restarted(run), ">=", MIN_SERVICE_LEVEL),
        *measures.burst_claims(measures.measure_bursts(run)),
    ]


EXPERIMENT = Experiment(
    name="load-spread-kill",
    description="a third of 60 sidecars (full: 200) killed and started again at once",
    world=fleets.fleet_with_kill,
    claims=_claims,
    seeded_faults=("same-seed",),
    extra_figures=_figures,
)
