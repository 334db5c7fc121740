"""Model of a converter without sockets: cores, queue, warm-up, crash under overload, and deduplication within a pod.

This module is pure: it maps requests and times to actions. `advance` must be called at the time `next_us`. Accepted
work continues even if the connection that the request arrived on is closed.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from ryepier.emulator.draws import Machine
from ryepier.emulator.world import Reports, WarmUp

PROBE_WORK_US = 200  # service time of a health check


@dataclass(frozen=True, slots=True)
class Work:
    """A request in the model. `token` is the caller's identifier of the request."""

    token: int
    key: str  # idempotency key; empty = the request is not deduplicated
    work_us: int  # service time on a standard core
    window_us: int = 0  # how long the pod deduplicates the key


@dataclass(frozen=True, slots=True)
class Started:
    """Execution starts; from now on, the request counts as run."""

    token: int


@dataclass(frozen=True, slots=True)
class Done:
    """The request is answered with 200; `executed` is False for a deduplicated repeat."""

    token: int
    executed: bool


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is answered with 503 and never runs."""

    token: int


@dataclass(frozen=True, slots=True)
class Crashed:
    """A converter that is warming up has crashed because its load exceeded the limit; it does not restart."""


Action = Started | Done | Rejected | Crashed


@dataclass(slots=True)
class _CachedKey:
    """The state of an idempotency key in the cache of a pod."""

    expires_us: int
    is_finished: bool = False
    # repeats that arrived while the first request was running, as (converter, token)
    waiting_repeats: list[tuple[ConverterModel, int]] = field(default_factory=list)


class IdempotencyCache:
    """The idempotency keys that a pod's converters have received, each kept for a window after the first arrival."""

    def __init__(self) -> None:
        """Start without keys."""
        self.entries: dict[str, _CachedKey] = {}
        # repeats whose first request has finished, to be answered now, as (converter, token)
        self.released_repeats: list[tuple[ConverterModel, int]] = []
        self._expiries: deque[tuple[int, str]] = deque()

    def get(self, now_us: int, key: str) -> _CachedKey | None:
        """Return the entry of a key whose window has not passed."""
        entry = self.entries.get(key)
        return entry if entry is not None and entry.expires_us > now_us else None

    def add(self, now_us: int, key: str, window_us: int) -> None:
        """Add a key, and remove finished keys whose window has passed."""
        while self._expiries and self._expiries[0][0] <= now_us:
            expires_us, expired_key = self._expiries.popleft()
            entry = self.entries.get(expired_key)
            if entry is not None and entry.expires_us == expires_us and entry.is_finished:
                del self.entries[expired_key]
        self.entries[key] = _CachedKey(now_us + window_us)
        self._expiries.append((now_us + window_us, key))


