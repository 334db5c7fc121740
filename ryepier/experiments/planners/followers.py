"""Counts the forwarders that followed or rejected plans in a run, from the sidecars' logs."""

from __future__ import annotations

from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.logs import SIDECAR_LOGS, files_containing, lines_containing

FOLLOWING_MESSAGE = "following plans"  # in a sidecar's log


def count_sidecars_that_logged(run: Run, text: str) -> int:
    """Return the number of sidecars that logged a message containing `text`."""
    return len(files_containing(run.folder, SIDECAR_LOGS, text))


def count_followers(run: Run) -> int:
    """Return the number of sidecars that followed plans of any planner."""
    return count_sidecars_that_logged(run, FOLLOWING_MESSAGE)


def count_followers_of(run: Run, planner: str) -> int:
    """Return the number of sidecars that followed plans of a planner, given as `NAME` or `NAME, epoch NUMBER`."""
    return count_sidecars_that_logged(run, f"{FOLLOWING_MESSAGE} of {planner}")


def count_changes_of_planner(run: Run) -> int:
    """Return how often sidecars began to follow a planner, including their first planner."""
    return len(lines_containing(run.folder, SIDECAR_LOGS, FOLLOWING_MESSAGE))
