"""Runs a sidecar or a planner with one seeded fault, to show that the experiments' claims detect it.

`python -m ryepier.experiments.seeded_faults FAULT` runs `python -m ryepier.sidecar` with that fault. With further
arguments, such as `--config FILE`, it runs `ryepier run` instead, and for a fault of planners always `ryepier planner`.
Each package of experiments defines the faults that its experiments detect.
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
from ryepier.experiments.strangers import seeded_faults as strangers
from ryepier.sidecar import process as sidecar

PLANNER_FAULTS = planners.PLANNER_FAULTS
SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    **faults.SEEDED_FAULTS,
    **planners.SEEDED_FAULTS,
    **scale.SEEDED_FAULTS,
    **slices.SEEDED_FAULTS,
    **storms.SEEDED_FAULTS,
    **graphql.SEEDED_FAULTS,
    **simulation.SEEDED_FAULTS,
    **load_spread.SEEDED_FAULTS,
    **strangers.SEEDED_FAULTS,
}


def command_with_fault(seeded_fault: str) -> list[str]:
    """Return the command line of a sidecar or a planner with this seeded fault."""
    return [sys.executable, "-B", "-m", "ryepier.experiments.seeded_faults", seeded_fault]


def main() -> int:
    """Install the fault that the first argument names, run the sidecar or planner, and return its exit status."""
    seeded_fault, *arguments = sys.argv[1:]
    SEEDED_FAULTS[seeded_fault]()
    if seeded_fault in PLANNER_FAULTS or arguments:
        # the import rules forbid this package to import `ryepier.cli`, so `ryepier` is run as a module
        sys.argv = ["ryepier", "planner" if seeded_fault in PLANNER_FAULTS else "run", *arguments]
        runpy.run_module("ryepier", run_name="__main__")
    return sidecar.main()


if __name__ == "__main__":
    sys.exit(main())
