"""Loads the world files that come with the project."""

from __future__ import annotations

from importlib import resources

from ryepier.emulator import world as worlds
from ryepier.emulator.world import Fault, World


def load(name: str) -> World:
    """Return the world of the file `name`.toml. Raises FileNotFoundError if there is no such file."""
    return worlds.parse(resources.files("ryepier.worlds").joinpath(f"{name}.toml").read_text())


def fault_of_kind(world: World, kind: str) -> Fault:
    """Return the world's first fault of a kind. Raises StopIteration if it has none."""
    return next(fault for fault in world.faults if fault.kind == kind)
