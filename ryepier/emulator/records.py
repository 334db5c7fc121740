"""What the emulator's processes saw, each from its own side; the judge and the reports read nothing else.

Times are microseconds from the run's beginning, on the one monotonic clock of the machine; -1 stands for never.
"""

from __future__ import annotations

from typing import Literal

import msgspec

NEVER = -1

Ending = Literal["served", "refused", "failed", "timeout", "broken", "unreachable", "left"]
AttemptEnding = Literal["answered", "closed", "reset", "open"]


class ClientAttempt(msgspec.Struct, array_like=True):
    """One request as a client sent it. `first` numbers the first try that it belongs to."""

    arrival: int
    number: int  # 0 = the first try, 1 = its first retry, ...
    request_id: str
    key: str
    request_class: int
    tenant: int
    sidecar: int
    work_us: int
    planned_us: int  # when it was meant to be sent
    sent_us: int
    deadline_us: int  # how long the client waits, from sent_us
    ended_us: int  # the answer's last byte, or when the client stopped waiting
    outcome: Ending
    status: int = 0  # of the answer; 0 = none
    retry_after_us: int = 0
    response_request_id: str = ""  # the request that the served body says it is for
    responder_uid: str = ""  # and the converter that it says made it
    trailing_bytes: int = 0  # that came after its answer without a further request
    may_be_unread: bool = (
        False  # its kept connection ended before anything came: the close may have crossed the request
    )


class ConverterAttempt(msgspec.Struct, array_like=True):
    """One request as a converter received it, whole."""

    request_id: str
    key: str
    uid: str
    pod: int
    first_byte_us: int  # its first byte
    received_us: int  # its last byte
    ended_us: int = NEVER  # answered whole, or the connection ended
    outcome: AttemptEnding = "open"
    status: int = 0
    not_run: bool = False
    started_us: int = NEVER  # its execution began
    finished_us: int = NEVER  # and was complete
    work_us: int = 0


class ConnectionRecord(msgspec.Struct, array_like=True):
    """One connection to a converter, as that saw it."""

    uid: str
    opened_us: int
    closed_us: int = NEVER  # still open at the end


class EndpointNotice(msgspec.Struct, array_like=True):
    """A state of a converter, written to a sidecar's watch."""

    sidecar: int
    uid: str
    state: str
    at_us: int


class Incarnation(msgspec.Struct, array_like=True):
    """One process life of a sidecar, and what it used of the machine."""

    sidecar: int
    started_us: int  # its process was started
    ready_us: int  # it answered /up with 200 first
    ended_us: int = NEVER  # it was killed or stopped
    killed: bool = False
    crashed: bool = False  # it ended by itself, or badly
    samples: list[tuple[int, int, int]] = []  # (at_us, CPU microseconds so far, resident KiB)
    suspensions: list[tuple[int, int]] = []  # from when to when it stood still
    cpu_waits: list[tuple[int, int]] = []  # from when to when it was ready to run and the machine gave it no core

    def end_suspension(self, at_us: int) -> None:
        """Whatever made it stand still is over, or its life is."""
        self.suspensions = [
            (begun_us, at_us if ended_us == NEVER else ended_us) for begun_us, ended_us in self.suspensions
        ]

    def relative_to(self, zero_us: int) -> Incarnation:
        """The same, counted from `zero_us`."""
        return msgspec.structs.replace(
            self,
            started_us=self.started_us - zero_us,
            ready_us=self.ready_us - zero_us,
            ended_us=self.ended_us - zero_us,
            samples=[(at_us - zero_us, cpu_us, kib) for at_us, cpu_us, kib in self.samples],
            suspensions=[(begun_us - zero_us, ended_us - zero_us) for begun_us, ended_us in self.suspensions],
            cpu_waits=[(begun_us - zero_us, ended_us - zero_us) for begun_us, ended_us in self.cpu_waits],
        )

    def was_suspended(self, begin_us: int, end_us: int) -> bool:
        """Whether it stood still at any moment between the two."""
        return any(begun_us < end_us and ended_us > begin_us for begun_us, ended_us in self.suspensions)


class RecordedEvent(msgspec.Struct, array_like=True):
    """Something that was done to the world."""

    at_us: int
    text: str


class Lateness(msgspec.Struct, array_like=True):
    """How late one process of the emulator did what it had planned, in microseconds."""

    role: str
    steps: int
    median_us: int
    p999_us: int
    max_us: int
    max_by_second_us: list[int] = []
    stalls: list[tuple[int, int]] = []  # from when to when its event loop should have turned and did not


class RoleRecords(msgspec.Struct):
    """All that one process saw."""

    role: str
    client_attempts: list[ClientAttempt] = msgspec.field(name="tries", default_factory=list)
    converter_attempts: list[ConverterAttempt] = msgspec.field(name="attempts", default_factory=list)
    connections: list[ConnectionRecord] = []
    notices: list[EndpointNotice] = msgspec.field(name="told", default_factory=list)
    events: list[RecordedEvent] = msgspec.field(name="happenings", default_factory=list)
    overload_crashes: list[tuple[int, str]] = msgspec.field(
        name="fallen", default_factory=list
    )  # (when, uid): converters that were pushed over
    lateness: Lateness | None = None


class History(msgspec.Struct):
    """A whole run, from all sides."""

    client_attempts: list[ClientAttempt] = msgspec.field(name="tries")
    converter_attempts: list[ConverterAttempt] = msgspec.field(name="attempts")
    notices: list[EndpointNotice] = msgspec.field(name="told")
    incarnations: list[Incarnation] = msgspec.field(name="lives")
    events: list[RecordedEvent] = msgspec.field(name="happenings")
    overload_crashes: list[tuple[int, str]] = msgspec.field(name="fallen")
    lateness: list[Lateness]
    connections: list[ConnectionRecord] = []  # to converters, by the time of their coming up


def join(parts: list[RoleRecords], lives: list[Incarnation], happenings: list[RecordedEvent]) -> History:
    """The run from the records of its processes, each kind in the order of time."""
    return History(
        client_attempts=sorted((t for part in parts for t in part.client_attempts), key=lambda t: t.sent_us),
        converter_attempts=sorted((a for part in parts for a in part.converter_attempts), key=lambda a: a.received_us),
        notices=sorted((t for part in parts for t in part.notices), key=lambda t: t.at_us),
        incarnations=lives,
        events=sorted([h for part in parts for h in part.events] + happenings, key=lambda h: h.at_us),
        overload_crashes=sorted(f for part in parts for f in part.overload_crashes),
        lateness=[part.lateness for part in parts if part.lateness is not None],
        connections=sorted((c for part in parts for c in part.connections), key=lambda c: c.opened_us),
    )
