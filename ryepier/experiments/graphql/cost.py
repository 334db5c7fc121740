"""Benchmark `graphql-cost`: CPU time per request of a sidecar that parses GraphQL, relative to plain HTTP.

One sidecar gets the same load in three runs: as plain HTTP, as GraphQL with recurring documents, and as GraphQL with
documents that never recur. The claims bound the CPU time per request of both kinds of GraphQL, relative to plain HTTP.
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
from ryepier.experiments.graphql.resets import WORLD_NAME

RATE_PER_S = 1500.0
DURATION_S = 6.0
MEASURED_FROM_S = 1.5  # time of the run by which the sidecar has started and its caches are warm
MEASURED_TO_S = 5.5
MIN_SERVED_SHARE = 0.98
# limits on the CPU time per request relative to plain HTTP, for recurring documents and for documents that never recur
MAX_USUAL_RATIO = 1.3
MAX_UNIQUE_RATIO = 3.0
# values of the world file's clients.graphql
PLAIN, USUAL, UNIQUE = "no", "usual", "unique"


def _world(document_kind: str) -> World:
    world = load(WORLD_NAME)
    replace = msgspec.structs.replace
    fields = msgspec.to_builtins(world.clients) | {"graphql": document_kind, "rate_per_s": RATE_PER_S}
    clients = msgspec.convert(fields, type(world.clients))
    sidecars = replace(world.sidecars, count=1)
    return replace(world, duration_s=DURATION_S, clients=clients, faults=[], sidecars=sidecars)


def cpu_us_per_request(document_kind: str, seed: int, folder: Path, command: tuple[str, ...] | list[str]) -> float:
    """Run a sidecar with the given command, and return its CPU time per request in the middle of the run.

    Raises HarnessError if the run served fewer than `MIN_SERVED_SHARE` of the requests.
    """
    roles = harness.RoleAssignment(sidecar_command=command)
    history = harness.run_world(_world(document_kind), seed, folder, roles)
    cpu_us = figures.cpu_us_per_request(history, 0, MEASURED_FROM_S, MEASURED_TO_S)
    served_count = sum(attempt.outcome is RequestOutcome.SERVED for attempt in history.client_attempts)
    if cpu_us is None or served_count < MIN_SERVED_SHARE * len(history.client_attempts):
        raise HarnessError("too few requests were served for a measurement of the CPU time per request")
    return cpu_us


def measure(trial: TrialConfig) -> Measurement:
    """Measure all three kinds of requests. A seeded fault applies only to the run with recurring documents."""
    recurring_documents_command = (
        seeded_faults.command_with_fault(trial.seeded_fault) if trial.seeded_fault else harness.FORWARDER_COMMAND
    )
    commands = {PLAIN: harness.FORWARDER_COMMAND, USUAL: recurring_documents_command, UNIQUE: harness.FORWARDER_COMMAND}
    cpu_us = {
        document_kind: cpu_us_per_request(document_kind, trial.seed, trial.folder / document_kind, command)
        for document_kind, command in commands.items()
    }
    usual_ratio = cpu_us[USUAL] / cpu_us[PLAIN]
    unique_ratio = cpu_us[UNIQUE] / cpu_us[PLAIN]
    usual_claim_name = "CPU of a request, GraphQL with usual documents over plain HTTP"
    unique_claim_name = "CPU of a request, GraphQL with new documents over plain HTTP"
    return Measurement(
        [
            Claim(usual_claim_name, usual_ratio, "<=", MAX_USUAL_RATIO),
            Claim(unique_claim_name, unique_ratio, "<=", MAX_UNIQUE_RATIO),
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
    description="CPU of a request: plain, GraphQL with known and with new documents",
    measure=measure,
    seeded_faults=("forgetful",),
)
