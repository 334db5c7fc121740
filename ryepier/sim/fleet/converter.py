"""A model converter: parallel workers, a first-come queue before them, and counts."""

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
    abandoned: bool = False  # the sidecar has given up on it


@dataclass(slots=True)
class Converter:
    """A converter and its counts."""

    ident: int
    workers: int
    queue_limit: int
    up: bool = True
    started_us: int = 0  # its last start; 0 = warm
    working: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    received_us: list[int] = field(default_factory=list)  # when each request arrived, rejected ones included
    rejected: int = 0
    connections: ConnectionCounter = field(default_factory=ConnectionCounter)

    @property
    def load(self) -> int:
        """The number of requests that run or wait."""
        return len(self.working) + len(self.queue)

    def receive(self, job: Job) -> bool:
        """Queue a request, and return whether there was capacity for it."""
        self.received_us.append(job.received_us)
        if len(self.working) >= self.workers and len(self.queue) >= self.queue_limit:
            self.rejected += 1
            return False
        self.queue.append(job)
        return True

    def start_next(self) -> Job | None:
        """Start and return the next job if a worker is free; abandoned jobs are dropped."""
        while self.queue and len(self.working) < self.workers:
            job = self.queue.popleft()
            if not job.abandoned:
                self.working.append(job)
                return job
        return None

    def stop(self) -> list[Job]:
        """Go down, and return the jobs that are lost."""
        lost = [*self.working, *self.queue]
        self.working.clear()
        self.queue.clear()
        self.up = False
        return lost
