"""The commands in a region's log, one per entry, and their encoding.

A command is encoded as one MessagePack map whose key `type` names it. Unknown types and keys are errors: a replica that
skipped part of a command would diverge from its peers. Types and keys on the wire are fixed. A class declares its type
with `tag=`, and a field whose name differs from its key declares the key with `name=`.
"""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

from ryepier.errors import RyepierError

MAX_COMMAND_BYTES = 1024 * 1024
MAX_CONVERTERS_PER_COMMAND = 10_000
FULL_WARMTH = 1000  # thousandths; the warmth of a converter whose warm-up is complete

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._#/-]{0,199}$")]
Names = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_CONVERTERS_PER_COMMAND)]
NonNegative = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=2**53)]
Warmth = Annotated[int, msgspec.Meta(ge=0, le=FULL_WARMTH)]


class CommandError(RyepierError):
    """The bytes are not a valid command, or the command is too long."""


class Priority(enum.IntEnum):
    """The priority of a request; lower values are scheduled first."""

    URGENT = 0
    NORMAL = 1
    CONVENIENT = 2


class Request(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An operator's request for maintenance. Times are in the region's time, in milliseconds.

    Either `converters` names the converters, or the request covers all converters of the service in `zone`. At most
    `max_unavailable` of them may be out of service at the same time.
    """

    name: Name
    region: Name
    service: Name
    converters: Names = ()
    zone: str = ""
    max_unavailable: Positive = msgspec.field(name="at_once")
    duration_ms: Positive  # outage of one converter, from its drain until it is up again, without its warm-up
    earliest_ms: NonNegative
    deadline_ms: NonNegative
    priority: Priority = Priority.NORMAL


class ConverterObservation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of a converter as reported by an observer. `warmth` is in thousandths."""

    converter: Name
    ready: bool
    warmth: Warmth


ConverterObservations = Annotated[tuple[ConverterObservation, ...], msgspec.Meta(max_length=MAX_CONVERTERS_PER_COMMAND)]


class Transfer(msgspec.Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """An amount of allowance that one region gives to another.

    It is identified by giver, receiver and number. A giver numbers its transfers to each receiver consecutively,
    starting at 1.
    """

    giver: Name
    receiver: Name
    number: Positive
    service: Name
    amount: Positive  # thousandths


class CapacityNeed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How far a region's allowance for a service falls short, in thousandths, as reported to the other regions.

    `deficit` is the amount by which the sum of the capacity under leases and the lost capacity exceeds the allowance.
    `shortage` is computed in the same way, but instead of the capacity under leases it counts the capacity that would
    be unavailable if all open requests that may start soon ran at the same time.
    """

    deficit: NonNegative = 0
    shortage: NonNegative = 0


class SubmitRequest(msgspec.Struct, tag="submit-request", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Open a request. Repeating the command with the same request is accepted and has no effect."""

    request: Request


class CancelRequest(msgspec.Struct, tag="cancel-request", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Stop granting leases to a request, and revoke its leases whose drain has not started. Other leases stay open."""

    request: Name


class GrantLease(msgspec.Struct, tag="grant-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Grant the right to take converters of a request down. The caller chooses a unique name, `lease`."""

    lease: Name
    request: Name
    agent: Name
    converters: Names


class TakeOverLease(msgspec.Struct, tag="take-over-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Give an open lease to another agent under a new fencing token. `token` must be the lease's current token."""

    lease: Name
    agent: Name
    token: Positive


class StartDrain(msgspec.Struct, tag="begin-drain", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Start the drain of a lease's converters. The agent must not drain a converter before this is committed."""

    lease: Name
    token: Positive


class ReleaseLease(msgspec.Struct, tag="release-lease", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Report that the maintenance is done. Each converter counts as unavailable until it is observed ready and warm."""

    lease: Name
    token: Positive


class RevokeLease(msgspec.Struct, tag="call-off", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Revoke a lease whose drain has not started. Its token becomes invalid immediately."""

    lease: Name


class RecordObservation(
    msgspec.Struct, tag="record-observation", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """Record an observation of converters.

    `sequence` increases with each observation by the same observer. `as_of` is the highest log index that the observer
    had applied before it began the observation. An observation that began before a lease was released cannot close that
    lease.
    """

    observer: Name
    sequence: Positive
    as_of: NonNegative
    observations: ConverterObservations = msgspec.field(name="sightings")


class RecordCapacityNeeds(
    msgspec.Struct, tag="record-standing", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """Record the capacity needs that another region reported. They replace those of reports with lower numbers."""

    region: Name
    number: Positive  # last log index that the reporting region had applied
    needs: dict[Name, CapacityNeed] = msgspec.field(name="standings")  # by service


class DebitTransfer(msgspec.Struct, tag="debit-transfer", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """At the giver: subtract the amount from the allowance. The transfer must not be sent before this is committed."""

    transfer: Transfer


class CreditTransfer(msgspec.Struct, tag="credit-transfer", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """At the receiver: add the amount to the allowance. Repeating the command has no effect."""

    transfer: Transfer


class AcknowledgeTransfer(
    msgspec.Struct, tag="acknowledge-transfer", tag_field="type", frozen=True, forbid_unknown_fields=True
):
    """At the giver: stop resending a transfer, because the receiver has committed its credit."""

    transfer: Transfer


class AdvanceTime(msgspec.Struct, tag="advance-time", tag_field="type", frozen=True, forbid_unknown_fields=True):
    """Advance the region's time to the leader's clock, for scheduling and deadlines. Leases never expire."""

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
    """Encode a command. Raises CommandError if it is too long."""
    data = _encoder.encode(command)
    _check_length(data)
    return data


def decode(data: bytes) -> Command:
    """Decode a command. Raises CommandError if `data` is too long or not a command."""
    _check_length(data)
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CommandError(f"unreadable command: {error}") from None


def _check_length(data: bytes) -> None:
    """Raise CommandError if an encoded command is too long."""
    if len(data) > MAX_COMMAND_BYTES:
        raise CommandError(f"command has {len(data)} bytes; at most {MAX_COMMAND_BYTES} are allowed")
