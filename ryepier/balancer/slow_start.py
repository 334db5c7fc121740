"""Slow start: limits the requests that an upstream gets while it warms up."""

import math

from ryepier.balancer import tuning
from ryepier.balancer.estimates import decayed_rate
from ryepier.balancer.events import Upstream
from ryepier.balancer.settings import Settings
from ryepier.balancer.upstream import TrackedUpstream


class SlowStart:
    """Tracks the warming upstreams of one pool, and gives them credit for requests.

    For each request that a warm upstream of size 1 serves for this sidecar, a warming upstream gets as much
    credit as its relative traffic. However high the demand is, the credit of all sidecars together stays
    within the throughput of the pool.

    In a shortage of slots, the long-term throughput is used if it is higher. While many upstreams are
    warming, the few warm ones are overloaded, and credit for their current throughput alone would leave the
    warming ones unused. As the long-term throughput is a mean over time, its sum over the sidecars does not
    exceed what a warm upstream has served.
    """

    def __init__(self, settings: Settings, now_us: int) -> None:
        """Start without upstreams at `now_us` (microseconds)."""
        self.settings = settings
        self.warming_upstreams: list[TrackedUpstream] = []
        self.warm_size = 0.0  # total size of the warm upstreams of the pool
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

    def refresh(self, listed_upstreams: list[TrackedUpstream], now_us: int) -> list[TrackedUpstream]:
        """Update the warming upstreams from the pool's listed ones. Returns those that have become warm."""
        newly_warm_upstreams = [
            upstream for upstream in self.warming_upstreams if not self.is_warming(upstream.entry, now_us)
        ]
        self.warming_upstreams = [
            upstream for upstream in listed_upstreams if self.is_warming(upstream.entry, now_us)
        ]
        warm_upstreams = [
            upstream for upstream in listed_upstreams if not self.is_warming(upstream.entry, now_us)
        ]
        self.warm_size = sum(self.size(upstream.entry) for upstream in warm_upstreams)
        return newly_warm_upstreams

    def is_outdated(self, now_us: int) -> bool:
        """Return whether an upstream has become warm since the last call of `refresh`."""
        return any(not self.is_warming(upstream.entry, now_us) for upstream in self.warming_upstreams)

    def add_credit(self, credited_amount: float, in_shortage: bool, now_us: int) -> None:
        """Distribute the credit for an amount of requests among the warming upstreams.

        `credited_amount` is 1 for an answered request, and a fraction of 1 for an arrival. `in_shortage`
        means that requests recently found no free slot.
        """
        elapsed_us = now_us - self.updated_at_us
        self.updated_at_us = now_us
        warming_traffic = [self.relative_traffic(upstream, now_us) for upstream in self.warming_upstreams]
        amount_per_size = credited_amount / max(self.warm_size + sum(warming_traffic), tuning.MIN_CONCURRENCY)
        credit = amount_per_size
        if in_shortage:
            observed_time_share = max(self.observed_time_share, tuning.MIN_OBSERVED_TIME_SHARE)
            missing_throughput = self.long_term_throughput / observed_time_share - self.recent_throughput
            credit += elapsed_us / tuning.SECOND_US * max(0.0, missing_throughput)
        for upstream, relative_traffic in zip(self.warming_upstreams, warming_traffic, strict=True):
            new_credit = min(
                upstream.slow_start_credit + credit * relative_traffic, tuning.MAX_SLOW_START_CREDIT
            )
            upstream.slow_start_credit = max(upstream.slow_start_credit, new_credit)
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
