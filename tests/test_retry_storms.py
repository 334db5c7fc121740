"""Retry storms without a network: what is taken for a retry, when it is a storm, and what the module then lets in."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.assembly.sidecar import select_components
from ryepier.balancer.interface import Outcome, Reject, RetryStormUpdated, Tenant
from ryepier.conf import operator_settings
from ryepier.sidecar.config import load
from ryepier.sidecar.serving import serve
from ryepier.sim.run import SimLoop, simulate
from ryepier.storm import failed_request_sketch
from ryepier.storm.failed_request_sketch import GENERATION_SIZE, GENERATION_US, FailedRequestSketch, fingerprint
from ryepier.storm.storm_detector import MIN_CALM_US, RetryStormDetector, StormEvidence
from tests.balancer_harness import BalancerHarness, settings, upstreams
from tests.network_peers import OK, endpoint_entry, endpoint_list, read_message, request, write_configuration

TICK_US = 200_000
READ = 0


def name(number: int) -> bytes:
    return fingerprint(b"t", str(number).encode())


def test_only_a_request_that_was_rejected_counts_as_retried() -> None:
    seen = FailedRequestSketch(0)
    assert seen.retry_number(0, name(1)) == 0
    assert seen.retry_number(0, name(1)) == 0  # asked twice and served: no retry
    seen.add(0, name(1))
    seen.add(1, name(1))
    assert (seen.retry_number(2, name(1)), seen.retry_number(2, name(2))) == (2, 0)


def test_failed_request_is_forgotten_after_ten_to_twenty_seconds() -> None:
    seen = FailedRequestSketch(0)
    seen.add(0, name(1))
    assert seen.retry_number(GENERATION_US - 1, name(1)) == 1
    assert seen.retry_number(GENERATION_US + 1, name(1)) == 1
    assert seen.retry_number(2 * GENERATION_US + 2, name(1)) == 0
    late = FailedRequestSketch(0)
    late.add(0, name(1))
    assert late.retry_number(5 * GENERATION_US, name(1)) == 0


def test_first_attempt_counts_as_a_retry_less_often_than_stated_at_any_rejection_rate() -> None:
    seen = FailedRequestSketch(0)
    for number in range(10 * GENERATION_SIZE):
        seen.add(number, name(number))
    wrong = sum(seen.retry_number(10 * GENERATION_SIZE, name(10**9 + number)) > 0 for number in range(50_000))
    assert wrong / 50_000 < 3 * 0.00011
    assert seen.retry_number(10 * GENERATION_SIZE, name(10 * GENERATION_SIZE - 1)) == 1
    assert (
        sum(len(row) for one in (seen.current, seen.previous) if one for row in one.rows)
        == 2 * failed_request_sketch.ROWS * failed_request_sketch.WIDTH
    )


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=60))
def test_retry_number_is_never_underestimated(steps: list[tuple[int, bool]]) -> None:
    seen, counts = FailedRequestSketch(0), dict.fromkeys(range(6), 0)
    for number, unserved in steps:
        assert seen.retry_number(1, name(number)) >= counts[number]
        if unserved:
            seen.add(1, name(number))
            counts[number] += 1


def test_parts_of_a_fingerprint_are_kept_apart() -> None:
    assert fingerprint(b"ab", b"c") != fingerprint(b"a", b"bc")


class Sidecar:
    """Feeds a detector with so many arrivals and ends a second."""

    def __init__(self, shares: list[float] | None = None, whole: bool = False) -> None:
        self.detector = RetryStormDetector(0, shares or [1.0], 8_000_000, whole)
        self.now_us = 0
        self.changes: list[tuple[float, bool, StormEvidence]] = []
        self.told = RetryStormUpdated()

    def run(
        self,
        seconds: float,
        first: float,
        later: float = 0.0,
        served: float | None = None,
        tenant: int = 0,
        refused_first: float = 0.0,
    ) -> RetryStormUpdated:
        served = first + later if served is None else served
        for _ in range(int(seconds * 1e6 / TICK_US)):
            for tries, rate in ((0, first), (1, later)):
                for _ in range(int(rate * TICK_US / 1e6)):
                    self.detector.on_request(tries, tenant)
            for _ in range(int(served * TICK_US / 1e6)):
                self.detector.on_served()
            for _ in range(int(refused_first * TICK_US / 1e6)):
                self.detector.on_unserved(0)
            self.now_us += TICK_US
            report = self.detector.tick(self.now_us)
            self.told = report.event
            if report.changed:
                self.changes.append((self.now_us / 1e6, self.told.active, report.evidence))
        return self.told


def test_storm_after_an_outage_opens_once_and_closes_when_it_is_over() -> None:
    one = Sidecar()
    one.run(30, 100)
    one.run(5, 100, 200, served=0)
    told = one.run(3, 100, 300, served=150, refused_first=50)
    assert told.active and told.admission[0] == 1.0 and told.admission[2] < told.admission[1] < 0.2
    evidence = one.changes[0][2]
    assert "retries" in str(evidence) and evidence.retry_share > 0.3
    assert "an outage over" in str(one.detector.tick(one.now_us + TICK_US).evidence)
    one.run(MIN_CALM_US / 1e6 + 6, 100)
    assert [active for _, active, _ in one.changes] == [True, False] and not one.told.active


def test_surge_of_first_attempts_is_no_storm_though_rejected_ones_are_retried() -> None:
    one = Sidecar()
    one.run(30, 100)
    one.run(10, 230, 150, served=150)
    assert one.changes == []
    one.run(5, 100)
    one.run(5, 100, 200, served=0)
    assert [active for _, active, _ in one.changes] == [True]


def test_second_outage_right_after_the_first_is_a_storm_again_and_not_the_usual_rate() -> None:
    one = Sidecar()
    one.run(30, 100)
    usual = one.detector.baseline_rate
    for _ in range(2):
        one.run(5, 100, 250, served=0)
        one.run(8, 100)
    assert [active for _, active, _ in one.changes] == [True, False, True, False]
    assert one.detector.baseline_rate == pytest.approx(usual, rel=0.05)


def test_recovering_pool_admits_more_and_shortens_retry_after() -> None:
    one = Sidecar()
    one.run(30, 100)
    one.run(5, 100, 300, served=0)
    early = one.run(2, 100, 300, served=40, refused_first=60)
    late = one.run(2, 100, 300, served=200)
    assert early.active and late.active
    assert late.admission[1] > early.admission[1] and late.retry_after_us[0] < early.retry_after_us[0]
    assert early.retry_after_us == sorted(early.retry_after_us) and max(early.retry_after_us) <= 8_000_000


def test_retries_of_a_tenant_over_its_quota_are_limited_separately() -> None:
    one = Sidecar([0.5, 0.5])
    one.run(30, 100)
    for _ in range(25):
        for _ in range(10):
            one.detector.on_request(0, 0)
        told = one.run(0.2, 50, 400, served=80, tenant=1)
    assert told.active and told.tenant_admission[1] < 0.6 and told.tenant_admission[0] == 1.0


def test_very_little_traffic_is_never_a_storm() -> None:
    one = Sidecar()
    one.run(30, 5)
    one.detector.on_request(1, 0)
    assert one.run(10, 0).active is False and one.changes == []


# The module


def stormy(**changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(max_retry_after_us=8_000_000, **changes))
    harness.update_upstreams(upstreams(3))
    return harness


def test_first_attempts_are_admitted_and_retries_in_part_with_final_answers_at_once() -> None:
    harness = stormy()
    harness.handle(RetryStormUpdated(True, [1.0, 0.25, 0.0], [1_000_000] * 3))
    firsts = [harness.arrive(READ) for _ in range(3)]
    assert all(harness.sends(one) for one in firsts)
    for one in firsts:
        harness.end(one, 0, Outcome.OK)
    second = [harness.arrive(READ, retry_number=1) for _ in range(8)]
    assert sum(bool(harness.sends(one)) for one in second) == 2
    third = harness.arrive(READ, retry_number=7)
    answer = harness.answer(third)
    assert isinstance(answer, Reject) and 100_000 <= answer.retry_after_us <= 1_000_000
    harness.handle(RetryStormUpdated())
    assert harness.sends(harness.arrive(READ, retry_number=7))


def test_retry_after_is_spread_over_the_window_also_in_whole_seconds() -> None:
    for whole in (False, True):
        harness = stormy()
        harness.handle(RetryStormUpdated(True, [1.0, 0.0], [4_000_000, 8_000_000], retry_after_in_seconds=whole))
        after = []
        for _ in range(200):
            answer = harness.answer(harness.arrive(READ, retry_number=1))
            assert isinstance(answer, Reject)
            after.append(answer.retry_after_us)
        assert max(after) <= 8_000_000 and max(after) - min(after) > 5_000_000
        most = max(sum(a <= at < a + 1_000_000 for at in after) for a in range(0, 9_000_000, 1_000_000))
        assert most < 60
        assert not whole or all(at % 1_000_000 == 0 and at > 0 for at in after)


def test_retry_of_a_client_adds_nothing_to_the_retry_budget_in_a_storm() -> None:
    def reissued(tries: int) -> int:
        harness = BalancerHarness(settings(max_retry_after_us=8_000_000, hedging=False))
        harness.update_upstreams(upstreams(40))
        harness.handle(RetryStormUpdated(True, [1.0, 1.0], [1_000_000] * 2))
        count = 0
        for _ in range(60):
            request = harness.arrive(READ, retry_number=tries)
            for number in range(len(harness.sends(request))):
                harness.end(request, number, Outcome.RESET)
            count += max(0, len(harness.sends(request)) - 1)
            harness.advance(1_000_000)
        return count

    assert reissued(1) <= 6 < 12 <= reissued(0)


def test_only_retries_of_the_tenant_in_the_storm_are_limited() -> None:
    harness = stormy(tenants=[Tenant("a", 10.0), Tenant("b", 10.0)])
    harness.handle(RetryStormUpdated(True, [1.0, 1.0], [1_000_000] * 2, tenant_admission=[1.0, 0.0]))
    assert harness.sends(harness.arrive(READ, retry_number=1, tenant=0))
    assert not harness.sends(harness.arrive(READ, retry_number=1, tenant=1))
    assert harness.sends(harness.arrive(READ, retry_number=0, tenant=1))


# A whole sidecar


def test_sidecar_detects_a_storm_opening_and_closing_over_an_outage(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def convert(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await read_message(reader)
                await asyncio.sleep(0.01)
                writer.write(OK)

    async def main(loop: SimLoop) -> list[int]:
        config = load(str(write_configuration(tmp_path, known=endpoint_list(endpoint_entry("c1", 9000)))))
        parts = select_components(operator_settings.parse("[storm]\nenabled = true\n", {}))
        converter = await asyncio.start_server(convert, "127.0.0.1", 9000)
        stop = asyncio.Event()
        serving = asyncio.create_task(serve(config, stop, asyncio.Event(), parts))
        served = [0, 0]  # first tries, later ones

        async def ask(number: int) -> None:
            """Up to five tries of one request, with other ids."""
            for tries in range(5):
                reader, writer = await asyncio.open_connection(*config.listen)
                writer.write(request("pay", f"r{number}-{tries}", b"file %d" % number, deadline_ms=1000))
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head:
                    served[min(tries, 1)] += 1
                    return
                await asyncio.sleep(0.3)

        async def traffic() -> None:
            async with asyncio.TaskGroup() as group:
                for number in range(700):
                    group.create_task(ask(number))
                    await asyncio.sleep(0.03)

        coming = asyncio.create_task(traffic())
        await asyncio.sleep(8.0)
        converter.close()
        for sock in [one for one in loop.network.sockets if one.local == ("127.0.0.1", 9000)]:
            sock.close()
        await asyncio.sleep(4.0)
        await asyncio.start_server(convert, "127.0.0.1", 9000)
        await coming
        stop.set()
        await serving
        return served

    caplog.set_level("WARNING")
    first, later = simulate(1, main)
    said = [record.getMessage() for record in caplog.records if "retry storm" in record.getMessage()]
    assert ["opens" in line for line in said] == [True, False]
    assert "are retries" in said[0] and first > 400 and first + later < 700
