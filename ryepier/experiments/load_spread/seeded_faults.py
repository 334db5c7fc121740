"""Balancers with one mistake in how they choose, to show that a claim of the load-spread experiments can fail."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random

from ryepier.balancer import interface as api
from ryepier.balancer.admission import AdmissionRate
from ryepier.balancer.balancer import Balancer
from ryepier.balancer.selection import Candidate, Selector
from ryepier.balancer.subsetting import Subset
from ryepier.balancer.upstream import PendingRequest, TrackedUpstream
from ryepier.sim.fleet.choosers import Chooser, ChooserFactory, make_balancer
from ryepier.sim.fleet.converter import Converter

EARLIER_OVERLOAD = 0.5


class ClosedSubset(Subset):
    """A full subset that stays as it is, whoever comes."""

    def offer_places(
        self, newcomers: list[TrackedUpstream], listed: int, wanted: int, random: Random
    ) -> list[TrackedUpstream]:
        """Give nobody a place."""
        return []


class EarlyAdmissionRate(AdmissionRate):
    """Admission that falls from a lower mean latency on."""

    def is_overloaded(self) -> bool:
        """Return whether the load is over the earlier bound."""
        return self.load > EARLIER_OVERLOAD


class PrivateSubsets(Balancer):
    """The balancer before this was mended: subsets take in nobody; each retry of an expensive request counts as an
    answer of a slow pool; and admission falls from a lower mean on."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Start with the earlier subsets and admission."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = ClosedSubset()
            pool.admission = EarlyAdmissionRate(now_us)

    def send(self, request: PendingRequest, upstream: TrackedUpstream) -> None:
        """Send an attempt whose timeout counts for the pool, whatever was before it."""
        super().send(request, upstream)
        request.attempts[-1].follows_timeout = False


class FirstFreeSelector(Selector):
    """Takes the converters in the order of the list."""

    def free_slots(
        self, request: PendingRequest, upstreams: Iterable[TrackedUpstream], ejections_apply: bool, now_us: int
    ) -> list[Candidate]:
        """Return only the first that is free."""
        found = super().free_slots(request, upstreams, ejections_apply, now_us)
        return sorted(found, key=lambda candidate: candidate.upstream.entry.id)[:1]


class SameOrder(Balancer):
    """All sidecars take the converters in the order of the list."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Start with a selector that takes the first."""
        super().__init__(settings, seed, now_us)
        self.selector = FirstFreeSelector(self.membership, self.retries, self.outliers, self.estimates, self.random)


class ExpellingSubset(Subset):
    """A subset that newcomers leave."""

    def offer_places(
        self, newcomers: list[TrackedUpstream], listed: int, wanted: int, random: Random
    ) -> list[TrackedUpstream]:
        """Take away each newcomer's place."""
        return [removed for upstream in newcomers for removed in self.leave(upstream)]


class ForgetReturned(Balancer):
    """Converters that come back leave all subsets."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Start with such subsets."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = ExpellingSubset()


class WelcomingSubset(Subset):
    """A subset that takes in each newcomer."""

    def offer_places(
        self, newcomers: list[TrackedUpstream], listed: int, wanted: int, random: Random
    ) -> list[TrackedUpstream]:
        """Give each newcomer a place, once there are members."""
        for upstream in newcomers if self.members else []:
            self.members[upstream] = None
        return []


class RushReturned(Balancer):
    """All sidecars take in all converters that come back."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Start with such subsets."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = WelcomingSubset()


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
