"""Merges many EndpointSlices into one list of endpoints, in whatever order their events arrive.

Pure. A changed slice costs its own endpoints, not the whole list. The rules, by the number in `MergedEndpoint.rule`
(docs/design/slices.md has the reasons):

1. an endpoint is identified by its targetRef's uid, or else by address and port;
2. of one slice the greatest generation counts, of one name the newest uid, and a complete list over both;
3. a pod's uid that was terminating in any generation of any slice stays terminating;
4. of several slices the highest risk counts: terminating, then not serving, then not ready, then ready;
5. an endpoint that is in no slice is removed;
6. if all vanish at once, the last list is held for a while.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from ryepier.balancer.interface import UpstreamState
from ryepier.slices.api_objects import Endpoint, Slice

MAX_TERMINATED = 50_000  # uids remembered as terminating: a day of releases
MAX_DELETED_SLICES = 10_000  # uids remembered
EMPTY_LIST_HOLD_US = 30_000_000  # for which an empty list is not applied
ADDRESS_TYPES = ("IPv4", "IPv6")  # FQDN is deprecated, and resolving a name would delay a request
RISKS = ("ready", "not ready", "not serving", "terminating")


@dataclass(frozen=True, slots=True)
class EndpointObservation:
    """The state of one endpoint as reported by a single EndpointSlice."""

    slice_name: str
    generation: int
    address: tuple[str, int]
    zone: str
    node: str
    for_zones: tuple[str, ...]
    risk: int  # an index of RISKS


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """The state of one endpoint, merged from all slices."""

    identity: str
    address: tuple[str, int]
    zone: str
    node: str
    state: UpstreamState
    terminating: bool  # for good
    rule: int  # that decided
    source_slices: tuple[str, ...]  # their names


@dataclass(frozen=True, slots=True)
class _KnownSlice:
    """The current slice of a uid; its endpoints are in the observations."""

    name: str
    generation: int
    identities: frozenset[str]


def risk_of(endpoint: Endpoint) -> int:
    """Return the risk of sending to an endpoint, by its conditions: an index of RISKS."""
    conditions = endpoint.conditions
    if conditions is None:
        return 0
    if conditions.is_terminating:
        return 3
    if not conditions.is_serving:
        return 2
    return 0 if conditions.is_ready else 1


def has_pod_uid(endpoint: Endpoint) -> bool:
    """Return whether an endpoint refers to an object with a uid."""
    return endpoint.target_ref is not None and bool(endpoint.target_ref.uid)


def identity_of(endpoint: Endpoint, port: int) -> str:
    """Return the identity of an endpoint (rule 1)."""
    reference = endpoint.target_ref
    if reference is not None and reference.uid:
        return reference.uid
    return f"{endpoint.addresses[0]}:{port}"


def is_address(identity: str) -> bool:
    """Return whether an identity is an address and port; a pod's uid has no colon."""
    return ":" in identity


