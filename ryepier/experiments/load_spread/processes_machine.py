"""Whether a machine can bear a fleet of real sidecar processes, asked before any is started."""

from __future__ import annotations

from ryepier.emulator.world import World
from ryepier.experiments.scale.lightweight import MOST_OF_MEMORY, InsufficientResourcesError, Machine, this_machine

SIDECAR_BYTES = 36 * 2**20  # resident, as measured in runs of seconds, and some room
EMULATOR_BYTES = 300 * 2**20  # each of its processes: the draws, and the records of a run


def needed_bytes(world: World) -> int:
    """What a world's processes hold together, at most."""
    roles = 1 + world.harness.converter_processes + world.harness.client_processes
    return world.sidecars.count * SIDECAR_BYTES + roles * EMULATOR_BYTES


def check(world: World, machine: Machine) -> None:
    """Raises InsufficientResourcesError where a world needs half of the machine's memory or more than is free."""
    needed, gigabyte = needed_bytes(world), 1e9
    most = int(machine.total_bytes * MOST_OF_MEMORY)
    for allowed, what in ((most, "may be taken"), (machine.available_bytes, "are free")):
        if needed > allowed:
            raise InsufficientResourcesError(
                f"{world.sidecars.count} sidecars need {needed / gigabyte:.1f} GB,"
                f" and only {allowed / gigabyte:.1f} GB {what}: try --scale small"
            )


def check_here(world: World) -> World:
    """The same world, if this machine can bear it."""
    check(world, this_machine())
    return world
