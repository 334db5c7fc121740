"""What forwarders and planners say to each other. The protocol is written out in docs/design/planners.md.

Each message is one MessagePack map with the key `type`, behind its length as four bytes, highest first. Unknown keys
are skipped, so a newer side may say more; an unknown type or version is an error. Pure: bytes in, messages out.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

VERSION = 1
LONGEST = 1024 * 1024  # bytes of one message: a plan for 10,000 converters is about a third of it
MOST_CONVERTERS = 20_000
TIME_BUCKETS = 16  # of answers, by powers of two from 1 ms: the last holds all from 16 s on
LONGEST_NAME = 200
LENGTH_BYTES = 4

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)]
Whole = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class ProtocolError(Exception):
    """The other side said what can't be read; its connection is of no further use."""


class Term(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Who leads: of two terms the greater one goes before the other; no two planners share one."""

    epoch: Whole = 0
    planner: str = ""


class Hello(msgspec.Struct, tag="hello", tag_field="type", frozen=True):
    """The first message of a forwarder or of a planner's peer."""

    version: int
    name: Name
    boot: Whole  # of this process life: its counters begin at 0 with a new one
    peer: bool = False  # it is a planner


def bucket_of(answer_us: int) -> int:
    """The bucket of an answer's time: 0 up to 1 ms, then one for each doubling."""
    return min(TIME_BUCKETS - 1, (answer_us // 1000).bit_length())


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """What a forwarder saw of one converter since its start: counters that only grow, so that a report that comes
    twice, late or out of order does no harm."""

    sends: Whole = 0
    served: Whole = 0
    bad: Whole = 0  # errors, resets, spoilt answers, failed connections, time-outs and silences
    full: Whole = 0  # turned away
    times: tuple[Whole, ...] = ()  # of what was served, by bucket (`bucket_of`); trailing zeros may be left out


class Report(msgspec.Struct, tag="report", tag_field="type", frozen=True):
    """What changed at a forwarder since the last report that was written."""

    number: Whole  # grows by one with each
    listed: Whole  # converters that it knows as ready
    seen: dict[Name, Seen]  # by the converter's uid; only those whose counters moved
    outstanding: dict[Name, Whole]  # sends that are out, where there are any
    arrivals: list[Whole]  # by tenant, since its start
    class_arrivals: list[Whole]  # by class, since its start
    refused: Whole  # since its start
    term: Term = Term()  # the highest that it has seen in a sound plan
    plan_age_ms: Whole = 0  # since it took the last sound plan of that term


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """What a plan says of one converter."""

    weight: Part = 1.0
    cap: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0  # outstanding sends of one forwarder; 0 = no cap
    rests: bool = False
    trial: Part = 1.0  # while it rests: the share of the forwarders that may try it
    why: Annotated[str, msgspec.Meta(max_length=LONGEST_NAME)] = ""


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """What a plan rests on."""

    forwarders: Whole = 0  # that reported within the window
    window_ms: Whole = 0  # for how long reports have been gathered, at most the planner's memory
    covered: Whole = 0  # converters that were seen within it
    listed: Whole = 0  # converters that the forwarders know, by the greatest of their counts
    attempts: Whole = 0  # ended within it


class Plan(msgspec.Struct, tag="plan", tag_field="type", frozen=True):
    """Advice for every forwarder alike; converters that it does not name go without."""

    term: Term
    number: Whole  # grows within a term
    evidence: Evidence
    entries: dict[Name, Entry]  # only those that are not as usual
    valid_ms: Whole  # from its arrival on it is followed in full for so long
    fade_ms: Whole  # and then fades over so long
    tenant_worth: list[Part] = []
    class_admit: list[Part] = []  # by class, the share of the arrivals that is let in; empty: all


class Beat(msgspec.Struct, tag="beat", tag_field="type", frozen=True):
    """A planner's sign of life to its peers."""

    term: Term  # the highest that it knows
    leads: bool
    forwarders: Whole  # that report to it


class Refusal(msgspec.Struct, tag="refusal", tag_field="type", frozen=True):
    """Why the other side is not served; the connection closes behind it. `retry_ms`: not to come back sooner."""

    why: str
    retry_ms: Whole = 0


Message = Hello | Report | Plan | Beat | Refusal

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """One frame. Raises ProtocolError where the message is longer than the other side would take."""
    body = _encoder.encode(message)
    if len(body) > LONGEST:
        raise ProtocolError(f"a message of {len(body)} bytes; {LONGEST} are allowed")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class Frames:
    """Puts messages together from bytes as they come, in whatever pieces."""

    def __init__(self) -> None:
        self.pending = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole by now. Raises ProtocolError on what can't be one."""
        self.pending += data
        messages: list[Message] = []
        while len(self.pending) >= LENGTH_BYTES:
            size = int.from_bytes(self.pending[:LENGTH_BYTES], "big")
            if size > LONGEST:
                raise ProtocolError(f"a message of {size} bytes; {LONGEST} are allowed")
            if len(self.pending) < LENGTH_BYTES + size:
                break
            body = bytes(self.pending[LENGTH_BYTES : LENGTH_BYTES + size])
            del self.pending[: LENGTH_BYTES + size]
            messages.append(decode(body))
        return messages


def decode(body: bytes) -> Message:
    """One message without its length. Raises ProtocolError."""
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError(f"unreadable: {error}") from None
    if isinstance(message, Hello) and message.version != VERSION:
        raise ProtocolError(f"version {message.version}; this side speaks {VERSION}")
    count = (
        len(message.seen) if isinstance(message, Report) else len(message.entries) if isinstance(message, Plan) else 0
    )
    if count > MOST_CONVERTERS:
        raise ProtocolError(f"{count} converters in one message; {MOST_CONVERTERS} are allowed")
    return message
