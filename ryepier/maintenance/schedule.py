"""The output of the scheduler: windows, and why requests are delayed or do not fit."""

from __future__ import annotations

from dataclasses import dataclass

from ryepier.maintenance.problem import Window


@dataclass(frozen=True, slots=True)
class DelayedRequest:
    """A request whose first window is later than it asked for: by which limit, and which window or loss blocks it."""

    request: str
    limit: str
    blocked_by: str
    reason: str


@dataclass(frozen=True, slots=True)
class UnplacedRequest:
    """A request that cannot be done by its deadline, and by how much: in time, or in capacity (thousandths)."""

    request: str
    late_ms: int
    excess: int
    reason: str


@dataclass(frozen=True, slots=True)
class Schedule:
    """The plan. An unplaced request has no windows but those that were about to start when it became unplaced."""

    windows: tuple[Window, ...] = ()
    delayed_requests: tuple[DelayedRequest, ...] = ()
    unplaced_requests: tuple[UnplacedRequest, ...] = ()
