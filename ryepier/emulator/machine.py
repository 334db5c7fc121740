"""How a converter works, without its sockets: cores, a waiting room, warmth, falling over, and a pod's memory.

Pure: requests and times in, answers out. `next_us` says when `advance` is wanted next. Nothing that a client or a
sidecar does stops work that has been taken: a closed connection leaves it waiting or running.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from ryepier.emulator.draws import Machine as Drawn
from ryepier.emulator.world import Reports, Warmth

PROBE_WORK_US = 200  # a probe costs so much of a core


@dataclass(frozen=True, slots=True)
class Work:
    """A request, as far as its converter cares. `token` is the caller's own name for it."""

    token: int
    key: str  # empty: its repeats are not known as such
    work_us: int  # on a standard core
    memory_us: int = 0  # how long the pod knows its key


@dataclass(frozen=True, slots=True)
class Began:
    """Its execution starts: the moment from which it counts as run."""

    token: int


@dataclass(frozen=True, slots=True)
class Done:
    """It is answered with 200; `executed` is False for a repeat that was dropped."""

    token: int
    executed: bool


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """It is answered with 503 and never runs."""

    token: int


@dataclass(frozen=True, slots=True)
class FellOver:
    """More was sent than a cold converter bears; it is down for good."""


Action = Began | Done | TurnedAway | FellOver


@dataclass(slots=True)
class _Known:
    """A key that the pod has seen."""

    until_us: int
    finished: bool = False
    repeats: list[tuple[Converter, int]] = field(default_factory=list)  # who waits for its end, by their tokens


class PodMemory:
    """The keys that the converters of one pod have seen, each for its span from its first arrival."""

    def __init__(self) -> None:
        self.known: dict[str, _Known] = {}
        self.answered: list[tuple[Converter, int]] = []  # repeats whose first run has just ended, to be answered
        self.oldest: deque[tuple[int, str]] = deque()

    def get(self, now_us: int, key: str) -> _Known | None:
        known = self.known.get(key)
        return known if known is not None and known.until_us > now_us else None

    def add(self, now_us: int, key: str, span_us: int) -> None:
        while self.oldest and self.oldest[0][0] <= now_us:
            until_us, old = self.oldest.popleft()
            if old in self.known and self.known[old].until_us == until_us and self.known[old].finished:
                del self.known[old]
        self.known[key] = _Known(now_us + span_us)
        self.oldest.append((now_us + span_us, key))


