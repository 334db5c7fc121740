"""Seeded faults that spoil how evenly a fleet spreads its load; see `ryepier.experiments.seeded_faults`."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.selection import Selector

ONE_SEED = 7


def same_seed() -> None:
    """All sidecars draw alike: one seed, and the same place among the instances."""
    begin = Balancer.__init__

    def begin_alike(self: Balancer, settings: Any, seed: int, now_us: int) -> None:
        alike = {"self_index": 0} if hasattr(settings, "self_index") else {}
        begin(self, dataclasses.replace(settings, **alike), ONE_SEED, now_us)

    Balancer.__init__ = begin_alike  # type: ignore[method-assign]


def same_order() -> None:
    """All sidecars take the first free converter of the list."""
    free_slots = Selector.free_slots

    def first_free(self: Selector, *arguments: Any, **more: Any) -> Any:
        return sorted(free_slots(self, *arguments, **more), key=lambda one: one.upstream.entry.id)[:1]

    Selector.free_slots = first_free  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {"same-seed": same_seed, "same-order": same_order}
