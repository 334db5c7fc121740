"""The upstreams that the endpoint list names as ready, with the plan's advice on them."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.ejections import Ejections
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
        # In the order of preference. The remote pool has upstreams only if cross-zone traffic has a fee.
        self.pools_in_use = self.pools if settings.cross_zone_fee > 0 else [self.pools[LOCAL_POOL]]
        self.ejections = Ejections(len(settings.classes))
        self.planned_ejected_count = 0  # listed upstreams that the plan ejects
        self.planned_ejections_apply = False
        self.next_position = 0  # position of the next upstream that is listed

    def pool_of(self, upstream: TrackedUpstream) -> UpstreamPool:
        """Return the pool of an upstream."""
        return self.pools[upstream.pool_index]

    def update(self, event: UpstreamsUpdated, now_us: int) -> list[TrackedUpstream]:
        """Apply a new or changed list. Returns the upstreams that have left their subsets."""
        if event.kind is not ListKind.DELTA:
            self._keep_only(event.upstreams)
        started_upstreams = self._apply_entries(event, now_us)
        removed_upstreams: list[TrackedUpstream] = []
        for pool in self.pools:
            removed_upstreams += self.refresh_warming(pool, now_us)
            pool.subset.keep_listed()
            warm_upstreams = [
                upstream
                for upstream in started_upstreams
                if self.pool_of(upstream) is pool and upstream not in pool.slow_start.warming
            ]
            removed_upstreams += self._sample_new_members(pool, warm_upstreams)
        self._update_planned_ejections()
        return removed_upstreams

    def _keep_only(self, entries: list[Upstream]) -> None:
        """Remove the upstreams without an entry, and bring the others into the order of the entries."""
        unlisted = self.by_id
        self.by_id = {entry.id: unlisted.pop(entry.id) for entry in entries if entry.id in unlisted}
        for upstream in unlisted.values():
            self._forget(upstream)
        for position, upstream in enumerate(self.by_id.values()):
            upstream.position = position
        self.next_position = len(self.by_id)

    def _apply_entries(self, event: UpstreamsUpdated, now_us: int) -> list[TrackedUpstream]:
        """Add, update and remove the upstreams of an event. Returns those that are new or have restarted."""
        started_upstreams = []
        for entry in event.upstreams:
            upstream = self.by_id.get(entry.id)
            if entry.state is not UpstreamState.READY:
                if upstream is not None:  # it must get no new request after this event
                    del self.by_id[entry.id]
                    self._forget(upstream)
                continue
            if upstream is None or upstream.entry.started_at_us != entry.started_at_us:
                upstream = self._add(entry, now_us)
                started_upstreams.append(upstream)
            upstream.concurrency.growing_fast |= event.kind is ListKind.CACHED
            self.pool_of(upstream).replace_entry(upstream, entry)
        return started_upstreams

    def refresh_warming(self, pool: UpstreamPool, now_us: int) -> list[TrackedUpstream]:
        """Update a pool's warming upstreams, and let each that has become warm join the pool's subset at
        random. Returns the upstreams that have left the subset."""
        newly_warm_upstreams = pool.slow_start.end_warm_ups(now_us)
        return self._sample_new_members(pool, newly_warm_upstreams)

    def apply_plan(self, event: PlanUpdated) -> None:
        """Replace the plan's advice on the listed upstreams; a plan cannot add an upstream."""
        advice_by_id = {advice.upstream: advice for advice in event.advice}
        for upstream_id, upstream in self.by_id.items():
            upstream.advice = advice_by_id.get(upstream_id) or Advice(upstream_id)
        self.planned_ejected_count = sum(1 for upstream in self.by_id.values() if upstream.advice.ejected)
        self._update_planned_ejections()

    def _add(self, entry: Upstream, now_us: int) -> TrackedUpstream:
        """Add an upstream that is new or has restarted.

        The upstream starts without measurements, as faults of its previous process would keep it ejected. The
        plan's advice applies to the machine and is kept after a restart.
        """
        in_other_zone = self.settings.cross_zone_fee > 0 and entry.zone != self.settings.zone
        pool_index = REMOTE_POOL if in_other_zone else LOCAL_POOL
        previous = self.by_id.get(entry.id)
        advice = previous.advice if previous is not None else Advice(entry.id)
        health = [ClassHealth() for _ in self.settings.classes]
        upstream = self.by_id[entry.id] = TrackedUpstream(entry, pool_index, health, advice)
        if previous is not None:
            upstream.position = previous.position
            self._forget(previous)
        else:
            upstream.position = self.next_position
            self.next_position += 1
        self.planned_ejected_count += int(advice.ejected)
        pool = self.pool_of(upstream)
        if pool.slow_start.is_warming(entry, now_us):
            # All sidecars learn of the upstream at almost the same time. The random negative credit spreads
            # their first requests, which would otherwise reach the upstream in one burst.
            upstream.slow_start_credit = -self.random.random()
        pool.add(upstream, now_us)
        return upstream

    def _forget(self, upstream: TrackedUpstream) -> None:
        """Drop an upstream that has left `by_id`."""
        upstream.is_listed = False
        self.planned_ejected_count -= int(upstream.advice.ejected)
        self.pool_of(upstream).remove(upstream)
        self.ejections.forget(upstream)

    def _sample_new_members(
        self, pool: UpstreamPool, new_upstreams: list[TrackedUpstream]
    ) -> list[TrackedUpstream]:
        """Let new upstreams, unless they were removed meanwhile, join a pool's subset at random. Returns the
        upstreams that have left the subset."""
        new_upstreams = [upstream for upstream in new_upstreams if upstream.is_listed]
        if not new_upstreams:
            return []
        wanted_count = pool.subset.wanted_size(pool.admission.send_rate)
        return pool.subset.sample_new_members(new_upstreams, len(pool.listed), wanted_count, self.random)

    def _update_planned_ejections(self) -> None:
        """Update `planned_ejections_apply`: a plan's ejections are ignored if it ejects too many
        upstreams."""
        max_ejected_count = tuning.MAX_PLANNED_EJECTED_SHARE * len(self.by_id)
        self.planned_ejections_apply = self.planned_ejected_count <= max_ejected_count
