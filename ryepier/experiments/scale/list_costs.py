"""The CPU time of reading an endpoint list, step by step, in one sidecar with its core's caches to itself."""

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

PIECE_BYTES = 65_536  # that arrive at a time
MAX_CHANGES = 100
MS_PER_S = 1000
US_PER_MS = 1000


class StepTimer:
    """CPU time by step, in milliseconds."""

    def __init__(self) -> None:
        """Start without steps."""
        self.spent_ms: dict[str, float] = {}

    def time(self, step: str, work: Callable[..., Any], *arguments: object) -> Any:
        """Call a function, add its CPU time to a step, and return its result."""
        begun_s = time.process_time()
        result = work(*arguments)
        self.spent_ms[step] = self.spent_ms.get(step, 0.0) + MS_PER_S * (time.process_time() - begun_s)
        return result


def encode(message: Entry) -> bytes:
    """Return a message of discovery as one line of JSON."""
    return json.dumps(message).encode() + b"\n"


def decode(data: bytes, piece_bytes: int) -> Any:
    """Return the one message in the data, decoded in pieces of a size."""
    decoder = JsonStreamDecoder()
    pieces = [data[begin : begin + piece_bytes] for begin in range(0, len(data), piece_bytes)]
    (message,) = [message for piece in pieces for message in decoder.feed(piece)]
    return message


def measure(known: int, seed: int) -> dict[str, float]:
    """Return the costs of a whole list, and of changes one by one: decoder, registry and decision module."""
    listing = Listing(known, seed)
    registry = EndpointRegistry(ZONES, KINDS)
    balancer = Balancer(Settings(CLASSES), seed, clock_us())
    whole, single = StepTimer(), StepTimer()

    def apply(timer: StepTimer, message: Any) -> None:
        event, _ = timer.time("directory", registry.apply, message)
        timer.time("module", balancer.handle, clock_us(), event)

    data = encode(listing.registry.full_list())
    whole.time("parse_one_piece", decode, data, len(data))
    apply(whole, whole.time("parse", decode, data, PIECE_BYTES))
    changed = listing.pick(min(MAX_CHANGES, known // 2))
    for entry in changed:
        revision = listing.registry.rev
        listing.change([entry], "leaving")
        data = encode(listing.registry.changes_since(revision))
        apply(single, single.time("parse", decode, data, PIECE_BYTES))
    of_list = {f"alone_list_{step}_ms": spent_ms for step, spent_ms in whole.spent_ms.items()}
    of_change = {
        f"alone_change_{step}_us": US_PER_MS * spent_ms / len(changed) for step, spent_ms in single.spent_ms.items()
    }
    return of_list | of_change
