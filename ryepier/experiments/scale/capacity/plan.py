"""Reads plan.json, which holds the planned fleet size and the budgets of each role."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ryepier.errors import RyepierError

PLAN_FILE = "plan.json"
DAY_S = 86_400
LIST_CHANGES_PER_MACHINE = 3  # changes of state for a failed or replaced machine: draining, removed, added


class CapacityError(RyepierError, ValueError):
    """The kept results, the plan or the page cannot be used; the message names the file or row and the reason."""


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The planned fleet size, called the design size, and the budgets of each role."""

    sidecars: int
    converters: int
    services: int
    zones: int
    regions: int
    calls_per_s: float
    depth: int  # number of services that call each other in a chain
    added_ms: float  # latency that a sidecar may add to a call, at the 99th percentile
    changes_a_day: int  # changes of configuration per day
    in_force_s: float  # time until a change must be in force at every sidecar
    control_cores: float  # CPU budget of a sidecar for its control plane
    control_bytes: float  # memory budget of a sidecar for its control plane
    control_bytes_per_s: float  # traffic budget of a sidecar for its control plane
    planners: int
    planner_cores: float  # CPU budget of a planner
    planner_bytes: float  # memory budget of a planner
    failed_a_day: int  # machines that fail per day
    replaced_a_day: int  # machines that are replaced per day

    @property
    def calls_per_sidecar(self) -> float:
        """Return the rate of calls of one sidecar, per second."""
        return self.calls_per_s / self.sidecars

    @property
    def converters_per_zone(self) -> int:
        """Return the number of converters in one zone."""
        return self.converters // self.zones

    @property
    def list_changes_per_s(self) -> float:
        """Return the rate of changes of the endpoint list, per second. A change of configuration counts as one."""
        machines_a_day = self.failed_a_day + self.replaced_a_day
        return (self.changes_a_day + LIST_CHANGES_PER_MACHINE * machines_a_day) / DAY_S


def read_plan(folder: Path) -> Plan:
    """Return the plan in a folder. Raises CapacityError if it cannot be read."""
    try:
        return msgspec.json.decode((folder / PLAN_FILE).read_bytes(), type=Plan)
    except (OSError, msgspec.MsgspecError) as error:
        raise CapacityError(f"{folder / PLAN_FILE}: {error}") from None
