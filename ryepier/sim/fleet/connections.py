"""Model of the connections between sidecars and converters, counted as a converter observes them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ConnectionCounter:
    """Counts the connections that are open at one converter, and integrates them over time."""

    open_count: int = 0
    opened_count: int = 0  # connections opened since the counts were reset
    max_open_count: int = 0  # highest `open_count` since the counts were reset
    open_connection_us: int = 0  # integral of `open_count` over time, in connections times microseconds
    last_change_us: int = 0  # time up to which `open_connection_us` is integrated

    def record_change(self, now_us: int, delta: int) -> None:
        """Record that `delta` connections were opened at `now_us`, or closed if `delta` is negative."""
        self.open_connection_us += self.open_count * (now_us - self.last_change_us)
        self.last_change_us = now_us
        self.open_count += delta
        self.opened_count += max(0, delta)
        self.max_open_count = max(self.max_open_count, self.open_count)

    def reset_counts(self, now_us: int) -> None:
        """Reset the counts at `now_us`; open connections stay open."""
        self.record_change(now_us, 0)
        self.open_connection_us = self.opened_count = 0
        self.max_open_count = self.open_count

    def mean_open_count(self, since_us: int, now_us: int) -> float:
        """Return the mean number of open connections from the reset of the counts at `since_us` to `now_us`."""
        return (self.open_connection_us + self.open_count * (now_us - self.last_change_us)) / max(1, now_us - since_us)


@dataclass(slots=True)
class ConnectionPool:
    """One sidecar's connections to one converter.

    Each attempt in flight uses a connection of its own. The connection that has been idle longest is reused first.
    """

    counter: ConnectionCounter
    idle_since_us: list[int] = field(default_factory=list)  # when each idle connection became idle, oldest first
    busy_count: int = 0

    def acquire(self, now_us: int) -> None:
        """Take an idle connection for an attempt, or open a new connection."""
        if self.idle_since_us:
            self.idle_since_us.pop(0)
        else:
            self.counter.record_change(now_us, 1)
        self.busy_count += 1

    def release(self, now_us: int, reusable: bool) -> None:
        """Release the connection of an ended attempt: keep it as idle if it is reusable, and close it otherwise."""
        self.busy_count -= 1
        if reusable:
            self.idle_since_us.append(now_us)
        else:
            self.counter.record_change(now_us, -1)

    def close_idle(self, now_us: int, idle_before_us: int) -> None:
        """Close the connections that became idle at `idle_before_us` or earlier."""
        remaining_since_us = [since_us for since_us in self.idle_since_us if since_us > idle_before_us]
        self.counter.record_change(now_us, len(remaining_since_us) - len(self.idle_since_us))
        self.idle_since_us = remaining_since_us
