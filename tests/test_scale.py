"""The scale tests of planners, calls and chains: how their figures are worked out, and chains in virtual time."""

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


def failing(claims: list[Claim]) -> list[str]:
    return [claim.name for claim in claims if not claim.holds]


# scale-control: what a hollow forwarder reports


def lightweight_forwarder(index: int = 0, in_use: int = 30) -> LightweightForwarder:
    return LightweightForwarder(index, ForwardersConfig(("127.0.0.1", 1), 0, 1, in_use, 1, 10), TrafficCounts())


def report(one: LightweightForwarder, number: int = 1) -> Report:
    return one.reporter.report(one.machine.clock_us(), len(one.upstream_ids), Term(number, "a"), 0)


def test_a_service_has_as_many_converters_as_callers() -> None:
    callers: dict[int, int] = {}
    for index in range(120):
        for number in converters_of(index, 30):
            callers[number] = callers.get(number, 0) + 1
    assert len(callers) == 120 and set(callers.values()) == {30}


def test_a_hollow_forwarder_reports_the_calls_of_its_sidecar() -> None:
    one = lightweight_forwarder()
    before = report(one).counters
    one.simulate_calls(one.simulated_until_s + 10.0)
    after = report(one).counters
    made = sum(after[name].attempts - before[name].attempts for name in after)
    assert made == pytest.approx(10 * CALLS_PER_S, rel=0.1)
    assert all(seen.failed == 0 and sum(seen.latencies) == seen.served for seen in after.values())


def test_a_hollow_forwarder_takes_the_place_of_what_its_base_calls() -> None:
    one = lightweight_forwarder()

    def attempts() -> int:
        return sum(record.attempts for record in one.reporter.records.values())

    before = attempts()
    one.simulated_until_s -= 10.0
    one.send_reports()
    assert attempts() - before == pytest.approx(10 * CALLS_PER_S, rel=0.1)
    one.on_plan(Plan(Term(1, "a"), 1, PlanBasis(), {}, 1000, 1000))
    assert one.counts.plans == 1


def test_a_report_takes_as_much_of_the_wire_after_a_day_as_at_the_start() -> None:
    one = lightweight_forwarder()
    lengths = []
    for hour in range(1, 25, 6):
        one.simulate_calls(one.simulated_until_s + hour * 3600.0)
        lengths.append(len(encode(report(one))))
    assert max(lengths) < 1.1 * min(lengths)


def test_what_hangs_is_reported_as_bad_and_nothing_else_is() -> None:
    one = lightweight_forwarder()
    one.hang(converter_uid(0))
    before = report(one).counters
    one.simulate_calls(one.simulated_until_s + 2.0)
    after = report(one).counters
    assert after[converter_uid(0)].failed > 0 and after[converter_uid(0)].served == before[converter_uid(0)].served
    assert {name for name, seen in after.items() if seen.failed} == {converter_uid(0)}


def test_a_planted_forwarder_reports_of_all_converters() -> None:
    one = lightweight_forwarder()
    one.set_converters(range(200))
    one.simulate_calls(one.simulated_until_s + 100.0)
    assert len(report(one).counters) == 200


# scale-control: figures and claims


