"""A process with hundreds of sidecars that run the real decision module and watch of the list, without requests.

`python -m ryepier.experiments.scale.lightweight_sidecar HOST PORT SEED [SEEDED_FAULT]` reads a command per line, as
`lightweight.LightweightProcess` sends them: `start` starts a number of sidecars, `until` waits until all have a version
of the list, `usage` and `memory` return resource usage, and `late` returns when the last sidecar received each version.
"""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import json
import logging
import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from ryepier.balancer.interface import RequestClass, Settings, UpstreamsUpdated
from ryepier.experiments.core.usage import own_usage
from ryepier.sidecar.components import discovery_source
from ryepier.sidecar.config import Config
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.logs import RateLimitFilter
from ryepier.sidecar.system import clock_us

START_INTERVAL_S = 0.002  # limits the load on discovery's listener, whose speed is not measured
POLL_INTERVAL_S = 0.01
IDLE_TIMEOUT_US = 10_000_000
MAX_SOCKETS = 1024
MAX_CONNECTIONS = MAX_SOCKETS * 3 // 8
CLASSES = [
    RequestClass("read", 100_000, 500_000),
    RequestClass("write", 300_000, 1_000_000),
    RequestClass("batch", 600_000, 1_500_000),
]
FLEET_SIZE = 1600
ZONES = [f"zone-{number}" for number in range(8)]
KINDS = ["m1", "m2"]  # models of converters


class VersionCounts:
    """Counts how many sidecars of this process have each version of the list, and when the last one received it."""

    def __init__(self) -> None:
        """Start without sidecars. The caller must add each new sidecar to `sidecars_by_version` at version 0."""
        self.sidecars_by_version: Counter[int] = Counter()
        self.last_received_at_us: dict[int, int] = {}
        self.entries_received = 0

    def on_update(self, previous_version: int, event: UpstreamsUpdated) -> None:
        """Count a sidecar's update from `previous_version` to the version of the event."""
        self.sidecars_by_version[previous_version] -= 1
        self.sidecars_by_version[event.version] += 1
        self.last_received_at_us[event.version] = clock_us()
        self.entries_received += len(event.upstreams)


class CountingDispatcher(RequestDispatcher):
    """A sidecar's dispatcher that counts each update of the list once the decision module has handled it."""

    counts: VersionCounts
    version = 0

    def on_endpoints(self, event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        """Handle an update of the list, and count it."""
        super().on_endpoints(event, addresses)
        self.counts.on_update(self.version, event)
        self.version = event.version


class LightweightSidecars:
    """The sidecars of this process, and the commands that it runs."""

    def __init__(self, discovery: tuple[str, int], seed: int) -> None:
        """Start without sidecars.

        The first sidecar is created with `seed`, and each further sidecar with the previous sidecar's seed plus 1.
        """
        self.discovery = discovery
        self.seed = seed
        self.counts = VersionCounts()
        self.dispatchers: list[CountingDispatcher] = []

    async def run(self, command: dict[str, Any]) -> dict[str, Any]:
        """Run one command, and return its answer. Raises KeyError if the command is unknown."""
        if command["do"] == "start":
            return await self.start(int(command["count"]))
        if command["do"] == "until":
            return await self.wait_for_version(int(command["version"]), float(command["within_s"]))
        queries: dict[str, Callable[[], dict[str, Any]]] = {
            "late": self.last_received_times,
            "memory": self.memory,
            "usage": self.usage,
        }
        return queries[command["do"]]()

    async def start(self, count: int) -> dict[str, Any]:
        """Start `count` more sidecars, and return the usage."""
        for _ in range(count):
            self._start_sidecar()
            self.counts.sidecars_by_version[0] += 1
            await asyncio.sleep(START_INTERVAL_S)
        return self.usage()

    def _start_sidecar(self) -> None:
        seed = self.seed + len(self.dispatchers)
        settings = Settings(CLASSES, instances=FLEET_SIZE, max_attempts=3, overload_factor=1.5, warm_up_us=5_000_000)
        config = Config(
            ("127.0.0.1", 0), self.discovery, seed, MAX_SOCKETS, settings, ZONES, KINDS, IDLE_TIMEOUT_US, None
        )
        pool = ConnectionPool(IDLE_TIMEOUT_US, settings.connect_timeout_us, max_connections=MAX_CONNECTIONS)
        dispatcher = CountingDispatcher(settings, seed, pool)
        dispatcher.counts = self.counts
        source = discovery_source(config, dispatcher)
        dispatcher.subscribe = source.subscribe
        dispatcher.start()
        source.start()
        self.dispatchers.append(dispatcher)

    async def wait_for_version(self, version: int, timeout_s: float) -> dict[str, Any]:
        """Wait up to `timeout_s` until all sidecars have a version of the list.

        Returns the usage, the number of sidecars that have the version, and when the last of them received it.
        """
        deadline_s = time.monotonic() + timeout_s
        while self.counts.sidecars_by_version[version] < len(self.dispatchers) and time.monotonic() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        updated_count = self.counts.sidecars_by_version[version]
        return self.usage() | {"have": updated_count, "last_us": self.counts.last_received_at_us.get(version, 0)}

    def usage(self) -> dict[str, Any]:
        """Return the CPU time, the resident memory, and the list entries received by all sidecars together."""
        return dataclasses.asdict(own_usage()) | {"entries": self.counts.entries_received}

    def memory(self) -> dict[str, Any]:
        """Return the usage after a garbage collection, and the numbers of known converters, summed over the sidecars.

        The collection itself takes CPU time, so no measurement of CPU time may include this command.
        """
        gc.collect()
        known_count = sum(len(dispatcher.balancer.membership.by_id) for dispatcher in self.dispatchers)
        return self.usage() | {"known": known_count}

    def last_received_times(self) -> dict[str, Any]:
        """Return when the last sidecar of this process received each version, on the machine's monotonic clock."""
        return {"last_us": self.counts.last_received_at_us}


async def serve(sidecars: LightweightSidecars) -> None:
    """Run commands from standard input until it ends, and print the answers."""
    loop = asyncio.get_running_loop()
    print(json.dumps(sidecars.usage()), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(await sidecars.run(json.loads(line))), flush=True)


def main() -> None:
    """Install the seeded fault, if one is given, and serve. Log lines are formatted as in a sidecar, and discarded."""
    host, port, seed, *faults = sys.argv[1:]
    if any(faults):
        from ryepier.experiments import seeded_faults  # imported only if needed, as it is large

        seeded_faults.SEEDED_FAULTS[faults[0]]()
    with open(os.devnull, "w", encoding="utf-8") as null_stream:
        logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=null_stream)
        logging.getLogger().handlers[0].addFilter(RateLimitFilter())
        asyncio.run(serve(LightweightSidecars((host, int(port)), int(seed))))


if __name__ == "__main__":
    main()
