"""The experiments and benchmarks that come with the project, by name."""

from __future__ import annotations

from ryepier.experiments.core.contract import Benchmark, Experiment
from ryepier.experiments.faults import (
    breaking_point,
    ceiling,
    hang,
    no_length,
    release,
    second_answer,
    sidecar_kill,
    steady,
    surge,
)
from ryepier.experiments.graphql import cost, resets
from ryepier.experiments.load_spread import returning
from ryepier.experiments.load_spread import steady as load_spread
from ryepier.experiments.load_spread.processes import kill as load_spread_kill
from ryepier.experiments.load_spread.processes import lists
from ryepier.experiments.load_spread.processes import steady as load_spread_processes
from ryepier.experiments.maintenance import cut, kill, overlap
from ryepier.experiments.planners import benefit, failover, false_reports, loss, reconnection, restart
from ryepier.experiments.planners import scale as planner_scale
from ryepier.experiments.scale import call, control, depth, endpoint_list, failure
from ryepier.experiments.simulation import agreement, speed
from ryepier.experiments.slices import churn, drain
from ryepier.experiments.slices import outage as slices_outage
from ryepier.experiments.storms import after_outage, one_sidecar, real_surge
from ryepier.experiments.strangers import benchmark as strangers

EXPERIMENTS: dict[str, Experiment] = {
    experiment.name: experiment
    for experiment in (
        steady.EXPERIMENT,
        release.EXPERIMENT,
        hang.EXPERIMENT,
        surge.EXPERIMENT,
        sidecar_kill.EXPERIMENT,
        breaking_point.EXPERIMENT,
        ceiling.EXPERIMENT,
        no_length.EXPERIMENT,
        second_answer.EXPERIMENT,
        loss.EXPERIMENT,
        *failover.EXPERIMENTS,
        *restart.EXPERIMENTS,
        false_reports.EXPERIMENT,
        *benefit.EXPERIMENTS,
        drain.EXPERIMENT,
        slices_outage.EXPERIMENT,
        resets.EXPERIMENT,
        *after_outage.EXPERIMENTS,
        one_sidecar.EXPERIMENT,
        real_surge.EXPERIMENT,
        *load_spread_processes.EXPERIMENTS,
        load_spread_kill.EXPERIMENT,
        lists.EXPERIMENT,
    )
}
BENCHMARKS: dict[str, Benchmark] = {
    benchmark.name: benchmark
    for benchmark in (
        call.EXPERIMENT,
        control.EXPERIMENT,
        depth.EXPERIMENT,
        planner_scale.EXPERIMENT,
        reconnection.EXPERIMENT,
        churn.EXPERIMENT,
        cost.EXPERIMENT,
        agreement.EXPERIMENT,
        speed.EXPERIMENT,
        endpoint_list.EXPERIMENT,
        failure.EXPERIMENT,
        strangers.EXPERIMENT,
        load_spread.EXPERIMENT,
        returning.EXPERIMENT,
        overlap.EXPERIMENT,
        kill.EXPERIMENT,
        cut.EXPERIMENT,
    )
}
