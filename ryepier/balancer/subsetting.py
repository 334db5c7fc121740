"""Subsetting: a sidecar uses only as many upstreams as its traffic needs."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.upstream import TrackedUpstream


class Subset:
    """The upstreams of one pool that this sidecar uses, in the order in which they joined."""

    def __init__(self) -> None:
        """Start without members; upstreams join when they are selected."""
        self.members: dict[TrackedUpstream, None] = {}

    @staticmethod
    def wanted_size(send_rate: float) -> int:
        """Return how many upstreams a sidecar needs at a rate of `send_rate` attempts per second."""
        return tuning.MIN_SUBSET_SIZE + int(send_rate / tuning.ATTEMPT_RATE_PER_MEMBER)

    def leave(self, upstream: TrackedUpstream) -> list[TrackedUpstream]:
        """Remove an upstream. Returns it if it was a member, so that its idle connections can be closed."""
        if upstream not in self.members:
            return []
        del self.members[upstream]
        return [upstream]

    def sample_new_members(
        self, new_upstreams: list[TrackedUpstream], listed_count: int, wanted_count: int, random: Random
    ) -> list[TrackedUpstream]:
        """Let each upstream that is newly listed or newly warm join with the same probability as the
        upstreams that were listed from the start. Returns the upstreams that have left the subset.

        This is reservoir sampling among `listed_count` upstreams: a new member replaces a random one, and an
        upstream that is not sampled leaves the subset. Otherwise a full subset would never admit an upstream
        that returns, and an upstream that joined many subsets while it was warming would be overloaded
        afterwards.
        """
        if not new_upstreams or not self.members:
            return []  # nothing to add, or no members yet: selections add the first ones
        replaceable_members = [upstream for upstream in self.members if upstream not in new_upstreams]
        random.shuffle(replaceable_members)
        target_size = max(wanted_count, len(replaceable_members))
        removed_upstreams: list[TrackedUpstream] = []
        for upstream in new_upstreams:
            if random.random() * listed_count >= target_size:
                removed_upstreams += self.leave(upstream)
            elif upstream not in self.members and len(self.members) >= wanted_count and replaceable_members:
                # Only a full subset replaces a member. A subset that is not full grows by selections instead.
                removed_upstreams += self.leave(replaceable_members.pop())
                self.members[upstream] = None
        return removed_upstreams
