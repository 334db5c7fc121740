"""Adaptive concurrency limit of one upstream, adjusted to the latency of its answers."""

from ryepier.balancer import tuning


class ConcurrencyLimit:
    """Limit of the attempts in flight at an upstream; below 1, the upstream is ejected between attempts."""

    __slots__ = ("growing_fast", "limit")

    def __init__(self) -> None:
        """Start with one slot."""
        self.limit = 1.0
        self.growing_fast = False  # True for upstreams of a cached list, until a slow answer or fault

    def update(self, load: float, faulty: bool, in_shortage: bool) -> None:
        """Adjust the limit after an attempt.

        `load` is the latency of the attempt relative to the slow latency. The limit grows beyond 1 only if
        `in_shortage`, that is, if requests recently found no free slot. Otherwise a higher limit would let
        the next burst overload the upstream.
        """
        # Each answer changes the limit only a little, as an expensive request is slow at any load.
        change = tuning.CONCURRENCY_GROWTH * (tuning.TARGET_LOAD - load) / max(self.limit, 1.0)
        self.growing_fast = self.growing_fast and change > 0.0 and not faulty
        if self.growing_fast:
            # With normal growth, a sidecar that starts in a busy hour would reject a third of its requests.
            change = 1.0 - load / tuning.TARGET_LOAD
        if faulty:
            # With an unchanged limit, an upstream that fails fast would soon have free slots again and
            # attract requests.
            self.limit /= 2
        elif change < 0.0:
            # Slow answers do not reduce the limit below 1, so they do not eject the upstream. Otherwise all
            # upstreams would stay ejected for a long time after an outage.
            self.limit = max(self.limit * (1.0 + change), min(self.limit, 1.0))
        elif self.limit < 1.0 or in_shortage:
            self.limit += min(self.limit, change)
        self.limit = min(max(self.limit, tuning.MIN_CONCURRENCY), float(tuning.MAX_CONCURRENCY))
