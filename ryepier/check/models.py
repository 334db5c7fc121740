"""The predefined models, which `ryepier check` explores by name."""

from __future__ import annotations

import itertools

from ryepier.check.model import CLASSES, Model

REQUEST_PAIR_MODELS = [
    Model(f"pair-{first}-{second}", 2, (first, second), max_attempts=2)
    for first, second in itertools.combinations_with_replacement(CLASSES, 2)
]
SINGLE_REQUEST_MODELS = [
    Model(f"one-{name}", 2, (name,), max_attempts=3, list_changes=2, client_disconnects=1, connects_first=True)
    for name in CLASSES
]
MODELS = {
    model.name: model
    for model in (
        *SINGLE_REQUEST_MODELS,
        *REQUEST_PAIR_MODELS,
        Model("cells", 3, ("cell",), failure_domains=(1, 1, 2), max_attempts=3, list_changes=1),
        Model("drains", 2, ("ask", "once"), max_attempts=2, list_changes=2, outcomes=("ok", "reset")),
        Model("leaves", 2, ("once", "ask"), max_attempts=2, client_disconnects=2, outcomes=("ok", "reset")),
        Model("three", 2, ("ask", "once", "cell"), max_attempts=2, outcomes=("ok", "reset"), depth=14),
        Model("quick", 2, ("cell",), max_attempts=2, list_changes=1, client_disconnects=1),
    )
}
