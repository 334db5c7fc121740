"""Mistakes in what a sidecar makes of EndpointSlices.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable

from ryepier.balancer import interface as api
from ryepier.slices import merge
from ryepier.slices.listing import _Known
from ryepier.slices.merge import Merger, Word
from ryepier.slices.reflect import Reflector, Wait


def last_writer() -> None:
    """Of several slices the word that came last counts, and no end is remembered."""

    def decide(self: Merger, identity: str, said: list[Word]) -> merge.Verdict:
        last = said[-1]
        state = api.UpstreamState.DRAINING if last.rank else api.UpstreamState.READY
        return merge.Verdict(identity, last.address, last.zone, last.node, state, False, 1, (last.slice_name,))

    Merger._decide = decide  # type: ignore[method-assign]
    _Known.due_us = lambda self, settle_us: self.ready_us  # type: ignore[method-assign]


def never_again() -> None:
    """A list that is not kept any more is not asked for anew."""
    Reflector._expired = lambda self, now_us: [Wait(now_us + 10**12)]  # type: ignore[method-assign]


def whole_list() -> None:
    """Each change has the whole list decided anew."""
    changes = Merger.changes

    def all_changes(self: Merger, now_us: int) -> dict[str, merge.Verdict | None]:
        self.dirty |= self.words.keys()
        return changes(self, now_us)

    Merger.changes = all_changes  # type: ignore[method-assign]


PLANTS: dict[str, Callable[[], None]] = {
    "last-writer": last_writer,
    "never-again": never_again,
    "whole-list": whole_list,
}
