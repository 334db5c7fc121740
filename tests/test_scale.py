"""Tests the figures and claims of `scale-control`, `scale-call` and `scale-depth`, and the processes they start."""

from __future__ import annotations

import asyncio
import json
import marshal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar

import msgspec
import pytest

from ryepier.balancer.balancer import Balancer
from ryepier.balancer.interface import Action, AttemptEnded, Event, Idempotency, Outcome
from ryepier.balancer.retries import RetryPolicy
from ryepier.emulator.loopback import find_network
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Claim, Scale
from ryepier.experiments.core.usage import Usage
from ryepier.experiments.scale import balancer_cost, call, control, depth, instrumented_planner
from ryepier.experiments.scale.call import CpuTime
from ryepier.experiments.scale.call_client import REQUEST, Target, body_length
from ryepier.experiments.scale.chains import Chain, run_chain
from ryepier.experiments.scale.control import PlannerReading, Sample
from ryepier.experiments.scale.depth import ChainFigures
from ryepier.experiments.scale.instrumented_planner import PlannerUsage
from ryepier.experiments.scale.lightweight_converters import ANSWER, ConvertersConfig, make_list, serve
from ryepier.experiments.scale.lightweight_forwarders import (
    CALLS_PER_S,
    ForwardersConfig,
    LightweightForwarder,
    TrafficCounts,
    converter_uid,
    converters_of,
)
from ryepier.experiments.scale.machine_load import finite_figures
from ryepier.plan.messages import Plan, PlanBasis, Report, Term, encode
from ryepier.plan.planner_server import PlannerServer
from ryepier.sidecar import config, system

SIZES = (50, 100, 200, 400)


def failed_claim_names(claims: list[Claim]) -> list[str]:
    return [claim.name for claim in claims if not claim.holds]


# `scale-control`: reports of lightweight forwarders


def make_forwarder(index: int = 0, in_use: int = 30) -> LightweightForwarder:
    return LightweightForwarder(index, ForwardersConfig(("127.0.0.1", 1), 0, 1, in_use, 1, 10), TrafficCounts())


def make_report(forwarder: LightweightForwarder, epoch: int = 1) -> Report:
    return forwarder.reporter.report(forwarder.machine.clock_us(), len(forwarder.upstream_ids), Term(epoch, "a"), 0)


def test_service_has_as_many_converters_as_callers() -> None:
    callers: dict[int, int] = {}
    for index in range(120):
        for number in converters_of(index, 30):
            callers[number] = callers.get(number, 0) + 1
    assert len(callers) == 120 and set(callers.values()) == {30}


def test_forwarder_reports_its_simulated_calls() -> None:
    forwarder = make_forwarder()
    before = make_report(forwarder).counters
    forwarder.simulate_calls(forwarder.simulated_until_s + 10.0)
    after = make_report(forwarder).counters
    simulated_count = sum(after[uid].attempts - before[uid].attempts for uid in after)
    assert simulated_count == pytest.approx(10 * CALLS_PER_S, rel=0.1)
    assert all(counter.failed == 0 and sum(counter.latencies) == counter.served for counter in after.values())


def test_forwarder_overrides_methods_that_its_base_class_calls() -> None:
    forwarder = make_forwarder()

    def attempt_count() -> int:
        return sum(record.attempts for record in forwarder.reporter.records.values())

    before = attempt_count()
    forwarder.simulated_until_s -= 10.0
    forwarder.send_reports()
    assert attempt_count() - before == pytest.approx(10 * CALLS_PER_S, rel=0.1)
    forwarder.on_plan(Plan(Term(1, "a"), 1, PlanBasis(), {}, 1000, 1000))
    assert forwarder.counts.plans == 1


def test_report_size_hardly_grows_within_a_day() -> None:
    forwarder = make_forwarder()
    lengths = []
    for hour in range(1, 25, 6):
        forwarder.simulate_calls(forwarder.simulated_until_s + hour * 3600.0)
        lengths.append(len(encode(make_report(forwarder))))
    assert max(lengths) < 1.1 * min(lengths)


