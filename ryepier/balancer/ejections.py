"""Index of the current ejections: how many upstreams are ejected, and when the next one is restored."""

import heapq
from typing import NamedTuple

from ryepier.balancer.upstream import TrackedUpstream


class EjectionEnd(NamedTuple):
    """The end of an ejection; entries of a heap, ordered by time."""

    at_us: int
    order: int  # distinguishes entries with the same time
    upstream: TrackedUpstream


class ClassEjections:
    """Ejections that affect one request class.

    An upstream may be ejected for this class only or for all; it is restored at the later of both ends. The
    work of each call is proportional to the ejections that have ended since the last one, not to the number
    of upstreams.
    """

    def __init__(self, class_index: int) -> None:
        """Start without ejections."""
        self.class_index = class_index
        self._ejected_for_class: dict[TrackedUpstream, None] = {}
        self._class_ends: list[EjectionEnd] = []  # a heap
        # A heap. For each ejected upstream it has an entry that is not later than the upstream's restoration.
        self._restorations: list[EjectionEnd] = []
        self._entry_count = 0

    def on_class_ejected(self, upstream: TrackedUpstream, now_us: int) -> None:
        """Record that an upstream was ejected for this class."""
        self._remove_ended(now_us)
        self._ejected_for_class[upstream] = None
        self._push(self._class_ends, upstream.by_class[self.class_index].ejected_until_us, upstream)
        self.schedule_restoration(upstream, now_us)

    def on_class_restored(self, upstream: TrackedUpstream) -> None:
        """Record that the ejection of an upstream for this class has ended early."""
        if upstream in self._ejected_for_class:
            del self._ejected_for_class[upstream]
            self._push(self._restorations, self._restored_at_us(upstream), upstream)

    def schedule_restoration(self, upstream: TrackedUpstream, now_us: int) -> None:
        """Record that the time at which an upstream is restored for this class has changed."""
        self.next_restoration_us(now_us)  # drops what has ended, which would otherwise accumulate
        self._push(self._restorations, self._restored_at_us(upstream), upstream)

    def forget(self, upstream: TrackedUpstream) -> None:
        """Drop an upstream that is no longer listed."""
        self._ejected_for_class.pop(upstream, None)

    def count_for_class(self, now_us: int) -> int:
        """Return how many listed upstreams are ejected for this class only."""
        self._remove_ended(now_us)
        return len(self._ejected_for_class)

    def next_restoration_us(self, now_us: int) -> int | None:
        """Return the earliest time (us) at which an ejected upstream is restored, or None."""
        heap = self._restorations
        while heap:
            entry = heap[0]
            at_us = self._restored_at_us(entry.upstream)
            if not entry.upstream.is_listed or at_us <= now_us or at_us < entry.at_us:
                heapq.heappop(heap)
            elif at_us > entry.at_us:
                heapq.heapreplace(heap, entry._replace(at_us=at_us))
            else:
                return at_us
        return None

    def _push(self, heap: list[EjectionEnd], at_us: int, upstream: TrackedUpstream) -> None:
        self._entry_count += 1
        heapq.heappush(heap, EjectionEnd(at_us, self._entry_count, upstream))

    def _restored_at_us(self, upstream: TrackedUpstream) -> int:
        return max(upstream.ejected_until_us, upstream.by_class[self.class_index].ejected_until_us)

    def _remove_ended(self, now_us: int) -> None:
        """Remove ejections for the class that have ended; an upstream may have been ejected again since."""
        heap = self._class_ends
        while heap and heap[0].at_us <= now_us:
            upstream = heapq.heappop(heap).upstream
            if upstream.by_class[self.class_index].ejected_until_us <= now_us:
                self._ejected_for_class.pop(upstream, None)


class Ejections:
    """The ejections of all request classes."""

    def __init__(self, class_count: int) -> None:
        """Start without ejections."""
        self.by_class = [ClassEjections(class_index) for class_index in range(class_count)]

    def on_upstream_ejected(self, upstream: TrackedUpstream, now_us: int) -> None:
        """Record that an upstream was ejected for all classes."""
        for ejections in self.by_class:
            ejections.schedule_restoration(upstream, now_us)

    def forget(self, upstream: TrackedUpstream) -> None:
        """Drop an upstream that is no longer listed."""
        for ejections in self.by_class:
            ejections.forget(upstream)