class EndpointSliceMerger:
    """The slices of one service, and the endpoints merged from them."""

    def __init__(self, port_name: str = "", hold_us: int = EMPTY_LIST_HOLD_US) -> None:
        """Start without slices. `port_name` is that of a slice's port; empty: its first."""
        self.port_name = port_name
        self.hold_us = hold_us
        self.slices: dict[str, _KnownSlice] = {}  # by uid
        self.by_name: dict[str, str] = {}  # current uid
        self.observations: dict[str, dict[str, EndpointObservation]] = {}  # by identity and slice uid
        self.deleted_slices: OrderedDict[str, None] = OrderedDict()
        self.terminated_uids: OrderedDict[str, None] = OrderedDict()  # of pods
        self.skipped_slices: dict[str, str] = {}  # unusable slices: reason by name
        self.current: dict[str, MergedEndpoint] = {}  # the list as last returned
        self.changed_identities: set[str] = set()  # identities whose observations changed since
        self.empty_since_us: int | None = None

    # Slices

    def apply(self, found: Slice) -> bool:
        """Add or change a slice. Returns whether it is newer than what is known (rule 2)."""
        self._remember_terminated(found)  # rule 3, also from an old generation
        uid = self._uid(found)
        known = self.slices.get(uid)
        generation = found.metadata.generation
        if uid in self.deleted_slices or (known is not None and 0 < generation <= known.generation):
            return False
        self._store(uid, found)
        return True

    def delete(self, found: Slice) -> None:
        """Delete a slice for good: its uid does not return."""
        self._remember_terminated(found)
        self._remove_slice(self._uid(found))

    def replace(self, found: list[Slice]) -> None:
        """Replace all slices by a complete list, of whatever generations: a cluster restored from a backup starts from
        there."""
        listed = {self._uid(endpoint_slice) for endpoint_slice in found}
        for uid in [uid for uid in self.slices if uid not in listed]:
            self._remove_slice(uid)
        for endpoint_slice in found:
            self.deleted_slices.pop(self._uid(endpoint_slice), None)
            self._remember_terminated(endpoint_slice)
            self._store(self._uid(endpoint_slice), endpoint_slice)

    def _store(self, uid: str, found: Slice) -> None:
        name = found.metadata.name
        other = self.by_name.get(name)
        if other is not None and other != uid:
            self._remove_slice(other)  # recreated under its name: the deletion of the older one is on its way
        self._drop_observations(uid)
        reported = self._read(found)
        for identity, observation in reported.items():
            self.observations.setdefault(identity, {})[uid] = observation
            self.changed_identities.add(identity)
        self.slices[uid] = _KnownSlice(name, found.metadata.generation, frozenset(reported))
        self.by_name[name] = uid

    def _read(self, found: Slice) -> dict[str, EndpointObservation]:
        """Return the observations of a slice by identity; of an endpoint that it lists twice, the riskier one."""
        name = found.metadata.name
        port = self._port(found)
        reason = "" if found.address_type in ADDRESS_TYPES else f"address type {found.address_type!r}"
        if port is None:
            reason = f"no port {self.port_name!r}" if self.port_name else "no port"
        if reason or port is None:
            self.skipped_slices[name] = reason
            return {}
        self.skipped_slices.pop(name, None)
        reported: dict[str, EndpointObservation] = {}
        for endpoint in found.endpoints or []:
            if not endpoint.addresses:
                continue
            identity, risk = identity_of(endpoint, port), risk_of(endpoint)
            if identity not in reported or reported[identity].risk < risk:
                reported[identity] = EndpointObservation(
                    name,
                    found.metadata.generation,
                    (endpoint.addresses[0], port),
                    endpoint.zone or "",
                    endpoint.node_name or "",
                    endpoint.for_zones,
                    risk,
                )
        return reported

    def _port(self, endpoint_slice: Slice) -> int | None:
        for port in endpoint_slice.ports or []:
            if port.port is not None and (not self.port_name or port.name == self.port_name):
                return port.port
        return None

    def _remember_terminated(self, endpoint_slice: Slice) -> None:
        for endpoint in endpoint_slice.endpoints or []:
            # not by address: the next endpoint there would never be ready
            if risk_of(endpoint) == 3 and has_pod_uid(endpoint):
                identity = identity_of(endpoint, 0)
                if identity not in self.terminated_uids:
                    self.terminated_uids[identity] = None
                    self.changed_identities.add(identity)
        while len(self.terminated_uids) > MAX_TERMINATED:
            self.terminated_uids.popitem(last=False)

    @staticmethod
    def _uid(endpoint_slice: Slice) -> str:
        return endpoint_slice.metadata.uid or endpoint_slice.metadata.name

    def _drop_observations(self, uid: str) -> None:
        known = self.slices.get(uid)
        for identity in known.identities if known is not None else ():
            observations = self.observations[identity]
            del observations[uid]
            if not observations:
                del self.observations[identity]
            self.changed_identities.add(identity)

    def _remove_slice(self, uid: str) -> None:
        self._drop_observations(uid)
        known = self.slices.pop(uid, None)
        if known is not None:
            self.skipped_slices.pop(known.name, None)
            if self.by_name.get(known.name) == uid:
                del self.by_name[known.name]
        self.deleted_slices[uid] = None
        while len(self.deleted_slices) > MAX_DELETED_SLICES:
            self.deleted_slices.popitem(last=False)

    # Merged list

    def changes(self, now_us: int) -> dict[str, MergedEndpoint | None]:
        """Return the changes since the last call by identity; None for removed endpoints. An empty list is applied only
        after a while (rule 6)."""
        if not self.observations and self.current:
            return self._changes_while_retained(now_us)
        if self.empty_since_us is not None:
            self.empty_since_us = None
            self.changed_identities |= self.current.keys()
        found: dict[str, MergedEndpoint | None] = {}
        for identity in sorted(self.changed_identities):
            reported = self.observations.get(identity)
            merged = self._merge(identity, list(reported.values())) if reported else None
            if merged != self.current.get(identity):
                found[identity] = merged
        return self._commit(found)

    def endpoints(self, now_us: int) -> dict[str, MergedEndpoint]:
        """Return the complete list by identity."""
        self.changes(now_us)
        return self.current

    @property
    def is_retained(self) -> bool:
        """Whether the last list is held because all of it vanished at once."""
        return self.empty_since_us is not None

    @property
    def next_us(self) -> int | None:
        """When `changes` has to be called at the latest."""
        return None if self.empty_since_us is None else self.empty_since_us + self.hold_us

    def _changes_while_retained(self, now_us: int) -> dict[str, MergedEndpoint | None]:
        if self.empty_since_us is None:
            self.empty_since_us = now_us
        found: dict[str, MergedEndpoint | None] = {}
        if now_us - self.empty_since_us >= self.hold_us:
            found = dict.fromkeys(self.current)
            self.empty_since_us = None
        else:
            for identity, last in self.current.items():
                terminating = last.terminating or identity in self.terminated_uids  # also in a retained list
                retained = replace(
                    last, rule=6, terminating=terminating, state=UpstreamState.DRAINING if terminating else last.state
                )
                if retained != last:
                    found[identity] = retained
        return self._commit(found)

    def _commit(self, found: dict[str, MergedEndpoint | None]) -> dict[str, MergedEndpoint | None]:
        self.changed_identities.clear()
        for identity, merged in found.items():
            if merged is None:
                self.current.pop(identity, None)
            else:
                self.current[identity] = merged
        return found

    def _merge(self, identity: str, reported: list[EndpointObservation]) -> MergedEndpoint:
        riskiest = max(reported, key=lambda observation: (observation.risk, observation.slice_name))
        terminated_uids = identity in self.terminated_uids
        state = UpstreamState.READY if riskiest.risk == 0 and not terminated_uids else UpstreamState.DRAINING
        rule = 3 if terminated_uids else 4 if len({observation.risk for observation in reported}) > 1 else 1
        names = tuple(sorted({observation.slice_name for observation in reported}))
        return MergedEndpoint(
            identity,
            riskiest.address,
            riskiest.zone,
            riskiest.node,
            state,
            terminated_uids or riskiest.risk == 3,
            rule,
            names,
        )
