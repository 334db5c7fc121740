"""Derives the state of converters from discovery's list; warmth is measured with the coordinator's own clock.

An incarnation is one run of a converter's process. The uid of the first incarnation is the converter's name; the uids
of later ones add a dot and a suffix. Times in a listing are ignored, because clocks of different machines are never
compared.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ryepier.maintenance.commands import FULL_WARMTH, ConverterObservation


@dataclass(frozen=True, slots=True)
class ListedConverter:
    """An entry of discovery's list: one incarnation of a converter, and whether it is listed as ready."""

    uid: str
    ready: bool

    @property
    def converter(self) -> str:
        """The name of the converter."""
        return self.uid.partition(".")[0]


@dataclass(frozen=True, slots=True)
class WarmthProbe:
    """An observation of a converter, and when its warm-up started.

    `warm_up_started_region_ms` is the region's time when the warm-up of the current incarnation started, or the time of
    the observation if the converter is not ready.
    """

    observation: ConverterObservation
    warm_up_started_region_ms: int


@dataclass(slots=True)
class _ListedIncarnation:
    """An incarnation listed as ready, and when its warm-up started by this process's clock and by the region's time."""

    uid: str
    warm_up_started_ms: int
    warm_up_started_region_ms: int


class WarmthTracker:
    """Derives probes from listings.

    The tracker reads no clock: the caller passes the time of its monotonic clock as `now_ms`, and the region's time.
    """

    def __init__(self, warm_up_ms: Mapping[str, int]) -> None:
        """Start without observations; `warm_up_ms` maps the name of each converter to its warm-up time."""
        self.warm_up_ms = warm_up_ms
        self.incarnations: dict[str, _ListedIncarnation] = {}
        self.converters_with_known_start: set[str] = set()

    def observe(self, now_ms: int, region_time_ms: int, listing: list[ListedConverter]) -> tuple[WarmthProbe, ...]:
        """Return the probes of a listing; `now_ms` is this process's time, `region_time_ms` the committed region time.

        It is unknown when a converter that is ready at the first observation was started. Such a converter is omitted
        until it has been ready for its whole warm-up time.
        """
        ready_uids = {listed.converter: listed.uid for listed in listing if listed.ready}
        probes = []
        for converter in self.warm_up_ms:
            uid = ready_uids.get(converter)
            if uid is None:
                probes.append(self._probe_not_ready(converter, region_time_ms))
                continue
            probe = self._probe_ready(converter, uid, now_ms, region_time_ms)
            if probe.observation.warmth == FULL_WARMTH or converter in self.converters_with_known_start:
                probes.append(probe)
        return tuple(probes)

    def _probe_not_ready(self, converter: str, region_time_ms: int) -> WarmthProbe:
        """Return the probe of a converter that is not listed as ready, and forget its incarnation."""
        self.incarnations.pop(converter, None)
        self.converters_with_known_start.add(converter)
        return WarmthProbe(ConverterObservation(converter, False, 0), region_time_ms)

    def _probe_ready(self, converter: str, uid: str, now_ms: int, region_time_ms: int) -> WarmthProbe:
        """Return the probe of a converter that is listed as ready, and start a warm-up if its incarnation is new."""
        incarnation = self.incarnations.get(converter)
        if incarnation is None or incarnation.uid != uid:
            if incarnation is not None:
                self.converters_with_known_start.add(converter)
            incarnation = self.incarnations[converter] = _ListedIncarnation(uid, now_ms, region_time_ms)
        warmth = _warmth(now_ms - incarnation.warm_up_started_ms, self.warm_up_ms[converter])
        return WarmthProbe(ConverterObservation(converter, True, warmth), incarnation.warm_up_started_region_ms)

    def restart_warm_up(self, converter: str, now_ms: int, region_time_ms: int) -> None:
        """Restart the warm-up of a converter's current incarnation at `now_ms`."""
        incarnation = self.incarnations.get(converter)
        if incarnation is not None:
            self.converters_with_known_start.add(converter)
            self.incarnations[converter] = _ListedIncarnation(incarnation.uid, now_ms, region_time_ms)


def _warmth(age_ms: int, warm_up_ms: int) -> int:
    """Return the warmth in thousandths, `age_ms` after the warm-up started. It rises linearly and is rounded down."""
    if age_ms >= warm_up_ms:
        return FULL_WARMTH
    return age_ms * FULL_WARMTH // warm_up_ms