def look(cpu_s: float, tick_cpu_s: float, ticks: int, reports: int, waited_s: float = 0.0) -> PlannerReading:
    return PlannerReading(
        Usage(cpu_s, 100_000_000), PlannerUsage(cpu_s, tick_cpu_s, ticks, reports, ticks // 2), waited_s
    )


def test_a_planner_that_is_late_does_not_look_cheap() -> None:
    # 100 forwarders: a tick takes 20 ms and a report 1 ms, in time and with half of both left out
    prompt = control.planner_readings(100, 10.0, look(1.0, 0.0, 0, 0), look(3.8, 0.8, 40, 2000))
    late = control.planner_readings(100, 10.0, look(1.0, 0.0, 0, 0), look(2.4, 0.4, 20, 1000, 5.6))
    for row in (prompt, late):
        assert row["planner_cpu_ms_a_tick"] == pytest.approx(20)
        assert row["planner_cpu_us_a_report"] == pytest.approx(1000)
        assert row["planner_cores_needed"] == pytest.approx(0.28)
    assert late["planner_cores"] < prompt["planner_cores"]
    assert late["planner_wait_share"] == pytest.approx(0.8)


def sample(**changes: Any) -> Sample:
    return msgspec.structs.replace(Sample(0.0, 0.0, 0, 10, 10, 0, 0, 0, 0, 10, 0, []), **changes)


def test_seven_planners_cost_seven_times_the_reports_and_beats_and_once_the_plans() -> None:
    before = [sample(), sample()]
    after = [sample(at_s=2.0, bytes_out=20_000, bytes_in=4_000, plan_bytes=3_000)] * 2
    row = control.forwarder_readings(20, 2.0, before, after)
    assert row["bytes_out_per_s"] == 1000 and row["bytes_in_per_s"] == 200
    assert row["bytes_per_s_with_seven"] == 7 * (1000 + 50) + 150


def test_avoiding_counts_once_nearly_all_that_call_it_do() -> None:
    times = [float(number) for number in range(1, 20)]
    assert control.avoidance_quantile_s([sample(users=20, avoids_after_s=times)], 0.95) == 19.0
    assert control.avoidance_quantile_s([sample(users=20, avoids_after_s=times[:-1])], 0.95) == float("inf")
    assert control.avoidance_quantile_s([sample()], 0.95) == float("inf")


def rows(power: float, bytes_power: float = 0.0) -> dict[int, dict[str, float]]:
    return {
        size: {
            "planner_cores_needed": 0.001 * size**power,
            "planner_cpu_ms_a_tick": 0.1 * size,
            "planner_cpu_us_a_report": 200.0,
            "planner_resident_bytes": 3e7 + 4e4 * size,
            "planner_wait_share": 0.1,
            "connected_share": 1.0,
            "reporters_share": 1.0,
            "bytes_out_per_s": 2000.0 * (size / SIZES[0]) ** bytes_power,
            "bytes_per_s_with_seven": 15_000.0,
            "forwarder_cores": 0.002,
        }
        for size in SIZES
    }


AT_LARGEST = {"forwarder_resident_bytes": 5e4, "avoided_after_s": 1.5}


def test_a_planner_that_grows_faster_than_its_fleet_fails_a_claim() -> None:
    assert not failing(control.make_claims(30, rows(1.0), AT_LARGEST))
    found = failing(control.make_claims(30, rows(2.0), AT_LARGEST))
    assert len(found) == 1 and "cores that the planner needs" in found[0]


def test_reports_that_grow_with_the_fleet_fail_a_claim() -> None:
    assert any("bytes out" in name for name in failing(control.make_claims(30, rows(1.0, 1.0), AT_LARGEST)))


def test_a_planner_that_is_not_followed_or_had_no_core_fails_a_claim() -> None:
    assert failing(control.make_claims(30, rows(1.0), AT_LARGEST | {"avoided_after_s": float("inf")}))
    starved = {size: row | {"planner_wait_share": 0.9} for size, row in rows(1.0).items()}
    assert any("too busy" in name for name in failing(control.make_claims(30, starved, AT_LARGEST)))


def test_what_the_size_to_design_for_takes_is_on_the_line_and_beside_its_budget() -> None:
    found = control.make_figures(30, rows(1.0), AT_LARGEST)
    assert found["design_planner_cores_needed_30_in_use"] == pytest.approx(1.6)
    assert found["design_share_of_budget_planner_cores_needed_30_in_use"] == pytest.approx(3.2)
    assert found["design_share_of_budget_bytes_per_s_with_seven_30_in_use"] == pytest.approx(5.0)
    assert found["fit_planner_cores_needed_30_in_use_to_size"] == SIZES[-1]


@pytest.fixture
def the_usual_tick() -> Iterator[None]:
    usual = PlannerServer.tick
    yield
    PlannerServer.tick = usual  # type: ignore[method-assign]


@pytest.mark.usefixtures("the_usual_tick")
def test_a_gauged_planner_tells_what_it_did(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    class Ticking:
        counts: ClassVar = {"reports": 7, "plans": 2}

    monkeypatch.setattr(PlannerServer, "tick", lambda self, now_us, tick: sum(range(100_000)))
    recorder = instrumented_planner.UsageRecorder(tmp_path / "gauge")
    recorder.install()
    PlannerServer.tick(Ticking(), 0, 3)  # type: ignore[arg-type]
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


# scale-call


def test_an_answers_length_is_read_from_its_head() -> None:
    assert body_length(b"HTTP/1.1 200 OK\r\nContent-Length: 42\r\nX: y") == 42
    assert body_length(b"HTTP/1.1 204 No Content\r\nX: y") == 0


def target(due_count: int, latencies_us: list[int]) -> Target:
    return Target(
        ("127.0.0.1", 1), REQUEST, due_count=due_count, served_count=len(latencies_us), latencies_us=latencies_us
    )


def test_a_call_costs_by_the_answers_and_adds_to_the_direct_one() -> None:
    row = call.phase_figures(
        "x", 2.0, target(200, [1000] * 100), target(200, [400] * 200), CpuTime(50_000_000, 50_000_000)
    )
    assert row["cpu_us_a_call_x"] == 500 and row["cores_x"] == 0.025 and row["wait_share_x"] == 0.5
    assert row["answered_share_x"] == 0.5 and row["served_share_x"] == 1.0
    assert row["added_p99_ms_x"] == pytest.approx(0.6)


def test_a_result_holds_what_is_a_number() -> None:
    assert finite_figures({"a": 1.0, "b": float("inf"), "c": float("nan"), "d": -2.0}) == {"a": 1.0, "d": -2.0}


def test_no_answer_is_told_as_endless() -> None:
    row = call.phase_figures("x", 2.0, target(200, []), target(200, [400]), CpuTime(50_000_000, 0))
    assert row["p99_ms_x"] == float("inf") and row["served_share_x"] == 0.0


def calls(us_a_known: float) -> dict[str, float]:
    found = {f"cpu_us_a_call_369_per_s_{known}_known": 200 + us_a_known * known for known in call.KNOWN_COUNTS}
    found |= {f"module_us_a_call_{known}_known": 50 + us_a_known * known / 2 for known in call.KNOWN_COUNTS}
    found |= {"added_p99_ms_369_per_s_1600_known": 0.66, "served_share_369_per_s_30_known": 1.0}
    return found | call.summarize(found)


def test_a_call_that_grows_too_fast_with_the_list_fails_a_claim() -> None:
    assert calls(0.5)["fit_cpu_us_a_call_per_unit"] == pytest.approx(0.5)
    assert calls(0.5)["fit_module_us_a_call_per_unit"] == pytest.approx(0.25)
    assert calls(0.5)["design_share_of_budget_added_p99_ms"] == pytest.approx(2.0)
    assert not failing(call.make_claims(calls(0.5)))
    assert len(failing(call.make_claims(calls(5.0)))) == 2


def test_the_module_alone_opens_to_its_rate_and_costs_more_with_a_longer_list(monkeypatch: pytest.MonkeyPatch) -> None:
    made: list[Balancer] = []
    served: Counter[int] = Counter()

    class Kept(Balancer):
        def __init__(self, *given: Any) -> None:
            super().__init__(*given)
            made.append(self)

        def handle(self, now_us: int, event: Event) -> list[Action]:
            served[id(self)] += isinstance(event, AttemptEnded) and event.outcome is Outcome.OK
            return super().handle(now_us, event)

    monkeypatch.setattr(balancer_cost, "Balancer", Kept)
    few, many = (balancer_cost.balancer_us_per_call(known, 1, call.DESIGN_RATE_PER_S) for known in (30, 400))
    assert many > few > 0
    opened = [len(one.membership.pools[0].subset.members) for one in made]
    assert opened[0] == 30 and 230 <= opened[1] <= 300  # 4 and one for each 1.5 calls a second
    calls_made = balancer_cost.BATCHES * balancer_cost.CALLS_PER_BATCH
    assert all(not one.requests and served[id(one)] == calls_made for one in made)


def test_a_sidecar_reads_the_configuration_that_it_is_given(tmp_path: Path) -> None:
    path = tmp_path / "sidecar.json"
    path.write_text(call.make_configuration(1, 400, ("127.1.2.3", 9000), ("127.1.2.4", 8500), ("127.1.2.5", 9000)))
    read = config.load(str(path))
    assert len(read.cached_list["targets"]) == 400 and read.settings.classes[0].idempotency == Idempotency.IDEMPOTENT
    assert read.cached_list == make_list(400, ("127.1.2.5", 9000))


def test_stand_in_converters_answer_each_call_and_tell_their_list(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    network = find_network()
    converters, agent = (f"127.{network}.0.1", 9000), (f"127.{network}.252.1", 8500)

    async def ask(address: tuple[str, int], data: bytes, until: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        answer = await reader.readuntil(until)
        writer.close()
        return answer

    async def script() -> None:
        serving = asyncio.create_task(serve(ConvertersConfig(converters, {30: agent})))
        async with asyncio.timeout(10):
            while "{}" not in capsys.readouterr().out:
                await asyncio.sleep(0.01)
            twice = await ask(converters, 2 * (REQUEST % 1), b"done" + ANSWER)
            assert twice == 2 * ANSWER
            lines = await ask(agent, b"GET /discovery/hosts?since=0&follow=1 HTTP/1.1\r\n\r\n", b"}\n")
            assert len(json.loads(lines.rpartition(b"\r\n")[2])["targets"]) == 30
            told.set()
            await serving

    told = asyncio.Event()

    async def wait_for_told(loop: Any, executor: Any, function: Any) -> None:
        await told.wait()

    monkeypatch.setattr(asyncio.BaseEventLoop, "run_in_executor", wait_for_told)
    asyncio.run(script())


def test_a_profile_tells_our_own_functions_by_their_time(tmp_path: Path) -> None:
    kept: dict[tuple[str, int, str], tuple[int, int, float, float, dict[str, int]]] = {
        (f"/x/{file}", line, function): (1, 1, own_s, 9.0, {})
        for file, line, function, own_s in (
            ("ryepier/balancer/balancer.py", 1, "draw", 0.2),
            ("ryepier/balancer/balancer.py", 7, "<listcomp>", 0.4),
            ("ryepier/sidecar/host.py", 1, "start", 0.1),
            ("ryepier/sidecar/host.py", 9, "start", 0.2),
            ("python/asyncio/events.py", 1, "run", 5.0),
        )
    }
    (tmp_path / "profile").write_bytes(marshal.dumps(kept))
    found = call.top_functions(tmp_path / "profile", 1000)
    assert [name for name, _ in found] == ["balancer.listcomp_line_7", "host.start", "balancer.draw"]
    assert [us for _, us in found] == pytest.approx([400.0, 300.0, 200.0])


# scale-depth


def chain(hops: int, share: float, **changes: Any) -> Chain:
    return msgspec.structs.replace(Chain(hops, share, 60, 100.0, 1), **changes)


def test_a_chain_that_is_well_reaches_its_end_once_a_call() -> None:
    outcome = run_chain(chain(7, 0.0))
    assert outcome.attempts == outcome.calls == [60] * 7 and outcome.served == outcome.answered == 60


def test_a_chain_is_the_same_for_the_same_seed_and_leaves_the_clock() -> None:
    before = system.monotonic_ns
    one, same, other = (run_chain(chain(3, 0.5, seed=seed)) for seed in (1, 1, 2))
    assert one == same != other and system.monotonic_ns is before


def test_attempts_stay_within_the_hops_budgets_and_every_call_is_answered() -> None:
    for hops in (1, 3):
        for share in (0.5, 1.0):
            outcome = run_chain(chain(hops, share))
            assert outcome.answered == 60
            assert ChainFigures.from_outcome(chain(hops, share), outcome).over_bound <= 1.0


def test_a_class_that_is_never_sent_twice_is_not() -> None:
    outcome = run_chain(chain(3, 0.5, idempotency=Idempotency.NON_IDEMPOTENT))
    assert outcome.attempts[-1] <= 60 and outcome.served < 60


def test_without_a_budget_attempts_go_beyond_its_bound(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(RetryPolicy, "charge_budget", RetryPolicy.charge_budget)  # put back at the end
    seeded_faults.SEEDED_FAULTS["no-budget"]()
    one = chain(1, 0.5, calls=300)
    assert ChainFigures.from_outcome(one, run_chain(one)).over_bound > 1.0


def test_a_chain_without_end_is_broken_off_and_fails_a_claim() -> None:
    one = chain(1, 0.5, max_attempts=20)
    outcome = run_chain(one)
    assert outcome.broken_off and outcome.attempts[-1] == 20
    runs = {depth.UNSAFE_RUN: ChainFigures.from_outcome(one, outcome)}
    assert failing(depth.make_claims(runs))


def test_the_bound_is_a_fifth_more_a_hop_and_what_is_in_hand() -> None:
    assert depth.max_attempts_per_call(chain(1, 0.5), 10_000_000) == pytest.approx(1.2, rel=1e-4)
    assert depth.max_attempts_per_call(chain(11, 0.5), 10_000_000) == pytest.approx(7.43, rel=1e-3)
    assert depth.max_attempts_per_call(chain(1, 0.5), 10) == pytest.approx(1.2 + 1.5)


def test_the_factor_of_a_hop_is_the_logarithms_slope() -> None:
    found = depth.summarize(
        {name: ChainFigures(1.1**one.depth) for name, one in depth.make_chains(1, Scale.SMALL).items()}
    )
    assert found["factor_a_hop_0.5_failing"] == pytest.approx(1.1)
