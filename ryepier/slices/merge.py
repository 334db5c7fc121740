"""Many EndpointSlices into one list of converters, whatever order their events come in.

Pure, and as cheap as a change is small: a slice that changes costs its own endpoints, not the list's. The rules, by
the number in each verdict (`Verdict.rule`); docs/design/slices.md has the reasons:

1. an endpoint is known by its targetRef's uid, or else by address and port;
2. of one slice the greatest generation counts, of one name the newest uid, and a whole list over both;
3. whatever says terminating of a pod's uid, in any generation of any slice ever seen, holds;
4. of several slices the safest word wins: terminating, then not serving, then not ready, then ready;
5. what no slice holds is gone;
6. where all vanish at once, the last list is held for a while.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from ryepier.balancer.interface import UpstreamState
from ryepier.slices.objects import Endpoint, Slice

MOST_ENDED = 50_000  # identities remembered as terminating once no slice holds them: a day of releases
MOST_SLICES_GONE = 10_000  # uids of deleted slices that are remembered
HOLD_US = 30_000_000  # how long an empty list is not believed
ADDRESS_TYPES = ("IPv4", "IPv6")  # FQDN, the third, is deprecated, and a name looked up would hold up a request
RANKS = ("ready", "not ready", "not serving", "terminating")


@dataclass(frozen=True, slots=True)
class Word:
    """What one slice says of one identity."""

    slice_name: str
    generation: int
    address: tuple[str, int]
    zone: str
    node: str
    for_zones: tuple[str, ...]
    rank: int  # of RANKS: how unsafe it is to send there


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the slices together say of one converter."""

    identity: str
    address: tuple[str, int]
    zone: str
    node: str
    state: UpstreamState
    ends: bool  # terminating: it does not come back
    rule: int  # which of the rules decided
    said_by: tuple[str, ...]  # names of the slices that hold it


@dataclass(frozen=True, slots=True)
class _Held:
    """A slice as it counts now; what it says is in the words."""

    name: str
    generation: int
    identities: frozenset[str]


def rank_of(endpoint: Endpoint) -> int:
    """How unsafe it is to send there, by its conditions: an index of RANKS."""
    conditions = endpoint.conditions
    if conditions is None:
        return 0
    if conditions.is_terminating:
        return 3
    if not conditions.is_serving:
        return 2
    return 0 if conditions.is_ready else 1


def has_pod(endpoint: Endpoint) -> bool:
    return endpoint.target_ref is not None and bool(endpoint.target_ref.uid)


def identity_of(endpoint: Endpoint, port: int) -> str:
    """Rule 1."""
    reference = endpoint.target_ref
    if reference is not None and reference.uid:
        return reference.uid
    return f"{endpoint.addresses[0]}:{port}"


def is_address(identity: str) -> bool:
    """Whether an identity is an address and port, not a pod's uid, which has no colon."""
    return ":" in identity


