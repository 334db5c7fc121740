"""Messages between forwarders and planners. The protocol is described in docs/design/planners.md.

Each message is one MessagePack map with the key `type`, behind its length as four bytes, highest first. Unknown keys
are skipped, so a newer side may send more; an unknown type or version is an error. Pure: bytes in, messages out.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ryepier.errors import RyepierError

VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024  # a plan for 10,000 converters is about a third of it
MAX_CONVERTERS = 20_000
LATENCY_BUCKETS = 16  # by powers of two from 1 ms; the last holds all from 16 s on
MAX_NAME_LENGTH = 200  # characters
LENGTH_BYTES = 4  # in front of each message
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class ProtocolError(RyepierError):
    """A message that can't be read or is not allowed; its connection is closed."""


class Term(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A term of leadership: the greater of two supersedes the other; no two planners share one."""

    epoch: Count = 0
    planner: str = ""


def term_fields(term: Term) -> dict[str, str | int]:
    """Return the fields of a log line about a term."""
    return {"term": term.epoch, "planner": term.planner}


class Hello(msgspec.Struct, tag="hello", tag_field="type", frozen=True):
    """The first message of a forwarder or of a planner's peer."""

    version: int
    name: Name
    incarnation: Count = msgspec.field(name="boot")  # its counters begin at 0 with a new one
    is_peer: bool = msgspec.field(name="peer", default=False)  # a planner


def latency_bucket(latency_us: int) -> int:
    """Return the bucket of a latency: 0 up to 1 ms, then one for each doubling."""
    return min(LATENCY_BUCKETS - 1, (latency_us // 1000).bit_length())


class ConverterCounters(msgspec.Struct, frozen=True, array_like=True):
    """A forwarder's counters of one converter since its start. They only grow, so reports may arrive twice or late."""

    attempts: Count = 0
    served: Count = 0
    failed: Count = 0  # errors, resets, malformed responses, failed connections, timeouts and unanswered attempts
    rejected: Count = 0
    latencies: tuple[Count, ...] = ()  # served, by `latency_bucket`; trailing zeros may be omitted


class Report(msgspec.Struct, tag="report", tag_field="type", frozen=True):
    """Changes at a forwarder since its last report."""

    number: Count  # grows by one with each
    listed: Count  # converters that it knows as ready
    # by the converter's uid, where the counters have changed
    counters: dict[Name, ConverterCounters] = msgspec.field(name="seen")
    outstanding: dict[Name, Count]  # attempts in flight, where there are any
    arrivals: list[Count]  # by tenant, since its start
    class_arrivals: list[Count]  # by class, since its start
    rejections: Count = msgspec.field(name="refused")  # since its start
    term: Term = Term()  # the highest of an accepted plan
    plan_age_ms: Count = 0  # since it accepted the last plan of that term


class ConverterAdvice(msgspec.Struct, frozen=True, array_like=True):
    """A plan's advice on one converter."""

    weight: Share = 1.0
    concurrency_limit: Annotated[int, msgspec.Meta(ge=0, le=1000)] = (
        0  # attempts in flight of one forwarder; 0 = no limit
    )
    ejected: bool = False
    trial_share: Share = 1.0  # while ejected: the share of the forwarders that may try it
    reason: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ""


class PlanBasis(msgspec.Struct, frozen=True, array_like=True):
    """The evidence behind a plan."""

    forwarders: Count = 0  # that reported within the window
    window_ms: Count = 0  # for how long reports were collected, at most the planner's memory
    covered: Count = 0  # converters reported within it
    listed: Count = 0  # converters listed at the forwarders, the greatest of their counts
    attempts: Count = 0  # ended within it


class Plan(msgspec.Struct, tag="plan", tag_field="type", frozen=True):
    """Advice for all forwarders; converters that it does not name are treated as usual."""

    term: Term
    number: Count  # grows within a term
    evidence: PlanBasis
    entries: dict[Name, ConverterAdvice]  # converters that are not treated as usual
    valid_ms: Count  # from its arrival on it is followed fully this long
    fade_ms: Count  # and then fades out over this long
    tenant_weight: list[Share] = msgspec.field(name="tenant_worth", default_factory=list)
    class_admission: list[Share] = msgspec.field(
        name="class_admit", default_factory=list
    )  # by class, the share of arrivals to admit; empty: all


class Heartbeat(msgspec.Struct, tag="beat", tag_field="type", frozen=True):
    """Heartbeat that a planner sends to its peers and forwarders."""

    term: Term  # the highest that it knows
    is_leader: bool = msgspec.field(name="leads")
    forwarders: Count  # that report to it


class Rejection(msgspec.Struct, tag="refusal", tag_field="type", frozen=True):
    """Reason why a connection is rejected; it closes after it. Retry after `retry_ms` at the earliest."""

    reason: str = msgspec.field(name="why")
    retry_ms: Count = 0


Message = Hello | Report | Plan | Heartbeat | Rejection

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return one frame. Raises ProtocolError for a message that is too long."""
    body = _encoder.encode(message)
    if len(body) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"a message of {len(body)} bytes; {MAX_MESSAGE_BYTES} are allowed")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Decodes messages from bytes that arrive in pieces."""

    def __init__(self) -> None:
        """Start before the first frame."""
        self.pending = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that are complete now. Raises ProtocolError."""
        self.pending += data
        messages: list[Message] = []
        while len(self.pending) >= LENGTH_BYTES:
            size = int.from_bytes(self.pending[:LENGTH_BYTES], "big")
            if size > MAX_MESSAGE_BYTES:
                raise ProtocolError(f"a message of {size} bytes; {MAX_MESSAGE_BYTES} are allowed")
            if len(self.pending) < LENGTH_BYTES + size:
                break
            body = bytes(self.pending[LENGTH_BYTES : LENGTH_BYTES + size])
            del self.pending[: LENGTH_BYTES + size]
            messages.append(decode(body))
        return messages


def decode(body: bytes) -> Message:
    """Return the message of one frame without its length. Raises ProtocolError."""
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"unreadable: {error}") from None
    if isinstance(message, Hello) and message.version != VERSION:
        raise ProtocolError(f"version {message.version}; this side speaks {VERSION}")
    count = (
        len(message.counters)
        if isinstance(message, Report)
        else len(message.entries)
        if isinstance(message, Plan)
        else 0
    )
    if count > MAX_CONVERTERS:
        raise ProtocolError(f"{count} converters in one message; {MAX_CONVERTERS} are allowed")
    return message
