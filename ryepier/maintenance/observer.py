"""How coordinators see converters: as discovery lists them, and warm only by the coordinator's own clock.

A converter's process life has a uid: the converter's name, and for every later life a dot and more. What a listing
says of time is not used: two machines' clocks are never compared.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass

from ryepier.maintenance.commands import FULL_WARMTH, ConverterObservation

MAX_HEAD_BYTES = 8192
MAX_LISTING_BYTES = 8 * 1024 * 1024
LISTED_READY = "active"


class ListingError(Exception):
    """Discovery did not answer with a listing."""


@dataclass(frozen=True, slots=True)
class ListedConverter:
    """A process life of a converter in discovery's list."""

    uid: str
    ready: bool

    @property
    def converter(self) -> str:
        """The converter whose life it is."""
        return self.uid.partition(".")[0]


@dataclass(frozen=True, slots=True)
class WarmthProbe:
    """A converter as observed here; `incarnation_began_ms` is the region's time when its process was first observed."""

    observation: ConverterObservation
    incarnation_began_ms: int


@dataclass(slots=True)
class _Incarnation:
    """The life of a converter that is listed as ready: when it was first seen, by the own clock and the region's."""

    uid: str
    began_ms: int
    began_region_ms: int


class WarmthTracker:
    """Turns listings into sightings. Pure: times are given, on one clock of the caller's."""

    def __init__(self, warm_up_ms: Mapping[str, int]) -> None:
        """Know each converter's time to warm up, in milliseconds."""
        self.warm_up_ms = warm_up_ms
        self.incarnations: dict[str, _Incarnation] = {}
        self.observed_down: set[str] = set()

    def observe(self, now_ms: int, region_ms: int, listing: list[ListedConverter]) -> tuple[WarmthProbe, ...]:
        """What the listing shows of each known converter; `region_ms` is the region's own time, from its log.

        One that was up already when this observer first looked may be warm or cold: it is left out until it has been
        listed for the whole of its time to warm up.
        """
        ready = {one.converter: one.uid for one in listing if one.ready}
        probes = []
        for converter, warm_up_ms in self.warm_up_ms.items():
            uid = ready.get(converter)
            if uid is None:
                self.incarnations.pop(converter, None)
                self.observed_down.add(converter)
                probes.append(WarmthProbe(ConverterObservation(converter, False, 0), region_ms))
                continue
            incarnation = self.incarnations.get(converter)
            if incarnation is None or incarnation.uid != uid:
                if incarnation is not None:
                    self.observed_down.add(converter)
                incarnation = self.incarnations[converter] = _Incarnation(uid, now_ms, region_ms)
            warmth = _warmth(now_ms - incarnation.began_ms, warm_up_ms)
            if warmth == FULL_WARMTH or converter in self.observed_down:
                probes.append(WarmthProbe(ConverterObservation(converter, True, warmth), incarnation.began_region_ms))
        return tuple(probes)

    def restart_warm_up(self, converter: str, now_ms: int, region_ms: int) -> None:
        """Count the present life of a converter anew from now on, as cold."""
        incarnation = self.incarnations.get(converter)
        if incarnation is not None:
            self.observed_down.add(converter)
            self.incarnations[converter] = _Incarnation(incarnation.uid, now_ms, region_ms)


def _warmth(age_ms: int, warm_up_ms: int) -> int:
    """Warmth in thousandths, rising evenly and rounded down."""
    if age_ms >= warm_up_ms:
        return FULL_WARMTH
    return age_ms * FULL_WARMTH // warm_up_ms


async def fetch_listing(address: tuple[str, int], timeout_s: float) -> list[ListedConverter]:
    """Discovery's whole list. Raises ListingError."""
    try:
        async with asyncio.timeout(timeout_s):
            body = await _get(address, "/discovery/hosts")
        targets = json.loads(body)["targets"]
        return [ListedConverter(str(one["uid"]), one["state"] == LISTED_READY) for one in targets]
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError, ValueError, KeyError, TypeError) as error:
        raise ListingError(f"{address[0]}:{address[1]}: {type(error).__name__}: {error}") from None


async def _get(address: tuple[str, int], path: str) -> bytes:
    """The body of one HTTP answer. Raises OSError, EOFError, ValueError."""
    reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address[0]}\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = head[0].split(" ")[1:2]
        if status != ["200"]:
            raise ValueError(f"answered {head[0]!r}")
        fields = dict(line.lower().split(":", 1) for line in head[1:] if ":" in line)
        size = int(fields["content-length"])
        if size > MAX_LISTING_BYTES:
            raise ValueError(f"a listing of {size} bytes; {MAX_LISTING_BYTES} are allowed")
        return await reader.readexactly(size)
    finally:
        writer.close()
