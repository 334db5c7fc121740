"""Discovery through EndpointSlices: each sidecar has an API server, which learns of changes after its own delay.

For a share of the drains (`mess` in the world file), the slices are contradictory, as can happen in real clusters: a
second slice still lists the endpoint as ready, a slice is recreated from outdated content, or an older state
overwrites a newer one.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Any, Protocol

from ryepier.emulator.api_server import ApiServer
from ryepier.emulator.api_store import SERVICE_LABEL, ApiObject, Store
from ryepier.emulator.process import CONVERTER_PORT, Clock, Plan
from ryepier.emulator.records import EndpointNotice, RoleRecords
from ryepier.emulator.timeline import FaultAction, ListState, Step

NAMESPACE, SERVICE = "default", "converters"
PORTS = [{"name": "http", "port": CONVERTER_PORT, "protocol": "TCP"}]
EXTRA_PREFIX = "extra"  # name prefix of slices that contradict the regular slices
PERCENT = 100


class Conflict(enum.Enum):
    """A contradiction between slices, or with an earlier state, that accompanies a drain."""

    SECOND_SLICE = enum.auto()  # another slice still lists the endpoint as ready
    RECREATED_SLICE = enum.auto()  # the slice is deleted and created again with the earlier state
    STALE_WRITE = enum.auto()  # the earlier state overwrites the new one


CONFLICTS = tuple(Conflict)


class AgentOwner(Protocol):
    """The parts of the discovery process that an agent uses."""

    plan: Plan
    clock: Clock
    records: RoleRecords


def make_endpoint(entry: dict[str, Any]) -> ApiObject:
    """Return the EndpointSlice endpoint for an entry of the platform's endpoint list."""
    is_leaving = entry["state"] == ListState.LEAVING
    return {
        "addresses": [entry["endpoint"].rpartition(":")[0]],
        "conditions": {"ready": not is_leaving, "serving": True, "terminating": is_leaving},
        "targetRef": {"kind": "Pod", "namespace": NAMESPACE, "name": entry["uid"], "uid": entry["uid"]},
        "nodeName": f"node-{entry['pod_group']}",
        "zone": entry["az"],
    }


class Cluster:
    """The EndpointSlices of the service, as the EndpointSlice controller maintains them. This class is pure."""

    def __init__(self, store: Store, slice_size: int) -> None:
        """Start without slices; a slice holds up to `slice_size` endpoints."""
        self.store = store
        self.slice_size = slice_size
        self.endpoints_by_slice: dict[str, dict[str, ApiObject]] = {}  # by slice name and pod uid
        self.removed_versions: dict[str, int] = {}  # by pod uid: the resource version of its removal

    def apply_change(self, entry: dict[str, Any], conflict: Conflict | None = None) -> None:
        """Apply a change of a pod's state, with a contradiction if one is given. Removed pods are not listed again."""
        uid = entry["uid"]
        if uid in self.removed_versions:
            return
        if entry["state"] == ListState.LEFT:
            self._remove(uid)
            return
        name = self._slice_for(uid)
        self.endpoints_by_slice.setdefault(name, {})[uid] = make_endpoint(entry)
        self._put(name)
        if conflict is not None:
            self._add_conflict(conflict, name, entry)

    def _slice_for(self, uid: str) -> str:
        """Return the slice for a pod: the regular slice that lists it, else one with room, else a new name."""
        regular_slices = {
            name: pods for name, pods in self.endpoints_by_slice.items() if not name.startswith(EXTRA_PREFIX)
        }
        for name, pods in regular_slices.items():
            if uid in pods:
                return name
        for name, pods in regular_slices.items():
            if len(pods) < self.slice_size:
                return name
        return f"{SERVICE}-{len(self.endpoints_by_slice):03d}"

    def _put(self, name: str) -> None:
        content = {"addressType": "IPv4", "endpoints": list(self.endpoints_by_slice[name].values()), "ports": PORTS}
        self.store.put(NAMESPACE, name, content, {SERVICE_LABEL: SERVICE})

    def _remove(self, uid: str) -> None:
        for name, pods in list(self.endpoints_by_slice.items()):
            if pods.pop(uid, None) is not None:
                self._put(name)
        self.removed_versions[uid] = self.store.version

    def _add_conflict(self, conflict: Conflict, name: str, entry: dict[str, Any]) -> None:
        uid = entry["uid"]
        outdated_endpoint = make_endpoint(entry | {"state": ListState.ACTIVE})
        if conflict is Conflict.SECOND_SLICE:
            second_name = f"{EXTRA_PREFIX}-{uid}"
            self.endpoints_by_slice[second_name] = {uid: outdated_endpoint}
            self._put(second_name)
            return
        self.endpoints_by_slice[name][uid] = outdated_endpoint
        if conflict is Conflict.RECREATED_SLICE:
            self.store.delete(NAMESPACE, name)
        self._put(name)


