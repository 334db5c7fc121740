"""Checks that a machine has enough memory for a fleet of real sidecar processes before any of them is started."""

from __future__ import annotations

from ryepier.emulator.world import World
from ryepier.experiments.core.machine import GB, InsufficientResourcesError, MachineResources, this_machine

SIDECAR_BYTES = 36 * 2**20  # resident memory of a sidecar process
EMULATOR_BYTES = 300 * 2**20  # memory of an emulator process, which holds random draws and the records of a run


def needed_bytes(world: World) -> int:
    """Return the memory, in bytes, that all processes of a world together may need."""
    emulator_process_count = 1 + world.harness.converter_processes + world.harness.client_processes
    return world.sidecars.count * SIDECAR_BYTES + emulator_process_count * EMULATOR_BYTES


def check_memory(world: World, machine: MachineResources) -> None:
    """Raise InsufficientResourcesError if a world needs more memory than experiments may use or than is free."""
    required_bytes = needed_bytes(world)
    for limit_bytes, limit_text in ((machine.usable_bytes, "may be used"), (machine.available_bytes, "are free")):
        if required_bytes > limit_bytes:
            raise InsufficientResourcesError(
                f"{world.sidecars.count} sidecars need {required_bytes / GB:.1f} GB,"
                f" and only {limit_bytes / GB:.1f} GB {limit_text}: try --scale small"
            )


def require_memory(world: World) -> World:
    """Return the world unchanged. Raises InsufficientResourcesError if this machine has too little memory for it."""
    check_memory(world, this_machine())
    return world
