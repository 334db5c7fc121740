"""Model of a converter: parallel workers that share a FIFO queue, and counters."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ryepier.sim.fleet.connections import ConnectionCounter


@dataclass(slots=True)
class Job:
    """The work of one attempt at a converter."""

    sidecar: int
    request: int
    attempt: int
    work_us: int  # processing time at the converter's full speed
    received_us: int
    ended: bool = False  # an outcome, possibly a timeout, has been reported to the sidecar


@dataclass(slots=True)
class Converter:
    """A converter, its jobs, and its counters."""

    ident: int
    workers: int
    queue_limit: int
    up: bool = True
    started_us: int = 0  # time of the last restart; 0: never restarted, and always at full speed
    running_jobs: list[Job] = field(default_factory=list)
    queued_jobs: deque[Job] = field(default_factory=deque)
    arrival_times_us: list[int] = field(default_factory=list)  # arrival times of all jobs, including rejected jobs
    rejected_count: int = 0
    connection_counter: ConnectionCounter = field(default_factory=ConnectionCounter)

    @property
    def load(self) -> int:
        """The number of jobs that are running or queued."""
        return len(self.running_jobs) + len(self.queued_jobs)

    def receive(self, job: Job) -> bool:
        """Queue a job and return True, or reject it and return False if all workers are busy and the queue is full."""
        self.arrival_times_us.append(job.received_us)
        if len(self.running_jobs) >= self.workers and len(self.queued_jobs) >= self.queue_limit:
            self.rejected_count += 1
            return False
        self.queued_jobs.append(job)
        return True

    def start_next(self) -> Job | None:
        """Start the next queued job if a worker is free, and return it. Jobs that have already ended are dropped."""
        while self.queued_jobs and len(self.running_jobs) < self.workers:
            job = self.queued_jobs.popleft()
            if not job.ended:
                self.running_jobs.append(job)
                return job
        return None

    def stop(self) -> list[Job]:
        """Mark the converter as down, discard its running and queued jobs, and return them."""
        lost_jobs = [*self.running_jobs, *self.queued_jobs]
        self.running_jobs.clear()
        self.queued_jobs.clear()
        self.up = False
        return lost_jobs
