"""The judge against histories written by hand: the good one passes, and each bad one is caught by its own rule."""

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
READ, FILE, BATCH = range(3)
MS = 1000


def a_try(
    kind: int = FILE, ident: str = "r-0", sent_ms: int = 0, ended_ms: int = 30, ending: Any = "served", **more: Any
) -> ClientAttempt:
    values: dict[str, Any] = {
        "arrival": 1,
        "number": 0,
        "sidecar": 0,
        "response_request_id": ident,
        "responder_uid": "c1",
        "status": 200 if ending == "served" else 503,
    }
    values |= more
    return ClientAttempt(
        request_id=ident,
        key="k" if kind == BATCH else "",
        request_class=kind,
        tenant=0,
        work_us=1000,
        planned_us=sent_ms * MS,
        sent_us=sent_ms * MS,
        deadline_us=1000 * MS,
        ended_us=ended_ms * MS,
        outcome=RequestOutcome(ending),
        **values,
    )


def an_attempt(
    ident: str = "r-0",
    uid: str = "c1",
    at_ms: int = 1,
    ended_ms: int = 29,
    ran: bool = True,
    ending: Any = "answered",
    status: int = 200,
    not_run: bool = False,
    pod: int = 1,
) -> ConverterAttempt:
    return ConverterAttempt(
        ident,
        "",
        uid,
        pod,
        at_ms * MS,
        at_ms * MS,
        ended_ms * MS,
        AttemptOutcome(ending),
        status,
        not_run,
        at_ms * MS if ran else -1,
        ended_ms * MS if ran else -1,
        1000,
    )


def turned_away(**more: Any) -> ConverterAttempt:
    return an_attempt(**({"ran": False, "status": 503, "not_run": True} | more))


def a_history(tries: list[ClientAttempt], attempts: list[ConverterAttempt], **more: Any) -> History:
    values: dict[str, Any] = {
        "notices": [],
        "incarnations": [Incarnation(0, -500 * MS, -400 * MS), Incarnation(1, -500 * MS, -400 * MS)],
        "events": [],
        "overload_crashes": [],
        "lateness": [],
    }
    return History(client_attempts=tries, converter_attempts=attempts, **(values | more))


def a_lateness(role: str, held: tuple[int, int]) -> Lateness:
    return Lateness(role, 1000, 100, 1000, held[1] - held[0], stalls=[held])


def breached(history: History) -> set[str]:
    return {breach.rule for breach in find_breaches(WORLD, history)}


LEFT = [EndpointNotice(0, "c1", "leaving", 1000 * MS)]

STOOD = Incarnation(0, -500 * MS, -400 * MS, suspensions=[(500 * MS, 900 * MS)])

GOOD: dict[str, Callable[[], History]] = {
    "served": lambda: a_history([a_try()], [an_attempt()]),
    "turned away, then served": lambda: a_history(
        [a_try(ended_ms=60)], [turned_away(uid="c2", ended_ms=3), an_attempt(at_ms=5)]
    ),
    "refused, and the client's retry ran": lambda: a_history(
        [a_try(ending="refused", ended_ms=4), a_try(ident="r-1", number=1, sent_ms=50, ended_ms=80)],
        [turned_away(ended_ms=3), an_attempt("r-1", at_ms=51, ended_ms=79)],
    ),
    "failed at its time, its attempt out till then": lambda: a_history(
        [a_try(ending="failed", ended_ms=990, status=500)], [an_attempt(ended_ms=992, ending="closed", status=0)]
    ),
    "a batch again in its pod": lambda: a_history(
        [a_try(BATCH, ended_ms=200)],
        [an_attempt(uid="c2", ended_ms=100, ending="closed", status=0), an_attempt(at_ms=101, ended_ms=199)],
    ),
    "a read again anywhere": lambda: a_history(
        [a_try(READ, ended_ms=200)],
        [an_attempt(uid="c3", pod=2, ended_ms=100, ending="closed", status=0), an_attempt(at_ms=101, ended_ms=199)],
    ),
    "sent within the grace of a drain": lambda: a_history(
        [a_try(sent_ms=1540, ended_ms=1570)], [an_attempt(at_ms=1549, ended_ms=1569)], notices=LEFT
    ),
    "the other sidecar has not been told yet": lambda: a_history(
        [a_try(sent_ms=1900, ended_ms=1930, sidecar=1)], [an_attempt(at_ms=1901, ended_ms=1929)], notices=LEFT
    ),
    "a new life of the sidecar has not been told yet": lambda: a_history(
        [a_try(sent_ms=3900, ended_ms=3930)],
        [an_attempt(at_ms=3901, ended_ms=3929)],
        notices=LEFT,
        incarnations=[Incarnation(0, 0, 1, 2000 * MS, True), Incarnation(0, 3000 * MS, 3001 * MS)],
    ),
    "lost with a killed sidecar": lambda: a_history(
        [a_try(ending="broken", ended_ms=30)],
        [an_attempt(ended_ms=31, ending="closed", status=0)],
        incarnations=[Incarnation(0, 0, 1, 29 * MS, True)],
    ),
    "its sidecar stood still": lambda: a_history([a_try(ending="timeout", ended_ms=1100)], [], incarnations=[STOOD]),
    "told while it stood still, and sent within the grace from then on": lambda: a_history(
        [a_try(sent_ms=3000, ended_ms=3030)],
        [an_attempt(at_ms=3001, ended_ms=3029)],
        notices=LEFT,
        incarnations=[Incarnation(0, -500 * MS, -400 * MS, suspensions=[(900 * MS, 2600 * MS)])],
    ),
    "the close of a kept connection crossed it, and nobody saw it": lambda: a_history(
        [a_try(ending="broken", may_be_unread=True)], []
    ),
    "the client went away": lambda: a_history(
        [a_try(ending="left", ended_ms=30)], [an_attempt(ended_ms=31, ending="closed", status=0)]
    ),
}

