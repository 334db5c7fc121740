"""Lightweight sidecars, hundreds per process: decision module and watch of real ones, without requests.

`python -m ryepier.experiments.scale.lightweight_sidecar HOST PORT SEED [FAULT]`; commands, a line each: `start` a
number, `until` all have a version of the list, `usage`, `memory`, `late`. See ryepier.experiments.scale.lightweight for
the form.
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

DIALS_GAP_S = 0.002  # between two starts: discovery's listener is not what is measured there
LOOK_EVERY_S = 0.01
IDLE_US = 10_000_000
SOCKETS = 1024
CLASSES = [
    RequestClass("read", 100_000, 500_000),
    RequestClass("write", 300_000, 1_000_000),
    RequestClass("batch", 600_000, 1_500_000),
]
FLEET = 1600
ZONES = [f"zone-{number}" for number in range(8)]
KINDS = ["m1", "m2"]


class Book:
    """What all of a process were told: how many have each version, and when the last came to have it."""

    def __init__(self) -> None:
        self.having: Counter[int] = Counter()
        self.last_us: dict[int, int] = {}
        self.entries = 0

    def note(self, before: int, event: UpstreamsUpdated) -> None:
        self.having[before] -= 1
        self.having[event.version] += 1
        self.last_us[event.version] = clock_us()
        self.entries += len(event.upstreams)


class Told(RequestDispatcher):
    """The sidecar's host, which writes down what it was told once the module has it."""

    book: Book
    version = 0

    def on_endpoints(self, event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        super().on_endpoints(event, addresses)
        self.book.note(self.version, event)
        self.version = event.version


class Sidecars:
    """Those of this process."""

    def __init__(self, discovery: tuple[str, int], seed: int) -> None:
        self.discovery = discovery
        self.seed = seed
        self.book = Book()
        self.hosts: list[Told] = []

    def start_one(self) -> None:
        settings = Settings(CLASSES, instances=FLEET, max_attempts=3, overload_factor=1.5, warm_up_us=5_000_000)
        config = Config(
            ("127.0.0.1", 0),
            self.discovery,
            self.seed + len(self.hosts),
            SOCKETS,
            settings,
            ZONES,
            KINDS,
            IDLE_US,
            None,
        )
        host = Told(
            settings,
            config.seed,
            ConnectionPool(IDLE_US, settings.connect_timeout_us, max_connections=SOCKETS * 3 // 8),
        )
        host.book = self.book
        source = discovery_source(config, host)
        host.subscribe = source.subscribe
        host.start()
        source.start()
        self.hosts.append(host)

    async def start(self, count: int) -> dict[str, Any]:
        for _ in range(count):
            self.start_one()
            self.book.having[0] += 1
            await asyncio.sleep(DIALS_GAP_S)
        return self.usage()

    async def until(self, version: int, within_s: float) -> dict[str, Any]:
        """Until all have it, or the time is out."""
        ends_s = time.monotonic() + within_s
        while self.book.having[version] < len(self.hosts) and time.monotonic() < ends_s:
            await asyncio.sleep(LOOK_EVERY_S)
        return self.usage() | {"have": self.book.having[version], "last_us": self.book.last_us.get(version, 0)}

    def usage(self) -> dict[str, Any]:
        return dataclasses.asdict(own_usage()) | {"entries": self.book.entries}

    def memory(self) -> dict[str, Any]:
        """Once what nobody holds is gone. Hazard: looking for it costs CPU, so no other figure waits for it."""
        gc.collect()
        return self.usage() | {"known": sum(len(host.balancer.membership.by_id) for host in self.hosts)}

    def late(self) -> dict[str, Any]:
        """When the last of this process came to have each version, on the machine's clock."""
        return {"last_us": self.book.last_us}

    async def do(self, line: dict[str, Any]) -> dict[str, Any]:
        if line["do"] == "start":
            return await self.start(int(line["count"]))
        if line["do"] == "until":
            return await self.until(int(line["version"]), float(line["within_s"]))
        told: dict[str, Callable[[], dict[str, Any]]] = {"late": self.late, "memory": self.memory, "usage": self.usage}
        return told[line["do"]]()


async def serve(sidecars: Sidecars) -> None:
    loop = asyncio.get_running_loop()
    print(json.dumps(sidecars.usage()), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        print(json.dumps(await sidecars.do(json.loads(line))), flush=True)


def main() -> None:
    # the log costs a sidecar what it costs, so it is written here too, as far as its limit lets it
    host, port, seed, *plants = sys.argv[1:]
    if any(plants):
        from ryepier.experiments import seeded_faults  # heavy: only where it is used

        seeded_faults.SEEDED_FAULTS[plants[0]]()
    with open(os.devnull, "w", encoding="utf-8") as nowhere:
        logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=nowhere)
        logging.getLogger().handlers[0].addFilter(RateLimitFilter())
        asyncio.run(serve(Sidecars((host, int(port)), int(seed))))


if __name__ == "__main__":
    main()
