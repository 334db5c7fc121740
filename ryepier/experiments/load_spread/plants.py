"""Balancers with one mistake in how they choose, to show that a claim of the load-spread experiments can fail."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer, Pool, Request, Server
from ryepier.sim.fleet.choosers import Chooser, ChooserFactory, make_balancer
from ryepier.sim.fleet.converter import Converter

EARLIER_OVERLOAD = 0.5


class PrivateSubsets(Balancer):
    """The balancer before this was mended: a full subset stays as it is, whoever comes; each repeat of a heavy request
    counts as an answer of a slow pool; and draws are thinned from a lower mean on."""

    def offer_places(self, pool: Pool, newcomers: list[Server]) -> None:
        """Nobody new gets a place."""

    def is_overloaded(self, pool: Pool) -> bool:
        """From half the slow time on."""
        return pool.load > EARLIER_OVERLOAD

    def send(self, request: Request, server: Server) -> None:
        """The attempt's time-out will tell of the pool, whatever was before it."""
        super().send(request, server)
        request.attempts[-1].after_timeout = False


class SameOrder(Balancer):
    """All sidecars take the converters in the order of the list."""

    def free_slots(self, request: Request, servers: list[Server], ejection_allowed: bool) -> list[tuple[Server, float]]:
        """Only the first that is free."""
        found = super().free_slots(request, servers, ejection_allowed)
        return sorted(found, key=lambda pair: pair[0].entry.id)[:1]


class ForgetReturned(Balancer):
    """Converters that come back leave all subsets."""

    def offer_places(self, pool: Pool, newcomers: list[Server]) -> None:
        """None of them gets a place or keeps one."""
        for server in newcomers:
            self.leave_subset(server)


class RushReturned(Balancer):
    """All sidecars take in all converters that come back."""

    def offer_places(self, pool: Pool, newcomers: list[Server]) -> None:
        """Each of them gets a place."""
        for server in newcomers if pool.subset else []:
            if self.servers.get(server.entry.id) is server:
                pool.subset[server] = None


def _factory(make: Callable[[api.Settings, int, int], Balancer]) -> ChooserFactory:
    def factory(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> Chooser:
        return make(settings, seed, now_us)

    return factory


FACTORIES: dict[str, ChooserFactory] = {
    "": make_balancer,
    "private-subsets": _factory(PrivateSubsets),
    "same-order": _factory(SameOrder),
    "forget-returned": _factory(ForgetReturned),
    "rush-returned": _factory(RushReturned),
}
"""By the mistake's name; the empty one is the balancer as it is."""