class ConverterModel:
    """Models one process of a converter: its queue, running requests, warm-up and crash under overload."""

    def __init__(
        self,
        machine: Machine,
        warm_up: WarmUp,
        reports: Reports,
        cache: IdempotencyCache,
        random: np.random.Generator,
        started_us: int | None,
    ) -> None:
        """Start an idle converter. It warms up from `started_us` on, or is already warm if `started_us` is None."""
        self.machine = machine
        self.warm_up = warm_up
        self.reports = reports
        self.cache = cache
        self.random = random
        self.started_us = started_us
        self.draining = self.crashed = self.hung = False
        self.slowdown = 1.0  # divides the speed
        self.queue: deque[Work] = deque()
        self.running: list[tuple[int, int, Work]] = []  # heap of (done_us, sequence number, work)
        self.started_count = 0
        self.overhead_us = 0  # work of handshakes and probes; added to the next request that starts
        # (at_us, work_us) received within the overload window; recorded only during warm-up
        self._recent_work: deque[tuple[int, int]] = deque()
        self._recent_work_us = 0
        self._hung_since_us = 0
        self._report = ""
        self._report_expires_us = -1

    def capacity_share(self, now_us: int) -> float:
        """Return the converter's capacity at `now_us` as a share of its full capacity."""
        warm_up_us = self.warm_up.warm_up_s * 1e6
        if self.started_us is None or now_us >= self.started_us + warm_up_us:
            return 1.0
        initial_share = self.warm_up.initial_capacity_share
        return initial_share + (1.0 - initial_share) * max(0, now_us - self.started_us) / warm_up_us

    def on_request(self, now_us: int, work: Work) -> list[Action]:
        """Queue, deduplicate or reject a request that has been received completely; it may crash the converter."""
        actions = self.advance(now_us)
        if self._record_recent_work(now_us, work.work_us):
            return [*actions, Crashed()]
        entry = self.cache.get(now_us, work.key) if work.key else None
        if entry is not None and entry.is_finished:
            return [*actions, Done(work.token, executed=False)]
        if entry is not None:
            entry.waiting_repeats.append((self, work.token))
            return actions
        if self.draining or len(self.queue) >= self.machine.group.queue_limit + self.free_cores:
            return [*actions, Rejected(work.token)]
        if work.key:
            self.cache.add(now_us, work.key, work.window_us)
        self.queue.append(work)
        return actions + self._start_queued(now_us)

    def on_connection(self, now_us: int) -> list[Action]:
        """Account for the handshake of a new connection."""
        return self._add_overhead(now_us, int(self.machine.group.handshake_ms * 1000))

    def on_probe(self, now_us: int) -> list[Action]:
        """Account for a health check or a request for the load report."""
        return self._add_overhead(now_us, PROBE_WORK_US)

    def _add_overhead(self, now_us: int, work_us: int) -> list[Action]:
        self.overhead_us += work_us
        return [Crashed()] if self._record_recent_work(now_us, work_us) else []

    def _record_recent_work(self, now_us: int, work_us: int) -> bool:
        """Add work to the overload window, and return whether the overload crashes the converter.

        The work of rejected requests counts too.
        """
        share = self.capacity_share(now_us)
        if self.crashed or share >= 1.0:
            return False
        window_us = int(self.warm_up.overload_window_s * 1e6)
        self._recent_work.append((now_us, work_us))
        self._recent_work_us += work_us
        while self._recent_work[0][0] <= now_us - window_us:
            self._recent_work_us -= self._recent_work.popleft()[1]
        capacity = self.machine.group.cores * self.machine.speed * share
        self.crashed = self._recent_work_us > self.warm_up.overload_factor * capacity * window_us
        return self.crashed

    @property
    def free_cores(self) -> int:
        """The number of idle cores."""
        return self.machine.group.cores - len(self.running)

    def _start_queued(self, now_us: int) -> list[Action]:
        """Start queued requests on the free cores."""
        actions: list[Action] = []
        while self.queue and self.free_cores > 0 and not self.hung:
            work = self.queue.popleft()
            speed = self.machine.speed * self.capacity_share(now_us) / self.slowdown
            service_us = max(1, int((work.work_us + self.overhead_us) / speed))
            self.overhead_us = 0
            self.started_count += 1
            heapq.heappush(self.running, (now_us + service_us, self.started_count, work))
            actions.append(Started(work.token))
        return actions

    def advance(self, now_us: int) -> list[Action]:
        """Finish the requests that are done by `now_us`, and start queued requests on the cores that become free."""
        actions: list[Action] = []
        while self.running and self.running[0][0] <= now_us and not self.hung:
            done_us, _, work = heapq.heappop(self.running)
            actions.append(Done(work.token, executed=True))
            actions += self._release_repeats(work)
            actions += self._start_queued(done_us)
        return actions

    def _release_repeats(self, work: Work) -> list[Action]:
        """Answer the repeats of finished work that wait at this converter.

        The repeats that wait at other converters are added to the cache's `released_repeats`.
        """
        entry = self.cache.entries.get(work.key) if work.key else None
        if entry is None:
            return []
        entry.is_finished = True
        own_tokens = [token for converter, token in entry.waiting_repeats if converter is self]
        self.cache.released_repeats += [
            (converter, token) for converter, token in entry.waiting_repeats if converter is not self
        ]
        entry.waiting_repeats.clear()
        return [Done(token, executed=False) for token in own_tokens]

    @property
    def next_us(self) -> int | None:
        """When the next request is done; None if no request is running or the converter hangs."""
        return self.running[0][0] if self.running and not self.hung else None

    def hang(self, now_us: int) -> None:
        """Stop all progress until `resume`."""
        self.hung, self._hung_since_us = True, now_us

    def resume(self, now_us: int) -> list[Action]:
        """Continue after `hang`, with the remaining service times unchanged."""
        self.hung = False
        hung_us = now_us - self._hung_since_us
        self.running = [(done_us + hung_us, number, work) for done_us, number, work in self.running]
        return self._start_queued(now_us)

    def load_report(self, now_us: int) -> str:
        """Return the load report in the form `name=value,...`. The values are refreshed at random intervals."""
        if now_us >= self._report_expires_us:
            low_ms, high_ms = self.reports.refresh_ms
            self._report_expires_us = now_us + int(1000 * self.random.uniform(low_ms, high_ms))
            running, queued = len(self.running), len(self.queue)
            values = {
                "inflight": f"{running + queued}",
                "queue": f"{queued}",
                "util": f"{running / self.machine.group.cores:.2f}",
            }
            self._report = ",".join(f"{name}={values[name]}" for name in self.reports.names)
        return self._report

    def stop(self) -> list[int]:
        """End the process: drop all work and its idempotency keys. Return the tokens of the queued requests."""
        for work in [*(work for _, _, work in self.running), *self.queue]:
            if work.key:
                self.cache.entries.pop(work.key, None)
        not_started_tokens = [work.token for work in self.queue]
        self.running.clear()
        self.queue.clear()
        return not_started_tokens
