"""Model of a converter: parallel workers with a FIFO queue in front of them, and counters."""

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
    work_us: int  # processing time on a warm converter
    received_us: int
    ended: bool = False  # the sidecar has its outcome, or has given up on it


@dataclass(slots=True)
class Converter:
    """A converter, its jobs, and its counters."""

    ident: int
    workers: int
    queue_limit: int
    up: bool = True
    started_us: int = 0  # time of the last restart; 0: not restarted, and warm from the beginning
    working: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    received_us: list[int] = field(default_factory=list)  # arrival time of each request, including rejected ones
    rejected: int = 0
    connections: ConnectionCounter = field(default_factory=ConnectionCounter)

    @property
    def load(self) -> int:
        """The number of jobs that are running or queued."""
        return len(self.working) + len(self.queue)

    def receive(self, job: Job) -> bool:
        """Queue a job, and return True; reject it and return False if the workers and the queue are full."""
        self.received_us.append(job.received_us)
        if len(self.working) >= self.workers and len(self.queue) >= self.queue_limit:
            self.rejected += 1
            return False
        self.queue.append(job)
        return True

    def start_next(self) -> Job | None:
        """Start the next queued job if a worker is free, and return it. Jobs that have already ended are dropped."""
        while self.queue and len(self.working) < self.workers:
            job = self.queue.popleft()
            if not job.ended:
                self.working.append(job)
                return job
        return None

    def stop(self) -> list[Job]:
        """Mark the converter as down, and return its jobs, which are lost."""
        lost = [*self.working, *self.queue]
        self.working.clear()
        self.queue.clear()
        self.up = False
        return lost
