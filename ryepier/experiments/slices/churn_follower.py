"""A process that follows a service's slices and hands each list to a decision module, for `slices-churn`.

`python -m ryepier.experiments.slices.churn_follower PORT SERVICE PLANT` says "up" once it has the list; told to stop
by a line on its standard input, it prints one JSON object: what its module was told and when, its memory and its CPU.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import RequestClass, Settings, UpstreamsUpdated
from ryepier.experiments import seeded_faults
from ryepier.sidecar.system import clock_us
from ryepier.slices.api_client import Access
from ryepier.slices.endpoint_listing import ListingRules
from ryepier.slices.slice_source import Settings as SourceSettings
from ryepier.slices.slice_source import SliceSource


def memory_kib(what: str) -> int:
    """VmRSS, what is resident now, or VmHWM, the most that was."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{what}:"):
            return int(line.split()[1])
    raise OSError(f"no {what}")


async def follow(port: int, service: str) -> None:
    balancer = Balancer(Settings([RequestClass("convert", 100_000, 1_000_000)]), 1, clock_us())
    heard: list[tuple[str, str, int]] = []
    listed = asyncio.Event()

    def listener(event: UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        balancer.handle(clock_us(), event)
        at_us = clock_us()
        if listed.is_set():
            heard.extend((addresses[entry.id][0], entry.state.value, at_us) for entry in event.upstreams)
        listed.set()

    settings = SourceSettings(Access("127.0.0.1", port, False), "default", service, ListingRules(["a"], 0))
    source = SliceSource(settings, listener, clock_us)
    source.start()
    await listed.wait()
    print("up", flush=True)
    begun_s = time.process_time()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    source.stop()
    print(
        json.dumps(
            {
                "heard": heard,
                "resident_kib": memory_kib("VmRSS"),
                "peak_kib": memory_kib("VmHWM"),
                "cpu_us": int((time.process_time() - begun_s) * 1e6),
            }
        ),
        flush=True,
    )


def main() -> None:
    port, service, plant = sys.argv[1:]
    if plant:
        seeded_faults.SEEDED_FAULTS[plant]()
    asyncio.run(follow(int(port), service))


if __name__ == "__main__":
    main()
