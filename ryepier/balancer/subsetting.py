"""Subsetting: the upstreams that one sidecar uses, as many as its traffic needs."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.upstream import TrackedUpstream


class Subset:
    """The upstreams of one pool whose slots are open to this sidecar, in the order of their joining."""

    def __init__(self) -> None:
        """Start empty: upstreams join as they are selected."""
        self.members: dict[TrackedUpstream, None] = {}

    @staticmethod
    def wanted_size(send_rate: float) -> int:
        """Return how many upstreams a sidecar needs at this rate of attempts per second."""
        return tuning.MIN_SUBSET_SIZE + int(send_rate / tuning.ATTEMPT_RATE_PER_MEMBER)

    def leave(self, upstream: TrackedUpstream) -> list[TrackedUpstream]:
        """Remove an upstream. Returns it if it was a member, as its idle connections may be closed."""
        if upstream not in self.members:
            return []
        del self.members[upstream]
        return [upstream]

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Give newcomers, just listed or just warm, the chance of a place that they would have had from the
        start. Returns the upstreams that have left.

        This is reservoir sampling among the `listed` upstreams: a newcomer takes the place of a random
        member. A full subset would otherwise never take in an upstream that returns. One that stayed in each
        subset that used it while warming up would be crowded afterwards.
        """
        if not new_upstreams or not self.members:
            return []  # before the first attempt, places are taken as selections need them
        replaceable = [upstream for upstream in self.members if upstream not in new_upstreams]
        random.shuffle(replaceable)
        places = max(wanted_count, len(replaceable))
        removed: list[TrackedUpstream] = []
        for upstream in new_upstreams:
            if random.random() * listed_count >= places:
                removed += self.leave(upstream)
            elif upstream not in self.members and len(self.members) >= wanted_count and replaceable:
                # A free place is left to the next selection, which tries an upstream outside the subset.
                removed += self.leave(replaceable.pop())
                self.members[upstream] = None
        return removed
