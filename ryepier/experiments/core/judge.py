"""Finds violations of the protocol's rules in the records of a run.

Pure: a `History` in, the breaches out. It uses only what converters, discovery and clients recorded, never the
sidecar's own account. Where the records of two processes are compared, the lateness of both is allowed for.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from ryepier.emulator import draws
from ryepier.emulator.records import (
    NEVER,
    AttemptOutcome,
    ClientAttempt,
    ConverterAttempt,
    EndpointNotice,
    History,
    Incarnation,
    RequestOutcome,
)
from ryepier.emulator.world import DeduplicationScope, Effect, RequestClass, World

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


def may_have_run(attempt: ConverterAttempt) -> bool:
    """Return whether a converter may have executed an attempt.

    By the protocol only a complete 503 or 504 with that statement proves that it did not.
    """
    return not (attempt.outcome is AttemptOutcome.ANSWERED and attempt.not_run)


def find_breaches(world: World, history: History) -> list[Breach]:
    """Return all breaches in the order of their times."""
    return sorted(_RuleChecker(world, history).check_all(), key=lambda breach: breach.at_us)


def _is_harmless_to_repeat(request_class: RequestClass) -> bool:
    deduplicated_everywhere = (
        request_class.effect is Effect.DEDUPLICATED and request_class.scope is DeduplicationScope.ALL
    )
    return request_class.effect is Effect.IDEMPOTENT or deduplicated_everywhere


class _RuleChecker:
    """Checks one history, rule by rule."""

    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.client_attempts = {item.request_id: item for item in history.client_attempts}
        self.attempts: dict[str, list[ConverterAttempt]] = defaultdict(list)  # by request id, in the order of arrival
        for attempt in history.converter_attempts:
            self.attempts[attempt.request_id].append(attempt)
        self.incarnations: dict[int, list[Incarnation]] = defaultdict(list)
        for incarnation in history.incarnations:
            self.incarnations[incarnation.sidecar].append(incarnation)
        worst_lateness_us = max((late.p999_us for late in history.lateness), default=0)
        self.skew_us = max(MIN_CLOCK_SKEW_US, SKEW_PER_LATENESS * worst_lateness_us)
        self.zones = {m.pod: m.group.zone for m in draws.machines(world, 0)}  # pods do not depend on the seed
        self.breaches: list[Breach] = []

    def check_all(self) -> list[Breach]:
        for item in self.history.client_attempts:
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

    def _class_of(self, item: ClientAttempt) -> RequestClass:
        return self.world.classes[item.request_class]

    def _due_us(self, item: ClientAttempt) -> int:
        return item.sent_us + item.deadline_us

    # Final answers

    def _check_final_answer(self, item: ClientAttempt) -> None:
        if not self._sidecar_ran_throughout(item):
            return  # its client retries what a killed sidecar held, and a stalled one can't keep deadlines
        self._check_in_time(item)
        if item.trailing_bytes:
            self._add("second-answer", item.ended_us, f"{item.request_id}: {item.trailing_bytes} more bytes")
        if item.outcome is RequestOutcome.SERVED and not self._was_answered_by_converter(item):
            self._add(
                "forged",
                item.ended_us,
                f"{item.request_id}: for {item.response_request_id!r} by {item.responder_uid!r}",
            )
        if item.outcome in (RequestOutcome.REFUSED, RequestOutcome.FAILED) and not self._was_given_up_at_once(item):
            elapsed_ms = (item.ended_us - item.sent_us) // US_PER_MS
            self._add("held", item.ended_us, f"{item.request_id} {item.outcome} after {elapsed_ms} ms")
        if item.outcome is RequestOutcome.REFUSED and not _is_harmless_to_repeat(self._class_of(item)):
            self._check_rejection(item)

    def _sidecar_ran_throughout(self, item: ClientAttempt) -> bool:
        """Return whether the request's sidecar lived from its sending to its end, without a stall."""
        incarnations = self.incarnations[item.sidecar]
        if any(
            incarnation.was_suspended(item.sent_us - TIME_LIMIT_SLACK_US, item.ended_us) for incarnation in incarnations
        ):
            return False
        return not incarnations or any(
            incarnation.started_us <= item.sent_us
            and (incarnation.ended_us == NEVER or not incarnation.killed or incarnation.ended_us > item.ended_us)
            for incarnation in incarnations
        )

    def _check_in_time(self, item: ClientAttempt) -> None:
        due_us = self._due_us(item) + TIME_LIMIT_SLACK_US
        is_late = (
            item.outcome in (RequestOutcome.SERVED, RequestOutcome.REFUSED, RequestOutcome.FAILED)
            and item.ended_us > due_us
        )
        text = f"{item.request_id} by sidecar {item.sidecar}"
        if item.outcome is RequestOutcome.TIMEOUT or is_late:
            rule = "held-up" if self._was_suspended(item) else "unanswered"
            self._add(rule, due_us, text)
        elif item.outcome is RequestOutcome.BROKEN and not (
            item.may_be_unread and item.request_id not in self.attempts
        ):
            self._add("broken", item.ended_us, text)

    def _was_suspended(self, item: ClientAttempt) -> bool:
        """Return whether the machine kept the client's or the sidecar's process from running before the deadline."""
        client_role = f"clients {item.arrival % self.world.harness.client_processes}"
        spans = [span for late in self.history.lateness if late.role == client_role for span in late.stalls]
        spans += [span for incarnation in self.incarnations[item.sidecar] for span in incarnation.cpu_waits]
        due_us = self._due_us(item) + TIME_LIMIT_SLACK_US
        return any(begun_us < due_us and ended_us > item.sent_us for begun_us, ended_us in spans)

    def _was_answered_by_converter(self, item: ClientAttempt) -> bool:
        return item.response_request_id == item.request_id and any(
            attempt.uid == item.responder_uid and attempt.status == 200 for attempt in self.attempts[item.request_id]
        )

    def _was_given_up_at_once(self, item: ClientAttempt) -> bool:
        """Return whether only attempts and their waits lie before the answer.

        Attempts whose connection never came up are known to nobody but the sidecar; before each attempt a request
        may wait for half of its latency objective.
        """
        # a converter sees the end of an abandoned attempt a little after the client sees its answer
        ends_us = [
            item.ended_us if attempt.ended_us == NEVER else min(attempt.ended_us, item.ended_us)
            for attempt in self.attempts[item.request_id]
        ]
        last_event_us = max([item.sent_us, *ends_us])
        sidecars = self.world.sidecars
        unseen = max(0, sidecars.max_attempts - len(ends_us))
        wait_ms = max(1, unseen) * self._class_of(item).objective_ms / 2
        dial_ms = unseen * sidecars.dial_timeout_ms
        return item.ended_us - last_event_us <= (wait_ms + dial_ms) * US_PER_MS + TIME_LIMIT_SLACK_US

    def _check_rejection(self, item: ClientAttempt) -> None:
        for attempt in self.attempts[item.request_id]:
            if may_have_run(attempt) and attempt.received_us < item.ended_us:
                self._add("refused-after-run", item.ended_us, f"{item.request_id}: {attempt.uid} had it")
                return

    # Attempts

    def _check_retries(self, item: ClientAttempt) -> None:
        """Check that the attempts of a request were one at a time, and repeated only where that is allowed."""
        attempts = self.attempts.get(item.request_id, [])
        for number, later in enumerate(attempts):
            for earlier in attempts[:number]:
                if earlier.ended_us == NEVER or later.received_us < earlier.ended_us - self.skew_us:
                    self._add("together", later.received_us, f"{item.request_id}: {earlier.uid} and {later.uid}")
                elif may_have_run(earlier) and not self._may_repeat(item, earlier, later):
                    self._add("unsafe-resend", later.received_us, f"{item.request_id}: {earlier.uid}, then {later.uid}")

    def _may_repeat(self, item: ClientAttempt, earlier: ConverterAttempt, later: ConverterAttempt) -> bool:
        """Return whether an attempt may follow one that may have run."""
        request_class = self._class_of(item)
        if request_class.effect is Effect.IDEMPOTENT:
            return True
        memory_us = request_class.idempotency_window_ms * US_PER_MS + TIME_LIMIT_SLACK_US
        if request_class.effect is Effect.AT_MOST_ONCE or later.received_us - earlier.received_us > memory_us:
            return False
        if request_class.scope is DeduplicationScope.CELL:
            return earlier.pod == later.pod
        return request_class.scope is DeduplicationScope.ALL or self.zones[earlier.pod] == self.zones[later.pod]

    def _check_invented(self) -> None:
        for ident, attempts in self.attempts.items():
            if ident not in self.client_attempts:
                self._add("invented", attempts[0].received_us, f"{ident} at {attempts[0].uid}")

    def _check_executions(self) -> None:
        """Check at-most-once over all retries of a client, as a rejection promised that nothing had run."""
        executions: dict[int, list[ConverterAttempt]] = defaultdict(list)  # by first attempt
        for attempt in self.history.converter_attempts:
            item = self.client_attempts.get(attempt.request_id)
            if item is not None and attempt.started_us != NEVER and self._class_of(item).effect is Effect.AT_MOST_ONCE:
                executions[item.arrival].append(attempt)
        for attempts in executions.values():
            if len(attempts) > 1:
                text = " and ".join(f"{attempt.request_id} at {attempt.uid}" for attempt in attempts)
                self._add("run-twice", attempts[1].started_us, text)

    # Endpoint list and processes

    def _check_drains(self) -> None:
        """Check that draining converters get nothing new, each incarnation of a sidecar by its own notifications."""
        notified_us = self._withdrawal_times(self.history.notices)
        grace_us = self.world.sidecars.drain_grace_ms * US_PER_MS + TIME_LIMIT_SLACK_US
        for attempt in self.history.converter_attempts:
            item = self.client_attempts.get(attempt.request_id)
            if item is None or (item.sidecar, attempt.uid) not in notified_us:
                continue
            started_us = self._incarnation_start_us(item.sidecar, attempt.first_byte_us)
            times_us = [at_us for at_us in notified_us[item.sidecar, attempt.uid] if at_us >= started_us]
            if times_us and attempt.first_byte_us > self._must_act_by_us(item.sidecar, min(times_us), grace_us):
                late_ms = (attempt.first_byte_us - min(times_us)) // US_PER_MS
                text = f"{attempt.request_id} to {attempt.uid}, {late_ms} ms after sidecar {item.sidecar} was told"
                self._add("drain", attempt.first_byte_us, text)

    @staticmethod
    def _withdrawal_times(notifications: Sequence[EndpointNotice]) -> dict[tuple[int, str], list[int]]:
        """Return when each sidecar was notified that a converter drains or is gone, by sidecar and uid."""
        times_us: dict[tuple[int, str], list[int]] = defaultdict(list)
        for notification in notifications:
            if notification.state in WITHDRAWN_STATES:
                times_us[notification.sidecar, notification.uid].append(notification.at_us)
        return times_us

    def _incarnation_start_us(self, sidecar: int, at_us: int) -> int:
        """Return when the sidecar's process that ran at a time was started."""
        return max(
            (incarnation.started_us for incarnation in self.incarnations[sidecar] if incarnation.started_us <= at_us),
            default=0,
        )

    def _must_act_by_us(self, sidecar: int, notified_us: int, grace_us: float) -> float:
        """Return when a notification must be in effect: a stalled sidecar reads it only after the stall."""
        until_us = notified_us + grace_us
        for incarnation in self.incarnations[sidecar]:
            for begun_us, ended_us in incarnation.suspensions:
                if begun_us < until_us and ended_us > notified_us:
                    until_us = max(until_us, ended_us + grace_us)
        return until_us

    def _check_overloads(self) -> None:
        for at_us, uid in self.history.overload_crashes:
            self._add("cold", at_us, f"{uid} was pushed over")

    def _check_crashes(self) -> None:
        for incarnation in self.history.incarnations:
            if incarnation.crashed:
                self._add("crash", incarnation.ended_us, f"sidecar {incarnation.sidecar} ended by itself")
