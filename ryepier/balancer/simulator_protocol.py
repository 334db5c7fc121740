"""Binary protocol of the simulator: decodes frames to events and encodes actions to frames.

The message of a `ProtocolError` says in one line what is malformed and where.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from ryepier.balancer import interface as api
from ryepier.errors import RyepierError

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
_ENTRY = struct.Struct("<IBBHBfQ")
_LIST_HEADER = struct.Struct("<II")
_INSTANCE_STARTED = struct.Struct("<QI")
_UPSTREAMS_UPDATED = struct.Struct("<BII")
_REQUEST_ARRIVED = struct.Struct("<IBIQIBQ")
_ATTEMPT_ENDED = struct.Struct("<IBIHIBB")
_STREAM_STARTED = struct.Struct("<IBII")
_PROBE_ENDED = struct.Struct("<IHIB")
_PEER_MESSAGE = struct.Struct("<HH")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")

_OUTCOMES = {
    0: api.Outcome.OK,
    5: api.Outcome.ERROR,
    11: api.Outcome.REJECTED,
    110: api.Outcome.TIMEOUT,
    111: api.Outcome.CONNECT_FAILED,
    104: api.Outcome.RESET,
    125: api.Outcome.CANCELLED,
    114: api.Outcome.NOT_SENT,
}
_STATES = {0: api.UpstreamState.REMOVED, 1: api.UpstreamState.READY, 2: api.UpstreamState.DRAINING}
_LIST_KINDS = {0: api.ListKind.DELTA, 1: api.ListKind.FULL, 2: api.ListKind.CACHED, 3: api.ListKind.FAILED}
_U32_MAX = 0xFFFFFFFF
V = TypeVar("V")


class ProtocolError(RyepierError):
    """Raised for a malformed frame."""


@dataclass(slots=True)
class InstanceStarted:
    """Event: an instance starts, without any earlier state."""

    seed: int
    options: str


@dataclass(slots=True)
class InstanceStopped:
    """Event: an instance has been killed."""


@dataclass(slots=True)
class InternalError:
    """Action: reports an exception in the decision module."""

    text: str


Record = api.Event | InstanceStarted | InstanceStopped
InstanceRecord = tuple[int, Record]  # number of the instance, record
Reply = api.Action | InternalError


class Decoder:
    """Decodes batches, and keeps the numbered upstream lists to which events refer."""

    def __init__(self) -> None:
        """Start without upstream lists and without a batch."""
        self.lists: dict[int, list[api.Upstream]] = {}
        self.data = b""
        self.offset = 0

    def read_batch(self, data: bytes, count: int) -> Iterator[InstanceRecord]:
        """Yield the records of a batch's body, in order. Raises ProtocolError."""
        self.data, self.offset = data, 0
        for index in range(count):
            start_offset = self.offset
            try:
                code = self.read_bytes(1)[0]
                if code == 110:
                    self.read_list()
                    continue
                reader = _READERS.get(code)
                if reader is None:
                    raise ProtocolError(f"unknown event code {code}")
                instance = self.read_fields(_U16)[0]
                event = reader(self)
            except (ProtocolError, UnicodeDecodeError) as error:
                raise ProtocolError(f"record {index} at byte {start_offset}: {error}") from error
            yield instance, event
        if self.offset != len(data):
            raise ProtocolError(f"{len(data) - self.offset} bytes left over after {count} records")

    def read_bytes(self, size: int) -> bytes:
        """Return the next `size` bytes of the batch. Raises ProtocolError if fewer are left."""
        end = self.offset + size
        if end > len(self.data):
            raise ProtocolError(f"truncated: {size} bytes expected, {len(self.data) - self.offset} left")
        chunk = self.data[self.offset : end]
        self.offset = end
        return chunk

    def read_fields(self, layout: struct.Struct) -> tuple[int, ...]:
        """Return the next fields, unpacked by `layout`. Raises ProtocolError if the batch is too short."""
        return layout.unpack(self.read_bytes(layout.size))

    def read_floats(self, count: int) -> list[float]:
        """Return the next `count` load report values. Raises ProtocolError if one is not finite."""
        values = list(struct.unpack(f"<{count}f", self.read_bytes(4 * count)))
        if not all(map(math.isfinite, values)):
            raise ProtocolError("load report value is not a finite number")
        return values

    def read_list(self) -> None:
        """Read an upstream list and keep it by its number. Raises ProtocolError for an invalid entry."""
        list_number, count = self.read_fields(_LIST_HEADER)
        entries = []
        for upstream, zone, kind, failure_domain, state, weight, started_at_us in _ENTRY.iter_unpack(
            self.read_bytes(_ENTRY.size * count)
        ):
            if not math.isfinite(weight):
                raise ProtocolError(f"upstream {upstream} has a weight that is not a finite number")
            entries.append(
                api.Upstream(
                    upstream,
                    _lookup(_STATES, state, "upstream state"),
                    zone,
                    kind,
                    failure_domain,
                    weight,
                    started_at_us,
                )
            )
        self.lists[list_number] = entries


def _lookup(table: dict[int, V], code: int, field_name: str) -> V:
    value = table.get(code)
    if value is None:
        raise ProtocolError(f"unknown {field_name} {code}")
    return value


def _read_instance_started(decoder: Decoder) -> Record:
    seed, size = decoder.read_fields(_INSTANCE_STARTED)
    return InstanceStarted(seed, decoder.read_bytes(size).decode())


