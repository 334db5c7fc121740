"""Runs a coordinator with a seeded fault.

Apart from the fault, `python -m ryepier.experiments.maintenance.seeded_coordinator FAULT ARGUMENTS` runs the same
coordinator as `ryepier maintenance serve ARGUMENTS`.
"""

from __future__ import annotations

import runpy
import sys

from ryepier.maintenance import coordinator
from ryepier.maintenance.replication.seeded_faults import ForgetGrantStorage, ForgetVoteStorage, VoteTwiceReplica
from ryepier.maintenance.seeded_faults import FAULTY_LEDGERS
from ryepier.maintenance.settings import CoordinatorComponents

MODULE = "ryepier.experiments.maintenance.seeded_coordinator"
SEEDED_FAULTS = {
    "cold-counts": CoordinatorComponents(ledger_type=FAULTY_LEDGERS["cold-counts"]),
    "double-credit": CoordinatorComponents(ledger_type=FAULTY_LEDGERS["double-credit"]),
    "borrow": CoordinatorComponents(ledger_type=FAULTY_LEDGERS["borrow"]),
    "forget-grant": CoordinatorComponents(storage_type=ForgetGrantStorage),
    "vote-twice": CoordinatorComponents(replica_type=VoteTwiceReplica, storage_type=ForgetVoteStorage),
}


def command(seeded_fault: str) -> list[str]:
    """Return the command that starts a coordinator with this fault, or a normal one if `seeded_fault` is empty."""
    if not seeded_fault:
        return [sys.executable, "-B", "-m", "ryepier", "maintenance", "serve"]
    return [sys.executable, "-B", "-m", MODULE, seeded_fault]


def main() -> None:
    """Install the fault that the first argument names, and run the coordinator."""
    seeded_fault, *arguments = sys.argv[1:]
    coordinator.DEFAULT_COMPONENTS = SEEDED_FAULTS[seeded_fault]
    # the command line belongs to a higher layer, which this module must not import
    sys.argv = ["ryepier", "maintenance", "serve", *arguments]
    runpy.run_module("ryepier", run_name="__main__")


if __name__ == "__main__":
    main()
