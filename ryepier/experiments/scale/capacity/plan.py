"""The size to design for, in plan.json."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ryepier.errors import RyepierError

PLAN = "plan.json"
DAY_S = 86_400
LIST_CHANGES_PER_MACHINE = 3  # draining, removed, added


class CapacityError(RyepierError, ValueError):
    """Kept results, the plan or the page can't be used; the text names it and the reason."""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The size to design for, and the budgets of each role."""

    sidecars: int
    converters: int
    services: int
    zones: int
    regions: int
    calls_per_s: float
    depth: int  # services that call each other
    added_ms: float  # to a call, at the 99th percentile
    changes_a_day: int  # of configuration
    in_force_s: float  # until a change has to be in force everywhere
    control_cores: float  # of a sidecar, for control
    control_bytes: float
    control_bytes_per_s: float
    planners: int
    planner_cores: float
    planner_bytes: float
    failed_a_day: int  # machines
    replaced_a_day: int  # machines

    @property
    def calls_per_sidecar(self) -> float:
        """Return the calls per second of one sidecar."""
        return self.calls_per_s / self.sidecars

    @property
    def converters_per_zone(self) -> int:
        """Return the converters in one zone."""
        return self.converters // self.zones

    @property
    def list_changes_per_s(self) -> float:
        """Return the changes of the endpoint list, each change of configuration counted as one of an entry."""
        machines_a_day = self.failed_a_day + self.replaced_a_day
        return (self.changes_a_day + LIST_CHANGES_PER_MACHINE * machines_a_day) / DAY_S


def read_plan(folder: Path) -> Plan:
    """Return the plan in a folder. Raises CapacityError."""
    try:
        return msgspec.json.decode((folder / PLAN).read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        raise CapacityError(f"{folder / PLAN}: {error}") from None