class Converter:
    """One process life of a converter."""

    def __init__(
        self,
        drawn: Drawn,
        warmth: Warmth,
        reports: Reports,
        memory: PodMemory,
        random: np.random.Generator,
        started_us: int | None,
    ) -> None:
        self.drawn = drawn
        self.warmth = warmth
        self.reports = reports
        self.memory = memory
        self.random = random
        self.started_us = started_us
        self.draining = self.fallen = self.hung = False
        self.slowness = 1.0  # its speed is divided by it
        self.waiting: deque[Work] = deque()
        self.running: list[tuple[int, int, Work]] = []  # (when it is done, its number, what): a heap
        self.begun = 0
        self.owed_us = 0  # work of handshakes and probes, done along with the next request
        self.pressure: deque[tuple[int, int]] = deque()  # (when, work) of late, while it is cold
        self.pressure_us = 0
        self.hung_since_us = 0
        self.report_text = ""
        self.report_until_us = -1

    def warm_share(self, now_us: int) -> float:
        """The share of its capacity that it has."""
        warm_up_us = self.warmth.warm_up_s * 1e6
        if self.started_us is None or now_us >= self.started_us + warm_up_us:
            return 1.0
        return (
            self.warmth.initial_capacity_share
            + (1.0 - self.warmth.initial_capacity_share) * max(0, now_us - self.started_us) / warm_up_us
        )

    def arrived(self, now_us: int, work: Work) -> list[Action]:
        """A request has come whole."""
        actions = self.advance(now_us)
        if self.push(now_us, work.work_us):
            return [*actions, FellOver()]
        known = self.memory.get(now_us, work.key) if work.key else None
        if known is not None and known.finished:
            return [*actions, Done(work.token, executed=False)]
        if known is not None:
            known.repeats.append((self, work.token))
            return actions
        if self.draining or len(self.waiting) >= self.drawn.group.queue_limit + self.free_cores():
            return [*actions, TurnedAway(work.token)]
        if work.key:
            self.memory.add(now_us, work.key, work.memory_us)
        self.waiting.append(work)
        return actions + self.begin(now_us)

    def connected(self, now_us: int) -> list[Action]:
        """A connection has come up; its handshake is work too."""
        return self.load(now_us, int(self.drawn.group.handshake_ms * 1000))

    def probed(self, now_us: int) -> list[Action]:
        return self.load(now_us, PROBE_WORK_US)

    def load(self, now_us: int, work_us: int) -> list[Action]:
        self.owed_us += work_us
        return [FellOver()] if self.push(now_us, work_us) else []

    def push(self, now_us: int, work_us: int) -> bool:
        """Whether this is more than a cold converter bears; all that reaches it counts, also what it turns away."""
        share = self.warm_share(now_us)
        if self.fallen or share >= 1.0:
            return False
        span_us = int(self.warmth.overload_window_s * 1e6)
        self.pressure.append((now_us, work_us))
        self.pressure_us += work_us
        while self.pressure[0][0] <= now_us - span_us:
            self.pressure_us -= self.pressure.popleft()[1]
        capacity = self.drawn.group.cores * self.drawn.speed * share
        self.fallen = self.pressure_us > self.warmth.overload_factor * capacity * span_us
        return self.fallen

    def free_cores(self) -> int:
        return self.drawn.group.cores - len(self.running)

    def begin(self, now_us: int) -> list[Action]:
        """Start what waits on the cores that are free."""
        actions: list[Action] = []
        while self.waiting and self.free_cores() > 0 and not self.hung:
            work = self.waiting.popleft()
            speed = self.drawn.speed * self.warm_share(now_us) / self.slowness
            takes_us = max(1, int((work.work_us + self.owed_us) / speed))
            self.owed_us = 0
            self.begun += 1
            heapq.heappush(self.running, (now_us + takes_us, self.begun, work))
            actions.append(Began(work.token))
        return actions

    def advance(self, now_us: int) -> list[Action]:
        """Finish what is done by now."""
        actions: list[Action] = []
        while self.running and self.running[0][0] <= now_us and not self.hung:
            done_us, _, work = heapq.heappop(self.running)
            actions.append(Done(work.token, executed=True))
            actions += self.finished(work)
            actions += self.begin(done_us)
        return actions

    def finished(self, work: Work) -> list[Action]:
        known = self.memory.known.get(work.key) if work.key else None
        if known is None:
            return []
        known.finished = True
        mine = [token for converter, token in known.repeats if converter is self]
        self.memory.answered += [(converter, token) for converter, token in known.repeats if converter is not self]
        known.repeats.clear()
        return [Done(token, executed=False) for token in mine]

    @property
    def next_us(self) -> int | None:
        """When something is done next."""
        return self.running[0][0] if self.running and not self.hung else None

    def hang(self, now_us: int) -> None:
        """From now on nothing moves."""
        self.hung, self.hung_since_us = True, now_us

    def unhang(self, now_us: int) -> list[Action]:
        """All goes on where it stood."""
        self.hung = False
        stood_us = now_us - self.hung_since_us
        self.running = [(done_us + stood_us, number, work) for done_us, number, work in self.running]
        return self.begin(now_us)

    def report(self, now_us: int) -> str:
        """The load report as it stands, `name=value,...`; made anew after a drawn while."""
        if now_us >= self.report_until_us:
            low, high = self.reports.refresh_ms
            self.report_until_us = now_us + int(1000 * self.random.uniform(low, high))
            running, waiting = len(self.running), len(self.waiting)
            values = {
                "inflight": f"{running + waiting}",
                "queue": f"{waiting}",
                "util": f"{running / self.drawn.group.cores:.2f}",
            }
            self.report_text = ",".join(f"{name}={values[name]}" for name in self.reports.names)
        return self.report_text

    def stop(self) -> list[int]:
        """The process ends: what waited or ran is lost, and a key whose run was lost is new again. The tokens of
        requests that had not begun."""
        for work in [*(work for _, _, work in self.running), *self.waiting]:
            if work.key:
                self.memory.known.pop(work.key, None)
        unbegun = [work.token for work in self.waiting]
        self.running.clear()
        self.waiting.clear()
        return unbegun
