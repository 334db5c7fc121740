"""The process that follows a service's slices and passes each update to a decision module, for `slices-churn`.

`python -m ryepier.experiments.slices.follower_process PORT SERVICE SEEDED_FAULT` prints `up` once it has received the
first list. When it reads a line from standard input, it prints a `FollowerReport` as one line of JSON and exits. An
empty SEEDED_FAULT stands for none.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

import msgspec

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import RequestClass, Settings, UpstreamsUpdated
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.usage import OWN_STATUS, status_kib
from ryepier.sidecar.system import clock_us
from ryepier.slices.api_client import Access
from ryepier.slices.endpoint_listing import ListingRules
from ryepier.slices.slice_source import Settings as SourceSettings
from ryepier.slices.slice_source import SliceSource

READY_LINE = b"up\n"
LATENCY_OBJECTIVE_US = 100_000
DEADLINE_US = 1_000_000


class Update(msgspec.Struct, array_like=True, frozen=True):
    """One upstream of an update, and the time at which the decision module had processed the update."""

    host: str
    state: str
    at_us: int


class FollowerReport(msgspec.Struct, frozen=True):
    """The updates since the first list, and the memory and CPU time that the process used for them."""

    updates: list[Update]
    resident_kib: int
    peak_kib: int
    cpu_us: int


async def follow(port: int, service: str) -> FollowerReport:
    """Follow a service until a line arrives on standard input, and return the report."""
    balancer = Balancer(Settings([RequestClass("convert", LATENCY_OBJECTIVE_US, DEADLINE_US)]), 1, clock_us())
    updates: list[Update] = []
    list_received = asyncio.Event()

    def on_update(event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        balancer.handle(clock_us(), event)
        at_us = clock_us()
        if list_received.is_set():
            updates.extend(Update(addresses[entry.id][0], entry.state.value, at_us) for entry in event.upstreams)
        list_received.set()

    settings = SourceSettings(Access("127.0.0.1", port, False), "default", service, ListingRules(["a"], 0))
    source = SliceSource(settings, on_update, clock_us)
    source.start()
    await list_received.wait()
    sys.stdout.buffer.write(READY_LINE)
    sys.stdout.flush()
    cpu_begin_s = time.process_time()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    source.stop()
    status = Path(OWN_STATUS).read_text()
    cpu_us = int((time.process_time() - cpu_begin_s) * 1e6)
    return FollowerReport(updates, status_kib(status, "VmRSS"), status_kib(status, "VmHWM"), cpu_us)


def main() -> None:
    """Install the seeded fault, if one is named, and follow the service."""
    port, service, seeded_fault = sys.argv[1:]
    if seeded_fault:
        seeded_faults.SEEDED_FAULTS[seeded_fault]()
    report = asyncio.run(follow(int(port), service))
    sys.stdout.buffer.write(msgspec.json.encode(report) + b"\n")


if __name__ == "__main__":
    main()
