"""Merges many EndpointSlices into one list of endpoints, whatever the order in which their events arrive.

The cost of a changed slice is proportional to its own endpoints, not to the whole list. There is no I/O. The merge
rules follow; `MergedEndpoint.rule` has the number of the rule that decided. docs/design/slices.md has their reasons.

1. An endpoint is identified by the uid of its targetRef, or by address and port if it has none.
2. Of a slice, the greatest generation counts; of slices with the same name, the one that was created last. A complete
   list overrides this.
3. A pod that was terminating in any generation of any slice stays terminating.
4. If slices differ about an endpoint, the state of the highest risk counts: terminating, then not serving, then not
   ready, then ready.
5. An endpoint that is in no slice is removed.
6. If all endpoints vanish at once, the last list is kept for some time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from ryepier.balancer.interface import UpstreamState
from ryepier.slices.api_objects import Endpoint, Slice

MAX_TERMINATED_UIDS = 50_000  # terminating pods whose uids are remembered; enough for one day of releases
MAX_DELETED_SLICES = 10_000  # deleted slices whose uids are remembered
EMPTY_LIST_HOLD_US = 30_000_000  # how long the last list is kept when all endpoints vanish at once
ADDRESS_TYPES = ("IPv4", "IPv6")  # FQDN is deprecated, and resolving names would delay requests
# states of an endpoint, from the lowest to the highest risk of sending requests to it
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
    risk: int  # index into RISKS


@dataclass(frozen=True, slots=True)
class MergedEndpoint:
    """The state of one endpoint, merged from all slices that list it."""

    identity: str
    address: tuple[str, int]
    zone: str
    node: str
    state: UpstreamState
    terminating: bool  # if set, it never becomes ready again
    rule: int  # number of the merge rule that decided
    source_slices: tuple[str, ...]  # names of the slices


@dataclass(frozen=True, slots=True)
class _KnownSlice:
    """The current generation of a slice. Its endpoints are stored in `EndpointSliceMerger.observations`."""

    name: str
    generation: int
    identities: frozenset[str]


def risk_of(endpoint: Endpoint) -> int:
    """Return the risk of sending requests to an endpoint with its conditions, as an index into RISKS."""
    conditions = endpoint.conditions
    if conditions is None:
        return 0
    if conditions.is_terminating:
        return 3
    if not conditions.is_serving:
        return 2
    return 0 if conditions.is_ready else 1


def has_pod_uid(endpoint: Endpoint) -> bool:
    """Return whether an endpoint's targetRef has a uid."""
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
        """Start without slices. `port_name` selects the port of each slice; if empty, its first port is used.
        `hold_us` is the time for which the last list is kept when all endpoints vanish at once."""
        self.port_name = port_name
        self.hold_us = hold_us
        self.slices: dict[str, _KnownSlice] = {}  # by uid
        self.uid_by_name: dict[str, str] = {}  # current uid of each slice name
        self.observations: dict[str, dict[str, EndpointObservation]] = {}  # by identity and slice uid
        self.deleted_slices: OrderedDict[str, None] = OrderedDict()  # uids of deleted slices
        self.terminated_uids: OrderedDict[str, None] = OrderedDict()  # uids of pods that have been terminating (rule 3)
        self.skipped_slices: dict[str, str] = {}  # by name, why a slice can't be used
        self.current_endpoints: dict[str, MergedEndpoint] = {}  # the list after the last call of `changes`
        self.changed_identities: set[str] = set()  # identities with changed observations since that call
        self.empty_since_us: int | None = None

    # Slices

    def apply(self, endpoint_slice: Slice) -> bool:
        """Add or change a slice. Returns False if it is not newer than the known generation and is ignored (rule 2)."""
        self._record_terminated(endpoint_slice)  # rule 3 applies to outdated generations too
        uid = self._uid(endpoint_slice)
        known_slice = self.slices.get(uid)
        generation = endpoint_slice.metadata.generation
        if uid in self.deleted_slices or (known_slice is not None and 0 < generation <= known_slice.generation):
            return False
        self._store(uid, endpoint_slice)
        return True

    def delete(self, endpoint_slice: Slice) -> None:
        """Delete a slice. Later events with its uid are ignored until a complete list contains it again."""
        self._record_terminated(endpoint_slice)
        self._remove_slice(self._uid(endpoint_slice))

    def replace(self, slices: list[Slice]) -> None:
        """Replace all slices by a complete list, even if its generations are older, as in a cluster that was restored
        from a backup."""
        listed_uids = {self._uid(endpoint_slice) for endpoint_slice in slices}
        for uid in [uid for uid in self.slices if uid not in listed_uids]:
            self._remove_slice(uid)
        for endpoint_slice in slices:
            self.deleted_slices.pop(self._uid(endpoint_slice), None)
            self._record_terminated(endpoint_slice)
            self._store(self._uid(endpoint_slice), endpoint_slice)

    def _store(self, uid: str, endpoint_slice: Slice) -> None:
        name = endpoint_slice.metadata.name
        previous_uid = self.uid_by_name.get(name)
        if previous_uid is not None and previous_uid != uid:
            # the slice was recreated with the same name; the event that deletes the old one may arrive later
            self._remove_slice(previous_uid)
        self._drop_observations(uid)
        observations = self._read_observations(endpoint_slice)
        for identity, observation in observations.items():
            self.observations.setdefault(identity, {})[uid] = observation
            self.changed_identities.add(identity)
        self.slices[uid] = _KnownSlice(name, endpoint_slice.metadata.generation, frozenset(observations))
        self.uid_by_name[name] = uid

    def _read_observations(self, endpoint_slice: Slice) -> dict[str, EndpointObservation]:
        """Return the observations of a slice by identity. If it lists an endpoint twice, the higher risk counts."""
        name = endpoint_slice.metadata.name
        port = self._select_port(endpoint_slice)
        reason = "" if endpoint_slice.address_type in ADDRESS_TYPES else f"address type {endpoint_slice.address_type!r}"
        if port is None:
            reason = f"no port {self.port_name!r}" if self.port_name else "no port"
        if reason or port is None:
            self.skipped_slices[name] = reason
            return {}
        self.skipped_slices.pop(name, None)
        observations: dict[str, EndpointObservation] = {}
        for endpoint in endpoint_slice.endpoints or []:
            if not endpoint.addresses:
                continue
            identity, risk = identity_of(endpoint, port), risk_of(endpoint)
            if identity not in observations or observations[identity].risk < risk:
                observations[identity] = EndpointObservation(
                    name,
                    endpoint_slice.metadata.generation,
                    (endpoint.addresses[0], port),
                    endpoint.zone or "",
                    endpoint.node_name or "",
                    endpoint.for_zones,
                    risk,
                )
        return observations

    def _select_port(self, endpoint_slice: Slice) -> int | None:
        for port in endpoint_slice.ports or []:
            if port.port is not None and (not self.port_name or port.name == self.port_name):
                return port.port
        return None

    def _record_terminated(self, endpoint_slice: Slice) -> None:
        for endpoint in endpoint_slice.endpoints or []:
            # Only uids are recorded: with a recorded address, the next endpoint at that address would never be ready.
            if risk_of(endpoint) == 3 and has_pod_uid(endpoint):
                identity = identity_of(endpoint, 0)
                if identity not in self.terminated_uids:
                    self.terminated_uids[identity] = None
                    self.changed_identities.add(identity)
        while len(self.terminated_uids) > MAX_TERMINATED_UIDS:
            self.terminated_uids.popitem(last=False)

    @staticmethod
    def _uid(endpoint_slice: Slice) -> str:
        return endpoint_slice.metadata.uid or endpoint_slice.metadata.name

    def _drop_observations(self, uid: str) -> None:
        known_slice = self.slices.get(uid)
        for identity in known_slice.identities if known_slice is not None else ():
            observations = self.observations[identity]
            del observations[uid]
            if not observations:
                del self.observations[identity]
            self.changed_identities.add(identity)

    def _remove_slice(self, uid: str) -> None:
        self._drop_observations(uid)
        known_slice = self.slices.pop(uid, None)
        if known_slice is not None:
            self.skipped_slices.pop(known_slice.name, None)
            if self.uid_by_name.get(known_slice.name) == uid:
                del self.uid_by_name[known_slice.name]
        self.deleted_slices[uid] = None
        while len(self.deleted_slices) > MAX_DELETED_SLICES:
            self.deleted_slices.popitem(last=False)

    # Merged list

    def changes(self, now_us: int) -> dict[str, MergedEndpoint | None]:
        """Return the endpoints that have changed since the last call, by identity; None for removed ones. If all
        endpoints vanish at once, they are removed only after the hold time (rule 6)."""
        if not self.observations and self.current_endpoints:
            return self._changes_while_retained(now_us)
        if self.empty_since_us is not None:
            self.empty_since_us = None
            self.changed_identities |= self.current_endpoints.keys()
        changes: dict[str, MergedEndpoint | None] = {}
        for identity in sorted(self.changed_identities):
            observations = self.observations.get(identity)
            merged_endpoint = self._merge(identity, list(observations.values())) if observations else None
            if merged_endpoint != self.current_endpoints.get(identity):
                changes[identity] = merged_endpoint
        return self._commit(changes)

    def endpoints(self, now_us: int) -> dict[str, MergedEndpoint]:
        """Apply pending changes and return the complete list by identity."""
        self.changes(now_us)
        return self.current_endpoints

    @property
    def is_list_retained(self) -> bool:
        """Whether the last list is being kept because all endpoints vanished at once."""
        return self.empty_since_us is not None

    @property
    def next_due_at_us(self) -> int | None:
        """When `changes` must be called at the latest; None if nothing is pending."""
        return None if self.empty_since_us is None else self.empty_since_us + self.hold_us

    def _changes_while_retained(self, now_us: int) -> dict[str, MergedEndpoint | None]:
        if self.empty_since_us is None:
            self.empty_since_us = now_us
        changes: dict[str, MergedEndpoint | None] = {}
        if now_us - self.empty_since_us >= self.hold_us:
            changes = dict.fromkeys(self.current_endpoints)
            self.empty_since_us = None
        else:
            for identity, last_endpoint in self.current_endpoints.items():
                # rule 3 applies to a retained list too
                terminating = last_endpoint.terminating or identity in self.terminated_uids
                retained_endpoint = replace(
                    last_endpoint,
                    rule=6,
                    terminating=terminating,
                    state=UpstreamState.DRAINING if terminating else last_endpoint.state,
                )
                if retained_endpoint != last_endpoint:
                    changes[identity] = retained_endpoint
        return self._commit(changes)

    def _commit(self, changes: dict[str, MergedEndpoint | None]) -> dict[str, MergedEndpoint | None]:
        self.changed_identities.clear()
        for identity, merged_endpoint in changes.items():
            if merged_endpoint is None:
                self.current_endpoints.pop(identity, None)
            else:
                self.current_endpoints[identity] = merged_endpoint
        return changes

    def _merge(self, identity: str, observations: list[EndpointObservation]) -> MergedEndpoint:
        riskiest_observation = max(observations, key=lambda observation: (observation.risk, observation.slice_name))
        is_terminated = identity in self.terminated_uids
        state = UpstreamState.READY if riskiest_observation.risk == 0 and not is_terminated else UpstreamState.DRAINING
        rule = 3 if is_terminated else 4 if len({observation.risk for observation in observations}) > 1 else 1
        slice_names = tuple(sorted({observation.slice_name for observation in observations}))
        return MergedEndpoint(
            identity,
            riskiest_observation.address,
            riskiest_observation.zone,
            riskiest_observation.node,
            state,
            is_terminated or riskiest_observation.risk == 3,
            rule,
            slice_names,
        )
