"""`graphql-cost`: how much CPU time does a request cost more when the sidecar reads GraphQL?

The same load on one sidecar, one after another: plain HTTP, GraphQL with the usual documents, and GraphQL with
documents that are never the same. Claims: the CPU time per request of each kind of GraphQL relative to plain HTTP.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from ryepier.emulator import harness
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.records import RequestOutcome
from ryepier.emulator.world import World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.experiments.core.worlds import load
from ryepier.experiments.graphql.resets import WORLD

RATE_PER_S = 1500.0
DURATION_S = 6.0
MEASURED_FROM_S = 1.5  # the sidecar is up and its caches are warm
MEASURED_TO_S = 5.5
MIN_SERVED_SHARE = 0.98
MAX_RATIO_OF_USUAL = 1.3
MAX_RATIO_OF_UNIQUE = 3.0
# values of the world file's clients.graphql
PLAIN, USUAL, UNIQUE = "no", "usual", "unique"


def _world(documents: str) -> World:
    world = load(WORLD)
    replace = msgspec.structs.replace
    fields = msgspec.to_builtins(world.clients) | {"graphql": documents, "rate_per_s": RATE_PER_S}
    clients = msgspec.convert(fields, type(world.clients))
    sidecars = replace(world.sidecars, count=1)
    return replace(world, duration_s=DURATION_S, clients=clients, faults=[], sidecars=sidecars)


def cpu_us_per_request(documents: str, seed: int, folder: Path, command: tuple[str, ...] | list[str]) -> float:
    """Run a sidecar started by a command, and return its CPU time per request in the middle of the run.

    Raises HarnessError if it served too little to tell.
    """
    roles = harness.RoleAssignment(sidecar_command=command)
    history = harness.run_world(_world(documents), seed, folder, roles)
    cpu_us = figures.cpu_us_per_request(history, 0, MEASURED_FROM_S, MEASURED_TO_S)
    served = sum(item.outcome is RequestOutcome.SERVED for item in history.client_attempts)
    if cpu_us is None or served < MIN_SERVED_SHARE * len(history.client_attempts):
        raise HarnessError("a run that served too little says nothing of what serving costs")
    return cpu_us


def measure(trial: TrialConfig) -> Measurement:
    """Measure all three kinds; a seeded fault is in the sidecar that reads the usual documents."""
    usual_command = seeded_faults.command_with_fault(trial.seeded_fault) if trial.seeded_fault else harness.FORWARDER
    commands = {PLAIN: harness.FORWARDER, USUAL: usual_command, UNIQUE: harness.FORWARDER}
    cpu_us = {
        documents: cpu_us_per_request(documents, trial.seed, trial.folder / documents, command)
        for documents, command in commands.items()
    }
    usual_ratio = cpu_us[USUAL] / cpu_us[PLAIN]
    unique_ratio = cpu_us[UNIQUE] / cpu_us[PLAIN]
    usual_name = "CPU of a request, GraphQL with usual documents over plain HTTP"
    unique_name = "CPU of a request, GraphQL with new documents over plain HTTP"
    return Measurement(
        [
            Claim(usual_name, usual_ratio, "<=", MAX_RATIO_OF_USUAL),
            Claim(unique_name, unique_ratio, "<=", MAX_RATIO_OF_UNIQUE),
        ],
        {
            "plain_us": cpu_us[PLAIN],
            "usual_us": cpu_us[USUAL],
            "unique_us": cpu_us[UNIQUE],
            "usual_ratio": usual_ratio,
            "unique_ratio": unique_ratio,
        },
    )


EXPERIMENT = Benchmark(
    name="graphql-cost",
    question="CPU of a request: plain, GraphQL with known and with new documents",
    measure=measure,
    seeded_faults=("forgetful",),
)
