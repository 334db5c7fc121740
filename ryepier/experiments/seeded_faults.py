"""Sidecars and planners with one seeded fault, to show that a claim can fail.

`python -m ryepier.experiments.seeded_faults FAULT` is a sidecar like `python -m ryepier.sidecar` with that fault; with
`--config FILE` it is one like `ryepier run`, and for a fault of planners, one like `ryepier planner`. The faults are
beside the experiments that find them.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable

from ryepier.experiments.faults import seeded_faults as faults
from ryepier.experiments.graphql import seeded_faults as graphql
from ryepier.experiments.load_spread.processes import seeded_faults as load_spread
from ryepier.experiments.planners import seeded_faults as planners
from ryepier.experiments.scale import seeded_faults as scale
from ryepier.experiments.simulation import seeded_faults as simulation
from ryepier.experiments.slices import seeded_faults as slices
from ryepier.experiments.storms import seeded_faults as storms
from ryepier.sidecar import __main__ as sidecar

PLANNER_FAULTS = planners.OF_PLANNERS
SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    **faults.SEEDED_FAULTS,
    **planners.SEEDED_FAULTS,
    **scale.SEEDED_FAULTS,
    **slices.SEEDED_FAULTS,
    **storms.SEEDED_FAULTS,
    **graphql.SEEDED_FAULTS,
    **simulation.SEEDED_FAULTS,
    **load_spread.SEEDED_FAULTS,
}


def command_with_fault(seeded_fault: str) -> list[str]:
    """How to start a sidecar with this mistake."""
    return [sys.executable, "-B", "-m", "ryepier.experiments.seeded_faults", seeded_fault]


def main() -> int:
    """Plant the mistake that the first argument names, then start what the others ask for; its exit status."""
    plant, *arguments = sys.argv[1:]
    SEEDED_FAULTS[plant]()
    if plant in PLANNER_FAULTS or arguments:
        # the command line lies above this floor, so it is started as a person would start it
        sys.argv = ["ryepier", "planner" if plant in PLANNER_FAULTS else "run", *arguments]
        runpy.run_module("ryepier", run_name="__main__")
    return sidecar.main()


if __name__ == "__main__":
    sys.exit(main())
