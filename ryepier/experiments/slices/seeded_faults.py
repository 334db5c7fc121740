"""Mistakes in what a sidecar makes of EndpointSlices.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer import interface as api
from ryepier.slices import endpoint_slice_merger
from ryepier.slices.endpoint_listing import _ListedEndpoint
from ryepier.slices.endpoint_slice_merger import EndpointObservation, EndpointSliceMerger
from ryepier.slices.reflector import Reflector, Wait


def last_writer() -> None:
    """Of several slices the word that came last counts, and no end is remembered."""

    def decide(
        self: EndpointSliceMerger, identity: str, reported: list[EndpointObservation]
    ) -> endpoint_slice_merger.MergedEndpoint:
        last = reported[-1]
        state = api.UpstreamState.DRAINING if last.risk else api.UpstreamState.READY
        return endpoint_slice_merger.MergedEndpoint(
            identity, last.address, last.zone, last.node, state, False, 1, (last.slice_name,)
        )

    EndpointSliceMerger._merge = decide  # type: ignore[method-assign]
    _ListedEndpoint.publish_at_us = lambda self, settle_us: self.ready_since_us  # type: ignore[method-assign]


def never_again() -> None:
    """A list that is not kept any more is not asked for anew."""
    Reflector._expired = lambda self, now_us: [Wait(now_us + 10**12)]  # type: ignore[method-assign]


def whole_list() -> None:
    """Each change has the whole list decided anew."""
    changes = EndpointSliceMerger.changes

    def all_changes(self: EndpointSliceMerger, now_us: int) -> dict[str, endpoint_slice_merger.MergedEndpoint | None]:
        self.changed |= self.observations.keys()
        return changes(self, now_us)

    EndpointSliceMerger.changes = all_changes  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "last-writer": last_writer,
    "never-again": never_again,
    "whole-list": whole_list,
}
