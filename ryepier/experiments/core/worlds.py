"""The world files that come with the project."""

from __future__ import annotations

from importlib import resources

from ryepier.emulator import world as worlds
from ryepier.emulator.world import World


def load(name: str) -> World:
    """A world by the name of its file, without the ending."""
    return worlds.parse(resources.files("ryepier.worlds").joinpath(f"{name}.toml").read_text())
