"""The `ryepier` command: one small module a subcommand, imported when it is called."""

from __future__ import annotations

import importlib

import click

# name of the command: what it does, for the list of all; its module has the function of the same name
COMMANDS = {
    "check": "Explore all that can become of a few requests at a few converters.",
    "config": "Check configuration files.",
    "demo": "Play a small world for under 30 s and write a report of it.",
    "emulate": "Run the stand-ins of a world file alone.",
    "experiment": "Play named experiments and judge them.",
    "load": "Send requests to a sidecar as its application would.",
    "maintenance": "Plan maintenance windows across regions.",
    "plan": "Show what planners say, and why.",
    "planner": "Run one planner until SIGTERM.",
    "sim": "Play worlds under virtual time, and search for faults.",
    "slices": "Follow a service's EndpointSlices, and tell why a converter is listed as it is.",
    "run": "Run one sidecar until SIGTERM.",
}


class Commands(click.Group):
    """Import a command's module when it is called, so that a sidecar does not load the plotting libraries."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Import and return a command, or None if there is none of that name."""
        if name not in COMMANDS:
            return None
        command = getattr(importlib.import_module(f"ryepier.commands.{name}"), name)
        assert isinstance(command, click.Command)
        return command

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the list of commands without importing them."""
        with formatter.section("Commands"):
            formatter.write_dl(sorted(COMMANDS.items()))


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ryepier")
def main() -> None:
    """A sidecar balancer, and the world to try it in.

    Exit codes: 0 well, 1 what was asked for does not hold, 2 misuse.
    """
