"""Who decides for a sidecar: the balancer, or a reference that shows what another choice would give."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Protocol

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.sim.fleet.converter import Converter


class Chooser(Protocol):
    """Takes events and gives actions, as `Balancer` does."""

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """The actions that the event calls for."""
        ...


ChooserFactory = Callable[[api.Settings, int, int, Sequence[Converter]], Chooser]
"""Makes a chooser of its settings, seed, the time (us) and the converters, which a balancer must not look at."""


def make_balancer(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> Chooser:
    """The decision module of this tree."""
    return Balancer(settings, seed, now_us)


class _Reference:
    """Sends each request once, to a ready converter; refuses nothing."""

    def __init__(self, seed: int, converters: Sequence[Converter]) -> None:
        """Start with no converter known."""
        self.random = random.Random(seed)
        self.converters = {converter.ident: converter for converter in converters}
        self.ready: list[int] = []

    def choose(self) -> int:
        """The converter of the next request."""
        raise NotImplementedError

    def handle(self, now_us: int, event: api.Event) -> list[api.Action]:
        """Arrivals are sent, lists are kept, all else is ignored."""
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
    """A random converter out of all."""

    def choose(self) -> int:
        """Any, with equal chances."""
        return self.random.choice(self.ready)


class ShortestQueue(_Reference):
    """The converter with the least in work and waiting, which no real sidecar can know."""

    def choose(self) -> int:
        """One of the shortest, at random."""
        return min(self.ready, key=lambda ident: (self.converters[ident].load, self.random.random()))


def make_random(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> Chooser:
    """A `RandomChoice`."""
    return RandomChoice(seed, converters)


def make_shortest(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> Chooser:
    """A `ShortestQueue`."""
    return ShortestQueue(seed, converters)
