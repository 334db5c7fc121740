"""The `ryepier` command: one small module a subcommand."""

from __future__ import annotations

import click

from ryepier.commands import config, demo, emulate, experiment, load, run


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="ryepier")
def main() -> None:
    """A sidecar balancer, and the world to try it in.

    Exit codes: 0 well, 1 what was asked for does not hold, 2 misuse.
    """


main.add_command(config.config)
main.add_command(demo.demo)
main.add_command(emulate.emulate)
main.add_command(experiment.experiment)
main.add_command(load.load)
main.add_command(run.run)
