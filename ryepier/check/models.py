"""The models that come with the project."""

from __future__ import annotations

import itertools

from ryepier.check.model import CLASSES, Model

PAIRS = [
    Model(f"pair-{one}-{other}", 2, (one, other), attempts=2)
    for one, other in itertools.combinations_with_replacement(CLASSES, 2)
]
SINGLES = [Model(f"one-{name}", 2, (name,), attempts=3, changes=2, leaves=1, dials=True) for name in CLASSES]
MODELS = {
    model.name: model
    for model in (
        *SINGLES,
        *PAIRS,
        Model("cells", 3, ("cell",), cells=(1, 1, 2), attempts=3, changes=1),
        Model("drains", 2, ("ask", "once"), attempts=2, changes=2, outcomes=("ok", "reset")),
        Model("leaves", 2, ("once", "ask"), attempts=2, leaves=2, outcomes=("ok", "reset")),
        Model("three", 2, ("ask", "once", "cell"), attempts=2, outcomes=("ok", "reset"), depth=14),
        Model("quick", 2, ("cell",), attempts=2, changes=1, leaves=1),
    )
}
