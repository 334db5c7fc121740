"""Sidecars and planners with one named mistake put in on purpose, to show that a claim can fail.

`python -m ryepier.experiments.planted FAULT` is a sidecar like `python -m ryepier.sidecar`, but for that mistake; with
`--config FILE` it is one like `ryepier run`, and where the mistake is a planner's, one like `ryepier planner`. The
mistakes themselves stand beside the experiments that find them.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable

from ryepier.experiments.faults import planted as faults
from ryepier.experiments.graphql import planted as graphql
from ryepier.experiments.load_spread import processes_planted as load_spread
from ryepier.experiments.planners import planted as planners
from ryepier.experiments.scale import planted as scale
from ryepier.experiments.simulation import planted as simulation
from ryepier.experiments.slices import planted as slices
from ryepier.experiments.storms import planted as storms
from ryepier.sidecar import __main__ as sidecar

PLANNERS_PLANTS = planners.OF_PLANNERS
PLANTS: dict[str, Callable[[], None]] = {
    **faults.PLANTS,
    **planners.PLANTS,
    **scale.PLANTS,
    **slices.PLANTS,
    **storms.PLANTS,
    **graphql.PLANTS,
    **simulation.PLANTS,
    **load_spread.PLANTS,
}


def command(plant: str) -> list[str]:
    """How to start a sidecar with this mistake."""
    return [sys.executable, "-B", "-m", "ryepier.experiments.planted", plant]


def main() -> int:
    """Plant the mistake that the first argument names, then start what the others ask for; its exit status."""
    plant, *arguments = sys.argv[1:]
    PLANTS[plant]()
    if plant in PLANNERS_PLANTS or arguments:
        # the command line lies above this floor, so it is started as a person would start it
        sys.argv = ["ryepier", "planner" if plant in PLANNERS_PLANTS else "run", *arguments]
        runpy.run_module("ryepier", run_name="__main__")
    return sidecar.main()


if __name__ == "__main__":
    sys.exit(main())
