"""What a region's log of decisions holds: one command an entry. Pure: bytes in, commands out.

A command is one MessagePack map; `type` names it. Unknown types and unknown keys are errors: a replica that skipped
part of a command would go on with another state than its peers, so it has to refuse it.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

MAX_COMMAND_BYTES = 1024 * 1024  # bytes
MAX_NAMES = 10_000  # of converters in one command
FULL_WARMTH = 1000  # thousandths: a converter that is warm

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._#/-]{0,199}$")]
Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_NAMES)]
NonNegative = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
Warmth = Annotated[int, msgspec.Meta(ge=0, le=FULL_WARMTH)]


class CommandError(Exception):
    """Bytes that are no command, or a command that is too long."""


class Priority(enum.IntEnum):
    """Of requests: the lower value goes first."""

    URGENT = 0
    NORMAL = 1
    CONVENIENT = 2


class Request(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Work that operators want done; times are the region's own, in milliseconds.

    The converters are named one by one, or are all that the service has in `zone`.
    """

    name: Name
    region: Name
    service: Name
    converters: Names = ()
    zone: str = ""
    max_unavailable: Positive = msgspec.field(name="at_once")  # converters out at the same time, at most
    duration_ms: Positive  # of one converter, from the drain until it is up again; warming up comes on top
    earliest_ms: NonNegative
    deadline_ms: NonNegative
    priority: Priority = Priority.NORMAL


class ConverterObservation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A converter as an observer saw it; warmth in thousandths."""

    converter: Name
    ready: bool
    warmth: Warmth


class Transfer(msgspec.Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """An amount of allowance on its way. Giver, receiver and number are its identity; numbers go 1, 2, 3, ..."""

    giver: Name
    receiver: Name
    number: Positive
    service: Name
    amount: Positive  # thousandths


class CapacityNeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a region tells its peers of a service, in thousandths."""

    deficit: NonNegative = 0  # by which its leases and losses exceed its allowance
    shortage: NonNegative = 0  # by which what its requests want at once exceeds its allowance


class SubmitRequest(msgspec.Struct, tag="submit-request", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """A new request. The same one again is accepted again."""

    request: Request


class CancelRequest(msgspec.Struct, tag="cancel-request", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """No further leases for a request; drains that have not begun are called off, others are finished."""

    request: Name


class GrantLease(msgspec.Struct, tag="grant-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Ask for the right to have converters of a request out. `lease` is chosen by who asks, and used once."""

    lease: Name
    request: Name
    agent: Name
    converters: Names


class TakeOverLease(msgspec.Struct, tag="take-over-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Give an open lease to another agent under a new fencing token; `token` is the one that it replaces."""

    lease: Name
    agent: Name
    token: Positive


class StartDrain(msgspec.Struct, tag="begin-drain", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """The holder is about to drain; it does nothing before this is committed."""

    lease: Name
    token: Positive


class ReleaseLease(msgspec.Struct, tag="release-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """The holder is done; the capacity stays charged until each converter has been seen ready and warm."""

    lease: Name
    token: Positive


class RevokeLease(msgspec.Struct, tag="call-off", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Take back a lease whose drain has not begun; its token is void at once."""

    lease: Name


class RecordObservation(
    msgspec.Struct, tag="record-observation", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """What an observer saw. `sequence` grows with each of its looks; `as_of` is the highest log index that it had
    heard of before it looked, so that what was seen before a lease was released can't end that lease."""

    observer: Name
    sequence: Positive
    as_of: NonNegative
    observations: Annotated[tuple[ConverterObservation, ...], msgspec.Meta(max_length=MAX_NAMES)] = msgspec.field(
        name="sightings"
    )


class RecordCapacityNeeds(
    msgspec.Struct, tag="record-standing", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """What a peer region told of itself; of two the one with the higher number counts."""

    region: Name
    number: Positive  # the peer's log index
    needs: dict[Name, CapacityNeed] = msgspec.field(name="standings")  # by service


class DebitTransfer(msgspec.Struct, tag="debit-transfer", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """At the giver: take the amount from its allowance. Only then may the transfer be sent."""

    transfer: Transfer


class CreditTransfer(msgspec.Struct, tag="credit-transfer", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """At the receiver: add the amount to its allowance, once."""

    transfer: Transfer


class AcknowledgeTransfer(
    msgspec.Struct, tag="acknowledge-transfer", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """At the giver: the receiver has committed the credit; it need not be sent again."""

    transfer: Transfer


class AdvanceTime(msgspec.Struct, tag="advance-time", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """The leader's own time. Only scheduling looks at it; no lease ends by it."""

    now_ms: NonNegative


Command = (
    SubmitRequest
    | CancelRequest
    | GrantLease
    | TakeOverLease
    | StartDrain
    | ReleaseLease
    | RevokeLease
    | RecordObservation
    | RecordCapacityNeeds
    | DebitTransfer
    | CreditTransfer
    | AcknowledgeTransfer
    | AdvanceTime
)

_encoder = msgspec.msgpack.Encoder(order="deterministic")
_decoder = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """The bytes of a command. Raises CommandError where it is too long."""
    data = _encoder.encode(command)
    if len(data) > MAX_COMMAND_BYTES:
        raise CommandError(f"a command of {len(data)} bytes; {MAX_COMMAND_BYTES} are allowed")
    return data


def decode(data: bytes) -> Command:
    """The command in `data`. Raises CommandError."""
    if len(data) > MAX_COMMAND_BYTES:
        raise CommandError(f"a command of {len(data)} bytes; {MAX_COMMAND_BYTES} are allowed")
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CommandError(f"unreadable command: {error}") from None
