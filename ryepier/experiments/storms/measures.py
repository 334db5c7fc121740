"""Measures a run's recovery from an outage, the rejections until the recovery, and the detected retry storms."""

from __future__ import annotations

from collections import Counter, defaultdict

import numpy as np

from ryepier.emulator.records import ClientAttempt, RequestOutcome
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Run
from ryepier.experiments.core.logs import SIDECAR_LOGS, files_containing, lines_containing
from ryepier.experiments.storms.outage import find_outage

WINDOW_S = 1.0
WINDOW_STEP_S = WINDOW_S / 2
MIN_SERVICE = 0.95  # a window with at least this service level counts as recovered
MIN_OBSERVED_S = 2.0  # minimum time after the outage over which rejections are counted
# Rejections by the same sidecar in the same period of this length are compared with each other. A sidecar's retry storm
# guard updates the Retry-After times at this interval, so the same times apply to all rejections of a period.
GROUPING_PERIOD_US = 200_000
RETRY_AFTER_BIN_US = 50_000  # Retry-After times in the same bin count as equal
MIN_GROUP_SIZE = 20  # groups with fewer rejections are ignored, as they are too small to be significant
STORM_DETECTED_MESSAGE = "a retry storm opens"  # in a sidecar's log
US_PER_S = 1e6


def recovery_s(run: Run) -> float:
    """Return the time from the outage's end until the service level reaches `MIN_SERVICE` and stays there.

    An operation counts in the window of its first attempt, whenever its retries are served. Without a recovery, the
    result is the time from the outage's end to the end of the run.
    """
    end_s = find_outage(run.world).end_s
    window_starts_s = np.arange(end_s, run.world.duration_s - WINDOW_S, WINDOW_STEP_S).tolist()
    recovered_at_s = run.world.duration_s
    for begin_s in reversed(window_starts_s):
        is_inside = figures.due_between(begin_s, begin_s + WINDOW_S)
        if figures.service_level(run.operations, is_inside) < MIN_SERVICE:
            break
        recovered_at_s = begin_s
    return float(recovered_at_s - end_s)


def rejected_share(run: Run, retries: bool) -> float:
    """Return the share of the first attempts that were rejected between the outage's end and the recovery.

    With `retries`, return the share of the retries instead.
    """
    begin_s = find_outage(run.world).end_s
    end_s = begin_s + max(MIN_OBSERVED_S, recovery_s(run))
    outcomes = [
        attempt.outcome
        for attempt in run.history.client_attempts
        if (attempt.number > 0) is retries and begin_s * US_PER_S <= attempt.sent_us < end_s * US_PER_S
    ]
    return outcomes.count(RequestOutcome.REFUSED) / max(1, len(outcomes))


def retry_after_uniformity(run: Run) -> float:
    """Return how uniform the Retry-After times of simultaneous rejections are; at 1, all clients retry simultaneously.

    Rejections are grouped by sidecar, by `GROUPING_PERIOD_US`, and by first attempt or retry. For each group, the
    largest share whose Retry-After times are in the same bin is determined. The result is the mean of these shares, or
    1 if there are no groups.
    """
    groups: dict[tuple[int, int, bool], list[ClientAttempt]] = defaultdict(list)
    for attempt in run.history.client_attempts:
        if attempt.outcome is RequestOutcome.REFUSED and attempt.retry_after_us:
            groups[attempt.sidecar, attempt.ended_us // GROUPING_PERIOD_US, attempt.number > 0].append(attempt)
    shares = []
    for group in groups.values():
        if len(group) >= MIN_GROUP_SIZE:
            bins = Counter(attempt.retry_after_us // RETRY_AFTER_BIN_US for attempt in group)
            shares.append(max(bins.values()) / len(group))
    return float(np.mean(shares)) if shares else 1.0


def count_detections(run: Run) -> int:
    """Return how often a sidecar's guard detected a retry storm."""
    return len(lines_containing(run.folder, SIDECAR_LOGS, STORM_DETECTED_MESSAGE))


def logs_with_detection(run: Run) -> set[str]:
    """Return the names of the logs of the sidecars whose guard detected a retry storm."""
    return files_containing(run.folder, SIDECAR_LOGS, STORM_DETECTED_MESSAGE)
