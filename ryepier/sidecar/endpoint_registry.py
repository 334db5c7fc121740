"""Registry of the endpoints that discovery lists: assigns upstream ids and converts entries for the decision module."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterator
from typing import Any, NamedTuple

from ryepier.balancer.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from ryepier.errors import RyepierError
from ryepier.sidecar import system
from ryepier.sidecar.config import parse_address
from ryepier.sidecar.endpoint_updates import MAX_ENTRIES_PER_TURN, EndpointUpdate
from ryepier.sidecar.requests import Address
from ryepier.sidecar.system import clock_us

log = logging.getLogger(__name__)

MAX_PORT = 65_535
# Maps the states in discovery's lists to those of the decision module
UPSTREAM_STATES = {"active": UpstreamState.READY, "leaving": UpstreamState.DRAINING, "left": UpstreamState.REMOVED}


def watch_request(address: Address, version: int) -> bytes:
    """Return the HTTP request for a watch of changes since `version`; 0 requests the complete list first."""
    host, port = address
    return b"GET /discovery/hosts?follow=1&since=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (version, host.encode(), port)


def parse_endpoint(text: str) -> Address:
    """Parse `IPv4:port`.

    Raises ValueError for a host name, which would need a lookup, and for a port out of range, with which each attempt
    would time out.
    """
    host, port = parse_address(text)
    if port > MAX_PORT:
        raise ValueError(f"port out of range: {text!r}")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"not an IPv4 address: {host!r}") from None
    return host, port


class EndpointListError(RyepierError):
    """A message from discovery is malformed."""


class ListedEndpoint(NamedTuple):
    """An entry of the endpoint list with its address."""

    upstream: Upstream
    address: Address


class Incarnation(NamedTuple):
    """One lifetime of an endpoint, from its start to its next restart."""

    boot_ms: int  # Unix time of the start, as reported by discovery
    first_listed_at_us: int  # when this start was first listed, on the decision module's clock


class EndpointRegistry:
    """Converts entries of discovery's lists to upstreams of the decision module."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        """Start without endpoints; `zones` and `kinds` are the names in the settings, in the order of their indexes."""
        self.zones = zones
        self.kinds = kinds
        self.upstream_ids: dict[str, int] = {}
        self.incarnations: dict[str, Incarnation] = {}
        self.last_upstream_id = 0
        # Computed once, so that later steps of the wall clock have no effect.
        self.unix_to_clock_offset_us = clock_us() - system.unix_ns() // 1000

    def apply(self, message: Any, kind: ListKind | None = None) -> EndpointUpdate:
        """Convert a message from discovery to an update.

        `kind` overrides the kind that the message states. Raises EndpointListError if the message is malformed.
        """
        for update in self.apply_in_parts(message, kind):
            if update is not None:
                return update
        raise AssertionError("the last part is the update")

    def apply_in_parts(self, message: Any, kind: ListKind | None = None) -> Iterator[EndpointUpdate | None]:
        """Convert a message like `apply`, and yield None after each MAX_ENTRIES_PER_TURN entries, last the update."""
        try:
            yield from self._apply_in_parts(message, kind)
        except (LookupError, TypeError, ValueError, AttributeError, ArithmeticError) as error:
            raise EndpointListError(f"{type(error).__name__}: {error}") from error

    def _apply_in_parts(self, message: Any, kind: ListKind | None) -> Iterator[EndpointUpdate | None]:
        if kind is None:
            kind = ListKind.FULL if message["all"] else ListKind.DELTA
        endpoints: list[ListedEndpoint] = []
        for target in message["targets"]:
            if endpoints and len(endpoints) % MAX_ENTRIES_PER_TURN == 0:
                yield None
            endpoints.append(self._parse_entry(target))
        if kind is not ListKind.DELTA:
            self._forget_unlisted({target["uid"] for target in message["targets"]})
        for target in message["targets"]:
            if UPSTREAM_STATES[target["state"]] is UpstreamState.REMOVED:
                self.upstream_ids.pop(target["uid"], None)
                self.incarnations.pop(target["uid"], None)
        upstreams = [endpoint.upstream for endpoint in endpoints]
        event = UpstreamsUpdated(kind, upstreams, int(message["rev"]))
        listed_targets = zip(message["targets"], upstreams, strict=True)
        log.info(
            "endpoint list %d applied (%s): %s",
            event.version,
            kind.value,
            " ".join(f"{target['uid']}={entry.id}:{entry.state.value}" for target, entry in listed_targets),
            extra={"version": event.version},
        )
        yield EndpointUpdate(event, {endpoint.upstream.id: endpoint.address for endpoint in endpoints})

    def _forget_unlisted(self, listed_uids: set[str]) -> None:
        self.upstream_ids = {uid: upstream_id for uid, upstream_id in self.upstream_ids.items() if uid in listed_uids}
        self.incarnations = {uid: incarnation for uid, incarnation in self.incarnations.items() if uid in listed_uids}

    def _parse_entry(self, target: Any) -> ListedEndpoint:
        uid = target["uid"]
        if uid not in self.upstream_ids:
            self.last_upstream_id += 1
            self.upstream_ids[uid] = self.last_upstream_id
        boot_ms = int(target["boot_ms"])
        incarnation = self.incarnations.get(uid)
        if incarnation is None or incarnation.boot_ms != boot_ms:  # a restarted endpoint warms up again
            incarnation = self.incarnations[uid] = Incarnation(boot_ms, clock_us())
        # Limited to the first listing: if this machine's wall clock is behind, the start would otherwise lie in the
        # future and the warm-up would seem longer.
        started_us = (
            min(boot_ms * 1000 + self.unix_to_clock_offset_us, incarnation.first_listed_at_us) if boot_ms else 0
        )
        entry = Upstream(
            id=self.upstream_ids[uid],
            state=UPSTREAM_STATES[target["state"]],
            zone=index_of(target["az"], self.zones),
            kind=index_of(target["model"], self.kinds),
            failure_domain=int(target["pod_group"]),
            weight=float(target["capacity_hint"]),
            started_at_us=started_us,
        )
        return ListedEndpoint(entry, parse_endpoint(target["endpoint"]))


def index_of(name: str, names: list[str]) -> int:
    """Return the index of a name, or the length of the list if the name is unknown."""
    return names.index(name) if name in names else len(names)
