"""Finds violations of the protocol's rules in the records of a run.

Pure: a `History` in, the breaches out. It uses only what converters, discovery and clients recorded, never the
sidecar's own account. Where the records of two processes are compared, the lateness of both is allowed for.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from ryepier.emulator import draws
from ryepier.emulator.records import NEVER, Attempt, History, Life, Told, Try
from ryepier.emulator.world import RequestClass, World

TIME_LIMIT_SLACK_US = 50_000  # added to every time limit on sockets
MIN_CLOCK_SKEW_US = 20_000  # between the records of two processes, however punctual they were
SKEW_PER_LATENESS = 2  # both processes may have been late
US_PER_MS = 1000
WITHDRAWN_STATES = frozenset(("leaving", "left"))  # of a converter in the endpoint list

RULES = {
    "unanswered": "no final answer before the client's deadline",
    "held-up": "no final answer in time, but the machine had suspended the client or the sidecar: says nothing of it",
    "broken": "the sidecar closed a connection before a complete answer",
    "second-answer": "bytes after the one final answer",
    "forged": "served with an answer that no converter made for this request",
    "invented": "a converter received a request that no client sent",
    "run-twice": "a request that must run at most once ran more than once",
    "refused-after-run": "rejected although an attempt may have run and a repeat is not harmless",
    "unsafe-resend": "retried after an attempt that may have run, where the class forbids it",
    "together": "two attempts in flight at once",
    "drain": "a new attempt at a draining converter, later than the grace period after the notification",
    "cold": "a converter that was warming up was overloaded",
    "held": "the final answer to a request that was given up came only long after",
    "crash": "a sidecar process ended by itself",
}


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule."""

    rule: str
    at_us: int
    text: str


def may_have_run(attempt: Attempt) -> bool:
    """Return whether a converter may have executed an attempt.

    By the protocol only a complete 503 or 504 that says so proves that it did not.
    """
    return not (attempt.ending == "answered" and attempt.not_run)


def judge(world: World, history: History) -> list[Breach]:
    """Return all breaches in the order of their times."""
    return sorted(_RuleChecker(world, history).check_all(), key=lambda breach: breach.at_us)


def _is_harmless_to_repeat(request_class: RequestClass) -> bool:
    deduplicated_everywhere = request_class.effect == "deduplicated" and request_class.group == "all"
    return request_class.effect == "idempotent" or deduplicated_everywhere


