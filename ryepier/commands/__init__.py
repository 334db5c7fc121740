"""The subcommands of `ryepier`, one per module; `ryepier.cli` imports them by name."""
