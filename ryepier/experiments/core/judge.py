"""Whether a run kept the rules, by what converters, discovery and clients saw. Written from the protocol's rules.

Pure: a `History` in, the breaches out. It never asks the sidecar. Where two processes' notes are compared, their
lateness is allowed for: each saw an event a little after it happened.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ryepier.emulator import draws
from ryepier.emulator.records import NEVER, Attempt, History, Life, Try
from ryepier.emulator.world import RequestClass, World

SLACK_US = 50_000  # every time limit on sockets is so much longer
LEAST_SKEW_US = 20_000  # how far the notes of two processes may be apart, however well they kept time

RULES = {
    "unanswered": "no final answer before the client's time was out",
    "held-up": "the same, but the machine held up the client or the sidecar meanwhile: the run says nothing of it",
    "broken": "a connection ended by the sidecar without a whole answer",
    "second-answer": "bytes after the one final answer",
    "forged": "served with something that no converter made for it",
    "invented": "a converter was sent a request that no client sent",
    "run-twice": "a request that must never run twice ran more than once",
    "refused-after-run": "refused though an attempt may have run and a repeat is not harmless",
    "unsafe-resend": "sent again after an attempt that may have run, where the class forbids it",
    "together": "two attempts out at once",
    "drain": "something new to a converter later than the grace after it was told of",
    "cold": "a cold converter pushed over",
    "held": "a request that was given up had its final answer only long after",
    "crash": "a sidecar ended by itself",
}


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of one rule."""

    rule: str
    at_us: int
    text: str


def may_have_run(attempt: Attempt) -> bool:
    """By the protocol only a 503 or 504 that says so, received whole, proves that it never ran."""
    return not (attempt.ending == "answered" and attempt.not_run)


def judge(world: World, history: History) -> list[Breach]:
    """All breaches, in the order of their times."""
    return sorted(_Judge(world, history).all(), key=lambda breach: breach.at_us)