def test_only_the_hung_converter_is_reported_as_failing() -> None:
    forwarder = make_forwarder()
    forwarder.hang(converter_uid(0))
    before = make_report(forwarder).counters
    forwarder.simulate_calls(forwarder.simulated_until_s + 2.0)
    after = make_report(forwarder).counters
    assert after[converter_uid(0)].failed > 0 and after[converter_uid(0)].served == before[converter_uid(0)].served
    assert {uid for uid, counter in after.items() if counter.failed} == {converter_uid(0)}


def test_forwarder_can_report_on_all_converters() -> None:
    forwarder = make_forwarder()
    forwarder.set_converters(range(200))
    forwarder.simulate_calls(forwarder.simulated_until_s + 100.0)
    assert len(make_report(forwarder).counters) == 200


# `scale-control`: figures and claims


def make_planner_reading(
    cpu_s: float, tick_cpu_s: float, ticks: int, reports: int, waited_s: float = 0.0
) -> PlannerReading:
    return PlannerReading(
        Usage(cpu_s, 100_000_000), PlannerUsage(cpu_s, tick_cpu_s, ticks, reports, ticks // 2), waited_s
    )


def test_overloaded_planner_does_not_seem_cheap() -> None:
    # 100 forwarders, 20 ms of CPU time per tick and 1 ms per report. The overloaded planner handles only half of the
    # ticks and of the reports.
    on_time_figures = control.planner_figures(
        100, 10.0, make_planner_reading(1.0, 0.0, 0, 0), make_planner_reading(3.8, 0.8, 40, 2000)
    )
    overloaded_figures = control.planner_figures(
        100, 10.0, make_planner_reading(1.0, 0.0, 0, 0), make_planner_reading(2.4, 0.4, 20, 1000, 5.6)
    )
    for figures in (on_time_figures, overloaded_figures):
        assert figures["planner_cpu_ms_a_tick"] == pytest.approx(20)
        assert figures["planner_cpu_us_a_report"] == pytest.approx(1000)
        assert figures["planner_cores_needed"] == pytest.approx(0.28)
    assert overloaded_figures["planner_cores"] < on_time_figures["planner_cores"]
    assert overloaded_figures["planner_wait_share"] == pytest.approx(0.8)


def make_sample(**changes: Any) -> Sample:
    return msgspec.structs.replace(Sample(0.0, 0.0, 0, 10, 10, 0, 0, 0, 0, 10, 0, []), **changes)


def test_traffic_with_seven_planners_counts_plans_only_once() -> None:
    before = [make_sample(), make_sample()]
    after = [make_sample(at_s=2.0, bytes_out=20_000, bytes_in=4_000, plan_bytes=3_000)] * 2
    figures = control.forwarder_figures(20, 2.0, before, after)
    assert figures["bytes_out_per_s"] == 1000 and figures["bytes_in_per_s"] == 200
    assert figures["bytes_per_s_with_seven"] == 7 * (1000 + 50) + 150


def test_avoidance_time_requires_nearly_all_callers() -> None:
    times = [float(number) for number in range(1, 20)]
    assert control.avoidance_quantile_s([make_sample(users=20, avoids_after_s=times)], 0.95) == 19.0
    assert control.avoidance_quantile_s([make_sample(users=20, avoids_after_s=times[:-1])], 0.95) == float("inf")
    assert control.avoidance_quantile_s([make_sample()], 0.95) == float("inf")


def make_figures_by_size(cores_exponent: float, bytes_exponent: float = 0.0) -> dict[int, dict[str, float]]:
    return {
        size: {
            "planner_cores_needed": 0.001 * size**cores_exponent,
            "planner_cpu_ms_a_tick": 0.1 * size,
            "planner_cpu_us_a_report": 200.0,
            "planner_resident_bytes": 3e7 + 4e4 * size,
            "planner_wait_share": 0.1,
            "connected_share": 1.0,
            "reporters_share": 1.0,
            "bytes_out_per_s": 2000.0 * (size / SIZES[0]) ** bytes_exponent,
            "bytes_per_s_with_seven": 15_000.0,
            "forwarder_cores": 0.002,
        }
        for size in SIZES
    }


FIGURES_AT_LARGEST_SIZE = {"forwarder_resident_bytes": 5e4, "avoided_after_s": 1.5}


def test_superlinear_planner_cost_fails_a_claim() -> None:
    assert not failed_claim_names(control.make_claims(30, make_figures_by_size(1.0), FIGURES_AT_LARGEST_SIZE))
    failed_names = failed_claim_names(control.make_claims(30, make_figures_by_size(2.0), FIGURES_AT_LARGEST_SIZE))
    assert len(failed_names) == 1 and "cores that the planner needs" in failed_names[0]


def test_reports_that_grow_with_the_fleet_fail_a_claim() -> None:
    assert any(
        "bytes out" in name
        for name in failed_claim_names(control.make_claims(30, make_figures_by_size(1.0, 1.0), FIGURES_AT_LARGEST_SIZE))
    )


def test_late_avoidance_or_a_starved_planner_fails_a_claim() -> None:
    assert failed_claim_names(
        control.make_claims(30, make_figures_by_size(1.0), FIGURES_AT_LARGEST_SIZE | {"avoided_after_s": float("inf")})
    )
    starved_planner_figures = {
        size: figures | {"planner_wait_share": 0.9} for size, figures in make_figures_by_size(1.0).items()
    }
    assert any(
        "too busy" in name
        for name in failed_claim_names(control.make_claims(30, starved_planner_figures, FIGURES_AT_LARGEST_SIZE))
    )


def test_design_figures_follow_the_fitted_line_and_the_budget() -> None:
    figures = control.make_figures(30, make_figures_by_size(1.0), FIGURES_AT_LARGEST_SIZE)
    assert figures["design_planner_cores_needed_30_in_use"] == pytest.approx(1.6)
    assert figures["design_share_of_budget_planner_cores_needed_30_in_use"] == pytest.approx(3.2)
    assert figures["design_share_of_budget_bytes_per_s_with_seven_30_in_use"] == pytest.approx(5.0)
    assert figures["fit_planner_cores_needed_30_in_use_to_size"] == SIZES[-1]


@pytest.fixture
def restore_planner_tick() -> Iterator[None]:
    original_tick = PlannerServer.tick
    yield
    PlannerServer.tick = original_tick  # type: ignore[method-assign]


@pytest.mark.usefixtures("restore_planner_tick")
def test_instrumented_planner_writes_its_usage(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    class FakePlannerServer:
        counts: ClassVar = {"reports": 7, "plans": 2}

    monkeypatch.setattr(PlannerServer, "tick", lambda self, now_us, tick: sum(range(100_000)))
    recorder = instrumented_planner.UsageRecorder(tmp_path / "gauge")
    recorder.install()
    PlannerServer.tick(FakePlannerServer(), 0, 3)  # type: ignore[arg-type]
    for _ in range(100):
        try:
            planner_usage = instrumented_planner.read_usage(recorder.path)
        except FileNotFoundError:
            planner_usage = PlannerUsage(0.0, 0.0, 0, 0, 0)
        if planner_usage.ticks:
            break
        time.sleep(0.05)
    assert (planner_usage.ticks, planner_usage.reports, planner_usage.plans) == (3, 7, 2)
    assert 0 < planner_usage.tick_cpu_s <= planner_usage.cpu_s


# `scale-call`


def test_body_length_is_read_from_the_response_head() -> None:
    assert body_length(b"HTTP/1.1 200 OK\r\nContent-Length: 42\r\nX: y") == 42
    assert body_length(b"HTTP/1.1 204 No Content\r\nX: y") == 0


def make_target(due_count: int, latencies_us: list[int]) -> Target:
    return Target(
        ("127.0.0.1", 1), REQUEST, due_count=due_count, served_count=len(latencies_us), latencies_us=latencies_us
    )


def test_phase_figures_are_per_answer_and_relative_to_direct_calls() -> None:
    figures = call.phase_figures(
        "x", 2.0, make_target(200, [1000] * 100), make_target(200, [400] * 200), CpuTime(50_000_000, 50_000_000)
    )
    assert figures["cpu_us_a_call_x"] == 500 and figures["cores_x"] == 0.025 and figures["wait_share_x"] == 0.5
    assert figures["answered_share_x"] == 0.5 and figures["served_share_x"] == 1.0
    assert figures["added_p99_ms_x"] == pytest.approx(0.6)


def test_infinite_figures_are_left_out() -> None:
    assert finite_figures({"a": 1.0, "b": float("inf"), "c": float("nan"), "d": -2.0}) == {"a": 1.0, "d": -2.0}


def test_phase_without_answers_has_infinite_latency() -> None:
    figures = call.phase_figures("x", 2.0, make_target(200, []), make_target(200, [400]), CpuTime(50_000_000, 0))
    assert figures["p99_ms_x"] == float("inf") and figures["served_share_x"] == 0.0


def make_call_figures(us_per_known: float) -> dict[str, float]:
    figures = {
        f"cpu_us_a_call_369_per_s_{known_count}_known": 200 + us_per_known * known_count
        for known_count in call.KNOWN_COUNTS
    }
    figures |= {
        f"module_us_a_call_{known_count}_known": 50 + us_per_known * known_count / 2
        for known_count in call.KNOWN_COUNTS
    }
    figures |= {"added_p99_ms_369_per_s_1600_known": 0.66, "served_share_369_per_s_30_known": 1.0}
    return figures | call.summarize(figures)


def test_call_cost_that_grows_too_fast_with_the_list_fails_a_claim() -> None:
    assert make_call_figures(0.5)["fit_cpu_us_a_call_per_unit"] == pytest.approx(0.5)
    assert make_call_figures(0.5)["fit_module_us_a_call_per_unit"] == pytest.approx(0.25)
    assert make_call_figures(0.5)["design_share_of_budget_added_p99_ms"] == pytest.approx(2.0)
    assert not failed_claim_names(call.make_claims(make_call_figures(0.5)))
    assert len(failed_claim_names(call.make_claims(make_call_figures(5.0)))) == 2


def test_balancer_alone_opens_upstreams_by_rate_and_costs_more_with_a_longer_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    balancers: list[Balancer] = []
    served_counts: Counter[int] = Counter()

    class RecordingBalancer(Balancer):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            balancers.append(self)

        def handle(self, now_us: int, event: Event) -> list[Action]:
            served_counts[id(self)] += isinstance(event, AttemptEnded) and event.outcome is Outcome.OK
            return super().handle(now_us, event)

    monkeypatch.setattr(balancer_cost, "Balancer", RecordingBalancer)
    us_with_short_list, us_with_long_list = (
        balancer_cost.balancer_us_per_call(known_count, 1, call.DESIGN_RATE_PER_S) for known_count in (30, 400)
    )
    assert us_with_long_list > us_with_short_list > 0
    opened_counts = [len(balancer.membership.pools[0].subset.members) for balancer in balancers]
    assert opened_counts[0] == 30 and 230 <= opened_counts[1] <= 300  # 4, plus one for each 1.5 calls per second
    call_count = balancer_cost.BATCH_COUNT * balancer_cost.CALLS_PER_BATCH
    assert all(not balancer.requests and served_counts[id(balancer)] == call_count for balancer in balancers)


def test_sidecar_can_read_its_generated_configuration(tmp_path: Path) -> None:
    path = tmp_path / "sidecar.json"
    path.write_text(call.make_configuration(1, 400, ("127.1.2.3", 9000), ("127.1.2.4", 8500), ("127.1.2.5", 9000)))
    loaded = config.load(str(path))
    assert (
        len(loaded.cached_list["targets"]) == 400 and loaded.settings.classes[0].idempotency == Idempotency.IDEMPOTENT
    )
    assert loaded.cached_list == make_list(400, ("127.1.2.5", 9000))


def test_lightweight_converters_answer_calls_and_serve_their_list(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    network = find_network()
    converters, agent = (f"127.{network}.0.1", 9000), (f"127.{network}.252.1", 8500)

    async def request(address: tuple[str, int], data: bytes, delimiter: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        answer = await reader.readuntil(delimiter)
        writer.close()
        return answer

    async def make_requests() -> None:
        serving = asyncio.create_task(serve(ConvertersConfig(converters, {30: agent})))
        async with asyncio.timeout(10):
            while "{}" not in capsys.readouterr().out:
                await asyncio.sleep(0.01)
            two_answers = await request(converters, 2 * (REQUEST % 1), b"done" + ANSWER)
            assert two_answers == 2 * ANSWER
            lines = await request(agent, b"GET /discovery/hosts?since=0&follow=1 HTTP/1.1\r\n\r\n", b"}\n")
            assert len(json.loads(lines.rpartition(b"\r\n")[2])["targets"]) == 30
            requests_finished.set()
            await serving

    requests_finished = asyncio.Event()

    async def wait_until_finished(loop: Any, executor: Any, function: Any) -> None:
        await requests_finished.wait()

    monkeypatch.setattr(asyncio.BaseEventLoop, "run_in_executor", wait_until_finished)
    asyncio.run(make_requests())


def test_profile_lists_own_functions_by_cpu_time(tmp_path: Path) -> None:
    profile_stats: dict[tuple[str, int, str], tuple[int, int, float, float, dict[str, int]]] = {
        (f"/x/{file}", line, function): (1, 1, own_s, 9.0, {})
        for file, line, function, own_s in (
            ("ryepier/balancer/balancer.py", 1, "draw", 0.2),
            ("ryepier/balancer/balancer.py", 7, "<listcomp>", 0.4),
            ("ryepier/sidecar/host.py", 1, "start", 0.1),
            ("ryepier/sidecar/host.py", 9, "start", 0.2),
            ("python/asyncio/events.py", 1, "run", 5.0),
        )
    }
    (tmp_path / "profile").write_bytes(marshal.dumps(profile_stats))
    costs = call.top_functions(tmp_path / "profile", 1000)
    assert [name for name, _ in costs] == ["balancer.listcomp_line_7", "host.start", "balancer.draw"]
    assert [us_per_call for _, us_per_call in costs] == pytest.approx([400.0, 300.0, 200.0])


# `scale-depth`


def make_chain(hops: int, failing_share: float, **changes: Any) -> Chain:
    return msgspec.structs.replace(Chain(hops, failing_share, 60, 100.0, 1), **changes)


def test_chain_without_failures_has_one_attempt_per_call() -> None:
    outcome = run_chain(make_chain(7, 0.0))
    assert outcome.attempts == outcome.calls == [60] * 7 and outcome.served_count == outcome.answered_count == 60


def test_chain_depends_on_its_seed_and_restores_the_clock() -> None:
    original_clock = system.monotonic_ns
    first, same, other = (run_chain(make_chain(3, 0.5, seed=seed)) for seed in (1, 1, 2))
    assert first == same != other and system.monotonic_ns is original_clock


def test_attempts_stay_within_retry_budgets_and_calls_are_answered() -> None:
    for hops in (1, 3):
        for failing_share in (0.5, 1.0):
            outcome = run_chain(make_chain(hops, failing_share))
            assert outcome.answered_count == 60
            assert ChainFigures.from_outcome(make_chain(hops, failing_share), outcome).over_bound <= 1.0


def test_non_idempotent_class_is_never_retried() -> None:
    outcome = run_chain(make_chain(3, 0.5, idempotency=Idempotency.NON_IDEMPOTENT))
    assert outcome.attempts[-1] <= 60 and outcome.served_count < 60


def test_attempts_without_a_retry_budget_exceed_the_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryPolicy, "charge_budget", RetryPolicy.charge_budget)  # is restored after the test
    seeded_faults.SEEDED_FAULTS["no-budget"]()
    chain = make_chain(1, 0.5, call_count=300)
    assert ChainFigures.from_outcome(chain, run_chain(chain)).over_bound > 1.0


def test_chain_with_too_many_attempts_is_aborted_and_fails_a_claim() -> None:
    chain = make_chain(1, 0.5, max_attempts=20)
    outcome = run_chain(chain)
    assert outcome.is_aborted and outcome.attempts[-1] == 20
    runs = {depth.NON_IDEMPOTENT_RUN: ChainFigures.from_outcome(chain, outcome)}
    assert failed_claim_names(depth.make_claims(runs))


def test_attempt_bound_adds_a_fifth_per_hop_and_the_initial_budget() -> None:
    assert depth.max_attempts_per_call(make_chain(1, 0.5), 10_000_000) == pytest.approx(1.2, rel=1e-4)
    assert depth.max_attempts_per_call(make_chain(11, 0.5), 10_000_000) == pytest.approx(7.43, rel=1e-3)
    assert depth.max_attempts_per_call(make_chain(1, 0.5), 10) == pytest.approx(1.2 + 1.5)


def test_hop_factor_is_the_slope_of_the_logarithms() -> None:
    figures = depth.summarize(
        {name: ChainFigures(1.1**chain.depth) for name, chain in depth.make_chains(1, Scale.SMALL).items()}
    )
    assert figures["factor_a_hop_0.5_failing"] == pytest.approx(1.1)
