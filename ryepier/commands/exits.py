"""Exit codes of the `ryepier` command, and a function to exit with one of them."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn


class ExitCode(IntEnum):
    """The exit codes of all commands."""

    SUCCESS = 0
    FAILURE = 1  # a claim does not hold, a rule is broken, or the work could not be done
    MISUSE = 2  # an invalid option or file, or a machine without the required resources


def fail(command: str, reason: object, exit_code: ExitCode) -> NoReturn:
    """Print `ryepier COMMAND: REASON` to standard error and exit."""
    print(f"ryepier {command}: {reason}", file=sys.stderr)
    sys.exit(exit_code)
