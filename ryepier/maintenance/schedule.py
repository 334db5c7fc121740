"""The output of the scheduler: maintenance windows, and the reasons why requests are delayed or cannot be placed."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.problem import Window


@dataclass(frozen=True, slots=True)
class DelayedRequest:
    """A request whose first window starts later than its desired time.

    `limit` names the exhausted limit, `blocked_by` the window, lease or losses that use it up.
    """

    request: str
    limit: str
    blocked_by: str
    reason: str


@dataclass(frozen=True, slots=True)
class UnplacedRequest:
    """A request that cannot be done by its deadline.

    Either `late_ms` is the time by which it would miss the deadline, or `excess` is the capacity, in thousandths, by
    which it would exceed a limit. The other is 0.
    """

    request: str
    late_ms: int
    excess: int
    reason: str


@dataclass(frozen=True, slots=True)
class Schedule:
    """The planned windows. An unplaced request keeps only the windows that were already about to start."""

    windows: tuple[Window, ...] = ()
    delayed_requests: tuple[DelayedRequest, ...] = ()
    unplaced_requests: tuple[UnplacedRequest, ...] = ()
