"""Which forwarders followed or rejected plans in a run, by the sidecars' logs."""

from __future__ import annotations

from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.logs import SIDECAR_LOGS, files_with, lines_with

FOLLOWING_MESSAGE = "following plans"


def count_sidecars_that_logged(run: Run, text: str) -> int:
    """Return how many sidecars logged a message with a text."""
    return len(files_with(run.folder, SIDECAR_LOGS, text))


def count_followers(run: Run) -> int:
    """Return how many sidecars followed any plan."""
    return count_sidecars_that_logged(run, FOLLOWING_MESSAGE)


def count_followers_of(run: Run, planner: str) -> int:
    """Return how many sidecars followed plans of a planner, given by its name or by its name and epoch."""
    return count_sidecars_that_logged(run, f"{FOLLOWING_MESSAGE} of {planner}")


def count_changes_of_planner(run: Run) -> int:
    """Return how often a sidecar began to follow a planner."""
    return len(lines_with(run.folder, SIDECAR_LOGS, FOLLOWING_MESSAGE))
