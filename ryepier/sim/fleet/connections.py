"""The connections from one sidecar to one converter, as the converter observes them."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ConnectionCounter:
    """Connections open at one converter, integrated over time."""

    open: int = 0
    opened: int = 0
    max_open: int = 0
    open_us: int = 0  # connections times microseconds
    changed_us: int = 0

    def change(self, now_us: int, by: int) -> None:
        """Record that `by` connections were opened at `now_us`, or closed if it is negative."""
        self.open_us += self.open * (now_us - self.changed_us)
        self.changed_us = now_us
        self.open += by
        self.opened += max(0, by)
        self.max_open = max(self.max_open, self.open)

    def reset_counts(self, now_us: int) -> None:
        """Restart the counts at `now_us`; open connections stay open."""
        self.change(now_us, 0)
        self.open_us = self.opened = 0
        self.max_open = self.open

    def mean_open(self, since_us: int, now_us: int) -> float:
        """Return the mean number of open connections since the counts were restarted."""
        return (self.open_us + self.open * (now_us - self.changed_us)) / max(1, now_us - since_us)


@dataclass(slots=True)
class ConnectionPool:
    """One sidecar's connections to one converter: one a request; the longest idle one is used first."""

    counter: ConnectionCounter
    idle_since_us: list[int] = field(default_factory=list)  # oldest first
    busy: int = 0

    def acquire(self, now_us: int) -> None:
        """Begin a request on an idle connection, or on a new one."""
        if self.idle_since_us:
            self.idle_since_us.pop(0)
        else:
            self.counter.change(now_us, 1)
        self.busy += 1

    def release(self, now_us: int, reusable: bool) -> None:
        """End a request; its connection becomes idle if it was answered, and is closed otherwise."""
        self.busy -= 1
        if reusable:
            self.idle_since_us.append(now_us)
        else:
            self.counter.change(now_us, -1)

    def close_idle(self, now_us: int, idle_before_us: int) -> None:
        """Close the connections that have been idle since `idle_before_us` or longer."""
        remaining = [since_us for since_us in self.idle_since_us if since_us > idle_before_us]
        self.counter.change(now_us, len(remaining) - len(self.idle_since_us))
        self.idle_since_us = remaining
