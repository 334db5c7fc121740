"""Balancers with a seeded fault in their choice of converters, for the experiments on simulated fleets."""

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

EARLIER_MAX_LOAD = 0.5  # load above which an earlier version of the balancer counted a pool as overloaded


class ClosedSubset(Subset):
    """A subset that never replaces a member by a new upstream, so that a full subset admits no new upstreams."""

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Admit no upstream, and return an empty list, as none is removed."""
        return []


class EarlyAdmissionRate(AdmissionRate):
    """An admission rate that starts to shed load at a lower mean latency."""

    def is_overloaded(self) -> bool:
        """Return whether the load exceeds `EARLIER_MAX_LOAD`."""
        return self.load > EARLIER_MAX_LOAD


class PrivateSubsetsBalancer(Balancer):
    """The balancer as it was before three corrections. It is also the control of `load-spread`.

    Its full subsets admit no new upstreams, it counts each retry of an expensive request that times out as a slow
    answer of the pool, and it sheds load at a lower mean latency.
    """

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Create the balancer with a `ClosedSubset` and an `EarlyAdmissionRate` in every pool."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = ClosedSubset()
            pool.admission = EarlyAdmissionRate(now_us)

    def send(self, request: PendingRequest, upstream: TrackedUpstream) -> None:
        """Send an attempt that counts for the pool's load even if an earlier attempt of the request timed out."""
        super().send(request, upstream)
        request.attempts[-1].follows_timeout = False


class FirstFreeSelector(Selector):
    """A selector that always selects the free converter with the lowest id."""

    def candidates_with_free_slots(
        self, request: PendingRequest, upstreams: Iterable[TrackedUpstream], ejections_apply: bool, now_us: int
    ) -> list[Candidate]:
        """Return only the candidate with the lowest id."""
        candidates = super().candidates_with_free_slots(request, upstreams, ejections_apply, now_us)
        return sorted(candidates, key=lambda candidate: candidate.upstream.entry.id)[:1]


class SameOrderBalancer(Balancer):
    """A balancer that selects converters in the order of their ids, which is the same in all sidecars."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Create the balancer with a `FirstFreeSelector`."""
        super().__init__(settings, seed, now_us)
        self.selector = FirstFreeSelector(self.membership, self.retries, self.outliers, self.estimates, self.random)


class ExpellingSubset(Subset):
    """A subset that removes new upstreams."""

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Remove each new upstream, and return those removed."""
        return [removed_upstream for upstream in new_upstreams for removed_upstream in self.leave(upstream)]


class ForgettingBalancer(Balancer):
    """A balancer that removes restarted converters from its subsets."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Create the balancer with an `ExpellingSubset` in every pool."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = ExpellingSubset()


class OpenSubset(Subset):
    """A subset that admits every new upstream, without a limit."""

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Admit each new upstream, unless the subset is still empty."""
        for upstream in new_upstreams if self.members else []:
            self.members[upstream] = None
        return []


class RushingBalancer(Balancer):
    """A balancer that adds every restarted converter to its subsets, so that all sidecars send to it at once."""

    def __init__(self, settings: api.Settings, seed: int, now_us: int) -> None:
        """Create the balancer with an `OpenSubset` in every pool."""
        super().__init__(settings, seed, now_us)
        for pool in self.membership.pools:
            pool.subset = OpenSubset()


def _factory(balancer_class: Callable[[api.Settings, int, int], Balancer]) -> PolicyFactory:
    def factory(settings: api.Settings, seed: int, now_us: int, converters: Sequence[Converter]) -> BalancingPolicy:
        return balancer_class(settings, seed, now_us)

    return factory


FACTORIES: dict[str, PolicyFactory] = {
    "": make_balancer,
    "private-subsets": _factory(PrivateSubsetsBalancer),
    "same-order": _factory(SameOrderBalancer),
    "forget-returned": _factory(ForgettingBalancer),
    "rush-returned": _factory(RushingBalancer),
}
"""Factories by the name of the seeded fault; the empty name stands for the balancer without a fault."""
