"""Where the CPU of a list goes, part by part, in one sidecar that has its core's caches to itself."""

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

PIECE = 65_536  # bytes that come at a time
MOST_CHANGES = 100


class Timer:
    """CPU by part, in milliseconds."""

    def __init__(self) -> None:
        self.spent_ms: dict[str, float] = {}

    def time(self, part: str, work: Callable[..., Any], *arguments: object) -> Any:
        begun_s = time.process_time()
        result = work(*arguments)
        self.spent_ms[part] = self.spent_ms.get(part, 0.0) + 1000 * (time.process_time() - begun_s)
        return result


def encode(lines: Entry) -> bytes:
    return json.dumps(lines).encode() + b"\n"


def cut(data: bytes, piece: int) -> Any:
    """The one object in it, fed in pieces."""
    objects = JsonStreamDecoder()
    (found,) = [one for at in range(0, len(data), piece) for one in objects.feed(data[at : at + piece])]
    return found


def measure(known: int, seed: int) -> dict[str, float]:
    """A whole list, in one piece and in several, and then changes one by one: parser, directory and module."""
    listing, whole, single = Listing(known, seed), Timer(), Timer()
    directory, balancer = EndpointRegistry(ZONES, KINDS), Balancer(Settings(CLASSES), seed, clock_us())
    data = encode(listing.registry.full_list())
    whole.time("parse_one_piece", cut, data, len(data))
    lines = whole.time("parse", cut, data, PIECE)
    event, _ = whole.time("directory", directory.apply, lines)
    whole.time("module", balancer.handle, clock_us(), event)
    chosen = listing.pick(min(MOST_CHANGES, known // 2))
    for entry in chosen:
        before = listing.registry.rev
        listing.change([entry], "leaving")
        data = encode(listing.registry.changes_since(before))
        lines = single.time("parse", cut, data, PIECE)
        event, _ = single.time("directory", directory.apply, lines)
        single.time("module", balancer.handle, clock_us(), event)
    return {f"alone_list_{part}_ms": spent for part, spent in whole.spent_ms.items()} | {
        f"alone_change_{part}_us": 1000 * spent / len(chosen) for part, spent in single.spent_ms.items()
    }