class _Judge:
    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.tries = {item.ident: item for item in history.tries}
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)  # by request id, in the order of their coming
        for attempt in history.attempts:
            self.attempts[attempt.ident].append(attempt)
        self.lives: dict[int, list[Life]] = defaultdict(list)
        for life in history.lives:
            self.lives[life.sidecar].append(life)
        worst_us = max((late.p999_us for late in history.lateness), default=0)
        self.skew_us = max(LEAST_SKEW_US, 2 * worst_us)
        self.zones = {m.pod: m.group.zone for m in draws.machines(world, 0)}  # pods do not depend on the seed
        self.breaches: list[Breach] = []

    def breach(self, rule: str, at_us: int, text: str) -> None:
        self.breaches.append(Breach(rule, at_us, text))

    def all(self) -> list[Breach]:
        for item in self.history.tries:
            self.answer(item)
            self.resends(item)
        self.invented()
        self.executions()
        self.drains()
        for at_us, uid in self.history.fallen:
            self.breach("cold", at_us, f"{uid} was pushed over")
        for life in self.history.lives:
            if life.crashed:
                self.breach("crash", life.ended_us, f"sidecar {life.sidecar} ended by itself")
        return self.breaches

    def kind(self, item: Try) -> RequestClass:
        return self.world.classes[item.request_class]

    def alive(self, item: Try) -> bool:
        """Whether its sidecar lived from the request's sending to its end, and never stood still meanwhile."""
        lives = self.lives[item.sidecar]
        if any(life.stalled(item.sent_us - SLACK_US, item.ended_us) for life in lives):
            return False
        return not lives or any(
            life.begun_us <= item.sent_us
            and (life.ended_us == NEVER or not life.killed or life.ended_us > item.ended_us)
            for life in lives
        )

    def held_up(self, item: Try) -> bool:
        """Whether its client's process or its sidecar's was kept from running before its time was out."""
        client = f"clients {item.first % self.world.rig.client_processes}"
        held = [span for late in self.history.lateness if late.role == client for span in late.held]
        held += [span for life in self.lives[item.sidecar] for span in life.held]
        due_us = item.sent_us + item.deadline_us
        return any(begun_us < due_us + SLACK_US and ended_us > item.sent_us for begun_us, ended_us in held)

    # Answers

    def answer(self, item: Try) -> None:
        if not self.alive(item):
            return  # what a killed sidecar held is for its client to repeat, and one that stands still has no clock
        due_us = item.sent_us + item.deadline_us + SLACK_US
        if item.ending == "timeout" or (item.ending in ("served", "refused", "failed") and item.ended_us > due_us):
            rule = "held-up" if self.held_up(item) else "unanswered"
            self.breach(rule, due_us, f"{item.ident} by sidecar {item.sidecar}")
        elif item.ending == "broken" and not (item.crossed and item.ident not in self.attempts):
            self.breach("broken", item.ended_us, f"{item.ident} by sidecar {item.sidecar}")
        if item.extra_bytes:
            self.breach("second-answer", item.ended_us, f"{item.ident}: {item.extra_bytes} more bytes")
        if item.ending == "served" and not self.made(item):
            self.breach("forged", item.ended_us, f"{item.ident}: for {item.answer_for!r} by {item.answer_by!r}")
        if item.ending in ("refused", "failed") and not self.at_once(item):
            self.breach(
                "held", item.ended_us, f"{item.ident} {item.ending} after {(item.ended_us - item.sent_us) // 1000} ms"
            )
        if item.ending == "refused" and not self.harmless_to_repeat(self.kind(item)):
            self.refusal(item)

    def made(self, item: Try) -> bool:
        return item.answer_for == item.ident and any(
            attempt.uid == item.answer_by and attempt.status == 200 for attempt in self.attempts[item.ident]
        )

    def at_once(self, item: Try) -> bool:
        """Whether nothing but what may take time lies before the answer: attempts, of which those that never came up
        are known to nobody but the sidecar, and before each the buffer, for half the aim."""
        # a converter sees the end of an attempt that was given up a little after the client sees its answer
        ends = [
            item.ended_us if a.ended_us == NEVER else min(a.ended_us, item.ended_us) for a in self.attempts[item.ident]
        ]
        since_us = max([item.sent_us, *ends])
        sidecars = self.world.sidecars
        unseen = max(0, sidecars.max_attempts - len(ends))
        waits_ms = max(1, unseen) * self.kind(item).aim_ms / 2 + unseen * sidecars.dial_timeout_ms
        bound_us = waits_ms * 1000 + SLACK_US
        return item.ended_us - since_us <= bound_us

    @staticmethod
    def harmless_to_repeat(kind: RequestClass) -> bool:
        return kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.group == "all")

    def refusal(self, item: Try) -> None:
        for attempt in self.attempts[item.ident]:
            if may_have_run(attempt) and attempt.last_us < item.ended_us:
                self.breach("refused-after-run", item.ended_us, f"{item.ident}: {attempt.uid} had it")
                return

    # Attempts

    def resends(self, item: Try) -> None:
        """Those of one request: one at a time, and again only where that is allowed."""
        attempts = self.attempts.get(item.ident, [])
        for number, attempt in enumerate(attempts):
            for earlier in attempts[:number]:
                if earlier.ended_us == NEVER or attempt.last_us < earlier.ended_us - self.skew_us:
                    self.breach("together", attempt.last_us, f"{item.ident}: {earlier.uid} and {attempt.uid}")
                elif may_have_run(earlier) and not self.allowed(item, earlier, attempt):
                    self.breach("unsafe-resend", attempt.last_us, f"{item.ident}: {earlier.uid}, then {attempt.uid}")

    def allowed(self, item: Try, earlier: Attempt, later: Attempt) -> bool:
        kind = self.kind(item)
        if kind.effect == "idempotent":
            return True
        if kind.effect == "at_most_once" or later.last_us - earlier.last_us > kind.memory_ms * 1000 + SLACK_US:
            return False
        if kind.group == "cell":
            return earlier.pod == later.pod
        return kind.group == "all" or self.zones[earlier.pod] == self.zones[later.pod]

    def invented(self) -> None:
        for ident, attempts in self.attempts.items():
            if ident not in self.tries:
                self.breach("invented", attempts[0].last_us, f"{ident} at {attempts[0].uid}")

    def executions(self) -> None:
        """Over all tries of a client together: a refusal promised that it had not run."""
        runs: dict[int, list[Attempt]] = defaultdict(list)
        for attempt in self.history.attempts:
            item = self.tries.get(attempt.ident)
            if item is not None and attempt.run_us != NEVER and self.kind(item).effect == "at_most_once":
                runs[item.first].append(attempt)
        for attempts in runs.values():
            if len(attempts) > 1:
                self.breach("run-twice", attempts[1].run_us, " and ".join(f"{a.ident} at {a.uid}" for a in attempts))

    # The list

    def drains(self) -> None:
        """Each life of a sidecar counts from what it was told itself."""
        told: dict[tuple[int, str], list[int]] = defaultdict(list)
        for notice in self.history.told:
            if notice.state in ("leaving", "left"):
                told[notice.sidecar, notice.uid].append(notice.at_us)
        grace_us = self.world.sidecars.drain_grace_ms * 1000 + SLACK_US
        for attempt in self.history.attempts:
            item = self.tries.get(attempt.ident)
            notices = told.get((item.sidecar, attempt.uid)) if item is not None else None
            if item is None or not notices:
                continue
            begun_us = max(
                (life.begun_us for life in self.lives[item.sidecar] if life.begun_us <= attempt.first_us), default=0
            )
            first_us = min((at_us for at_us in notices if at_us >= begun_us), default=None)
            if first_us is not None and attempt.first_us > self.acts_by(item.sidecar, first_us, grace_us):
                late_ms = (attempt.first_us - first_us) // 1000
                self.breach(
                    "drain",
                    attempt.first_us,
                    f"{attempt.ident} to {attempt.uid}, {late_ms} ms after sidecar {item.sidecar} was told",
                )

    def acts_by(self, sidecar: int, told_us: int, grace_us: float) -> float:
        """Until when it may not know: one that stood still reads what it was told once it goes on."""
        until_us = told_us + grace_us
        for life in self.lives[sidecar]:
            for begun_us, ended_us in life.stalls:
                if begun_us < until_us and ended_us > told_us:
                    until_us = max(until_us, ended_us + grace_us)
        return until_us
