"""Whether a machine has the memory for a fleet of real sidecar processes, checked before any is started."""

from __future__ import annotations

from ryepier.emulator.world import World
from ryepier.experiments.core.machine import GB, InsufficientResourcesError, MachineResources, this_machine

SIDECAR_BYTES = 36 * 2**20  # resident
EMULATOR_BYTES = 300 * 2**20  # of each of its processes: the draws, and the records of a run


def needed_bytes(world: World) -> int:
    """Return the most memory that a world's processes hold together."""
    emulator_processes = 1 + world.harness.converter_processes + world.harness.client_processes
    return world.sidecars.count * SIDECAR_BYTES + emulator_processes * EMULATOR_BYTES


def check(world: World, machine: MachineResources) -> None:
    """Raise InsufficientResourcesError if a world needs more memory than may be used, or than is free."""
    needed = needed_bytes(world)
    for allowed, text in ((machine.usable_bytes, "may be taken"), (machine.available_bytes, "are free")):
        if needed > allowed:
            raise InsufficientResourcesError(
                f"{world.sidecars.count} sidecars need {needed / GB:.1f} GB,"
                f" and only {allowed / GB:.1f} GB {text}: try --scale small"
            )


def check_here(world: World) -> World:
    """Return the same world if this machine has the memory for it. Raises InsufficientResourcesError."""
    check(world, this_machine())
    return world
