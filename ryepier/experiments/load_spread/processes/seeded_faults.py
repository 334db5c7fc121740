"""Seeded faults in how a sidecar process spreads its load.

Each function patches the code of the whole process for good, so call it in a separate process.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Any

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.selection import Selector

COMMON_SEED = 7


def use_common_seed() -> None:
    """Make all sidecars use the same seed and instance index, so that they draw the same random numbers."""
    original_init = Balancer.__init__

    def init_with_common_seed(self: Balancer, settings: Any, seed: int, now_us: int) -> None:
        index_override = {"self_index": 0} if hasattr(settings, "self_index") else {}
        original_init(self, dataclasses.replace(settings, **index_override), COMMON_SEED, now_us)

    Balancer.__init__ = init_with_common_seed  # type: ignore[method-assign]


def select_first() -> None:
    """Make all sidecars select the free converter with the lowest id."""
    original_candidates = Selector.candidates_with_free_slots

    def first_free(self: Selector, *arguments: Any, **options: Any) -> Any:
        return sorted(
            original_candidates(self, *arguments, **options), key=lambda candidate: candidate.upstream.entry.id
        )[:1]

    Selector.candidates_with_free_slots = first_free  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {"same-seed": use_common_seed, "same-order": select_first}
