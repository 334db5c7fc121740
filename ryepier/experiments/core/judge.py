"""Finds violations of the protocol's rules in the records of a run.

The check is a pure function from a `History` to the breaches. It uses only what converters, discovery and clients
recorded, and nothing that sidecars report about themselves. Times that two processes recorded are compared with a
tolerance for the lateness of both processes.
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

TIME_LIMIT_SLACK_US = 50_000  # tolerance added to every time limit, for delays of real sockets
MIN_TOLERANCE_US = 20_000  # minimum tolerance for times that two processes recorded
TOLERANCE_PER_LATENESS = 2  # each of the two compared processes may have been late
US_PER_MS = 1000
WITHDRAWN_STATES = frozenset(("leaving", "left"))  # endpoint states of converters that get no new requests

RULES = {
    "unanswered": "no final answer before the client's deadline",
    "held-up": "no final answer in time, but the machine had suspended the client or the sidecar: inconclusive",
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
    "held": "a request was given up, but its final answer was delayed",
    "crash": "a sidecar process ended by itself",
}


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule, with its time in microseconds of the run."""

    rule: str
    at_us: int
    text: str


def may_have_run(attempt: ConverterAttempt) -> bool:
    """Return whether a converter may have executed an attempt.

    By the protocol, an attempt is known not to have been executed only if a complete 503 or 504 response says so.
    """
    return not (attempt.outcome is AttemptOutcome.ANSWERED and attempt.not_run)


def find_breaches(world: World, history: History) -> list[Breach]:
    """Return all breaches, ordered by time."""
    return sorted(_RuleChecker(world, history).check_all(), key=lambda breach: breach.at_us)


def _is_safe_to_repeat(request_class: RequestClass) -> bool:
    deduplicated_everywhere = (
        request_class.effect is Effect.DEDUPLICATED and request_class.scope is DeduplicationScope.ALL
    )
    return request_class.effect is Effect.IDEMPOTENT or deduplicated_everywhere


