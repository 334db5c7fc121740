"""Adaptive concurrency limit of one upstream, from the load that its answers show."""

from ryepier.balancer import tuning


class ConcurrencyLimit:
    """How many attempts may be in flight at an upstream; below 1 it is ejected between attempts."""

    def __init__(self) -> None:
        """Start with one slot."""
        self.limit = 1.0
        self.growing_fast = False  # until its first slow answer or fault

    def update(self, load: float, faulty: bool, needed: bool) -> None:
        """Adjust the limit after an attempt.

        `load` is its latency relative to the slow one. Slots are `needed` if there was a shortage recently;
        without one, a higher limit would choke the upstream in the next burst.
        """
        # An expensive request is slow by itself: many answers count together, each for a little.
        step = tuning.CONCURRENCY_GROWTH * (tuning.TARGET_LOAD - load) / max(self.limit, 1.0)
        self.growing_fast = self.growing_fast and step > 0.0 and not faulty
        if self.growing_fast:
            # At the usual growth a sidecar that starts in a busy hour would reject a third of its requests.
            step = 1.0 - load / tuning.TARGET_LOAD
        if faulty:
            # An upstream that fails at once frees its slots at once and would be selected ever more often.
            self.limit /= 2
        elif step < 0.0:
            # Slow answers leave one slot: after an outage all upstreams would be ejected for long.
            self.limit = max(self.limit * (1.0 + step), min(self.limit, 1.0))
        elif self.limit < 1.0 or needed:
            self.limit += min(self.limit, step)
        self.limit = min(max(self.limit, tuning.MIN_CONCURRENCY), float(tuning.MAX_CONCURRENCY))
