"""Experiment `sidecar-kill`: a killed sidecar restarts quickly, and the clients of other sidecars are not affected.

One sidecar is killed and restarted. The claims require that it is ready within two seconds, that its clients are served
again two seconds after its restart, and that the clients of the other sidecars are served during the whole run.
"""

from __future__ import annotations

from ryepier.emulator.records import ClientAttempt
from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.scaling import scale_world

MAX_START_S = 2.0
MIN_SERVICE = 0.97
US_PER_S = 1e6


def _world(scale: Scale) -> World:
    return scale_world(load("sidecar-kill"), scale)


def _claims(run: Run) -> list[Claim]:
    kill = fault_of_kind(run.world, FaultKind.SIDECAR_KILL)
    killed_sidecars = {incarnation.sidecar for incarnation in run.history.incarnations if incarnation.killed}
    restarted_incarnations = [incarnation for incarnation in run.history.incarnations if incarnation.started_us > 0]
    longest_start_s = max(
        ((incarnation.ready_us - incarnation.started_us) / US_PER_S for incarnation in restarted_incarnations),
        default=float("inf"),
    )
    is_after_recovery = phases.from_time(kill.at_s + kill.down_s + phases.RECOVERY_S, run.world)

    def is_at_other_sidecar(attempt: ClientAttempt) -> bool:
        return attempt.sidecar not in killed_sidecars

    def is_at_killed_sidecar_after_recovery(attempt: ClientAttempt) -> bool:
        return attempt.sidecar in killed_sidecars and is_after_recovery(attempt)

    service_at_other_sidecars = figures.service_level(run.operations, is_at_other_sidecar)
    service_at_killed = figures.service_level(run.operations, is_at_killed_sidecar_after_recovery)
    return [
        Claim("sidecars killed", len(killed_sidecars), ">=", 1),
        Claim("sidecars started again", len(restarted_incarnations), "==", len(killed_sidecars)),
        Claim("time to come up (s)", longest_start_s, "<=", MAX_START_S),
        Claim("service of the others' clients", service_at_other_sidecars, ">=", MIN_SERVICE),
        Claim("service of its own clients, 2 s after its start", service_at_killed, ">=", MIN_SERVICE),
    ]


EXPERIMENT = Experiment(
    name="sidecar-kill",
    description="a sidecar is killed and started again",
    world=_world,
    claims=_claims,
    seeded_faults=("late-start",),
)
