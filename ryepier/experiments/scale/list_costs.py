"""Measures the CPU time of each step of processing an endpoint list.

Only one sidecar runs in the process, so it shares the caches of its core with no other sidecars.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import Settings
from ryepier.experiments.scale.fleet_list import Entry, Listing
from ryepier.experiments.scale.lightweight_sidecar import CLASSES, KINDS, ZONES
from ryepier.sidecar.endpoint_registry import EndpointRegistry
from ryepier.sidecar.json_stream import JsonStreamDecoder
from ryepier.sidecar.system import clock_us

CHUNK_BYTES = 65_536  # bytes that are received at a time
MAX_CHANGES = 100  # changes over which the cost of one change is averaged
MS_PER_S = 1000
US_PER_MS = 1000


class StepTimer:
    """Accumulates CPU time by step, in milliseconds."""

    def __init__(self) -> None:
        """Start without any recorded CPU time."""
        self.cpu_ms: dict[str, float] = {}

    def time(self, step: str, function: Callable[..., Any], *arguments: object) -> Any:
        """Call a function, add its CPU time to a step, and return its result."""
        cpu_before_s = time.process_time()
        result = function(*arguments)
        self.cpu_ms[step] = self.cpu_ms.get(step, 0.0) + MS_PER_S * (time.process_time() - cpu_before_s)
        return result


def encode(message: Entry) -> bytes:
    """Return a message of discovery as one line of JSON."""
    return json.dumps(message).encode() + b"\n"


def decode(data: bytes, chunk_bytes: int) -> Any:
    """Return the only message in the data, decoded in chunks of `chunk_bytes`."""
    decoder = JsonStreamDecoder()
    chunks = [data[start : start + chunk_bytes] for start in range(0, len(data), chunk_bytes)]
    (message,) = [message for chunk in chunks for message in decoder.feed(chunk)]
    return message


def measure(known_count: int, seed: int) -> dict[str, float]:
    """Return the CPU time that a full list and a change take in the decoder, the registry and the decision module."""
    listing = Listing(known_count, seed)
    registry = EndpointRegistry(ZONES, KINDS)
    balancer = Balancer(Settings(CLASSES), seed, clock_us())
    list_timer, change_timer = StepTimer(), StepTimer()

    def apply(timer: StepTimer, message: Any) -> None:
        event, _ = timer.time("directory", registry.apply, message)
        timer.time("module", balancer.handle, clock_us(), event)

    data = encode(listing.registry.full_list())
    list_timer.time("parse_one_piece", decode, data, len(data))
    apply(list_timer, list_timer.time("parse", decode, data, CHUNK_BYTES))
    changed_entries = listing.pick_active(min(MAX_CHANGES, known_count // 2))
    for entry in changed_entries:
        revision = listing.registry.rev
        listing.change([entry], "leaving")
        data = encode(listing.registry.changes_since(revision))
        apply(change_timer, change_timer.time("parse", decode, data, CHUNK_BYTES))
    list_figures = {f"alone_list_{step}_ms": cpu_ms for step, cpu_ms in list_timer.cpu_ms.items()}
    change_figures = {
        f"alone_change_{step}_us": US_PER_MS * cpu_ms / len(changed_entries)
        for step, cpu_ms in change_timer.cpu_ms.items()
    }
    return list_figures | change_figures
