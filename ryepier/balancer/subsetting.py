"""Subsetting: a sidecar uses only as many upstreams as its traffic needs."""

from random import Random

from ryepier.balancer import tuning
from ryepier.balancer.slow_start import SlowStart
from ryepier.balancer.upstream import TrackedUpstream


class Subset:
    """The upstreams of one pool that this sidecar uses, in the order in which they joined."""

    def __init__(self) -> None:
        """Start without members; upstreams join when they are selected."""
        self.members: dict[TrackedUpstream, None] = {}
        self._warm_members: dict[TrackedUpstream, None] | None = None  # None: to be computed again

    @staticmethod
    def wanted_size(send_rate: float) -> int:
        """Return how many upstreams a sidecar needs at a rate of `send_rate` attempts per second."""
        return tuning.MIN_SUBSET_SIZE + int(send_rate / tuning.ATTEMPT_RATE_PER_MEMBER)

    def warm_members(self, slow_start: SlowStart, now_us: int) -> list[TrackedUpstream]:
        """Return the members that are not warming up; `slow_start` is that of the pool."""
        if slow_start.is_outdated(now_us):
            return [
                upstream for upstream in self.members if not slow_start.is_warming(upstream.entry, now_us)
            ]
        if self._warm_members is None:
            self._warm_members = {
                upstream: None for upstream in self.members if upstream not in slow_start.warming
            }
        return [*self._warm_members]

    def join(self, upstream: TrackedUpstream, is_warming: bool) -> None:
        """Add an upstream; without effect if it is a member."""
        if upstream in self.members:
            return
        self.members[upstream] = None
        if self._warm_members is not None and not is_warming:
            self._warm_members[upstream] = None

    def keep_listed(self) -> None:
        """Remove the upstreams that are no longer listed."""
        self.members = {upstream: None for upstream in self.members if upstream.is_listed}
        self._warm_members = None

    def leave(self, upstream: TrackedUpstream) -> list[TrackedUpstream]:
        """Remove an upstream. Returns it if it was a member, so that its idle connections can be closed."""
        if upstream not in self.members:
            return []
        del self.members[upstream]
        self._warm_members = None
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
        self._warm_members = None  # members that have become warm keep their places in `members`
        are_new = dict.fromkeys(new_upstreams)
        replaceable_members = [upstream for upstream in self.members if upstream not in are_new]
        random.shuffle(replaceable_members)
        target_size = max(wanted_count, len(replaceable_members))
        removed_upstreams: list[TrackedUpstream] = []
        for upstream in new_upstreams:
            if random.random() * listed_count >= target_size:
                removed_upstreams += self.leave(upstream)
            elif upstream not in self.members and len(self.members) >= wanted_count and replaceable_members:
                # Only a full subset replaces a member. A subset that is not full grows by selections instead.
                removed_upstreams += self.leave(replaceable_members.pop())
                self.join(upstream, is_warming=False)
        return removed_upstreams