class _RuleChecker:
    """Checks one history, rule by rule."""

    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.tries = {item.ident: item for item in history.tries}
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)  # by request id, in the order of arrival
        for attempt in history.attempts:
            self.attempts[attempt.ident].append(attempt)
        self.lives: dict[int, list[Life]] = defaultdict(list)
        for life in history.lives:
            self.lives[life.sidecar].append(life)
        worst_lateness_us = max((late.p999_us for late in history.lateness), default=0)
        self.skew_us = max(MIN_CLOCK_SKEW_US, SKEW_PER_LATENESS * worst_lateness_us)
        self.zones = {m.pod: m.group.zone for m in draws.machines(world, 0)}  # pods do not depend on the seed
        self.breaches: list[Breach] = []

    def check_all(self) -> list[Breach]:
        for item in self.history.tries:
            self._check_final_answer(item)
            self._check_retries(item)
        self._check_invented()
        self._check_executions()
        self._check_drains()
        self._check_overloads()
        self._check_crashes()
        return self.breaches

    def _add(self, rule: str, at_us: int, text: str) -> None:
        self.breaches.append(Breach(rule, at_us, text))

    def _class_of(self, item: Try) -> RequestClass:
        return self.world.classes[item.request_class]

    def _due_us(self, item: Try) -> int:
        return item.sent_us + item.deadline_us

    # Final answers

    def _check_final_answer(self, item: Try) -> None:
        if not self._sidecar_ran_throughout(item):
            return  # its client retries what a killed sidecar held, and a stalled one can't keep deadlines
        self._check_in_time(item)
        if item.extra_bytes:
            self._add("second-answer", item.ended_us, f"{item.ident}: {item.extra_bytes} more bytes")
        if item.ending == "served" and not self._was_answered_by_converter(item):
            self._add("forged", item.ended_us, f"{item.ident}: for {item.answer_for!r} by {item.answer_by!r}")
        if item.ending in ("refused", "failed") and not self._was_given_up_at_once(item):
            elapsed_ms = (item.ended_us - item.sent_us) // US_PER_MS
            self._add("held", item.ended_us, f"{item.ident} {item.ending} after {elapsed_ms} ms")
        if item.ending == "refused" and not _is_harmless_to_repeat(self._class_of(item)):
            self._check_rejection(item)

    def _sidecar_ran_throughout(self, item: Try) -> bool:
        """Return whether the request's sidecar lived from its sending to its end, without a stall."""
        lives = self.lives[item.sidecar]
        if any(life.stalled(item.sent_us - TIME_LIMIT_SLACK_US, item.ended_us) for life in lives):
            return False
        return not lives or any(
            life.begun_us <= item.sent_us
            and (life.ended_us == NEVER or not life.killed or life.ended_us > item.ended_us)
            for life in lives
        )

    def _check_in_time(self, item: Try) -> None:
        due_us = self._due_us(item) + TIME_LIMIT_SLACK_US
        is_late = item.ending in ("served", "refused", "failed") and item.ended_us > due_us
        text = f"{item.ident} by sidecar {item.sidecar}"
        if item.ending == "timeout" or is_late:
            rule = "held-up" if self._was_suspended(item) else "unanswered"
            self._add(rule, due_us, text)
        elif item.ending == "broken" and not (item.crossed and item.ident not in self.attempts):
            self._add("broken", item.ended_us, text)

    def _was_suspended(self, item: Try) -> bool:
        """Return whether the machine kept the client's or the sidecar's process from running before the deadline."""
        client_role = f"clients {item.first % self.world.rig.client_processes}"
        spans = [span for late in self.history.lateness if late.role == client_role for span in late.held]
        spans += [span for life in self.lives[item.sidecar] for span in life.held]
        due_us = self._due_us(item) + TIME_LIMIT_SLACK_US
        return any(begun_us < due_us and ended_us > item.sent_us for begun_us, ended_us in spans)

    def _was_answered_by_converter(self, item: Try) -> bool:
        return item.answer_for == item.ident and any(
            attempt.uid == item.answer_by and attempt.status == 200 for attempt in self.attempts[item.ident]
        )

    def _was_given_up_at_once(self, item: Try) -> bool:
        """Return whether only attempts and their waits lie before the answer.

        Attempts whose connection never came up are known to nobody but the sidecar; before each attempt a request
        may wait for half of its latency objective.
        """
        # a converter sees the end of an abandoned attempt a little after the client sees its answer
        ends_us = [
            item.ended_us if attempt.ended_us == NEVER else min(attempt.ended_us, item.ended_us)
            for attempt in self.attempts[item.ident]
        ]
        last_event_us = max([item.sent_us, *ends_us])
        sidecars = self.world.sidecars
        unseen = max(0, sidecars.max_attempts - len(ends_us))
        wait_ms = max(1, unseen) * self._class_of(item).aim_ms / 2
        dial_ms = unseen * sidecars.dial_timeout_ms
        return item.ended_us - last_event_us <= (wait_ms + dial_ms) * US_PER_MS + TIME_LIMIT_SLACK_US

    def _check_rejection(self, item: Try) -> None:
        for attempt in self.attempts[item.ident]:
            if may_have_run(attempt) and attempt.last_us < item.ended_us:
                self._add("refused-after-run", item.ended_us, f"{item.ident}: {attempt.uid} had it")
                return

    # Attempts

    def _check_retries(self, item: Try) -> None:
        """Check that the attempts of a request were one at a time, and repeated only where that is allowed."""
        attempts = self.attempts.get(item.ident, [])
        for number, later in enumerate(attempts):
            for earlier in attempts[:number]:
                if earlier.ended_us == NEVER or later.last_us < earlier.ended_us - self.skew_us:
                    self._add("together", later.last_us, f"{item.ident}: {earlier.uid} and {later.uid}")
                elif may_have_run(earlier) and not self._may_repeat(item, earlier, later):
                    self._add("unsafe-resend", later.last_us, f"{item.ident}: {earlier.uid}, then {later.uid}")

    def _may_repeat(self, item: Try, earlier: Attempt, later: Attempt) -> bool:
        """Return whether an attempt may follow one that may have run."""
        request_class = self._class_of(item)
        if request_class.effect == "idempotent":
            return True
        memory_us = request_class.memory_ms * US_PER_MS + TIME_LIMIT_SLACK_US
        if request_class.effect == "at_most_once" or later.last_us - earlier.last_us > memory_us:
            return False
        if request_class.group == "cell":
            return earlier.pod == later.pod
        return request_class.group == "all" or self.zones[earlier.pod] == self.zones[later.pod]

    def _check_invented(self) -> None:
        for ident, attempts in self.attempts.items():
            if ident not in self.tries:
                self._add("invented", attempts[0].last_us, f"{ident} at {attempts[0].uid}")

    def _check_executions(self) -> None:
        """Check at-most-once over all retries of a client, as a rejection promised that nothing had run."""
        executions: dict[int, list[Attempt]] = defaultdict(list)  # by first attempt
        for attempt in self.history.attempts:
            item = self.tries.get(attempt.ident)
            if item is not None and attempt.run_us != NEVER and self._class_of(item).effect == "at_most_once":
                executions[item.first].append(attempt)
        for attempts in executions.values():
            if len(attempts) > 1:
                text = " and ".join(f"{attempt.ident} at {attempt.uid}" for attempt in attempts)
                self._add("run-twice", attempts[1].run_us, text)

    # Endpoint list and processes

    def _check_drains(self) -> None:
        """Check that draining converters get nothing new, each life of a sidecar by its own notifications."""
        notified_us = self._withdrawal_times(self.history.told)
        grace_us = self.world.sidecars.drain_grace_ms * US_PER_MS + TIME_LIMIT_SLACK_US
        for attempt in self.history.attempts:
            item = self.tries.get(attempt.ident)
            if item is None or (item.sidecar, attempt.uid) not in notified_us:
                continue
            life_begun_us = self._life_begun_us(item.sidecar, attempt.first_us)
            times_us = [at_us for at_us in notified_us[item.sidecar, attempt.uid] if at_us >= life_begun_us]
            if times_us and attempt.first_us > self._must_act_by_us(item.sidecar, min(times_us), grace_us):
                late_ms = (attempt.first_us - min(times_us)) // US_PER_MS
                text = f"{attempt.ident} to {attempt.uid}, {late_ms} ms after sidecar {item.sidecar} was told"
                self._add("drain", attempt.first_us, text)

    @staticmethod
    def _withdrawal_times(notifications: Sequence[Told]) -> dict[tuple[int, str], list[int]]:
        """Return when each sidecar was notified that a converter drains or is gone, by sidecar and uid."""
        times_us: dict[tuple[int, str], list[int]] = defaultdict(list)
        for notification in notifications:
            if notification.state in WITHDRAWN_STATES:
                times_us[notification.sidecar, notification.uid].append(notification.at_us)
        return times_us

    def _life_begun_us(self, sidecar: int, at_us: int) -> int:
        """Return when the sidecar's process that ran at a time was started."""
        return max((life.begun_us for life in self.lives[sidecar] if life.begun_us <= at_us), default=0)

    def _must_act_by_us(self, sidecar: int, notified_us: int, grace_us: float) -> float:
        """Return when a notification must be in effect: a stalled sidecar reads it only after the stall."""
        until_us = notified_us + grace_us
        for life in self.lives[sidecar]:
            for begun_us, ended_us in life.stalls:
                if begun_us < until_us and ended_us > notified_us:
                    until_us = max(until_us, ended_us + grace_us)
        return until_us

    def _check_overloads(self) -> None:
        for at_us, uid in self.history.fallen:
            self._add("cold", at_us, f"{uid} was pushed over")

    def _check_crashes(self) -> None:
        for life in self.history.lives:
            if life.crashed:
                self._add("crash", life.ended_us, f"sidecar {life.sidecar} ended by itself")