def _read_instance_stopped(decoder: Decoder) -> Record:
    return InstanceStopped()


def _read_upstreams_updated(decoder: Decoder) -> Record:
    kind_code, version, list_number = decoder.read_fields(_UPSTREAMS_UPDATED)
    kind = _lookup(_LIST_KINDS, kind_code, "list kind")
    if kind is api.ListKind.FAILED:
        return api.UpstreamsUpdated(kind, [], version)
    if list_number not in decoder.lists:
        raise ProtocolError(f"upstream list {list_number} was never sent")
    return api.UpstreamsUpdated(kind, decoder.lists[list_number], version)


def _read_request_arrived(decoder: Decoder) -> Record:
    request, class_index, tenant, key, cost_us, flags, due_at_us = decoder.read_fields(_REQUEST_ARRIVED)
    return api.RequestArrived(
        request,
        due_at_us,
        class_index,
        tenant,
        key,
        cost_us if flags & 1 else 0,
        bool(flags & 2),
        bool(flags & 4),
    )


def _read_attempt_ended(decoder: Decoder) -> Record:
    request, attempt, upstream, outcome_code, elapsed_us, final, count = decoder.read_fields(_ATTEMPT_ENDED)
    return api.AttemptEnded(
        request,
        attempt,
        upstream,
        _lookup(_OUTCOMES, outcome_code, "outcome"),
        elapsed_us,
        bool(final),
        decoder.read_floats(count),
    )


def _read_stream_started(decoder: Decoder) -> Record:
    request, attempt, elapsed_us, upstream = decoder.read_fields(_STREAM_STARTED)
    return api.StreamStarted(request, attempt, upstream, elapsed_us)


def _read_probe_ended(decoder: Decoder) -> Record:
    upstream, outcome_code, elapsed_us, count = decoder.read_fields(_PROBE_ENDED)
    return api.ProbeEnded(
        upstream, _lookup(_OUTCOMES, outcome_code, "outcome"), elapsed_us, decoder.read_floats(count)
    )


def _read_peer_message(decoder: Decoder) -> Record:
    sender, size = decoder.read_fields(_PEER_MESSAGE)
    return api.PeerMessage(sender, decoder.read_bytes(size))


_READERS: dict[int, Callable[[Decoder], Record]] = {
    10: _read_attempt_ended,
    20: _read_stream_started,
    30: _read_peer_message,
    40: _read_instance_stopped,
    50: lambda decoder: api.TimerFired(decoder.read_fields(_U32)[0]),
    60: lambda decoder: api.ClientDisconnected(decoder.read_fields(_U32)[0]),
    70: _read_request_arrived,
    80: _read_upstreams_updated,
    90: _read_probe_ended,
    100: _read_instance_started,
}


def _packer_for(code: int, layout: str) -> Callable[..., bytes]:
    record_layout = struct.Struct("<BH" + layout)
    return lambda instance, *values: record_layout.pack(code, instance, *values)


_pack_send, _pack_reject, _pack_fail = _packer_for(20, "IIi"), _packer_for(40, "II"), _packer_for(90, "I")
_pack_cancel, _pack_probe, _pack_timer = _packer_for(100, "IB"), _packer_for(80, "I"), _packer_for(30, "QI")
_pack_subscribe, _pack_fetch_list, _pack_close_idle = (
    _packer_for(70, "B"),
    _packer_for(10, ""),
    _packer_for(110, "I"),
)
_pack_send_to_peer, _pack_log_header, _pack_error_header = (
    _packer_for(50, "IH"),
    _packer_for(120, "H"),
    _packer_for(60, "H"),
)


def _pack_text(pack_header: Callable[..., bytes], instance: int, text: str) -> bytes:
    encoded = text.encode()[:0xFFFF]
    return pack_header(instance, len(encoded)) + encoded


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    api.Send: lambda instance, action: _pack_send(
        instance, action.request, action.upstream, action.timeout_us
    ),
    api.Reject: lambda instance, action: _pack_reject(instance, action.request, action.retry_after_us),
    api.Fail: lambda instance, action: _pack_fail(instance, action.request),
    api.Cancel: lambda instance, action: _pack_cancel(instance, action.request, action.attempt),
    api.Probe: lambda instance, action: _pack_probe(instance, action.upstream),
    api.SetTimer: lambda instance, action: _pack_timer(instance, action.at_us, action.token),
    api.Subscribe: lambda instance, action: _pack_subscribe(instance, int(action.active)),
    api.FetchList: lambda instance, action: _pack_fetch_list(instance),
    api.CloseIdle: lambda instance, action: _pack_close_idle(instance, action.upstream),
    api.SendToPeer: lambda instance, action: (
        _pack_send_to_peer(instance, _U32_MAX if action.to is None else action.to, len(action.payload))
        + action.payload
    ),
    api.Log: lambda instance, action: _pack_text(_pack_log_header, instance, action.text),
    InternalError: lambda instance, action: _pack_text(_pack_error_header, instance, action.text),
}


def encode_action(instance: int, action: Reply) -> bytes:
    """Return the bytes of the record for an action of an instance."""
    return _WRITERS[type(action)](instance, action)


def encode_reply(records: list[bytes]) -> bytes:
    """Return the reply frame that consists of the header and the encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body
