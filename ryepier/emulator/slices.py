"""Stand-in discovery by EndpointSlices: one API server for each sidecar, which hears of changes at times of its own.

The `mess` of a world has a part of the drains come with what clusters do at their worst: a second slice that still says
ready, a slice made anew out of an old word while its endpoint drains, an older word written over a newer.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from ryepier.emulator.apiserver import SERVICE_LABEL, ApiServer, Object, Store
from ryepier.emulator.process import CONVERTER_PORT, Clock, Plan
from ryepier.emulator.records import EndpointNotice, RoleRecords
from ryepier.emulator.timeline import FaultAction, Step

NAMESPACE, SERVICE = "default", "converters"
PORTS = [{"name": "http", "port": CONVERTER_PORT, "protocol": "TCP"}]
MESSES = ("copy", "anew", "older word")


class Host(Protocol):
    """The discovery process, as far as an agent needs it."""

    plan: Plan
    clock: Clock
    records: RoleRecords


def endpoint(entry: dict[str, Any]) -> Object:
    """An endpoint out of discovery's entry."""
    leaving = entry["state"] == "leaving"
    return {
        "addresses": [entry["endpoint"].rpartition(":")[0]],
        "conditions": {"ready": not leaving, "serving": True, "terminating": leaving},
        "targetRef": {"kind": "Pod", "namespace": NAMESPACE, "name": entry["uid"], "uid": entry["uid"]},
        "nodeName": f"node-{entry['pod_group']}",
        "zone": entry["az"],
    }


class Cluster:
    """The slices of the one service, as their controller keeps them. Pure."""

    def __init__(self, store: Store, size: int) -> None:
        self.store = store
        self.size = size
        self.contents: dict[str, dict[str, Object]] = {}  # by slice and pod
        self.left: dict[str, int] = {}  # pods that were taken out, with the version that did it

    def place(self, entry: dict[str, Any]) -> str:
        """The slice that holds it, or that has room."""
        for name, held in self.contents.items():
            if entry["uid"] in held and not name.startswith("extra"):
                return name
        for name, held in self.contents.items():
            if len(held) < self.size and not name.startswith("extra"):
                return name
        return f"{SERVICE}-{len(self.contents):03d}"

    def put(self, name: str) -> None:
        content = {"addressType": "IPv4", "endpoints": list(self.contents[name].values()), "ports": PORTS}
        self.store.put(NAMESPACE, name, content, {SERVICE_LABEL: SERVICE})

    def change(self, entry: dict[str, Any], mess: str = "") -> None:
        """What the controller does when a pod's state changes."""
        uid = entry["uid"]
        if uid in self.left:
            return  # overtaken by a later word
        if entry["state"] == "left":
            self.remove(uid)
            return
        name = self.place(entry)
        self.contents.setdefault(name, {})[uid] = endpoint(entry)
        self.put(name)
        if mess:
            self.make_mess(mess, name, entry)

    def remove(self, uid: str) -> None:
        for name, held in list(self.contents.items()):
            if held.pop(uid, None) is not None:
                self.put(name)
        self.left[uid] = self.store.version

    def make_mess(self, mess: str, name: str, entry: dict[str, Any]) -> None:
        old_word = endpoint(entry | {"state": "active"})
        if mess == "copy":
            extra = f"extra-{entry['uid']}"
            self.contents[extra] = {entry["uid"]: old_word}
            self.put(extra)
            return
        self.contents[name][entry["uid"]] = old_word
        if mess == "anew":
            self.store.delete(NAMESPACE, name)
        self.put(name)


class SlicesAgent:
    """One sidecar's API server; see `ryepier.emulator.discovery.Agent`."""

    def __init__(self, host: Host, sidecar: int, listing: dict[str, Any]) -> None:
        self.host = host
        self.sidecar = sidecar
        settings = host.plan.world.discovery
        self.mess = settings.conflict_share
        self.cluster = Cluster(Store(), settings.slice_size)
        for entry in listing["targets"]:
            self.cluster.change(entry)
        self.api = ApiServer(self.cluster.store, written=self.note)

    async def listen(self) -> None:
        await self.api.listen(*self.host.plan.discovery_address(self.sidecar))

    async def take(self, step: Step, entry: dict[str, Any] | None) -> None:
        if step.action is FaultAction.NOTIFY and entry is not None:
            self.cluster.change(entry, self.mess_of(entry))
        elif step.action is FaultAction.MUTE:
            self.api.faults.silent = True
        elif step.action is FaultAction.RESUME_UPDATES:
            self.api.faults.silent = False
        elif step.action is FaultAction.DOWN:
            self.api.close()
        elif step.action is FaultAction.UP:
            self.cluster.store.compact()  # away for so long, it keeps nothing of before
            if self.api.server is None:  # else two faults overlapped, and it is up again already
                await self.listen()
        elif step.action is FaultAction.BREAK_WATCHES:
            self.api.end_connections()
        self.api.changed()

    def mess_of(self, entry: dict[str, Any]) -> str:
        """What comes with a drain; the same for all sidecars, as they have one cluster."""
        number = int(entry["uid"].rpartition("-")[2], 16)
        if entry["state"] != "leaving" or number % 100 >= self.mess * 100:
            return ""
        return MESSES[number % len(MESSES)]

    def note(self, writer: asyncio.StreamWriter, found: list[Object], whole: bool) -> None:
        """It counts as told from the moment it was written; a whole list tells that what it lacks is gone."""
        now_us = self.host.clock.now_us()
        told: dict[str, str] = {}
        for one in found:
            version = int(one["metadata"]["resourceVersion"])
            told |= {uid: "left" for uid, at in self.cluster.left.items() if whole or at == version}
            told |= {
                each["targetRef"]["uid"]: "leaving" for each in one["endpoints"] if each["conditions"]["terminating"]
            }
        self.host.records.notices += [EndpointNotice(self.sidecar, uid, state, now_us) for uid, state in told.items()]

    def heartbeat(self) -> None:
        """Bookmarks go out by themselves."""

    def end_connections(self) -> None:
        self.api.end_connections()
