"""Whether a run kept the rules, by what converters, discovery and clients saw. Written from the protocol's rules.

Pure: a `History` in, the breaches out. It never asks the sidecar. Where two processes' notes are compared, their
lateness is allowed for: each saw an event a little after it happened.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from ryepier.emulator import draws
from ryepier.emulator.records import NEVER, ClientAttempt, ConverterAttempt, History, Incarnation
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


def may_have_run(attempt: ConverterAttempt) -> bool:
    """By the protocol only a 503 or 504 that says so, received whole, proves that it never ran."""
    return not (attempt.outcome == "answered" and attempt.not_run)


def judge(world: World, history: History) -> list[Breach]:
    """All breaches, in the order of their times."""
    return sorted(_Judge(world, history).all(), key=lambda breach: breach.at_us)


class _Judge:
    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.tries = {item.request_id: item for item in history.client_attempts}
        self.attempts: dict[str, list[ConverterAttempt]] = defaultdict(
            list
        )  # by request id, in the order of their coming
        for attempt in history.converter_attempts:
            self.attempts[attempt.request_id].append(attempt)
        self.lives: dict[int, list[Incarnation]] = defaultdict(list)
        for life in history.incarnations:
            self.lives[life.sidecar].append(life)
        worst_us = max((late.p999_us for late in history.lateness), default=0)
        self.skew_us = max(LEAST_SKEW_US, 2 * worst_us)
        self.zones = {m.pod: m.group.zone for m in draws.machines(world, 0)}  # pods do not depend on the seed
        self.breaches: list[Breach] = []

    def breach(self, rule: str, at_us: int, text: str) -> None:
        self.breaches.append(Breach(rule, at_us, text))

    def all(self) -> list[Breach]:
        for item in self.history.client_attempts:
            self.answer(item)
            self.resends(item)
        self.invented()
        self.executions()
        self.drains()
        for at_us, uid in self.history.overload_crashes:
            self.breach("cold", at_us, f"{uid} was pushed over")
        for life in self.history.incarnations:
            if life.crashed:
                self.breach("crash", life.ended_us, f"sidecar {life.sidecar} ended by itself")
        return self.breaches

    def kind(self, item: ClientAttempt) -> RequestClass:
        return self.world.classes[item.request_class]

    def alive(self, item: ClientAttempt) -> bool:
        """Whether its sidecar lived from the request's sending to its end, and never stood still meanwhile."""
        lives = self.lives[item.sidecar]
        if any(life.was_suspended(item.sent_us - SLACK_US, item.ended_us) for life in lives):
            return False
        return not lives or any(
            life.started_us <= item.sent_us
            and (life.ended_us == NEVER or not life.killed or life.ended_us > item.ended_us)
            for life in lives
        )

    def held_up(self, item: ClientAttempt) -> bool:
        """Whether its client's process or its sidecar's was kept from running before its time was out."""
        client = f"clients {item.arrival % self.world.harness.client_processes}"
        held = [span for late in self.history.lateness if late.role == client for span in late.stalls]
        held += [span for life in self.lives[item.sidecar] for span in life.cpu_waits]
        due_us = item.sent_us + item.deadline_us
        return any(begun_us < due_us + SLACK_US and ended_us > item.sent_us for begun_us, ended_us in held)

    # Answers

    def answer(self, item: ClientAttempt) -> None:
        if not self.alive(item):
            return  # what a killed sidecar held is for its client to repeat, and one that stands still has no clock
        due_us = item.sent_us + item.deadline_us + SLACK_US
        if item.outcome == "timeout" or (item.outcome in ("served", "refused", "failed") and item.ended_us > due_us):
            rule = "held-up" if self.held_up(item) else "unanswered"
            self.breach(rule, due_us, f"{item.request_id} by sidecar {item.sidecar}")
        elif item.outcome == "broken" and not (item.may_be_unread and item.request_id not in self.attempts):
            self.breach("broken", item.ended_us, f"{item.request_id} by sidecar {item.sidecar}")
        if item.trailing_bytes:
            self.breach("second-answer", item.ended_us, f"{item.request_id}: {item.trailing_bytes} more bytes")
        if item.outcome == "served" and not self.made(item):
            self.breach(
                "forged",
                item.ended_us,
                f"{item.request_id}: for {item.response_request_id!r} by {item.responder_uid!r}",
            )
        if item.outcome in ("refused", "failed") and not self.at_once(item):
            self.breach(
                "held",
                item.ended_us,
                f"{item.request_id} {item.outcome} after {(item.ended_us - item.sent_us) // 1000} ms",
            )
        if item.outcome == "refused" and not self.harmless_to_repeat(self.kind(item)):
            self.refusal(item)

    def made(self, item: ClientAttempt) -> bool:
        return item.response_request_id == item.request_id and any(
            attempt.uid == item.responder_uid and attempt.status == 200 for attempt in self.attempts[item.request_id]
        )

    def at_once(self, item: ClientAttempt) -> bool:
        """Whether nothing but what may take time lies before the answer: attempts, of which those that never came up
        are known to nobody but the sidecar, and before each the buffer, for half the aim."""
        # a converter sees the end of an attempt that was given up a little after the client sees its answer
        ends = [
            item.ended_us if a.ended_us == NEVER else min(a.ended_us, item.ended_us)
            for a in self.attempts[item.request_id]
        ]
        since_us = max([item.sent_us, *ends])
        sidecars = self.world.sidecars
        unseen = max(0, sidecars.max_attempts - len(ends))
        waits_ms = max(1, unseen) * self.kind(item).objective_ms / 2 + unseen * sidecars.dial_timeout_ms
        bound_us = waits_ms * 1000 + SLACK_US
        return item.ended_us - since_us <= bound_us

    @staticmethod
    def harmless_to_repeat(kind: RequestClass) -> bool:
        return kind.effect == "idempotent" or (kind.effect == "deduplicated" and kind.group == "all")

    def refusal(self, item: ClientAttempt) -> None:
        for attempt in self.attempts[item.request_id]:
            if may_have_run(attempt) and attempt.received_us < item.ended_us:
                self.breach("refused-after-run", item.ended_us, f"{item.request_id}: {attempt.uid} had it")
                return

    # Attempts

    def resends(self, item: ClientAttempt) -> None:
        """Those of one request: one at a time, and again only where that is allowed."""
        attempts = self.attempts.get(item.request_id, [])
        for number, attempt in enumerate(attempts):
            for earlier in attempts[:number]:
                if earlier.ended_us == NEVER or attempt.received_us < earlier.ended_us - self.skew_us:
                    self.breach("together", attempt.received_us, f"{item.request_id}: {earlier.uid} and {attempt.uid}")
                elif may_have_run(earlier) and not self.allowed(item, earlier, attempt):
                    self.breach(
                        "unsafe-resend", attempt.received_us, f"{item.request_id}: {earlier.uid}, then {attempt.uid}"
                    )

    def allowed(self, item: ClientAttempt, earlier: ConverterAttempt, later: ConverterAttempt) -> bool:
        kind = self.kind(item)
        if kind.effect == "idempotent":
            return True
        if (
            kind.effect == "at_most_once"
            or later.received_us - earlier.received_us > kind.idempotency_window_ms * 1000 + SLACK_US
        ):
            return False
        if kind.group == "cell":
            return earlier.pod == later.pod
        return kind.group == "all" or self.zones[earlier.pod] == self.zones[later.pod]

    def invented(self) -> None:
        for ident, attempts in self.attempts.items():
            if ident not in self.tries:
                self.breach("invented", attempts[0].received_us, f"{ident} at {attempts[0].uid}")

    def executions(self) -> None:
        """Over all tries of a client together: a refusal promised that it had not run."""
        runs: dict[int, list[ConverterAttempt]] = defaultdict(list)
        for attempt in self.history.converter_attempts:
            item = self.tries.get(attempt.request_id)
            if item is not None and attempt.started_us != NEVER and self.kind(item).effect == "at_most_once":
                runs[item.arrival].append(attempt)
        for attempts in runs.values():
            if len(attempts) > 1:
                self.breach(
                    "run-twice", attempts[1].started_us, " and ".join(f"{a.request_id} at {a.uid}" for a in attempts)
                )

    # The list

    def drains(self) -> None:
        """Each life of a sidecar counts from what it was told itself."""
        told: dict[tuple[int, str], list[int]] = defaultdict(list)
        for notice in self.history.notices:
            if notice.state in ("leaving", "left"):
                told[notice.sidecar, notice.uid].append(notice.at_us)
        grace_us = self.world.sidecars.drain_grace_ms * 1000 + SLACK_US
        for attempt in self.history.converter_attempts:
            item = self.tries.get(attempt.request_id)
            notices = told.get((item.sidecar, attempt.uid)) if item is not None else None
            if item is None or not notices:
                continue
            begun_us = max(
                (life.started_us for life in self.lives[item.sidecar] if life.started_us <= attempt.first_byte_us),
                default=0,
            )
            first_us = min((at_us for at_us in notices if at_us >= begun_us), default=None)
            if first_us is not None and attempt.first_byte_us > self.acts_by(item.sidecar, first_us, grace_us):
                late_ms = (attempt.first_byte_us - first_us) // 1000
                self.breach(
                    "drain",
                    attempt.first_byte_us,
                    f"{attempt.request_id} to {attempt.uid}, {late_ms} ms after sidecar {item.sidecar} was told",
                )

    def acts_by(self, sidecar: int, told_us: int, grace_us: float) -> float:
        """Until when it may not know: one that stood still reads what it was told once it goes on."""
        until_us = told_us + grace_us
        for life in self.lives[sidecar]:
            for begun_us, ended_us in life.suspensions:
                if begun_us < until_us and ended_us > told_us:
                    until_us = max(until_us, ended_us + grace_us)
        return until_us
