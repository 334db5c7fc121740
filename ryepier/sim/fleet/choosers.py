"""What decides for a sidecar: the balancer, or a reference policy to compare it with."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.sim.fleet.converter import Converter


class BalancingPolicy(Protocol):
    """Takes events and gives actions, as `Balancer` does."""

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Return the actions that the event calls for."""
        ...


PolicyFactory = Callable[[api.Settings, int, int, Sequence[Converter]], BalancingPolicy]
"""Makes a chooser from settings, a seed, the time in microseconds and the converters, which a balancer must ignore."""


def make_balancer(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> BalancingPolicy:
    """Return the project's own balancer."""
    return Balancer(settings, seed, now_us)


class _Reference:
    """Sends each request once, to a ready converter, and rejects none."""

    def __init__(self, seed: int, converters: Sequence[Converter]) -> None:
        """Start with an empty endpoint list."""
        self.random = random.Random(seed)
        self.converters = {converter.ident: converter for converter in converters}
        self.ready: list[int] = []

    def choose(self) -> int:
        """Return the converter for the next request."""
        raise NotImplementedError

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Send arrivals, apply changes of the list, and ignore everything else."""
        if isinstance(event, api.UpstreamsUpdated):
            known = set() if event.kind is api.ListKind.FULL else set(self.ready)
            for entry in event.upstreams:
                known.discard(entry.id)
                if entry.state is api.UpstreamState.READY:
                    known.add(entry.id)
            self.ready = sorted(known)
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.request, self.choose())]
        return []


class RandomChoice(_Reference):
    """Chooses uniformly at random."""

    def choose(self) -> int:
        """Return any ready converter with equal probability."""
        return self.random.choice(self.ready)


class ShortestQueue(_Reference):
    """Chooses the converter with the fewest requests, which no real sidecar can know."""

    def choose(self) -> int:
        """Return one of the least loaded converters at random."""
        return min(self.ready, key=lambda ident: (self.converters[ident].load, self.random.random()))


def make_random(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> BalancingPolicy:
    """Return a `RandomChoice`."""
    return RandomChoice(seed, converters)


def make_shortest(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> BalancingPolicy:
    """Return a `ShortestQueue`."""
    return ShortestQueue(seed, converters)
