"""Balancers with one seeded fault in how they choose, which the experiments on simulated fleets detect."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random

from ryepier.balancer import interface as api
from ryepier.balancer.admission import AdmissionRate
from ryepier.balancer.balancer import Balancer
from ryepier.balancer.selection import Candidate, Selector
from ryepier.balancer.subsetting import Subset
from ryepier.balancer.upstream import PendingRequest, TrackedUpstream
from ryepier.sim.fleet.choosers import BalancingPolicy, PolicyFactory, make_balancer
from ryepier.sim.fleet.converter import Converter

EARLIER_OVERLOAD = 0.5


class ClosedSubset(Subset):
    """A full subset that never admits a newcomer."""

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Return no upstream."""
        return []


class EarlyAdmissionRate(AdmissionRate):
    """Admission that sheds load from a lower mean latency on."""

    def is_overloaded(self) -> bool:
        """Return whether the load is over the earlier bound."""
        return self.load > EARLIER_OVERLOAD


class PrivateSubsets(Balancer):
    """The earlier balancer: its subsets admit no newcomers, each retry of an expensive request counts as an answer of a
    slow pool, and it sheds load from a lower mean latency on."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Use the earlier subsets and admission."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = ClosedSubset()
            pool.admission = EarlyAdmissionRate(now_us)

    def send(self, request: PendingRequest, upstream: TrackedUpstream) -> None:
        """Send an attempt whose timeout counts for the pool, whatever was before it."""
        super().send(request, upstream)
        request.attempts[-1].follows_timeout = False


class FirstFreeSelector(Selector):
    """Selects the first free converter of the list."""

    def candidates_with_free_slots(
        self, request: PendingRequest, upstreams: Iterable[TrackedUpstream], ejections_apply: bool, now_us: int
    ) -> list[Candidate]:
        """Return only the first free converter."""
        found = super().candidates_with_free_slots(request, upstreams, ejections_apply, now_us)
        return sorted(found, key=lambda candidate: candidate.upstream.entry.id)[:1]


class SameOrder(Balancer):
    """All sidecars select the converters in the order of the list."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Use the selector of the first free converter."""
        super().__init__(settings, seed, now_us)
        self.selector = FirstFreeSelector(self.membership, self.retries, self.outliers, self.estimates, self.random)


class ExpellingSubset(Subset):
    """A subset that removes newcomers."""

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Remove each newcomer, and return those removed."""
        return [removed for upstream in new_upstreams for removed in self.leave(upstream)]


class ForgetReturned(Balancer):
    """Converters that return are removed from all subsets."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Use such subsets."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = ExpellingSubset()


class WelcomingSubset(Subset):
    """A subset that admits every newcomer."""

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Admit each newcomer, once there are members."""
        for upstream in new_upstreams if self.members else []:
            self.members[upstream] = None
        return []


class RushReturned(Balancer):
    """All sidecars admit all converters that return."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Use such subsets."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = WelcomingSubset()


def _factory(make: Callable[[api.Settings, int, int], Balancer]) -> PolicyFactory:
    def factory(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> BalancingPolicy:
        return make(settings, seed, now_us)

    return factory


FACTORIES: dict[str, PolicyFactory] = {
    "": make_balancer,
    "private-subsets": _factory(PrivateSubsets),
    "same-order": _factory(SameOrder),
    "forget-returned": _factory(ForgetReturned),
    "rush-returned": _factory(RushReturned),
}
"""By the seeded fault's name; the empty name is the balancer as it is."""