BAD: dict[str, tuple[set[str], Callable[[], History]]] = {
    "never answered": ({"unanswered"}, lambda: a_history([a_try(ending="timeout", ended_ms=1100)], [])),
    "never answered, its sidecar without a core": (
        {"held-up"},
        lambda: a_history(
            [a_try(ending="timeout", ended_ms=1100)],
            [],
            incarnations=[Incarnation(0, -500 * MS, -400 * MS, cpu_waits=[(600 * MS, 1200 * MS)])],
        ),
    ),
    "answered in time, but its client held up": (
        {"held-up"},
        lambda: a_history(
            [a_try(ended_ms=2000)], [an_attempt()], lateness=[a_lateness("clients 0", (40 * MS, 2000 * MS))]
        ),
    ),
    "never answered, another client held up": (
        {"unanswered"},
        lambda: a_history(
            [a_try(ending="timeout", ended_ms=1100)], [], lateness=[a_lateness("clients 1", (40 * MS, 1080 * MS))]
        ),
    ),
    "never answered, its sidecar held up only later": (
        {"unanswered"},
        lambda: a_history(
            [a_try(ending="timeout", ended_ms=1100)],
            [],
            incarnations=[Incarnation(0, -500 * MS, -400 * MS, cpu_waits=[(1050 * MS, 1200 * MS)])],
        ),
    ),
    "answered too late": ({"unanswered"}, lambda: a_history([a_try(ended_ms=1060)], [an_attempt(ended_ms=1059)])),
    "the connection ended": ({"broken"}, lambda: a_history([a_try(ending="broken")], [an_attempt()])),
    "never answered, long after its sidecar stood still": (
        {"unanswered"},
        lambda: a_history([a_try(sent_ms=1000, ending="timeout", ended_ms=2100)], [], incarnations=[STOOD]),
    ),
    "sent long after it stood still to one that drains": (
        {"drain"},
        lambda: a_history(
            [a_try(sent_ms=3000, ended_ms=3030)],
            [an_attempt(at_ms=3001, ended_ms=3029)],
            notices=LEFT,
            incarnations=[Incarnation(0, -500 * MS, -400 * MS, suspensions=[(900 * MS, 2400 * MS)])],
        ),
    ),
    "a kept connection ended though a converter had the request": (
        {"broken"},
        lambda: a_history([a_try(ending="broken", may_be_unread=True)], [an_attempt()]),
    ),
    "a refusal held though all its attempts were seen": (
        {"held"},
        lambda: a_history(
            [a_try(ending="refused", ended_ms=150)],
            [turned_away(uid=f"c{i}", at_ms=4 * i, ended_ms=4 * i + 2) for i in range(4)],
        ),
    ),
    "two answers": ({"second-answer"}, lambda: a_history([a_try(trailing_bytes=9)], [an_attempt()])),
    "another's answer": ({"forged"}, lambda: a_history([a_try(response_request_id="r-9")], [an_attempt()])),
    "an answer that nobody made": ({"forged"}, lambda: a_history([a_try()], [])),
    "a request that nobody sent": ({"invented"}, lambda: a_history([a_try()], [an_attempt(), an_attempt("x")])),
    "run twice over a retry": (
        {"run-twice", "refused-after-run"},
        lambda: a_history(
            [a_try(ending="refused", ended_ms=40), a_try(ident="r-1", number=1, sent_ms=50, ended_ms=80)],
            [an_attempt(ending="reset", status=0), an_attempt("r-1", at_ms=51, ended_ms=79)],
        ),
    ),
    "a file again after a reset": (
        {"unsafe-resend"},
        lambda: a_history(
            [a_try(ended_ms=200)],
            [an_attempt(uid="c2", ran=False, ending="reset", status=0), an_attempt(at_ms=101, ended_ms=199)],
        ),
    ),
    "a bare 503 proves nothing": (
        {"unsafe-resend"},
        lambda: a_history(
            [a_try(ended_ms=200)], [an_attempt(uid="c2", ran=False, status=503), an_attempt(at_ms=101, ended_ms=199)]
        ),
    ),
    "a batch again in another pod": (
        {"unsafe-resend"},
        lambda: a_history(
            [a_try(BATCH, ended_ms=200)],
            [an_attempt(uid="c3", pod=2, ending="closed", status=0), an_attempt(at_ms=101, ended_ms=199)],
        ),
    ),
    "a batch again after its span": (
        {"unsafe-resend"},
        lambda: a_history(
            [a_try(BATCH, ended_ms=500)],
            [an_attempt(uid="c2", ending="closed", status=0), an_attempt(at_ms=401, ended_ms=499)],
        ),
    ),
    "two at once": (
        {"together"},
        lambda: a_history(
            [a_try(READ, ended_ms=200)], [an_attempt(uid="c2", ended_ms=190), an_attempt(at_ms=101, ended_ms=199)]
        ),
    ),
    "two at once, one for ever": (
        {"together"},
        lambda: a_history(
            [a_try(READ, ended_ms=200)],
            [an_attempt(uid="c2", ended_ms=0, ending="open"), an_attempt(at_ms=101, ended_ms=199)],
        ),
    ),
    "sent after the grace of a drain": (
        {"drain"},
        lambda: a_history([a_try(sent_ms=1540, ended_ms=1590)], [an_attempt(at_ms=1551, ended_ms=1589)], notices=LEFT),
    ),
    "sent to one that is gone": (
        {"drain"},
        lambda: a_history(
            [a_try(sent_ms=4000, ended_ms=4030)],
            [an_attempt(at_ms=4001, ended_ms=4029)],
            notices=[EndpointNotice(0, "c1", "left", 1000 * MS)],
        ),
    ),
    "a refusal held till near its time": (
        {"held"},
        lambda: a_history([a_try(ending="refused", ended_ms=960)], [turned_away(ended_ms=3)]),
    ),
    "a cold one pushed over": ({"cold"}, lambda: a_history([a_try()], [an_attempt()], overload_crashes=[(5, "c2")])),
    "a crash": (
        {"crash"},
        lambda: a_history(
            [a_try()], [an_attempt()], incarnations=[Incarnation(0, -500 * MS, -400 * MS, 5000 * MS, False, True)]
        ),
    ),
}


@pytest.mark.parametrize("name", GOOD)
def test_a_good_history_passes(name: str) -> None:
    assert find_breaches(WORLD, GOOD[name]()) == []


@pytest.mark.parametrize("name", BAD)
def test_a_bad_history_is_caught_by_its_rule(name: str) -> None:
    rules, history = BAD[name]
    made = history()
    for attempt in made.converter_attempts:
        if attempt.ended_us == 0:
            attempt.ended_us = -1
    assert breached(made) == rules


def test_every_rule_is_shown_to_be_caught() -> None:
    assert set().union(*(rules for rules, _ in BAD.values())) == set(RULES)


def test_worth_counts_from_the_first_try_and_by_the_aim() -> None:
    tries = [
        a_try(ending="refused", ended_ms=4),
        a_try(ident="r-1", number=1, sent_ms=0, ended_ms=150),
        a_try(ident="s-0", arrival=2, ended_ms=100),
        a_try(ident="t-0", arrival=3, ending="failed", ended_ms=9),
    ]
    found = figures.group_operations(WORLD, tries)
    assert sorted((operation.earned, operation.attempts) for operation in found) == [(0.0, 1), (1.5, 2), (3.0, 1)]
    assert figures.service_level(found) == pytest.approx(0.5)
