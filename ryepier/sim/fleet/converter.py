"""A model converter: places that work in parallel, a first-come queue before them, and a journal."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ryepier.sim.fleet.connections import ConnectionCounter


@dataclass(slots=True)
class Job:
    """One attempt at a converter."""

    sidecar: int
    request: int
    attempt: int
    work_us: int  # on a warm converter
    received_us: int
    abandoned: bool = False  # its sidecar waits no longer


@dataclass(slots=True)
class Converter:
    """A converter and what it has written down."""

    ident: int
    places: int
    queue_limit: int
    up: bool = True
    started_us: int = 0  # its last start; 0 = long ago
    working: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    received_us: list[int] = field(default_factory=list)  # when each request came, also those turned away
    rejected: int = 0
    connections: ConnectionCounter = field(default_factory=ConnectionCounter)

    @property
    def load(self) -> int:
        """Requests in work and waiting."""
        return len(self.working) + len(self.queue)

    def receive(self, job: Job) -> bool:
        """Take a request in; False if it is turned away as the queue is full."""
        self.received_us.append(job.received_us)
        if len(self.working) >= self.places and len(self.queue) >= self.queue_limit:
            self.rejected += 1
            return False
        self.queue.append(job)
        return True

    def begin_next(self) -> Job | None:
        """The next job to begin on a free place, if there are both. Abandoned ones are dropped."""
        while self.queue and len(self.working) < self.places:
            job = self.queue.popleft()
            if not job.abandoned:
                self.working.append(job)
                return job
        return None

    def stop(self) -> list[Job]:
        """Go down; all that was in work or waiting is lost, and returned."""
        lost = [*self.working, *self.queue]
        self.working.clear()
        self.queue.clear()
        self.up = False
        return lost
