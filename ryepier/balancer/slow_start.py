"""Slow start: limits the requests that an upstream gets while it warms up."""

import heapq
import math
from typing import NamedTuple

from ryepier.balancer import tuning
from ryepier.balancer.estimates import decayed_rate
from ryepier.balancer.events import Upstream
from ryepier.balancer.rotating_set import RotatingSet
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import TrackedUpstream


class WarmUpEnd(NamedTuple):
    """The end of an upstream's warm-up; entries of a heap, ordered by time."""

    at_us: int
    order: int  # distinguishes entries with the same time
    upstream: TrackedUpstream


class SlowStart:
    """Tracks the warming upstreams of one pool, and gives them credit for requests.

    For each request that a warm upstream of size 1 serves for this sidecar, a warming upstream gets as much
    credit as its relative traffic. However high the demand is, the credit of all sidecars together stays
    within the throughput of the pool.

    In a shortage of slots, the long-term throughput is used if it is higher. While many upstreams are
    warming, the few warm ones are overloaded, and credit for their current throughput alone would leave the
    warming ones unused. As the long-term throughput is a mean over time, its sum over the sidecars does not
    exceed what a warm upstream has served.

    One event gives credit to `MAX_UPSTREAMS_PER_EVENT` upstreams in turn. An upstream's credit
    for the events in between is given at its earlier, lower traffic.
    """

    def __init__(self, settings: Settings, now_us: int) -> None:
        """Start without upstreams at `now_us` (microseconds)."""
        self.settings = settings
        self.warming: RotatingSet[TrackedUpstream] = RotatingSet()
        self.with_credit: RotatingSet[TrackedUpstream] = RotatingSet()  # warming ones that may get a request
        self.warm_up_ends: list[WarmUpEnd] = []  # a heap; may hold upstreams that were removed
        self.warm_up_end_count = 0  # entries ever added to the heap
        self.warm_size = 0.0  # total size of the warm upstreams of the pool
        self.warming_traffic = 0.0  # total of `TrackedUpstream.warming_traffic`
        self.credit_total = 0.0  # credit ever given to an upstream of relative traffic 1
        # Throughputs are in credited requests per second, per warm upstream of size 1.
        self.recent_throughput = 0.0
        self.long_term_throughput = 0.0  # averaged over `long_term_time_constant_us`
        self.long_term_time_constant_us = max(settings.warm_up_us, tuning.RATE_TIME_CONSTANT_US)
        # Share of that time for which the throughput was observed, averaged like the throughput
        self.observed_time_share = 0.0
        self.updated_at_us = now_us
        self.overcommit = 1.0  # traffic of a warming upstream, as a multiple of its guaranteed capacity

    def capacity_share(self, entry: Upstream, now_us: int) -> float:
        """Return the share (0 to 1) of its capacity that an upstream has if it warms up as slowly as
        allowed."""
        settings = self.settings
        age_us = now_us - entry.started_at_us
        if entry.started_at_us == 0 or age_us >= settings.warm_up_us:
            return 1.0
        initial_share = settings.initial_capacity_share
        return initial_share + (1.0 - initial_share) * max(0, age_us) / settings.warm_up_us

    def is_warming(self, entry: Upstream, now_us: int) -> bool:
        """Return whether an upstream is still warming up."""
        return entry.started_at_us != 0 and self.capacity_share(entry, now_us) < 1.0

    def size(self, entry: Upstream) -> float:
        """Return an upstream's size relative to the others: its weight where weights denote sizes, else 1."""
        return entry.weight if self.settings.weighted and 0.0 < entry.weight < math.inf else 1.0

    def relative_traffic(self, upstream: TrackedUpstream, now_us: int) -> float:
        """Return the traffic that a warming upstream gets, relative to a warm upstream of size 1."""
        capacity_share = self.capacity_share(upstream.entry, now_us)
        return self.size(upstream.entry) * min(1.0, capacity_share * self.overcommit)

    def add(self, upstream: TrackedUpstream, now_us: int) -> None:
        """Add a listed upstream. If it is warming, it starts with the slow-start credit that it has."""
        if not self.is_warming(upstream.entry, now_us):
            self.warm_size += self.size(upstream.entry)
            return
        upstream.credited_total = self.credit_total
        upstream.warming_traffic = 0.0
        self._update_traffic(upstream, now_us)
        self.warming.add(upstream)
        self._update_with_credit(upstream)
        self.warm_up_end_count += 1
        warm_at_us = upstream.entry.started_at_us + self.settings.warm_up_us
        heapq.heappush(self.warm_up_ends, WarmUpEnd(warm_at_us, self.warm_up_end_count, upstream))

    def remove(self, upstream: TrackedUpstream) -> None:
        """Remove an upstream that is no longer listed."""
        if upstream in self.warming:
            self._end_warm_up(upstream)
        else:
            self.warm_size -= self.size(upstream.entry)

    def replace_entry(self, upstream: TrackedUpstream, entry: Upstream) -> None:
        """Give an upstream another list entry of the same start."""
        if upstream not in self.warming:
            self.warm_size += self.size(entry) - self.size(upstream.entry)
        upstream.entry = entry

    def end_warm_ups(self, now_us: int) -> list[TrackedUpstream]:
        """Return the upstreams that have become warm, in the order listed."""
        newly_warm_upstreams = []
        while self.is_outdated(now_us):
            upstream = heapq.heappop(self.warm_up_ends).upstream
            if upstream in self.warming:
                self._end_warm_up(upstream)
                self.warm_size += self.size(upstream.entry)
                newly_warm_upstreams.append(upstream)
        return sorted(newly_warm_upstreams, key=lambda upstream: upstream.position)

    def is_outdated(self, now_us: int) -> bool:
        """Return whether an upstream may have become warm since the last call of `end_warm_ups`."""
        return bool(self.warm_up_ends) and self.warm_up_ends[0].at_us <= now_us

    def next_with_credit(self) -> list[TrackedUpstream]:
        """Return warming upstreams that may get a request, in the order listed; if there are many, the next
        part."""
        upstreams = self.with_credit.next_batch(tuning.MAX_UPSTREAMS_PER_EVENT)
        return sorted(upstreams, key=lambda upstream: upstream.position)

    def use_credit(self, upstream: TrackedUpstream, amount: float) -> None:
        """Take the credit for a request that a warming upstream gets."""
        upstream.slow_start_credit -= amount
        self._update_with_credit(upstream)

    def _end_warm_up(self, upstream: TrackedUpstream) -> None:
        self.warming.discard(upstream)
        self.with_credit.discard(upstream)
        self.warming_traffic -= upstream.warming_traffic
        upstream.warming_traffic = 0.0

    def _update_traffic(self, upstream: TrackedUpstream, now_us: int) -> None:
        relative_traffic = self.relative_traffic(upstream, now_us)
        self.warming_traffic += relative_traffic - upstream.warming_traffic
        upstream.warming_traffic = relative_traffic

    def _update_with_credit(self, upstream: TrackedUpstream) -> None:
        if upstream.slow_start_credit < 0.0 or upstream not in self.warming:
            self.with_credit.discard(upstream)
        else:
            self.with_credit.add(upstream)

    def add_credit(self, credited_amount: float, in_shortage: bool, now_us: int) -> None:
        """Distribute the credit for an amount of requests among the warming upstreams, some at a time.

        `credited_amount` is 1 for an answered request, and a fraction of 1 for an arrival. `in_shortage`
        means that requests recently found no free slot.
        """
        elapsed_us = now_us - self.updated_at_us
        self.updated_at_us = now_us
        upstreams = self.warming.next_batch(tuning.MAX_UPSTREAMS_PER_EVENT)
        earlier_traffic = [upstream.warming_traffic for upstream in upstreams]
        for upstream in upstreams:
            self._update_traffic(upstream, now_us)
        amount_per_size = credited_amount / max(self.warm_size + self.warming_traffic, tuning.MIN_CONCURRENCY)
        credit = amount_per_size
        if in_shortage:
            observed_time_share = max(self.observed_time_share, tuning.MIN_OBSERVED_TIME_SHARE)
            missing_throughput = self.long_term_throughput / observed_time_share - self.recent_throughput
            credit += elapsed_us / tuning.SECOND_US * max(0.0, missing_throughput)
        credit_total_before = self.credit_total
        self.credit_total += credit
        for upstream, traffic_before in zip(upstreams, earlier_traffic, strict=True):
            deferred_credit = (credit_total_before - upstream.credited_total) * traffic_before
            upstream.credited_total = self.credit_total
            new_credit = upstream.slow_start_credit + deferred_credit + credit * upstream.warming_traffic
            new_credit = min(new_credit, tuning.MAX_SLOW_START_CREDIT)
            upstream.slow_start_credit = max(upstream.slow_start_credit, new_credit)
            self._update_with_credit(upstream)
        self._observe_throughput(amount_per_size, elapsed_us)

    def _observe_throughput(self, amount_per_size: float, elapsed_us: int) -> None:
        """Update the averages, `elapsed_us` after their last update, with an amount per unit of size."""
        time_constant_us = self.long_term_time_constant_us
        self.recent_throughput = decayed_rate(
            self.recent_throughput, amount_per_size, elapsed_us, tuning.RATE_TIME_CONSTANT_US
        )
        self.long_term_throughput = decayed_rate(
            self.long_term_throughput, amount_per_size, elapsed_us, time_constant_us
        )
        self.observed_time_share = 1.0 - (1.0 - self.observed_time_share) * math.exp(
            -elapsed_us / time_constant_us
        )

    def adapt_overcommit(self, load: float) -> None:
        """Adapt the overcommit to the load that the answer of a warming upstream shows.

        There is an overcommit because most upstreams have more than their guaranteed capacity while they warm
        up.
        """
        max_overcommit = max(1.0, tuning.MAX_OVERCOMMIT_SHARE * self.settings.overload_factor)
        overcommit = self.overcommit * (1.0 + tuning.OVERCOMMIT_GAIN * (tuning.TARGET_LOAD - load))
        self.overcommit = min(max(overcommit, tuning.MIN_OVERCOMMIT), max_overcommit)
