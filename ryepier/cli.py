"""The `ryepier` command. Each subcommand is a module in `ryepier.commands`, imported when it is called."""

from __future__ import annotations

import importlib

import click

# help text by command name; the module ryepier.commands.NAME defines the command NAME
COMMANDS = {
    "check": "Explore every order of events of a few requests at a few converters.",
    "config": "Check configuration files.",
    "demo": "Run a small world for under 30 s and write a report of it.",
    "emulate": "Run the converters and the discovery of a world file alone.",
    "experiment": "Run named experiments and check their claims.",
    "load": "Send requests to a sidecar as its application would.",
    "maintenance": "Plan maintenance windows across regions.",
    "plan": "Show the plans of planners and the reasons behind them.",
    "planner": "Run one planner until SIGTERM.",
    "sim": "Run worlds under virtual time, and search for rule violations.",
    "slices": "Follow a service's EndpointSlices, and explain the state of a converter.",
    "run": "Run one sidecar until SIGTERM.",
}


class Commands(click.Group):
    """Imports a command's module only when it is called, so that a sidecar does not load plotting libraries."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(COMMANDS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Import and return a command; None if there is no command of this name."""
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
    """A sidecar balancer, and an emulated fleet to test it in.

    Exit codes: 0 success, 1 a claim does not hold or the work failed, 2 misuse.
    """
