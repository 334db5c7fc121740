"""Load-balancing policies of a simulated sidecar: the balancer, and reference policies to compare it with."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.sim.fleet.converter import Converter


class BalancingPolicy(Protocol):
    """Makes the decisions of one sidecar: handles events and returns actions, as `Balancer` does."""

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Handle an event, and return the actions that the sidecar must execute."""
        ...


PolicyFactory = Callable[[api.Settings, int, int, Sequence[Converter]], BalancingPolicy]
"""Creates a policy from the settings, a seed, the time in microseconds and the converters.

The converters are for reference policies: a balancer must ignore them, because a real sidecar cannot observe their
state."""


def make_balancer(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> BalancingPolicy:
    """Create the project's balancer; `converters` is ignored."""
    return Balancer(settings, seed, now_us)


class _ReferencePolicy:
    """Base class of policies that send each request exactly once, to a ready converter, and reject no request."""

    def __init__(self, seed: int, converters: Sequence[Converter]) -> None:
        """Create a policy that knows no ready converters yet. Subclasses can read the real load from `converters`."""
        self.random = random.Random(seed)
        self.converters = {converter.ident: converter for converter in converters}
        self.ready_ids: list[int] = []

    def choose(self) -> int:
        """Return the id of the converter for the next request."""
        raise NotImplementedError

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Send each arriving request, apply updates of the endpoint list, and ignore other events."""
        if isinstance(event, api.UpstreamsUpdated):
            ready_ids = set() if event.kind is api.ListKind.FULL else set(self.ready_ids)
            for entry in event.upstreams:
                ready_ids.discard(entry.id)
                if entry.state is api.UpstreamState.READY:
                    ready_ids.add(entry.id)
            self.ready_ids = sorted(ready_ids)
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.request, self.choose())]
        return []


class RandomChoice(_ReferencePolicy):
    """Chooses among the ready converters uniformly at random."""

    def choose(self) -> int:
        """Return the id of a random ready converter."""
        return self.random.choice(self.ready_ids)


class ShortestQueue(_ReferencePolicy):
    """Chooses the ready converter with the fewest running and queued jobs, which a real sidecar cannot know."""

    def choose(self) -> int:
        """Return the id of the least loaded ready converter; ties are broken at random."""
        return min(self.ready_ids, key=lambda ident: (self.converters[ident].load, self.random.random()))


def make_random_choice(
    settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]
) -> BalancingPolicy:
    """Create a policy that chooses at random; `settings` and `now_us` are ignored."""
    return RandomChoice(seed, converters)


def make_shortest_queue(
    settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]
) -> BalancingPolicy:
    """Create a policy that chooses the converter with the fewest jobs; `settings` and `now_us` are ignored."""
    return ShortestQueue(seed, converters)