class SlicesAgent:
    """One sidecar's API server. It replaces a `ryepier.emulator.discovery.Agent`, and has the same interface."""

    def __init__(self, owner: AgentOwner, sidecar: int, listing: dict[str, Any]) -> None:
        """Start with the full list at the beginning of the run, as slices; `listen` opens the socket."""
        self.owner = owner
        self.sidecar = sidecar
        settings = owner.plan.world.discovery
        self._conflict_share = settings.conflict_share
        self.cluster = Cluster(Store(), settings.slice_size)
        for entry in listing["targets"]:
            self.cluster.apply_change(entry)
        self.api_server = ApiServer(self.cluster.store, on_written=self._record_notices)

    async def listen(self) -> None:
        """Accept connections."""
        await self.api_server.listen(*self.owner.plan.discovery_address(self.sidecar))

    async def apply(self, step: Step, entry: dict[str, Any] | None) -> None:
        """Carry out one step of the fault schedule; `entry` is the changed converter if the step is a notification."""
        if step.action is FaultAction.NOTIFY and entry is not None:
            self.cluster.apply_change(entry, self._conflict_of(entry))
        elif step.action is FaultAction.MUTE:
            self.api_server.faults.silent = True
        elif step.action is FaultAction.RESUME_UPDATES:
            self.api_server.faults.silent = False
        elif step.action is FaultAction.DOWN:
            self.api_server.close()
        elif step.action is FaultAction.UP:
            self.cluster.store.compact()
            if not self.api_server.is_listening:  # the end of an overlapping fault may have restarted the server
                await self.listen()
        elif step.action is FaultAction.BREAK_WATCHES:
            self.api_server.end_connections()
        self.api_server.on_change()

    def _conflict_of(self, entry: dict[str, Any]) -> Conflict | None:
        """Return the contradiction for a drain, if any; the same for all sidecars, because they share one cluster."""
        number = int(entry["uid"].rpartition("-")[2], 16)
        if entry["state"] != ListState.LEAVING or number % PERCENT >= self._conflict_share * PERCENT:
            return None
        return CONFLICTS[number % len(CONFLICTS)]

    def _record_notices(self, writer: asyncio.StreamWriter, objects: list[ApiObject], is_full_list: bool) -> None:
        """Record the states that are sent to the sidecar. A full list implies that missing converters have left."""
        now_us = self.owner.clock.now_us()
        states: dict[str, ListState] = {}
        for api_object in objects:
            version = int(api_object["metadata"]["resourceVersion"])
            for uid, removed_version in self.cluster.removed_versions.items():
                if is_full_list or removed_version == version:
                    states[uid] = ListState.LEFT
            for endpoint in api_object["endpoints"]:
                if endpoint["conditions"]["terminating"]:
                    states[endpoint["targetRef"]["uid"]] = ListState.LEAVING
        self.owner.records.notices += [
            EndpointNotice(self.sidecar, uid, state, now_us) for uid, state in states.items()
        ]

    def send_heartbeat(self) -> None:
        """Do nothing, as the API server writes bookmarks by itself."""

    def end_connections(self) -> None:
        """Reset all connections."""
        self.api_server.end_connections()
