"""Applies updates of the endpoint list in order, and long ones in parts: one an iteration of the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

from ryepier.balancer.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.sidecar.requests import Address

# A list of thousands of entries would otherwise keep the event loop from requests for a tenth of a second.
MAX_ENTRIES_PER_TURN = 256


class EndpointUpdate(NamedTuple):
    """An endpoint list or changes to it, with the addresses of its entries by upstream id."""

    event: UpstreamsUpdated
    addresses: dict[int, Address]


def split(update: EndpointUpdate, listed: Mapping[int, Address]) -> list[EndpointUpdate]:
    """Return changes that together have the effect of `update` on the upstreams that are listed now.

    Each has at most MAX_ENTRIES_PER_TURN entries, and upstreams that must get no new request come first. A cached list
    stays whole, as it is applied before there are requests.
    """
    event, addresses = update
    is_complete_list = event.kind is ListKind.FULL
    affected_count = max(len(event.upstreams), len(listed) if is_complete_list else 0)
    if affected_count <= MAX_ENTRIES_PER_TURN or event.kind is ListKind.CACHED:
        return [update]
    entries = sorted(event.upstreams, key=lambda entry: entry.state is UpstreamState.READY)
    if is_complete_list:
        unlisted_ids = [upstream_id for upstream_id in listed if upstream_id not in addresses]
        entries = [*(Upstream(upstream_id, UpstreamState.REMOVED) for upstream_id in unlisted_ids), *entries]
    return [
        EndpointUpdate(
            UpstreamsUpdated(ListKind.DELTA, entries[start : start + MAX_ENTRIES_PER_TURN], event.version), addresses
        )
        for start in range(0, len(entries), MAX_ENTRIES_PER_TURN)
    ]


class EndpointUpdateQueue:
    """Updates that are not applied yet."""

    def __init__(
        self,
        apply: Callable[[EndpointUpdate], None],
        call_soon: Callable[[Callable[[], None]], object],
        listed: Mapping[int, Address],
    ) -> None:
        """Start empty.

        `apply` applies an update, or a part of one, to the `listed` upstreams; `call_soon` schedules a call in the next
        iteration of the event loop.
        """
        self.apply = apply
        self.call_soon = call_soon
        self.listed = listed
        self.updates: deque[EndpointUpdate] = deque()
        self.parts: deque[EndpointUpdate] = deque()  # of the update that is being applied
        self.is_busy = False

    def add(self, update: EndpointUpdate) -> None:
        """Apply an update, or its first part, now, unless earlier ones are not applied yet."""
        self.updates.append(update)
        if not self.is_busy:
            self.is_busy = True
            self._apply_part()

    def _apply_part(self) -> None:
        if not self.parts:
            self.parts.extend(split(self.updates.popleft(), self.listed))
        try:
            self.apply(self.parts.popleft())
        finally:  # an error in one part must not keep later updates from being applied
            self.is_busy = bool(self.parts or self.updates)
            if self.is_busy:
                self.call_soon(self._apply_part)