class _RuleChecker:
    """Checks one history against all rules and collects the breaches."""

    def __init__(self, world: World, history: History) -> None:
        self.world = world
        self.history = history
        self.client_attempts = {request.request_id: request for request in history.client_attempts}
        self.attempts: dict[str, list[ConverterAttempt]] = defaultdict(list)  # by request id, in order of arrival
        for attempt in history.converter_attempts:
            self.attempts[attempt.request_id].append(attempt)
        self.incarnations: dict[int, list[Incarnation]] = defaultdict(list)
        for incarnation in history.incarnations:
            self.incarnations[incarnation.sidecar].append(incarnation)
        worst_lateness_us = max((lateness.p999_us for lateness in history.lateness), default=0)
        self.tolerance_us = max(MIN_TOLERANCE_US, TOLERANCE_PER_LATENESS * worst_lateness_us)
        # the zones of pods do not depend on the seed, so an arbitrary one is used
        self.zone_by_pod = {machine.pod: machine.group.zone for machine in draws.machines(world, 0)}
        self.breaches: list[Breach] = []

    def check_all(self) -> list[Breach]:
        for request in self.history.client_attempts:
            self._check_final_answer(request)
            self._check_retries(request)
        self._check_invented_requests()
        self._check_executions()
        self._check_drains()
        self._check_overloads()
        self._check_crashes()
        return self.breaches

    def _add_breach(self, rule: str, at_us: int, text: str) -> None:
        self.breaches.append(Breach(rule, at_us, text))

    def _class_of(self, request: ClientAttempt) -> RequestClass:
        return self.world.classes[request.request_class]

    def _due_us(self, request: ClientAttempt) -> int:
        return request.sent_us + request.deadline_us

    # Final answers

    def _check_final_answer(self, request: ClientAttempt) -> None:
        if not self._sidecar_ran_throughout(request):
            return  # clients retry the requests that a killed sidecar loses, and a suspended one can't meet deadlines
        self._check_in_time(request)
        if request.trailing_bytes:
            self._add_breach(
                "second-answer", request.ended_us, f"{request.request_id}: {request.trailing_bytes} more bytes"
            )
        if request.outcome is RequestOutcome.SERVED and not self._was_answered_by_converter(request):
            self._add_breach(
                "forged",
                request.ended_us,
                f"{request.request_id}: for {request.response_request_id!r} by {request.responder_uid!r}",
            )
        if request.outcome in (RequestOutcome.REFUSED, RequestOutcome.FAILED) and not self._was_given_up_promptly(
            request
        ):
            elapsed_ms = (request.ended_us - request.sent_us) // US_PER_MS
            self._add_breach("held", request.ended_us, f"{request.request_id} {request.outcome} after {elapsed_ms} ms")
        if request.outcome is RequestOutcome.REFUSED and not _is_safe_to_repeat(self._class_of(request)):
            self._check_rejection(request)

    def _sidecar_ran_throughout(self, request: ClientAttempt) -> bool:
        """Return whether the sidecar ran without suspension from the sending of the request to its end."""
        incarnations = self.incarnations[request.sidecar]
        if any(
            incarnation.was_suspended(request.sent_us - TIME_LIMIT_SLACK_US, request.ended_us)
            for incarnation in incarnations
        ):
            return False
        return not incarnations or any(
            incarnation.started_us <= request.sent_us
            and (incarnation.ended_us == NEVER or not incarnation.killed or incarnation.ended_us > request.ended_us)
            for incarnation in incarnations
        )

    def _check_in_time(self, request: ClientAttempt) -> None:
        due_us = self._due_us(request) + TIME_LIMIT_SLACK_US
        is_late = (
            request.outcome in (RequestOutcome.SERVED, RequestOutcome.REFUSED, RequestOutcome.FAILED)
            and request.ended_us > due_us
        )
        text = f"{request.request_id} by sidecar {request.sidecar}"
        if request.outcome is RequestOutcome.TIMEOUT or is_late:
            rule = "held-up" if self._lacked_cpu(request) else "unanswered"
            self._add_breach(rule, due_us, text)
        elif request.outcome is RequestOutcome.BROKEN and not (
            request.may_be_unread and request.request_id not in self.attempts
        ):
            self._add_breach("broken", request.ended_us, text)

    def _lacked_cpu(self, request: ClientAttempt) -> bool:
        """Return whether the client's or the sidecar's process waited long for a CPU between sending and deadline."""
        client_role = f"clients {request.arrival % self.world.harness.client_processes}"
        periods_without_cpu = [
            period for lateness in self.history.lateness if lateness.role == client_role for period in lateness.stalls
        ]
        periods_without_cpu += [
            period for incarnation in self.incarnations[request.sidecar] for period in incarnation.cpu_waits
        ]
        due_us = self._due_us(request) + TIME_LIMIT_SLACK_US
        return any(begin_us < due_us and end_us > request.sent_us for begin_us, end_us in periods_without_cpu)

    def _was_answered_by_converter(self, request: ClientAttempt) -> bool:
        return request.response_request_id == request.request_id and any(
            attempt.uid == request.responder_uid and attempt.status == 200
            for attempt in self.attempts[request.request_id]
        )

    def _was_given_up_promptly(self, request: ClientAttempt) -> bool:
        """Return whether the final answer followed the last attempt without an unexplained delay.

        Converters do not record attempts whose connection was never established, so the allowed delay includes time for
        the attempts that may have failed like this. Before each attempt a request may wait for half of its latency
        objective.
        """
        # a converter may record the end of an abandoned attempt slightly after the client received its answer
        attempt_ends_us = [
            request.ended_us if attempt.ended_us == NEVER else min(attempt.ended_us, request.ended_us)
            for attempt in self.attempts[request.request_id]
        ]
        last_event_us = max([request.sent_us, *attempt_ends_us])
        sidecar_settings = self.world.sidecars
        unrecorded_attempt_count = max(0, sidecar_settings.max_attempts - len(attempt_ends_us))
        max_wait_ms = max(1, unrecorded_attempt_count) * self._class_of(request).objective_ms / 2
        max_dial_ms = unrecorded_attempt_count * sidecar_settings.dial_timeout_ms
        return request.ended_us - last_event_us <= (max_wait_ms + max_dial_ms) * US_PER_MS + TIME_LIMIT_SLACK_US

    def _check_rejection(self, request: ClientAttempt) -> None:
        for attempt in self.attempts[request.request_id]:
            if may_have_run(attempt) and attempt.received_us < request.ended_us:
                self._add_breach("refused-after-run", request.ended_us, f"{request.request_id}: {attempt.uid} had it")
                return

    # Attempts

    def _check_retries(self, request: ClientAttempt) -> None:
        """Check that a request had one attempt at a time, and was retried only where that is allowed."""
        attempts = self.attempts.get(request.request_id, [])
        for number, later in enumerate(attempts):
            for earlier in attempts[:number]:
                if earlier.ended_us == NEVER or later.received_us < earlier.ended_us - self.tolerance_us:
                    self._add_breach(
                        "together", later.received_us, f"{request.request_id}: {earlier.uid} and {later.uid}"
                    )
                elif may_have_run(earlier) and not self._may_repeat(request, earlier, later):
                    self._add_breach(
                        "unsafe-resend", later.received_us, f"{request.request_id}: {earlier.uid}, then {later.uid}"
                    )

    def _may_repeat(self, request: ClientAttempt, earlier: ConverterAttempt, later: ConverterAttempt) -> bool:
        """Return whether an attempt may follow an earlier one that may have been executed."""
        request_class = self._class_of(request)
        if request_class.effect is Effect.IDEMPOTENT:
            return True
        window_us = request_class.idempotency_window_ms * US_PER_MS + TIME_LIMIT_SLACK_US
        if request_class.effect is Effect.AT_MOST_ONCE or later.received_us - earlier.received_us > window_us:
            return False
        if request_class.scope is DeduplicationScope.CELL:
            return earlier.pod == later.pod
        return (
            request_class.scope is DeduplicationScope.ALL
            or self.zone_by_pod[earlier.pod] == self.zone_by_pod[later.pod]
        )

    def _check_invented_requests(self) -> None:
        for request_id, attempts in self.attempts.items():
            if request_id not in self.client_attempts:
                self._add_breach("invented", attempts[0].received_us, f"{request_id} at {attempts[0].uid}")

    def _check_executions(self) -> None:
        """Check that no at-most-once operation was executed twice, counting all requests of the operation.

        A client may retry a rejected request, because the rejection promises that the request was not executed.
        """
        executions: dict[int, list[ConverterAttempt]] = defaultdict(list)  # by the arrival number of the operation
        for attempt in self.history.converter_attempts:
            request = self.client_attempts.get(attempt.request_id)
            if (
                request is not None
                and attempt.started_us != NEVER
                and self._class_of(request).effect is Effect.AT_MOST_ONCE
            ):
                executions[request.arrival].append(attempt)
        for attempts in executions.values():
            if len(attempts) > 1:
                text = " and ".join(f"{attempt.request_id} at {attempt.uid}" for attempt in attempts)
                self._add_breach("run-twice", attempts[1].started_us, text)

    # Endpoint list, overloads and crashes

    def _check_drains(self) -> None:
        """Check that sidecars send no new attempts to draining converters after the grace period.

        For each attempt, only notifications since the start of the sidecar process that sent it count.
        """
        withdrawn_at_us = self._withdrawal_times(self.history.notices)
        grace_us = self.world.sidecars.drain_grace_ms * US_PER_MS + TIME_LIMIT_SLACK_US
        for attempt in self.history.converter_attempts:
            request = self.client_attempts.get(attempt.request_id)
            if request is None or (request.sidecar, attempt.uid) not in withdrawn_at_us:
                continue
            started_us = self._incarnation_start_us(request.sidecar, attempt.first_byte_us)
            times_us = [at_us for at_us in withdrawn_at_us[request.sidecar, attempt.uid] if at_us >= started_us]
            if times_us and attempt.first_byte_us > self._must_act_by_us(request.sidecar, min(times_us), grace_us):
                late_ms = (attempt.first_byte_us - min(times_us)) // US_PER_MS
                text = f"{attempt.request_id} to {attempt.uid}, {late_ms} ms after sidecar {request.sidecar} was told"
                self._add_breach("drain", attempt.first_byte_us, text)

    @staticmethod
    def _withdrawal_times(notifications: Sequence[EndpointNotice]) -> dict[tuple[int, str], list[int]]:
        """Return the times at which sidecars were notified that a converter drains or is gone, by sidecar and uid."""
        times_us: dict[tuple[int, str], list[int]] = defaultdict(list)
        for notification in notifications:
            if notification.state in WITHDRAWN_STATES:
                times_us[notification.sidecar, notification.uid].append(notification.at_us)
        return times_us

    def _incarnation_start_us(self, sidecar: int, at_us: int) -> int:
        """Return the start time of the process of a sidecar that ran at a given time, or 0 if none did."""
        return max(
            (incarnation.started_us for incarnation in self.incarnations[sidecar] if incarnation.started_us <= at_us),
            default=0,
        )

    def _must_act_by_us(self, sidecar: int, notified_us: int, grace_us: float) -> float:
        """Return the time by which a notification has to take effect.

        A suspended sidecar reads the notification only after the suspension, so the grace period starts then.
        """
        until_us = notified_us + grace_us
        for incarnation in self.incarnations[sidecar]:
            for begin_us, end_us in incarnation.suspensions:
                if begin_us < until_us and end_us > notified_us:
                    until_us = max(until_us, end_us + grace_us)
        return until_us

    def _check_overloads(self) -> None:
        for at_us, uid in self.history.overload_crashes:
            self._add_breach("cold", at_us, f"{uid} was pushed over")

    def _check_crashes(self) -> None:
        for incarnation in self.history.incarnations:
            if incarnation.crashed:
                self._add_breach("crash", incarnation.ended_us, f"sidecar {incarnation.sidecar} ended by itself")
