"""Tests of the rule checks on hand-written histories: valid ones pass, and invalid ones breach the expected rules."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ryepier.emulator.records import (
    AttemptOutcome,
    ClientAttempt,
    ConverterAttempt,
    EndpointNotice,
    History,
    Incarnation,
    Lateness,
    RequestOutcome,
)
from ryepier.emulator.world import Clients, Converters, DeduplicationScope, Effect, RequestClass, Sidecars, World
from ryepier.experiments.core import figures
from ryepier.experiments.core.judge import RULES, find_breaches

WORLD = World(
    name="hand",
    duration_s=10.0,
    converters=[Converters(count=4, pod_size=2)],
    classes=[
        RequestClass(name="read", share=0.4, work_ms=(1.0, 1.0), objective_ms=100.0, deadline_ms=1000.0),
        RequestClass(
            name="file",
            share=0.3,
            work_ms=(1.0, 1.0),
            objective_ms=100.0,
            deadline_ms=1000.0,
            priority_weight=3.0,
            late_weight=0.5,
            effect=Effect.AT_MOST_ONCE,
        ),
        RequestClass(
            name="batch",
            share=0.3,
            work_ms=(1.0, 1.0),
            objective_ms=100.0,
            deadline_ms=1000.0,
            effect=Effect.DEDUPLICATED,
            scope=DeduplicationScope.CELL,
            idempotency_window_ms=300.0,
        ),
    ],
    clients=Clients(rate_per_s=10.0),
    sidecars=Sidecars(count=2),
)
READ, FILE, BATCH = range(3)  # indices of the classes of WORLD
US_PER_MS = 1000


def client_attempt(
    class_index: int = FILE,
    request_id: str = "r-0",
    sent_ms: int = 0,
    ended_ms: int = 30,
    outcome: Any = "served",
    **overrides: Any,
) -> ClientAttempt:
    values: dict[str, Any] = {
        "arrival": 1,
        "number": 0,
        "sidecar": 0,
        "response_request_id": request_id,
        "responder_uid": "c1",
        "status": 200 if outcome == "served" else 503,
    }
    values |= overrides
    return ClientAttempt(
        request_id=request_id,
        key="k" if class_index == BATCH else "",
        request_class=class_index,
        tenant=0,
        work_us=1000,
        planned_us=sent_ms * US_PER_MS,
        sent_us=sent_ms * US_PER_MS,
        deadline_us=1000 * US_PER_MS,
        ended_us=ended_ms * US_PER_MS,
        outcome=RequestOutcome(outcome),
        **values,
    )


def converter_attempt(
    request_id: str = "r-0",
    uid: str = "c1",
    received_ms: int = 1,
    ended_ms: int = 29,
    ran: bool = True,
    outcome: Any = "answered",
    status: int = 200,
    not_run: bool = False,
    pod: int = 1,
) -> ConverterAttempt:
    return ConverterAttempt(
        request_id,
        "",
        uid,
        pod,
        received_ms * US_PER_MS,
        received_ms * US_PER_MS,
        ended_ms * US_PER_MS,
        AttemptOutcome(outcome),
        status,
        not_run,
        received_ms * US_PER_MS if ran else -1,
        ended_ms * US_PER_MS if ran else -1,
        1000,
    )


def rejected_attempt(**overrides: Any) -> ConverterAttempt:
    return converter_attempt(**({"ran": False, "status": 503, "not_run": True} | overrides))


def make_history(
    client_attempts: list[ClientAttempt], converter_attempts: list[ConverterAttempt], **overrides: Any
) -> History:
    values: dict[str, Any] = {
        "notices": [],
        "incarnations": [
            Incarnation(0, -500 * US_PER_MS, -400 * US_PER_MS),
            Incarnation(1, -500 * US_PER_MS, -400 * US_PER_MS),
        ],
        "events": [],
        "overload_crashes": [],
        "lateness": [],
    }
    return History(client_attempts=client_attempts, converter_attempts=converter_attempts, **(values | overrides))


def make_lateness(role: str, stall: tuple[int, int]) -> Lateness:
    return Lateness(role, 1000, 100, 1000, stall[1] - stall[0], stalls=[stall])


def breached_rules(history: History) -> set[str]:
    return {breach.rule for breach in find_breaches(WORLD, history)}


LEAVING_NOTICES = [EndpointNotice(0, "c1", "leaving", 1000 * US_PER_MS)]

SUSPENDED_INCARNATION = Incarnation(
    0, -500 * US_PER_MS, -400 * US_PER_MS, suspensions=[(500 * US_PER_MS, 900 * US_PER_MS)]
)

VALID_HISTORIES: dict[str, Callable[[], History]] = {
    "served": lambda: make_history([client_attempt()], [converter_attempt()]),
    "rejected by one converter, then served": lambda: make_history(
        [client_attempt(ended_ms=60)], [rejected_attempt(uid="c2", ended_ms=3), converter_attempt(received_ms=5)]
    ),
    "rejected, then the client's retry executed": lambda: make_history(
        [
            client_attempt(outcome="refused", ended_ms=4),
            client_attempt(request_id="r-1", number=1, sent_ms=50, ended_ms=80),
        ],
        [rejected_attempt(ended_ms=3), converter_attempt("r-1", received_ms=51, ended_ms=79)],
    ),
    "failed at the deadline with an open attempt": lambda: make_history(
        [client_attempt(outcome="failed", ended_ms=990, status=500)],
        [converter_attempt(ended_ms=992, outcome="closed", status=0)],
    ),
    "deduplicated request retried in the same pod": lambda: make_history(
        [client_attempt(BATCH, ended_ms=200)],
        [
            converter_attempt(uid="c2", ended_ms=100, outcome="closed", status=0),
            converter_attempt(received_ms=101, ended_ms=199),
        ],
    ),
    "idempotent request retried in another pod": lambda: make_history(
        [client_attempt(READ, ended_ms=200)],
        [
            converter_attempt(uid="c3", pod=2, ended_ms=100, outcome="closed", status=0),
            converter_attempt(received_ms=101, ended_ms=199),
        ],
    ),
    "sent within a drain's grace period": lambda: make_history(
        [client_attempt(sent_ms=1540, ended_ms=1570)],
        [converter_attempt(received_ms=1549, ended_ms=1569)],
        notices=LEAVING_NOTICES,
    ),
    "other sidecar not yet notified of the drain": lambda: make_history(
        [client_attempt(sent_ms=1900, ended_ms=1930, sidecar=1)],
        [converter_attempt(received_ms=1901, ended_ms=1929)],
        notices=LEAVING_NOTICES,
    ),
    "restarted sidecar not yet notified of the drain": lambda: make_history(
        [client_attempt(sent_ms=3900, ended_ms=3930)],
        [converter_attempt(received_ms=3901, ended_ms=3929)],
        notices=LEAVING_NOTICES,
        incarnations=[Incarnation(0, 0, 1, 2000 * US_PER_MS, True), Incarnation(0, 3000 * US_PER_MS, 3001 * US_PER_MS)],
    ),
    "lost with a killed sidecar": lambda: make_history(
        [client_attempt(outcome="broken", ended_ms=30)],
        [converter_attempt(ended_ms=31, outcome="closed", status=0)],
        incarnations=[Incarnation(0, 0, 1, 29 * US_PER_MS, True)],
    ),
    "timeout while the sidecar was suspended": lambda: make_history(
        [client_attempt(outcome="timeout", ended_ms=1100)], [], incarnations=[SUSPENDED_INCARNATION]
    ),
    "notified while suspended, sent within the grace period afterwards": lambda: make_history(
        [client_attempt(sent_ms=3000, ended_ms=3030)],
        [converter_attempt(received_ms=3001, ended_ms=3029)],
        notices=LEAVING_NOTICES,
        incarnations=[
            Incarnation(0, -500 * US_PER_MS, -400 * US_PER_MS, suspensions=[(900 * US_PER_MS, 2600 * US_PER_MS)])
        ],
    ),
    "request unread when a keep-alive connection closed": lambda: make_history(
        [client_attempt(outcome="broken", may_be_unread=True)], []
    ),
    "client disconnected": lambda: make_history(
        [client_attempt(outcome="left", ended_ms=30)], [converter_attempt(ended_ms=31, outcome="closed", status=0)]
    ),
}

INVALID_HISTORIES: dict[str, tuple[set[str], Callable[[], History]]] = {
    "never answered": ({"unanswered"}, lambda: make_history([client_attempt(outcome="timeout", ended_ms=1100)], [])),
    "never answered, sidecar without CPU": (
        {"held-up"},
        lambda: make_history(
            [client_attempt(outcome="timeout", ended_ms=1100)],
            [],
            incarnations=[
                Incarnation(0, -500 * US_PER_MS, -400 * US_PER_MS, cpu_waits=[(600 * US_PER_MS, 1200 * US_PER_MS)])
            ],
        ),
    ),
    "answered in time, but the client was suspended": (
        {"held-up"},
        lambda: make_history(
            [client_attempt(ended_ms=2000)],
            [converter_attempt()],
            lateness=[make_lateness("clients 0", (40 * US_PER_MS, 2000 * US_PER_MS))],
        ),
    ),
    "never answered, another client suspended": (
        {"unanswered"},
        lambda: make_history(
            [client_attempt(outcome="timeout", ended_ms=1100)],
            [],
            lateness=[make_lateness("clients 1", (40 * US_PER_MS, 1080 * US_PER_MS))],
        ),
    ),
    "never answered, sidecar without CPU only after the deadline": (
        {"unanswered"},
        lambda: make_history(
            [client_attempt(outcome="timeout", ended_ms=1100)],
            [],
            incarnations=[
                Incarnation(0, -500 * US_PER_MS, -400 * US_PER_MS, cpu_waits=[(1050 * US_PER_MS, 1200 * US_PER_MS)])
            ],
        ),
    ),
    "answered too late": (
        {"unanswered"},
        lambda: make_history([client_attempt(ended_ms=1060)], [converter_attempt(ended_ms=1059)]),
    ),
    "connection closed without an answer": (
        {"broken"},
        lambda: make_history([client_attempt(outcome="broken")], [converter_attempt()]),
    ),
    "never answered, long after the sidecar's suspension": (
        {"unanswered"},
        lambda: make_history(
            [client_attempt(sent_ms=1000, outcome="timeout", ended_ms=2100)], [], incarnations=[SUSPENDED_INCARNATION]
        ),
    ),
    "sent to a draining converter long after the sidecar's suspension": (
        {"drain"},
        lambda: make_history(
            [client_attempt(sent_ms=3000, ended_ms=3030)],
            [converter_attempt(received_ms=3001, ended_ms=3029)],
            notices=LEAVING_NOTICES,
            incarnations=[
                Incarnation(0, -500 * US_PER_MS, -400 * US_PER_MS, suspensions=[(900 * US_PER_MS, 2400 * US_PER_MS)])
            ],
        ),
    ),
    "keep-alive connection closed after a converter received the request": (
        {"broken"},
        lambda: make_history([client_attempt(outcome="broken", may_be_unread=True)], [converter_attempt()]),
    ),
    "rejection delayed after all attempts had ended": (
        {"held"},
        lambda: make_history(
            [client_attempt(outcome="refused", ended_ms=150)],
            [rejected_attempt(uid=f"c{index}", received_ms=4 * index, ended_ms=4 * index + 2) for index in range(4)],
        ),
    ),
    "two answers": ({"second-answer"}, lambda: make_history([client_attempt(trailing_bytes=9)], [converter_attempt()])),
    "answer to another request": (
        {"forged"},
        lambda: make_history([client_attempt(response_request_id="r-9")], [converter_attempt()]),
    ),
    "answer that no converter sent": ({"forged"}, lambda: make_history([client_attempt()], [])),
    "request that no client sent": (
        {"invented"},
        lambda: make_history([client_attempt()], [converter_attempt(), converter_attempt("x")]),
    ),
    "executed twice because of a client's retry": (
        {"run-twice", "refused-after-run"},
        lambda: make_history(
            [
                client_attempt(outcome="refused", ended_ms=40),
                client_attempt(request_id="r-1", number=1, sent_ms=50, ended_ms=80),
            ],
            [converter_attempt(outcome="reset", status=0), converter_attempt("r-1", received_ms=51, ended_ms=79)],
        ),
    ),
    "at-most-once request retried after a reset": (
        {"unsafe-resend"},
        lambda: make_history(
            [client_attempt(ended_ms=200)],
            [
                converter_attempt(uid="c2", ran=False, outcome="reset", status=0),
                converter_attempt(received_ms=101, ended_ms=199),
            ],
        ),
    ),
    "at-most-once request retried after a 503 without proof": (
        {"unsafe-resend"},
        lambda: make_history(
            [client_attempt(ended_ms=200)],
            [converter_attempt(uid="c2", ran=False, status=503), converter_attempt(received_ms=101, ended_ms=199)],
        ),
    ),
    "deduplicated request retried in another pod": (
        {"unsafe-resend"},
        lambda: make_history(
            [client_attempt(BATCH, ended_ms=200)],
            [
                converter_attempt(uid="c3", pod=2, outcome="closed", status=0),
                converter_attempt(received_ms=101, ended_ms=199),
            ],
        ),
    ),
    "deduplicated request retried after its idempotency window": (
        {"unsafe-resend"},
        lambda: make_history(
            [client_attempt(BATCH, ended_ms=500)],
            [converter_attempt(uid="c2", outcome="closed", status=0), converter_attempt(received_ms=401, ended_ms=499)],
        ),
    ),
    "two attempts at once": (
        {"together"},
        lambda: make_history(
            [client_attempt(READ, ended_ms=200)],
            [converter_attempt(uid="c2", ended_ms=190), converter_attempt(received_ms=101, ended_ms=199)],
        ),
    ),
    "two attempts at once, one of which never ends": (
        {"together"},
        lambda: make_history(
            [client_attempt(READ, ended_ms=200)],
            [converter_attempt(uid="c2", ended_ms=0, outcome="open"), converter_attempt(received_ms=101, ended_ms=199)],
        ),
    ),
    "sent after a drain's grace period": (
        {"drain"},
        lambda: make_history(
            [client_attempt(sent_ms=1540, ended_ms=1590)],
            [converter_attempt(received_ms=1551, ended_ms=1589)],
            notices=LEAVING_NOTICES,
        ),
    ),
    "sent to a removed converter": (
        {"drain"},
        lambda: make_history(
            [client_attempt(sent_ms=4000, ended_ms=4030)],
            [converter_attempt(received_ms=4001, ended_ms=4029)],
            notices=[EndpointNotice(0, "c1", "left", 1000 * US_PER_MS)],
        ),
    ),
    "rejection delayed until shortly before the deadline": (
        {"held"},
        lambda: make_history([client_attempt(outcome="refused", ended_ms=960)], [rejected_attempt(ended_ms=3)]),
    ),
    "warming-up converter overloaded": (
        {"cold"},
        lambda: make_history([client_attempt()], [converter_attempt()], overload_crashes=[(5, "c2")]),
    ),
    "sidecar crash": (
        {"crash"},
        lambda: make_history(
            [client_attempt()],
            [converter_attempt()],
            incarnations=[Incarnation(0, -500 * US_PER_MS, -400 * US_PER_MS, 5000 * US_PER_MS, False, True)],
        ),
    ),
}


@pytest.mark.parametrize("name", VALID_HISTORIES)
def test_valid_history_has_no_breaches(name: str) -> None:
    assert find_breaches(WORLD, VALID_HISTORIES[name]()) == []


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_invalid_history_breaches_the_expected_rules(name: str) -> None:
    rules, build_history = INVALID_HISTORIES[name]
    history = build_history()
    for attempt in history.converter_attempts:
        if attempt.ended_us == 0:  # stands for an attempt that never ends
            attempt.ended_us = -1
    assert breached_rules(history) == rules


def test_every_rule_is_breached_by_an_invalid_history() -> None:
    assert set().union(*(rules for rules, _ in INVALID_HISTORIES.values())) == set(RULES)


def test_service_level_counts_latency_from_the_first_attempt() -> None:
    client_attempts = [
        client_attempt(outcome="refused", ended_ms=4),
        client_attempt(request_id="r-1", number=1, sent_ms=0, ended_ms=150),
        client_attempt(request_id="s-0", arrival=2, ended_ms=100),
        client_attempt(request_id="t-0", arrival=3, outcome="failed", ended_ms=9),
    ]
    operations = figures.group_operations(WORLD, client_attempts)
    assert sorted((operation.earned_weight, operation.attempt_count) for operation in operations) == [
        (0.0, 1),
        (1.5, 2),
        (3.0, 1),
    ]
    assert figures.service_level(operations) == pytest.approx(0.5)
