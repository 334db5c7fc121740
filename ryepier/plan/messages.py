"""Messages between forwarders and planners. The protocol is described in docs/design/planners.md.

A frame is the length of the message as four bytes in big-endian order, followed by one MessagePack map with the key
`type`. Unknown keys are ignored, so that newer versions may add keys; an unknown type or protocol version is an error.
This module converts between bytes and messages; it does no I/O.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from ryepier.errors import RyepierError

VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024  # about three times the size of a plan for 10,000 converters
MAX_CONVERTERS = 20_000  # in one report or plan
LATENCY_BUCKET_COUNT = 16  # bounds are powers of two from 1 ms; the last bucket holds all latencies from 16 s on
MAX_NAME_LENGTH = 200  # characters
LENGTH_BYTES = 4  # size of the length field in front of each message
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Count = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class ProtocolError(RyepierError):
    """A message can't be decoded or is not allowed at this point; the connection is closed."""


class Term(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A term of leadership. Terms are ordered and a higher term supersedes a lower one; each belongs to one planner."""

    epoch: Count = 0
    planner: str = ""


def term_fields(term: Term) -> dict[str, str | int]:
    """Return the structured fields of a log line about a term."""
    return {"term": term.epoch, "planner": term.planner}


class Hello(msgspec.Struct, tag="hello", tag_field="type", frozen=True):
    """The first message on a connection, sent by the forwarder or planner that opened it."""

    version: int
    name: Name
    incarnation: Count = msgspec.field(name="boot")  # increases with each restart, which resets all counters
    is_peer: bool = msgspec.field(name="peer", default=False)  # whether the sender is a planner


def latency_bucket(latency_us: int) -> int:
    """Return the index of a latency's bucket: 0 for less than 1 ms, then one bucket per doubling."""
    return min(LATENCY_BUCKET_COUNT - 1, (latency_us // 1000).bit_length())


class ConverterCounters(msgspec.Struct, frozen=True, array_like=True):
    """A forwarder's counters of one converter since the forwarder's start.

    The counters never decrease, so that reports may be merged even if they arrive twice or late.
    """

    attempts: Count = 0
    served: Count = 0
    failed: Count = 0  # errors, resets, malformed responses, failed connections, timeouts and unanswered attempts
    rejected: Count = 0
    latencies: tuple[Count, ...] = ()  # served attempts by `latency_bucket`; trailing zeros may be omitted


class Report(msgspec.Struct, tag="report", tag_field="type", frozen=True):
    """Report of a forwarder's counters. A complete report has all converters; any other report has only those whose
    counters changed since the report before it."""

    number: Count  # increases by one with each report
    listed: Count  # number of converters that the forwarder knows as ready
    # by converter uid
    counters: dict[Name, ConverterCounters] = msgspec.field(name="seen")
    outstanding: dict[Name, Count]  # attempts in flight by converter uid; converters without any are omitted
    arrivals: list[Count]  # requests by tenant, since the forwarder's start
    class_arrivals: list[Count]  # requests by class, since the forwarder's start
    rejections: Count = msgspec.field(name="refused")  # requests rejected since the forwarder's start
    term: Term = Term()  # the highest term in which the forwarder has accepted a plan
    plan_age_ms: Count = 0  # time since the forwarder accepted the last plan of that term


class ConverterAdvice(msgspec.Struct, frozen=True, array_like=True):
    """A plan's advice on one converter."""

    weight: Share = 1.0  # relative to the default weight, which is 1
    # most attempts that one forwarder may have in flight to the converter; 0 = no limit
    concurrency_limit: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    ejected: bool = False
    trial_share: Share = 1.0  # share of the forwarders that may send it trial requests while it is ejected
    reason: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ""


class PlanBasis(msgspec.Struct, frozen=True, array_like=True):
    """The amount of evidence behind a plan, which forwarders check before they accept it."""

    forwarders: Count = 0  # forwarders with a recent report
    window_ms: Count = 0  # time over which reports were collected, at most the decay time constant of the counts
    covered: Count = 0  # converters with reported counters
    listed: Count = 0  # the greatest number of converters that any of the forwarders lists
    attempts: Count = 0  # attempts that ended recently


class Plan(msgspec.Struct, tag="plan", tag_field="type", frozen=True):
    """Advice for all forwarders. Converters without an entry keep the default weight and no limit."""

    term: Term
    number: Count  # increases within a term
    evidence: PlanBasis
    entries: dict[Name, ConverterAdvice]  # by uid; only converters that deviate from the default
    valid_ms: Count  # time after its arrival during which the plan is followed fully
    fade_ms: Count  # time after `valid_ms` over which the advice fades out
    # by tenant, the share of its requests that is within its quota; if empty, quotas are not applied
    tenant_shares_within_quota: list[Share] = msgspec.field(name="tenant_worth", default_factory=list)
    # by class, the share of arrivals to admit; if empty, all are admitted
    class_admission: list[Share] = msgspec.field(name="class_admit", default_factory=list)


class Heartbeat(msgspec.Struct, tag="beat", tag_field="type", frozen=True):
    """Heartbeat that a planner sends to its peers and forwarders."""

    term: Term  # the highest term that the sender knows
    is_leader: bool = msgspec.field(name="leads")
    forwarders: Count  # number of forwarders that report to the sender


class Rejection(msgspec.Struct, tag="refusal", tag_field="type", frozen=True):
    """Last message before the sender closes a connection. The receiver must wait `retry_ms` before it reconnects."""

    reason: str = msgspec.field(name="why")
    retry_ms: Count = 0


Message = Hello | Report | Plan | Heartbeat | Rejection

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the frame of a message. Raises ProtocolError if it is longer than MAX_MESSAGE_BYTES."""
    body = _encoder.encode(message)
    if len(body) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"message of {len(body)} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Decodes messages from a byte stream that arrives in pieces of any size."""

    def __init__(self) -> None:
        """Start with an empty buffer, at the beginning of a frame."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Append bytes and return the messages that they complete. Raises ProtocolError for invalid frames."""
        self.buffer += data
        messages: list[Message] = []
        while len(self.buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self.buffer[:LENGTH_BYTES], "big")
            if size > MAX_MESSAGE_BYTES:
                raise ProtocolError(f"message of {size} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
            if len(self.buffer) < LENGTH_BYTES + size:
                break
            body = bytes(self.buffer[LENGTH_BYTES : LENGTH_BYTES + size])
            del self.buffer[: LENGTH_BYTES + size]
            messages.append(decode(body))
        return messages


def decode(body: bytes) -> Message:
    """Return the message in the body of one frame, without the length field. Raises ProtocolError if it is invalid."""
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"message can't be decoded: {error}") from None
    if isinstance(message, Hello) and message.version != VERSION:
        raise ProtocolError(f"unsupported protocol version {message.version}; expected {VERSION}")
    converter_count = (
        len(message.counters)
        if isinstance(message, Report)
        else len(message.entries)
        if isinstance(message, Plan)
        else 0
    )
    if converter_count > MAX_CONVERTERS:
        raise ProtocolError(f"{converter_count} converters in one message; at most {MAX_CONVERTERS} are allowed")
    return message
