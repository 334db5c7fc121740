"""The commands in a region's log, one an entry. Pure: bytes in, commands out.

A command is one MessagePack map; `type` names it. Unknown types and unknown keys are errors: a replica that skipped
part of a command would diverge from its peers. Names of types and keys on the wire are fixed: a field with another name
here maps to its key by `name=`, a class by its tag.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ryepier.errors import RyepierError

MAX_COMMAND_BYTES = 1024 * 1024
MAX_NAMES = 10_000  # of converters in one command
FULL_WARMTH = 1000  # thousandths: a converter that is warm

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._#/-]{0,199}$")]
Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_NAMES)]
NonNegative = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
Warmth = Annotated[int, msgspec.Meta(ge=0, le=FULL_WARMTH)]


class CommandError(RyepierError):
    """Bytes that are not a command, or a command that is too long."""


class Priority(enum.IntEnum):
    """The priority of a request: the lower value goes first."""

    URGENT = 0
    NORMAL = 1
    CONVENIENT = 2


class Request(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Maintenance that operators request; times are the region's own, in milliseconds.

    The converters are named one by one, or are all that the service has in `zone`.
    """

    name: Name
    region: Name
    service: Name
    converters: Names = ()
    zone: str = ""
    max_unavailable: Positive = msgspec.field(name="at_once")  # converters out at the same time
    duration_ms: Positive  # of one converter, from the drain until it is up again, without its warm-up
    earliest_ms: NonNegative
    deadline_ms: NonNegative
    priority: Priority = Priority.NORMAL


class ConverterObservation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A converter as an observer saw it; warmth in thousandths."""

    converter: Name
    ready: bool
    warmth: Warmth


ConverterObservations = Annotated[tuple[ConverterObservation, ...], msgspec.Meta(max_length=MAX_NAMES)]


class Transfer(msgspec.Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """An amount of allowance that one region gives another.

    Giver, receiver and number identify it; numbers go 1, 2, 3, ... for each receiver.
    """

    giver: Name
    receiver: Name
    number: Positive
    service: Name
    amount: Positive  # thousandths


class CapacityNeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much of a service's capacity a region lacks, in thousandths, as it reports to the other regions."""

    deficit: NonNegative = 0  # by which its leases and losses exceed its allowance
    shortage: NonNegative = 0  # by which all that its requests want together exceeds its allowance


class SubmitRequest(msgspec.Struct, tag="submit-request", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Open a request. The same one again is accepted again."""

    request: Request


class CancelRequest(msgspec.Struct, tag="cancel-request", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Grant a request no further leases; drains that have not started are revoked, others are finished."""

    request: Name


class GrantLease(msgspec.Struct, tag="grant-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Grant the right to take converters of a request down. The caller chooses `lease`, and uses it once."""

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
    """Start the drain of a lease's converters; the agent does nothing before this is committed."""

    lease: Name
    token: Positive


class ReleaseLease(msgspec.Struct, tag="release-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Report that the maintenance is done; converters stay charged until each is observed ready and warm."""

    lease: Name
    token: Positive


class RevokeLease(msgspec.Struct, tag="call-off", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Revoke a lease whose drain has not started; its token is invalid at once."""

    lease: Name


class RecordObservation(
    msgspec.Struct, tag="record-observation", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """Record an observation of converters.

    `sequence` grows with each observation of an observer. `as_of` is the highest log index that the observer had
    applied before it began, so that what was observed before a lease was released cannot close that lease.
    """

    observer: Name
    sequence: Positive
    as_of: NonNegative
    observations: ConverterObservations = msgspec.field(name="sightings")


class RecordCapacityNeeds(
    msgspec.Struct, tag="record-standing", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """Record what another region reported of itself; of two reports the one with the higher number counts."""

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
    """At the giver: stop sending a transfer whose credit the receiver has committed."""

    transfer: Transfer


class AdvanceTime(msgspec.Struct, tag="advance-time", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Set the region's time by the leader's clock. Only scheduling uses it; no lease ends by it."""

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
    """Return the bytes of a command. Raises CommandError where it is too long."""
    data = _encoder.encode(command)
    _check_length(data)
    return data


def decode(data: bytes) -> Command:
    """Return the command in `data`. Raises CommandError."""
    _check_length(data)
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CommandError(f"unreadable command: {error}") from None


def _check_length(data: bytes) -> None:
    """Raise CommandError where a command is too long."""
    if len(data) > MAX_COMMAND_BYTES:
        raise CommandError(f"a command of {len(data)} bytes; {MAX_COMMAND_BYTES} are allowed")
