"""Seeded faults in how a sidecar reads EndpointSlices.

Each function patches the code of the whole process and can't be undone, so call it in a separate process.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer import interface as api
from ryepier.slices import endpoint_slice_merger
from ryepier.slices.endpoint_listing import _ListedEndpoint
from ryepier.slices.endpoint_slice_merger import EndpointObservation, EndpointSliceMerger
from ryepier.slices.reflector import Reflector, Wait

FAR_FUTURE_US = 10**12  # later than the end of any run


def trust_last_slice() -> None:
    """Take an endpoint's state from the last slice only, and forget observed terminations."""

    def merge_last_observation(
        self: EndpointSliceMerger, identity: str, observations: list[EndpointObservation]
    ) -> endpoint_slice_merger.MergedEndpoint:
        last_observation = observations[-1]
        state = api.UpstreamState.DRAINING if last_observation.risk else api.UpstreamState.READY
        return endpoint_slice_merger.MergedEndpoint(
            identity,
            last_observation.address,
            last_observation.zone,
            last_observation.node,
            state,
            False,
            1,
            (last_observation.slice_name,),
        )

    EndpointSliceMerger._merge = merge_last_observation  # type: ignore[method-assign]
    _ListedEndpoint.publish_at_us = lambda self, settle_us: self.ready_since_us  # type: ignore[method-assign]


def never_list_again() -> None:
    """Never list the slices again after the server has dropped the revision of a watch."""
    Reflector._relist_after_expiry = lambda self, now_us: [Wait(now_us + FAR_FUTURE_US)]  # type: ignore[method-assign]


def merge_everything() -> None:
    """Merge all endpoints again at each change."""
    original_changes = EndpointSliceMerger.changes

    def all_changes(self: EndpointSliceMerger, now_us: int) -> dict[str, endpoint_slice_merger.MergedEndpoint | None]:
        self.changed_identities |= self.observations.keys()
        return original_changes(self, now_us)

    EndpointSliceMerger.changes = all_changes  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "last-writer": trust_last_slice,
    "never-again": never_list_again,
    "whole-list": merge_everything,
}
