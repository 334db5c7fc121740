"""What the emulator's processes saw, each from its own side; the judge and the reports read nothing else.

Times are microseconds from the run's beginning, on the one monotonic clock of the machine; -1 stands for never.
"""

from __future__ import annotations

from typing import Literal

import msgspec

NEVER = -1

Ending = Literal["served", "refused", "failed", "timeout", "broken", "unreachable", "left"]
AttemptEnding = Literal["answered", "closed", "reset", "open"]


class Try(msgspec.Struct, array_like=True):
    """One request as a client sent it. `first` numbers the first try that it belongs to."""

    first: int
    number: int  # 0 = the first try, 1 = its first retry, ...
    ident: str
    key: str
    request_class: int
    tenant: int
    sidecar: int
    work_us: int
    planned_us: int  # when it was meant to be sent
    sent_us: int
    deadline_us: int  # how long the client waits, from sent_us
    ended_us: int  # the answer's last byte, or when the client stopped waiting
    ending: Ending
    status: int = 0  # of the answer; 0 = none
    retry_after_us: int = 0
    answer_for: str = ""  # the request that the served body says it is for
    answer_by: str = ""  # and the converter that it says made it
    extra_bytes: int = 0  # that came after its answer without a further request
    crossed: bool = False  # its kept connection ended before anything came: the close may have crossed the request


class Attempt(msgspec.Struct, array_like=True):
    """One request as a converter received it, whole."""

    ident: str
    key: str
    uid: str
    pod: int
    first_us: int  # its first byte
    last_us: int  # its last byte
    ended_us: int = NEVER  # answered whole, or the connection ended
    ending: AttemptEnding = "open"
    status: int = 0
    not_run: bool = False
    run_us: int = NEVER  # its execution began
    run_ended_us: int = NEVER  # and was complete
    work_us: int = 0


class ConnectionLife(msgspec.Struct, array_like=True):
    """One connection to a converter, as that saw it."""

    uid: str
    opened_us: int
    closed_us: int = NEVER  # still open at the end


class Told(msgspec.Struct, array_like=True):
    """A state of a converter, written to a sidecar's watch."""

    sidecar: int
    uid: str
    state: str
    at_us: int


class Life(msgspec.Struct, array_like=True):
    """One process life of a sidecar, and what it used of the machine."""

    sidecar: int
    begun_us: int  # its process was started
    up_us: int  # it answered /up with 200 first
    ended_us: int = NEVER  # it was killed or stopped
    killed: bool = False
    crashed: bool = False  # it ended by itself, or badly
    samples: list[tuple[int, int, int]] = []  # (at_us, CPU microseconds so far, resident KiB)
    stalls: list[tuple[int, int]] = []  # from when to when it stood still
    held: list[tuple[int, int]] = []  # from when to when it was ready to run and the machine gave it no core

    def go_on(self, at_us: int) -> None:
        """Whatever made it stand still is over, or its life is."""
        self.stalls = [(begun_us, at_us if ended_us == NEVER else ended_us) for begun_us, ended_us in self.stalls]

    def moved(self, zero_us: int) -> Life:
        """The same, counted from `zero_us`."""
        return msgspec.structs.replace(
            self,
            begun_us=self.begun_us - zero_us,
            up_us=self.up_us - zero_us,
            ended_us=self.ended_us - zero_us,
            samples=[(at_us - zero_us, cpu_us, kib) for at_us, cpu_us, kib in self.samples],
            stalls=[(begun_us - zero_us, ended_us - zero_us) for begun_us, ended_us in self.stalls],
            held=[(begun_us - zero_us, ended_us - zero_us) for begun_us, ended_us in self.held],
        )

    def stalled(self, begin_us: int, end_us: int) -> bool:
        """Whether it stood still at any moment between the two."""
        return any(begun_us < end_us and ended_us > begin_us for begun_us, ended_us in self.stalls)


class Happening(msgspec.Struct, array_like=True):
    """Something that was done to the world."""

    at_us: int
    text: str


class Lateness(msgspec.Struct, array_like=True):
    """How late one process of the emulator did what it had planned, in microseconds."""

    role: str
    steps: int
    median_us: int
    p999_us: int
    most_us: int
    most_by_second_us: list[int] = []
    held: list[tuple[int, int]] = []  # from when to when its event loop should have turned and did not


class RoleRecords(msgspec.Struct):
    """All that one process saw."""

    role: str
    tries: list[Try] = []
    attempts: list[Attempt] = []
    connections: list[ConnectionLife] = []
    told: list[Told] = []
    happenings: list[Happening] = []
    fallen: list[tuple[int, str]] = []  # (when, uid): converters that were pushed over
    lateness: Lateness | None = None


class History(msgspec.Struct):
    """A whole run, from all sides."""

    tries: list[Try]
    attempts: list[Attempt]
    told: list[Told]
    lives: list[Life]
    happenings: list[Happening]
    fallen: list[tuple[int, str]]
    lateness: list[Lateness]
    connections: list[ConnectionLife] = []  # to converters, by the time of their coming up


def join(parts: list[RoleRecords], lives: list[Life], happenings: list[Happening]) -> History:
    """The run from the records of its processes, each kind in the order of time."""
    return History(
        tries=sorted((t for part in parts for t in part.tries), key=lambda t: t.sent_us),
        attempts=sorted((a for part in parts for a in part.attempts), key=lambda a: a.last_us),
        told=sorted((t for part in parts for t in part.told), key=lambda t: t.at_us),
        lives=lives,
        happenings=sorted([h for part in parts for h in part.happenings] + happenings, key=lambda h: h.at_us),
        fallen=sorted(f for part in parts for f in part.fallen),
        lateness=[part.lateness for part in parts if part.lateness is not None],
        connections=sorted((c for part in parts for c in part.connections), key=lambda c: c.opened_us),
    )