class Merger:
    """The slices of one service, and the list that follows from them."""

    def __init__(self, port_name: str = "", hold_us: int = HOLD_US) -> None:
        self.port_name = port_name  # of a slice's ports; empty: its first
        self.hold_us = hold_us
        self.slices: dict[str, _Held] = {}  # by uid
        self.by_name: dict[str, str] = {}  # the uid that a name stands for
        self.words: dict[str, dict[str, Word]] = {}  # by identity and the slice's uid
        self.gone: OrderedDict[str, None] = OrderedDict()  # uids of slices that were deleted
        self.ended: OrderedDict[str, None] = OrderedDict()  # pods that were seen terminating
        self.skipped: dict[str, str] = {}  # slices that can't be used, by name, and why
        self.told: dict[str, Verdict] = {}  # the list as it was taken last
        self.dirty: set[str] = set()  # identities whose words changed since
        self.empty_since_us: int | None = None

    # Slices in

    def apply(self, found: Slice) -> bool:
        """A slice as it was added or changed; whether it is news (rule 2)."""
        self._remember_ended(found)  # rule 3: an old word of an end is true for good
        uid = self._uid(found)
        known = self.slices.get(uid)
        generation = found.metadata.generation
        if uid in self.gone or (known is not None and 0 < generation <= known.generation):
            return False
        self._take(uid, found)
        return True

    def delete(self, found: Slice) -> None:
        """A slice is gone, for good: its uid does not come back."""
        self._remember_ended(found)
        self._forget(self._uid(found))

    def replace(self, found: list[Slice]) -> None:
        """A whole list, as after a re-list: what it lacks is gone, and what it holds is so, of whatever generation:
        a cluster that was put back from a copy counts from there."""
        listed = {self._uid(one) for one in found}
        for uid in [uid for uid in self.slices if uid not in listed]:
            self._forget(uid)
        for one in found:
            self.gone.pop(self._uid(one), None)
            self._remember_ended(one)
            self._take(self._uid(one), one)

    def _take(self, uid: str, found: Slice) -> None:
        name = found.metadata.name
        other = self.by_name.get(name)
        if other is not None and other != uid:
            self._forget(other)  # made anew under its name: the older one's deletion is on its way
        self._drop_words(uid)
        said = self._read(found)
        for identity, word in said.items():
            self.words.setdefault(identity, {})[uid] = word
            self.dirty.add(identity)
        self.slices[uid] = _Held(name, found.metadata.generation, frozenset(said))
        self.by_name[name] = uid

    def _read(self, found: Slice) -> dict[str, Word]:
        """What it says, by identity; of one that it names twice the safest."""
        name = found.metadata.name
        port = self._port(found)
        why = "" if found.address_type in ADDRESS_TYPES else f"address type {found.address_type!r}"
        if port is None:
            why = f"no port {self.port_name!r}" if self.port_name else "no port"
        if why or port is None:
            self.skipped[name] = why
            return {}
        self.skipped.pop(name, None)
        said: dict[str, Word] = {}
        for endpoint in found.endpoints or []:
            if not endpoint.addresses:
                continue
            identity, rank = identity_of(endpoint, port), rank_of(endpoint)
            if identity not in said or said[identity].rank < rank:
                said[identity] = Word(
                    name,
                    found.metadata.generation,
                    (endpoint.addresses[0], port),
                    endpoint.zone or "",
                    endpoint.node_name or "",
                    endpoint.for_zones,
                    rank,
                )
        return said

    def _port(self, one: Slice) -> int | None:
        for port in one.ports or []:
            if port.port is not None and (not self.port_name or port.name == self.port_name):
                return port.port
        return None

    def _remember_ended(self, one: Slice) -> None:
        for endpoint in one.endpoints or []:
            # by address alone the next one there would never be ready: so only while a slice still holds it
            if rank_of(endpoint) == 3 and has_pod(endpoint):
                identity = identity_of(endpoint, 0)
                if identity not in self.ended:
                    self.ended[identity] = None
                    self.dirty.add(identity)
        while len(self.ended) > MOST_ENDED:
            self.ended.popitem(last=False)

    @staticmethod
    def _uid(one: Slice) -> str:
        return one.metadata.uid or one.metadata.name

    def _drop_words(self, uid: str) -> None:
        held = self.slices.get(uid)
        for identity in held.identities if held is not None else ():
            words = self.words[identity]
            del words[uid]
            if not words:
                del self.words[identity]
            self.dirty.add(identity)

    def _forget(self, uid: str) -> None:
        self._drop_words(uid)
        held = self.slices.pop(uid, None)
        if held is not None:
            self.skipped.pop(held.name, None)
            if self.by_name.get(held.name) == uid:
                del self.by_name[held.name]
        self.gone[uid] = None
        while len(self.gone) > MOST_SLICES_GONE:
            self.gone.popitem(last=False)

    # The list out

    def changes(self, now_us: int) -> dict[str, Verdict | None]:
        """What changed since this was asked last, by identity; None for what is gone. An empty list is believed only
        after it has been empty for long (rule 6)."""
        if not self.words and self.told:
            return self._held_changes(now_us)
        if self.empty_since_us is not None:
            self.empty_since_us = None
            self.dirty |= self.told.keys()
        found: dict[str, Verdict | None] = {}
        for identity in sorted(self.dirty):
            said = self.words.get(identity)
            verdict = self._decide(identity, list(said.values())) if said else None
            if verdict != self.told.get(identity):
                found[identity] = verdict
        return self._tell(found)

    def verdicts(self, now_us: int) -> dict[str, Verdict]:
        """The whole list now, by identity."""
        self.changes(now_us)
        return self.told

    @property
    def alarmed(self) -> bool:
        """Whether a list is held because all of it vanished at once."""
        return self.empty_since_us is not None

    @property
    def next_us(self) -> int | None:
        """When `changes` has to be asked even if nothing happens."""
        return None if self.empty_since_us is None else self.empty_since_us + self.hold_us

    def _held_changes(self, now_us: int) -> dict[str, Verdict | None]:
        if self.empty_since_us is None:
            self.empty_since_us = now_us
        found: dict[str, Verdict | None] = {}
        if now_us - self.empty_since_us >= self.hold_us:
            found = dict.fromkeys(self.told)
            self.empty_since_us = None
        else:
            for identity, held in self.told.items():
                ends = held.ends or identity in self.ended  # a held list's ends hold all the same
                still = replace(held, rule=6, ends=ends, state=UpstreamState.DRAINING if ends else held.state)
                if still != held:
                    found[identity] = still
        return self._tell(found)

    def _tell(self, found: dict[str, Verdict | None]) -> dict[str, Verdict | None]:
        self.dirty.clear()
        for identity, verdict in found.items():
            if verdict is None:
                self.told.pop(identity, None)
            else:
                self.told[identity] = verdict
        return found

    def _decide(self, identity: str, said: list[Word]) -> Verdict:
        worst = max(said, key=lambda word: (word.rank, word.slice_name))
        ended = identity in self.ended
        state = UpstreamState.READY if worst.rank == 0 and not ended else UpstreamState.DRAINING
        rule = 3 if ended else 4 if len({word.rank for word in said}) > 1 else 1
        names = tuple(sorted({word.slice_name for word in said}))
        return Verdict(identity, worst.address, worst.zone, worst.node, state, ended or worst.rank == 3, rule, names)
