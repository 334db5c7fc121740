"""Model of a fleet whose sidecars poll the same discovery: real decision modules in virtual time, without sockets.

Discovery serves polls one at a time, at a fixed rate, in the order of arrival. A poll that waits longer than
MAX_POLL_WAIT_US fails.
"""

from __future__ import annotations

import enum
import heapq
import itertools
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import ListKind, SetTimer, Subscribe, TimerFired, UpstreamsUpdated
from ryepier.sidecar.discovery import SILENCE_TIMEOUT_S
from tests.balancer_harness import START_US, settings

MAX_POLL_WAIT_US = 2_000_000  # time after which a poll that discovery has not served fails
REFUSAL_DELAY_US = 1_000  # time after which a poll fails if discovery refuses connections
RESET_DELAY_US = 100_000  # time after which a poll fails if discovery resets connections
SILENCE_US = int(1e6 * SILENCE_TIMEOUT_S)


class DiscoveryMode(enum.Enum):
    """How discovery responds to polls: it serves, refuses, does not answer, or resets them."""

    UP = enum.auto()
    REFUSED = enum.auto()
    SILENT = enum.auto()
    RESET = enum.auto()


class Phase(NamedTuple):
    """The mode of discovery from `starts_at_s` until the next phase begins."""

    starts_at_s: float
    mode: DiscoveryMode


class EventKind(enum.Enum):
    """Kind of an event at a sidecar."""

    TIMER = enum.auto()
    WATCH_BROKEN = enum.auto()
    POLL_SERVED = enum.auto()
    POLL_FAILED = enum.auto()


class FleetEvent(NamedTuple):
    """A scheduled event. Events for the same time are handled in the order in which they were scheduled."""

    at_us: int
    order: int
    kind: EventKind
    sidecar: int
    value: int
    """Depending on the kind: the number of the poll, the time of the timer (us), or how long the broken watch was
    silent (us)."""


class WaitingPoll(NamedTuple):
    """A poll that waits to be served by discovery."""

    sidecar: int
    number: int


@dataclass
class Sidecar:
    """A decision module with its requested timers and its current poll."""

    balancer: Balancer
    poll: int = 0
    """The number of the poll in flight; 0 = none."""
    updated_at_s: float = -1.0
    """Time at which the sidecar last received the list; negative = it has no current list."""
    timer_times_us: set[int] = field(default_factory=set)


class PollingFleet:
    """The sidecars, discovery, and the queue of their scheduled events."""

    def __init__(self, sidecar_count: int, polls_per_s: float, phases: Sequence[Phase]) -> None:
        """Create the sidecars, without a list. They receive it only in phases in which discovery is UP."""
        config = settings(polls_endpoints=True, max_poll_interval_us=10_000_000, instances=sidecar_count)
        self.now_us = START_US
        self.service_time_us = int(1e6 / polls_per_s)
        self.phases = phases
        self.events: list[FleetEvent] = []
        self.sequence_numbers = itertools.count(1)
        self.waiting_polls: deque[WaitingPoll] = deque()
        self.is_serving = False
        self.polls_by_second: Counter[int] = Counter()
        self.failed_poll_count = 0
        self.sidecars = [Sidecar(Balancer(config, seed, START_US)) for seed in range(sidecar_count)]

    def start_all(self) -> None:
        """Start all sidecars at the same time, without a list."""
        for sidecar in range(len(self.sidecars)):
            self._handle(sidecar, TimerFired(0))

    def break_watches(self, at_s: float, after_silence: bool) -> None:
        """Give each sidecar a watch. At `at_s` all watches break or, with `after_silence`, become silent and break
        after the silence timeout."""
        silent_us = SILENCE_US if after_silence else 0
        for sidecar in range(len(self.sidecars)):
            self._handle(sidecar, UpstreamsUpdated(ListKind.FULL, version=1))
            self._schedule(START_US + int(1e6 * at_s) + silent_us, EventKind.WATCH_BROKEN, sidecar, silent_us)

    def run_until(self, until_s: float) -> None:
        """Handle all events up to a time."""
        while self.events and self.events[0].at_us <= START_US + 1e6 * until_s:
            event = heapq.heappop(self.events)
            self.now_us = event.at_us
            self._on_event(event)
            self._serve_next()

    def update_delays_s(self, reachable_at_s: float) -> list[float]:
        """Return, by sidecar, how long after `reachable_at_s` it received the list; 0 or less = it has not."""
        return [sidecar.updated_at_s - reachable_at_s for sidecar in self.sidecars]

    def _now_s(self) -> float:
        return (self.now_us - START_US) / 1e6

    def _mode(self) -> DiscoveryMode:
        return [phase.mode for phase in self.phases if phase.starts_at_s <= self._now_s()][-1]

    def _schedule(self, at_us: int, kind: EventKind, sidecar: int, value: int) -> None:
        heapq.heappush(self.events, FleetEvent(at_us, next(self.sequence_numbers), kind, sidecar, value))

    def _handle(self, sidecar_index: int, event: TimerFired | UpstreamsUpdated) -> None:
        sidecar = self.sidecars[sidecar_index]
        for action in sidecar.balancer.handle(self.now_us, event):
            if isinstance(action, SetTimer) and action.at_us not in sidecar.timer_times_us:
                sidecar.timer_times_us.add(action.at_us)
                self._schedule(action.at_us, EventKind.TIMER, sidecar_index, action.at_us)
            elif isinstance(action, Subscribe):
                self._poll(sidecar_index)

    def _poll(self, sidecar_index: int) -> None:
        poll = self.sidecars[sidecar_index].poll = next(self.sequence_numbers)
        self.polls_by_second[int(self._now_s())] += 1
        mode = self._mode()
        if mode is DiscoveryMode.UP:
            self.waiting_polls.append(WaitingPoll(sidecar_index, poll))
            self._schedule(self.now_us + MAX_POLL_WAIT_US, EventKind.POLL_FAILED, sidecar_index, poll)
            self._serve_next()
            return
        failure_delays_us = {
            DiscoveryMode.SILENT: SILENCE_US,
            DiscoveryMode.REFUSED: REFUSAL_DELAY_US,
            DiscoveryMode.RESET: RESET_DELAY_US,
        }
        self._schedule(self.now_us + failure_delays_us[mode], EventKind.POLL_FAILED, sidecar_index, poll)

    def _serve_next(self) -> None:
        while self.waiting_polls and not self.is_serving:
            poll = self.waiting_polls.popleft()
            if self.sidecars[poll.sidecar].poll == poll.number:
                self.is_serving = True
                self._schedule(self.now_us + self.service_time_us, EventKind.POLL_SERVED, poll.sidecar, poll.number)

    def _on_event(self, event: FleetEvent) -> None:
        sidecar = self.sidecars[event.sidecar]
        match event.kind:
            case EventKind.TIMER:
                sidecar.timer_times_us.discard(event.value)
                self._handle(event.sidecar, TimerFired(0))
            case EventKind.WATCH_BROKEN:
                sidecar.updated_at_s = -1.0
                self._handle(event.sidecar, UpstreamsUpdated(ListKind.FAILED, silent_us=event.value))
            case EventKind.POLL_SERVED:
                self.is_serving = False
                if sidecar.poll == event.value:
                    sidecar.poll, sidecar.updated_at_s = 0, self._now_s()
                    self._handle(event.sidecar, UpstreamsUpdated(ListKind.DELTA, version=1))
            case EventKind.POLL_FAILED if sidecar.poll == event.value:
                sidecar.poll = 0
                self.failed_poll_count += 1
                self._handle(event.sidecar, UpstreamsUpdated(ListKind.FAILED))
