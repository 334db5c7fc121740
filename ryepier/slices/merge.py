"""Many EndpointSlices into one list of converters, whatever order their events come in.

Pure. The rules, by the number in each verdict (`Verdict.rule`); docs/design/slices.md has the reasons:

1. an endpoint is known by its targetRef's uid, or else by address and port;
2. of one slice the greatest generation counts, of one name the newest uid;
3. whatever says terminating of a pod's uid, in any generation of any slice ever seen, holds;
4. of several slices the safest word wins: terminating, then not serving, then not ready, then ready;
5. what no slice holds is gone;
6. where all vanish at once, the last list is held for a while.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from glenkeel.interface import UpstreamState
from ryepier.slices.objects import Endpoint, Slice

MOST_ENDED = 50_000  # identities remembered as terminating once no slice holds them: a day of releases
MOST_SLICES_GONE = 10_000  # uids of deleted slices that are remembered
HOLD_US = 30_000_000  # how long an empty list is not believed


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the slices together say of one converter."""

    identity: str
    address: tuple[str, int]
    zone: str
    state: UpstreamState
    rule: int  # which of the rules decided
    said_by: tuple[str, ...]  # names of the slices that hold it


@dataclass(frozen=True, slots=True)
class _Word:
    """What one slice says of one identity."""

    slice_name: str
    address: tuple[str, int]
    zone: str
    rank: int  # 0 ready, 1 not ready, 2 not serving, 3 terminating


def rank_of(endpoint: Endpoint) -> int:
    """How unsafe it is to send there, by its conditions."""
    conditions = endpoint.conditions
    if conditions is None:
        return 0
    if conditions.is_terminating:
        return 3
    if not conditions.is_serving:
        return 2
    return 0 if conditions.is_ready else 1


class Merger:
    """The slices of one service, and the list that follows from them."""

    def __init__(self, port_name: str = "") -> None:
        self.port_name = port_name  # of a slice's ports; empty: its first
        self.slices: dict[str, Slice] = {}  # by uid
        self.gone: OrderedDict[str, None] = OrderedDict()  # uids of slices that were deleted
        self.ended: OrderedDict[str, None] = OrderedDict()  # identities that were seen terminating
        self.skipped: dict[str, str] = {}  # slices that can't be used, by name, and why
        self.held: dict[str, Verdict] = {}  # the last list that was not empty
        self.empty_since_us: int | None = None

    def apply(self, found: Slice) -> bool:
        """A slice as it was added or changed; whether it is news (rule 2)."""
        uid = self._uid(found)
        port = self._port(found)
        if port is not None:
            self._remember_ended(found, port)  # rule 3: an old word of an end is true for good
        known = self.slices.get(uid)
        if uid in self.gone or (known is not None and known.metadata.generation >= found.metadata.generation):
            return False
        for old, other in list(self.slices.items()):
            if other.metadata.name == found.metadata.name and old != uid:
                self._forget(old)  # made anew under its name: the older one's deletion is on its way
        self.slices[uid] = found
        return True

    def delete(self, found: Slice) -> None:
        """A slice is gone, for good: its uid does not come back."""
        port = self._port(found)
        if port is not None:
            self._remember_ended(found, port)
        self._forget(self._uid(found))

    def replace(self, found: list[Slice]) -> None:
        """A whole list, as after a re-list: what it lacks is gone."""
        listed = {self._uid(one) for one in found}
        for uid in [uid for uid in self.slices if uid not in listed]:
            self._forget(uid)
        for one in found:
            self.apply(one)

    def verdicts(self, now_us: int) -> dict[str, Verdict]:
        """The list now, by identity; an empty one only after it has been empty for long (rule 6)."""
        words: dict[str, list[_Word]] = {}
        self.skipped = {}
        for one in self.slices.values():
            self._collect(one, words)
        found = {identity: self._decide(identity, said) for identity, said in words.items()}
        if found or not self.held:
            self.held, self.empty_since_us = found, None
            return found
        if self.empty_since_us is None:
            self.empty_since_us = now_us
        if now_us - self.empty_since_us < HOLD_US:
            return {identity: self._still(verdict) for identity, verdict in self.held.items()}
        self.held = {}
        return {}

    @property
    def alarmed(self) -> bool:
        """Whether a list is held because all of it vanished at once."""
        return self.empty_since_us is not None

    def _still(self, held: Verdict) -> Verdict:
        """One of a held list; that it ends holds all the same."""
        state = UpstreamState.DRAINING if held.identity in self.ended else held.state
        return Verdict(held.identity, held.address, held.zone, state, 6, held.said_by)

    def _decide(self, identity: str, said: list[_Word]) -> Verdict:
        worst = max(said, key=lambda word: (word.rank, word.slice_name))
        ended = identity in self.ended
        state = UpstreamState.READY if worst.rank == 0 and not ended else UpstreamState.DRAINING
        rule = 3 if ended else 4 if len({word.rank for word in said}) > 1 else 1
        names = tuple(sorted({word.slice_name for word in said}))
        return Verdict(identity, worst.address, worst.zone, state, rule, names)

    def _collect(self, one: Slice, words: dict[str, list[_Word]]) -> None:
        port = self._port(one)
        if port is None:
            self.skipped[one.metadata.name] = f"no port {self.port_name!r}" if self.port_name else "no port"
            return
        for endpoint in one.endpoints or []:
            if not endpoint.addresses:
                continue
            address = endpoint.addresses[0], port
            words.setdefault(self.identity(endpoint, port), []).append(
                _Word(one.metadata.name, address, endpoint.zone or "", rank_of(endpoint)))

    @staticmethod
    def identity(endpoint: Endpoint, port: int) -> str:
        """Rule 1."""
        reference = endpoint.target_ref
        if reference is not None and reference.uid:
            return reference.uid
        return f"{endpoint.addresses[0]}:{port}"

    def _port(self, one: Slice) -> int | None:
        for port in one.ports or []:
            if port.port is not None and (not self.port_name or port.name == self.port_name):
                return port.port
        return None

    def _remember_ended(self, one: Slice, port: int) -> None:
        for endpoint in one.endpoints or []:
            if endpoint.addresses and rank_of(endpoint) == 3:
                identity = self.identity(endpoint, port)
                # by address alone the next one there would never be ready: so only while a slice still holds it
                if endpoint.target_ref is not None and endpoint.target_ref.uid:
                    self.ended[identity] = None
        while len(self.ended) > MOST_ENDED:
            self.ended.popitem(last=False)

    @staticmethod
    def _uid(one: Slice) -> str:
        return one.metadata.uid or one.metadata.name

    def _forget(self, uid: str) -> None:
        self.slices.pop(uid, None)
        self.gone[uid] = None
        while len(self.gone) > MOST_SLICES_GONE:
            self.gone.popitem(last=False)
