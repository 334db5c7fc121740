"""How coordinators observe converters: as discovery lists them, and warm only by the coordinator's own clock.

Each incarnation of a converter (one run of its process) has a uid: the converter's name, followed by a dot and more for
every later one. Times in a listing are not used: two machines' clocks are never compared.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ryepier.maintenance.commands import FULL_WARMTH, ConverterObservation


@dataclass(frozen=True, slots=True)
class ListedConverter:
    """An incarnation of a converter in discovery's list."""

    uid: str
    ready: bool

    @property
    def converter(self) -> str:
        """The converter that it is an incarnation of."""
        return self.uid.partition(".")[0]


@dataclass(frozen=True, slots=True)
class WarmthProbe:
    """The observed state of a converter.

    `warm_up_started_region_ms` is the region's time from which the warm-up of its present incarnation is counted.
    """

    observation: ConverterObservation
    warm_up_started_region_ms: int


@dataclass(slots=True)
class _ListedIncarnation:
    """An incarnation that is listed as ready: when it was first observed, by this process's clock and the region's."""

    uid: str
    warm_up_started_ms: int
    warm_up_started_region_ms: int


class WarmthTracker:
    """Turns listings into probes. Pure: the caller gives the times, of one clock, in milliseconds."""

    def __init__(self, warm_up_ms: Mapping[str, int]) -> None:
        """Track these converters, each with its warm-up time in milliseconds."""
        self.warm_up_ms = warm_up_ms
        self.incarnations: dict[str, _ListedIncarnation] = {}
        self.warm_up_known: set[str] = set()

    def observe(self, now_ms: int, region_ms: int, listing: list[ListedConverter]) -> tuple[WarmthProbe, ...]:
        """Return what the listing shows of each converter; `region_ms` is the region's own time, from its log.

        A converter that was up already at the first observation may be warm or not: it is left out until it has been
        listed for all of its warm-up time.
        """
        ready_uids = {listed.converter: listed.uid for listed in listing if listed.ready}
        probes = []
        for converter in self.warm_up_ms:
            uid = ready_uids.get(converter)
            if uid is None:
                probes.append(self._probe_not_ready(converter, region_ms))
                continue
            probe = self._probe_ready(converter, uid, now_ms, region_ms)
            if probe.observation.warmth == FULL_WARMTH or converter in self.warm_up_known:
                probes.append(probe)
        return tuple(probes)

    def _probe_not_ready(self, converter: str, region_ms: int) -> WarmthProbe:
        """Record that a converter is not listed as ready."""
        self.incarnations.pop(converter, None)
        self.warm_up_known.add(converter)
        return WarmthProbe(ConverterObservation(converter, False, 0), region_ms)

    def _probe_ready(self, converter: str, uid: str, now_ms: int, region_ms: int) -> WarmthProbe:
        """Record the incarnation that is listed as ready."""
        incarnation = self.incarnations.get(converter)
        if incarnation is None or incarnation.uid != uid:
            if incarnation is not None:
                self.warm_up_known.add(converter)
            incarnation = self.incarnations[converter] = _ListedIncarnation(uid, now_ms, region_ms)
        warmth = _warmth(now_ms - incarnation.warm_up_started_ms, self.warm_up_ms[converter])
        return WarmthProbe(ConverterObservation(converter, True, warmth), incarnation.warm_up_started_region_ms)

    def restart_warm_up(self, converter: str, now_ms: int, region_ms: int) -> None:
        """Count the warm-up of a converter's present incarnation from now on."""
        incarnation = self.incarnations.get(converter)
        if incarnation is not None:
            self.warm_up_known.add(converter)
            self.incarnations[converter] = _ListedIncarnation(incarnation.uid, now_ms, region_ms)


def _warmth(age_ms: int, warm_up_ms: int) -> int:
    """Return the warmth in thousandths, rising evenly and rounded down."""
    if age_ms >= warm_up_ms:
        return FULL_WARMTH
    return age_ms * FULL_WARMTH // warm_up_ms
