"""Membership: the upstreams that are listed and ready, with the plan's advice on them."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.events import Advice, ListKind, PlanUpdated, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.balancer.pool import UpstreamPool
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import ClassHealth, TrackedUpstream

# Indexes of the pools
LOCAL_POOL = 0
REMOTE_POOL = 1


class Membership:
    """The ready upstreams, their pools and subsets."""

    def __init__(self, settings: Settings, random: Random, now_us: int) -> None:
        """Start without upstreams at `now_us` (microseconds)."""
        self.settings = settings
        self.random = random
        self.by_id: dict[int, TrackedUpstream] = {}  # in the order listed
        self.pools = [UpstreamPool(settings, now_us), UpstreamPool(settings, now_us)]
        # in the order of selection; the remote one has upstreams only where traffic between zones has a price
        self.pools_in_use = self.pools if settings.cross_zone_fee > 0 else [self.pools[LOCAL_POOL]]
        self.planned_ejections_apply = False

    def pool_of(self, upstream: TrackedUpstream) -> UpstreamPool:
        """Return the pool of an upstream."""
        return self.pools[upstream.pool_index]

    def in_pool(self, pool: UpstreamPool) -> list[TrackedUpstream]:
        """Return the ready upstreams of a pool, in the order listed."""
        return [upstream for upstream in self.by_id.values() if self.pools[upstream.pool_index] is pool]

    def update(self, event: UpstreamsUpdated, now_us: int) -> list[TrackedUpstream]:
        """Apply a new or changed list. Returns the upstreams that have left their subsets."""
        if event.kind is not ListKind.DELTA:
            self.by_id = {
                entry.id: self.by_id[entry.id] for entry in event.upstreams if entry.id in self.by_id
            }
        started = self._apply_entries(event)
        for upstream in started:
            if self.pool_of(upstream).slow_start.is_warming(upstream.entry, now_us):
                # All sidecars are notified of it within moments, and must not try it in one burst.
                upstream.slow_start_credit = -self.random.random()
        removed: list[TrackedUpstream] = []
        for pool in self.pools:
            removed += self.refresh_warming(pool, now_us)
            members = pool.subset.members
            pool.subset.members = {upstream: None for upstream in members if self._is_listed(upstream)}
            started_in_pool = [upstream for upstream in started if self.pool_of(upstream) is pool]
            warm = [up for up in started_in_pool if not pool.slow_start.is_warming(up.entry, now_us)]
            removed += self._sample_new_members(pool, warm)
        self._count_planned_ejections()
        return removed

    def _apply_entries(self, event: UpstreamsUpdated) -> list[TrackedUpstream]:
        """Add, update and remove the upstreams of an event. Returns those that are new or have restarted."""
        started = []
        for entry in event.upstreams:
            if entry.state is not UpstreamState.READY:
                self.by_id.pop(entry.id, None)  # rule 3: no new request from the moment of the notification
                continue
            upstream = self.by_id.get(entry.id)
            if upstream is None or upstream.entry.started_us != entry.started_us:
                upstream = self._add(entry)
                started.append(upstream)
            upstream.concurrency.growing_fast |= event.kind is ListKind.CACHED
            upstream.entry = entry
        return started

    def _is_listed(self, upstream: TrackedUpstream) -> bool:
        """Return whether an upstream is listed and has not been replaced by a restarted one."""
        return self.by_id.get(upstream.entry.id) is upstream

    def refresh_warming(self, pool: UpstreamPool, now_us: int) -> list[TrackedUpstream]:
        """Find a pool's warming upstreams, and let those that have become warm join its subset. Returns the
        upstreams that have left it."""
        warmed = pool.slow_start.refresh(self.in_pool(pool), now_us)
        return self._sample_new_members(pool, warmed)

    def apply_plan(self, event: PlanUpdated) -> None:
        """Replace the plan's advice on the listed upstreams; a plan can't bring back one that was removed."""
        advice = {one.upstream: one for one in event.advice}
        for upstream_id, upstream in self.by_id.items():
            upstream.advice = advice.get(upstream_id) or Advice(upstream_id)
        self._count_planned_ejections()

    def _add(self, entry: Upstream) -> TrackedUpstream:
        """Add an upstream that is new or has restarted.

        It starts without measurements, as the faults of the former process would keep the new one ejected.
        The plan's advice concerns the machine and stays.
        """
        in_other_zone = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
        pool_index = REMOTE_POOL if in_other_zone else LOCAL_POOL
        former = self.by_id.get(entry.id)
        advice = former.advice if former is not None else Advice(entry.id)
        health = [ClassHealth() for _ in self.settings.classes]
        self.by_id[entry.id] = TrackedUpstream(entry, pool_index, health, advice)
        return self.by_id[entry.id]

    def _sample_new_members(
        self, pool: UpstreamPool, newcomers: list[TrackedUpstream]
    ) -> list[TrackedUpstream]:
        """Offer places in a pool's subset to those newcomers that are still listed. Returns the upstreams
        that have left it."""
        newcomers = [upstream for upstream in newcomers if self._is_listed(upstream)]
        if not newcomers:
            return []
        wanted = pool.subset.wanted_size(pool.admission.send_rate)
        return pool.subset.sample_new_members(newcomers, len(self.in_pool(pool)), wanted, self.random)

    def _count_planned_ejections(self) -> None:
        """Decide whether the plan's ejections apply: not if they would eject too many."""
        ejected = sum(1 for upstream in self.by_id.values() if upstream.advice.ejected)
        self.planned_ejections_apply = ejected <= tuning.MAX_PLANNED_EJECTED_SHARE * len(self.by_id)
