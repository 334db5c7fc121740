"""Helpers for tests of planners without sockets: plans, reports of forwarders, and a balancer."""

from __future__ import annotations

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import (
    Event,
    ListKind,
    RequestArrived,
    RequestClass,
    Send,
    Settings,
    Upstream,
    UpstreamsUpdated,
)
from ryepier.plan.evidence import Evidence
from ryepier.plan.messages import (
    ConverterAdvice,
    ConverterCounters,
    Plan,
    Report,
    Term,
)
from ryepier.plan.messages import PlanBasis as Basis
from ryepier.plan.plan_computation import Planner
from ryepier.plan.plan_follower import AcceptanceRules

RULES = AcceptanceRules(fleet_size=10)
LISTED_UIDS = {f"c{i}" for i in range(10)}
SECOND_US = 1_000_000


def make_plan(
    epoch: int = 1,
    number: int = 1,
    forwarders: int = 10,
    planner: str = "a",
    covered: int = 10,
    window_ms: int = 2000,
    entries: dict[str, ConverterAdvice] | None = None,
) -> Plan:
    """Return a plan that passes RULES with the default arguments."""
    return Plan(
        Term(epoch, planner), number, Basis(forwarders, window_ms, covered, 10, 99), entries or {}, 2000, 30_000
    )


def advice_ejecting_first(count: int) -> dict[str, ConverterAdvice]:
    """Return advice that ejects the first `count` converters, without trial requests."""
    return {f"c{i}": ConverterAdvice(ejected=True, trial_share=0.0) for i in range(count)}


def report_attempts(
    evidence: Evidence, now_us: int, name: str, results: dict[str, tuple[int, int]], slow_uids: tuple[str, ...] = ()
) -> None:
    """Merge a forwarder's next report. `results` are the numbers of newly served and failed attempts by converter.

    Served attempts take 16 to 32 ms, or 64 to 128 ms at the converters in `slow_uids`. With each report, ten more
    requests of the only class have arrived.
    """
    forwarder = evidence.forwarders.get(name)
    if forwarder is None:
        evidence.merge(now_us, name, 1, Report(1, 10, {}, {}, [], [], 0))
        forwarder = evidence.forwarders[name]
    counters = {}
    for uid, (served, failed) in results.items():
        previous = forwarder.converters[uid].counters if uid in forwarder.converters else ConverterCounters()
        is_slow = uid in slow_uids
        latencies = [*previous.latencies, *[0] * (8 - len(previous.latencies))]
        latencies[7 if is_slow else 5] += served
        counters[uid] = ConverterCounters(
            previous.attempts + served + failed, previous.served + served, previous.failed + failed, 0, tuple(latencies)
        )
    evidence.merge(
        now_us,
        name,
        1,
        Report(forwarder.last_report_number + 1, 10, counters, {}, [], [10 * forwarder.last_report_number], 0),
    )


def report_all_converters(
    evidence: Evidence, now_us: int, overrides: dict[str, tuple[int, int]], forwarder_count: int = 10
) -> None:
    """Merge reports of `forwarder_count` forwarders, by which each converter served 3 attempts.

    `overrides` are the numbers of served and failed attempts at converters for which other results are reported.
    """
    for index in range(forwarder_count):
        report_attempts(evidence, now_us, f"f{index}", dict.fromkeys(LISTED_UIDS, (3, 0)) | overrides)


def compute_plan(planner: Planner, evidence: Evidence, now_us: int) -> Plan:
    """Return the planner's plan; fails if there is none."""
    plan = planner.plan(now_us, evidence, Term(1, "a"), 1)
    assert plan is not None
    return plan


def make_balancer(count: int) -> Balancer:
    """Return a balancer with `count` ready upstreams, whose ids start at 0."""
    settings = Settings(
        classes=[RequestClass("read", latency_objective_us=SECOND_US, deadline_us=10 * SECOND_US)], max_attempts=2
    )
    balancer = Balancer(settings, seed=3, now_us=1)
    balancer.handle(1, UpstreamsUpdated(ListKind.FULL, [Upstream(i) for i in range(count)]))
    return balancer


def sent_upstreams(balancer: Balancer, count: int, event: Event) -> list[int]:
    """Handle an event and then `count` requests; return the upstreams to which the balancer sends the requests."""
    balancer.handle(2, event)
    actions = [
        action for i in range(count) for action in balancer.handle(3 + i, RequestArrived(i, due_at_us=10 * SECOND_US))
    ]
    return [action.upstream for action in actions if isinstance(action, Send)]
