"""When two worlds are the same: all that decides what may come next, with times counted from now, under every renaming
of converters that are alike.

What the module has learnt (latency ratios, loads, fault shares) is left out: it says which converter is the likelier,
and every converter that may be drawn is drawn anyway. What it opens and closes by it (slots, ejections) is kept.
"""

from __future__ import annotations

import functools
import hashlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any

from ryepier.balancer import upstream
from ryepier.balancer.tuning import LOST_ATTEMPT_OVERTAKES
from ryepier.check.model import Model, ModelState
from ryepier.sidecar import dispatcher

Rename = dict[int, int]
OLDEST_US = 300_000  # longer ago than any deadline or memory of a key: it makes no difference any more


def renamings(model: Model) -> Iterator[Rename]:
    """Of converters onto each other: those of one cell stay together."""
    ids = range(1, model.converters + 1)
    for order in itertools.permutations(ids):
        cells: dict[int, int] = {}
        if all(
            cells.setdefault(model.failure_domain(old), model.failure_domain(new)) == model.failure_domain(new)
            for old, new in zip(ids, order, strict=True)
        ) and len(set(cells.values())) == len(cells):
            yield dict(zip(ids, order, strict=True))


class _View:
    """One world under one renaming."""

    def __init__(self, world: ModelState, rename: Rename) -> None:
        self.world = world
        self.now_us = world.timers.now_us
        self.rename = rename

    def left(self, at_us: int) -> int:
        """How long until then; what has passed has passed."""
        return max(-1, at_us - self.now_us)

    def buffered_until_us(self, one: upstream.PendingRequest) -> int:
        return one.arrived_us + self.world.host.balancer.estimates.slow_us[one.event.class_index]

    def attempt(self, one: upstream.Attempt) -> tuple[Any, ...]:
        ended = one.outcome.value if one.outcome is not None else ""
        return (
            self.rename[one.entry.id],
            max(-OLDEST_US, one.sent_us - self.now_us),
            min(one.overtaken, LOST_ATTEMPT_OVERTAKES),
            one.overtaken_in_class,
            one.overdue,
            one.presumed_lost,
            ended,
        )

    def server(self, one: upstream.TrackedUpstream) -> tuple[Any, ...]:
        return (
            self.rename[one.entry.id],
            one.entry.state.value,
            one.in_flight,
            int(one.concurrency.limit),
            one.concurrency.limit < 1.0,
            self.left(one.ejected_until_us),
            tuple(health.timeout_streak for health in one.by_class),
            tuple(self.left(health.ejected_until_us) for health in one.by_class),
            one.queue_headroom,
            one.concurrency.growing_fast,
            one in self.world.host.balancer.membership.pool_of(one).subset.members,
            len(one.outstanding),
        )

    def asked(self, one: upstream.PendingRequest) -> tuple[Any, ...]:
        return (
            one.event.request,
            self.left(one.event.due_us),
            self.left(self.buffered_until_us(one)),
            tuple(map(self.attempt, one.attempts)),
            one.done,
        )

    def held(self, one: dispatcher.OpenRequest) -> tuple[Any, ...]:
        return (
            one.ident,
            one.closed,
            self.left(one.due_us),
            tuple((self.rename[a.upstream], a.ended) for a in one.attempts),
        )

    def whole(self) -> tuple[Any, ...]:
        world, balancer = self.world, self.world.host.balancer
        flights = [
            (
                sent.request,
                self.rename[sent.upstream],
                sent.written,
                sent.over,
                sent.outcome.value if sent.outcome is not None else "",
                max(-OLDEST_US, sent.at_us - self.now_us),
            )
            for sent in world.flights
        ]
        clients = [
            (client.ident, client.gone, len(client.answers), self.left(client.due_us)) for client in world.clients
        ]
        timers = sorted(
            (self.left(at_us), timer.what.__name__) for at_us, _, timer in world.timers.heap if not timer.cancelled
        )
        return (
            flights,
            clients,
            timers,
            world.changes,
            world.gone,
            sorted((self.rename[upstream], state.value) for upstream, state in world.states.items()),
            sorted(map(self.server, balancer.membership.by_id.values())),
            [self.asked(one) for _, one in sorted(balancer.requests.items())],
            [self.held(one) for _, one in sorted(world.host.requests.items())],
            balancer.buffer.event.request if balancer.buffer is not None else 0,
            sorted((self.left(due.at_us), due.kind.value, due.request, due.attempt) for due in balancer.wake_ups),
            self.left(balancer.armed_us),
            int(balancer.retries.budget),
            [int(2 * pool.admission.credit) for pool in balancer.membership.pools],
        )


def digest(world: ModelState, ways: list[Rename]) -> bytes:
    """The same for worlds that are the same."""
    texts = (repr(_View(world, rename).whole()) for rename in ways)
    return hashlib.blake2b(min(texts).encode(), digest_size=12).digest()


Digest = Callable[[ModelState], bytes]


@functools.cache
def digester(model: Model) -> Digest:
    ways = list(renamings(model))
    return lambda world: digest(world, ways)
