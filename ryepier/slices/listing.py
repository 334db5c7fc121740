"""The merged list as the module's entries: numbers, damping of readiness, and when a converter counts as fresh.

Pure. What drains is told in the same step, always; only coming back waits. Times are whole microseconds on the
caller's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal

from ryepier.balancer.interface import Upstream, UpstreamState
from ryepier.slices.merge import Verdict, is_address

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED

MOST_FLAPS = 5  # the time that it must be ready for doubles with each flap, up to 32 times
CALM_US = 60_000_000  # ready for so long, earlier flaps are forgotten
RESTART_US = 2_000_000  # not ready for less than this, a container can't have been started anew
MOST_DEPARTED = 20_000  # identities remembered once no slice holds them, so that a move between slices is no restart

CellBy = Literal["endpoint", "node"]
Entry = tuple[Upstream, tuple[str, int]]  # with its address
Entries = list[Entry]


@dataclass(frozen=True, slots=True)
class Rules:
    """How the list is read for one sidecar."""

    zones: list[str]
    unknown_kind: int  # slices don't say a converter's kind
    cell_by: CellBy = "endpoint"  # what drops repeats together
    settle_us: int = 3_000_000  # one that was not ready counts again once it has been ready for so long


@dataclass(slots=True)
class _Known:
    """One identity, from its first sight on."""

    ident: int
    verdict: Verdict
    told: UpstreamState
    started_us: int  # 0 = long ago
    away_us: int = 0  # since when it has not been ready; 0 = it is
    ready_us: int = 0  # since when it is ready, as the slices say
    flaps: int = 0

    def due_us(self, settle_us: int) -> int:
        """When one that is ready again may be told of."""
        return self.ready_us + (settle_us << min(self.flaps - 1, MOST_FLAPS))


class Listing:
    """The converters that the module has been told of."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.known: dict[str, _Known] = {}
        self.departed: OrderedDict[str, _Known] = OrderedDict()
        self.waiting: set[str] = set()  # ready again, not told yet
        self.cells: dict[str, int] = {}
        self.last_ident = 0
        self.listed = False  # it has told of a whole list

    def update(self, now_us: int, changes: Mapping[str, Verdict | None]) -> Entries:
        """Take the merger's changes; the module's entries that follow."""
        entries = []
        for identity, verdict in changes.items():
            entry = self._depart(identity) if verdict is None else self._change(now_us, identity, verdict)
            if entry is not None:
                entries.append(entry)
        return entries + self._settled(now_us)

    def whole(self) -> Entries:
        """All that is listed, as it was told; from now on what is new counts as come up just now."""
        self.listed = True
        return [self._entry(known) for known in self.known.values()]

    @property
    def next_us(self) -> int | None:
        """When the next one has been ready for long enough."""
        return min((self.known[identity].due_us(self.rules.settle_us) for identity in self.waiting), default=None)

    def idents(self) -> dict[str, int]:
        return {identity: known.ident for identity, known in self.known.items()}

    def _depart(self, identity: str) -> Entry | None:
        known = self.known.pop(identity, None)
        self.waiting.discard(identity)
        if known is None:
            return None
        known.told = REMOVED
        if not is_address(identity):  # an address may come back as another process, a pod's uid never
            self.departed[identity] = known
        while len(self.departed) > MOST_DEPARTED:
            self.departed.popitem(last=False)
        return self._entry(known)

    def _change(self, now_us: int, identity: str, verdict: Verdict) -> Entry | None:
        known = self.known.get(identity)
        if known is None:
            return self._arrive(now_us, identity, verdict)
        moved = known.verdict.address != verdict.address
        was, known.verdict = known.verdict.state, verdict
        if verdict.state is DRAINING:
            self.waiting.discard(identity)
            known.away_us = known.away_us or now_us
            if known.told is DRAINING and not moved:
                return None
            known.told = DRAINING
            return self._entry(known)
        if was is DRAINING:
            self._return(now_us, identity, known)
            return None
        return self._entry(known) if known.told is READY else None

    def _arrive(self, now_us: int, identity: str, verdict: Verdict) -> Entry:
        known = self.departed.pop(identity, None)
        if known is None:
            self.last_ident += 1
            # what the first whole list shows has been there for long, or so it is hoped; what comes later has come up
            # just now
            known = _Known(self.last_ident, verdict, verdict.state, now_us if self.listed else 0)
        was_draining = known.verdict.state is DRAINING
        known.verdict, known.told = verdict, verdict.state
        self.known[identity] = known
        if verdict.state is DRAINING:
            known.away_us = known.away_us or now_us
        elif was_draining:
            known.told = DRAINING
            self._return(now_us, identity, known)
        return self._entry(known)

    def _return(self, now_us: int, identity: str, known: _Known) -> None:
        """Ready once more: it has to last before it counts."""
        if known.ready_us and now_us - known.ready_us > CALM_US:
            known.flaps = 0
        known.flaps += 1
        known.ready_us = now_us
        if now_us - known.away_us >= RESTART_US:
            known.started_us = now_us
        self.waiting.add(identity)

    def _settled(self, now_us: int) -> Entries:
        settled = []
        for identity in [one for one in sorted(self.waiting) if self.known[one].due_us(self.rules.settle_us) <= now_us]:
            self.waiting.discard(identity)
            known = self.known[identity]
            known.told, known.away_us = READY, 0
            settled.append(self._entry(known))
        return settled

    def _entry(self, known: _Known) -> Entry:
        zones, verdict = self.rules.zones, known.verdict
        zone = zones.index(verdict.zone) if verdict.zone in zones else len(zones)
        return Upstream(
            known.ident, known.told, zone, self.rules.unknown_kind, self._cell(known), 1.0, known.started_us
        ), verdict.address

    def _cell(self, known: _Known) -> int:
        """Hazard: two converters taken for one cell would let a request run twice; so where nothing is known each
        is one by itself, with a number that no node has."""
        node = known.verdict.node
        if self.rules.cell_by == "endpoint" or not node:
            return -known.ident
        return self.cells.setdefault(node, len(self.cells))
