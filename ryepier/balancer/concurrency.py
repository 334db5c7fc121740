"""Adaptive concurrency limit of one upstream, from the load that its answers show."""

from ryepier.balancer import tuning


class ConcurrencyLimit:
    """How many attempts may be in flight at an upstream; below 1 it is ejected between attempts."""

    def __init__(self) -> None:
        """Start with one slot."""
        self.limit = 1.0
        self.growing_fast = False  # until its first slow answer or fault

    def update(self, load: float, faulty: bool, slots_needed: bool) -> None:
        """Adjust the limit after an attempt.

        `load` is its latency relative to the slow one. `slots_needed` if there was a shortage recently;
        without one, a higher limit would choke the upstream in the next burst.
        """
        # An expensive request is slow by itself: many answers count together, each for a little.
        change = tuning.CONCURRENCY_GROWTH * (tuning.TARGET_LOAD - load) / max(self.limit, 1.0)
        self.growing_fast = self.growing_fast and change > 0.0 and not faulty
        if self.growing_fast:
            # At the usual growth a sidecar that starts in a busy hour would reject a third of its requests.
            change = 1.0 - load / tuning.TARGET_LOAD
        if faulty:
            # An upstream that fails at once frees its slots at once and would be selected ever more often.
            self.limit /= 2
        elif change < 0.0:
            # Slow answers leave one slot: after an outage all upstreams would be ejected for long.
            self.limit = max(self.limit * (1.0 + change), min(self.limit, 1.0))
        elif self.limit < 1.0 or slots_needed:
            self.limit += min(self.limit, change)
        self.limit = min(max(self.limit, tuning.MIN_CONCURRENCY), float(tuning.MAX_CONCURRENCY))
