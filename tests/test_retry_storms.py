"""Retry storms, tested without real sockets: recognition of retries, detection of storms, admission in a storm."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

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


class StormChange(NamedTuple):
    """The opening or closing of a storm, as reported by the detector."""

    at_s: float
    active: bool
    evidence: StormEvidence


def request_hash(number: int) -> bytes:
    """Return the fingerprint of the request with this number."""
    return fingerprint(b"t", str(number).encode())


def test_only_a_request_that_was_rejected_counts_as_retried() -> None:
    sketch = FailedRequestSketch(0)
    assert sketch.retry_number(0, request_hash(1)) == 0
    assert sketch.retry_number(0, request_hash(1)) == 0  # the request was served, so its repeat is no retry
    sketch.add(0, request_hash(1))
    sketch.add(1, request_hash(1))
    assert (sketch.retry_number(2, request_hash(1)), sketch.retry_number(2, request_hash(2))) == (2, 0)


def test_failed_request_is_forgotten_after_ten_to_twenty_seconds() -> None:
    sketch = FailedRequestSketch(0)
    sketch.add(0, request_hash(1))
    assert sketch.retry_number(GENERATION_US - 1, request_hash(1)) == 1
    assert sketch.retry_number(GENERATION_US + 1, request_hash(1)) == 1
    assert sketch.retry_number(2 * GENERATION_US + 2, request_hash(1)) == 0
    later_sketch = FailedRequestSketch(0)
    later_sketch.add(0, request_hash(1))
    assert later_sketch.retry_number(5 * GENERATION_US, request_hash(1)) == 0


def test_first_attempts_are_rarely_taken_for_retries() -> None:
    sketch = FailedRequestSketch(0)
    for number in range(10 * GENERATION_SIZE):
        sketch.add(number, request_hash(number))
    false_retry_count = sum(
        sketch.retry_number(10 * GENERATION_SIZE, request_hash(10**9 + number)) > 0 for number in range(50_000)
    )
    assert false_retry_count / 50_000 < 3 * 0.00011
    assert sketch.retry_number(10 * GENERATION_SIZE, request_hash(10 * GENERATION_SIZE - 1)) == 1
    assert (
        sum(
            len(row)
            for generation in (sketch.current_generation, sketch.previous_generation)
            if generation
            for row in generation.rows
        )
        == 2 * failed_request_sketch.ROW_COUNT * failed_request_sketch.WIDTH
    )


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=60))
def test_retry_number_is_never_underestimated(steps: list[tuple[int, bool]]) -> None:
    sketch, counts = FailedRequestSketch(0), dict.fromkeys(range(6), 0)
    for number, unserved in steps:
        assert sketch.retry_number(1, request_hash(number)) >= counts[number]
        if unserved:
            sketch.add(1, request_hash(number))
            counts[number] += 1


def test_fingerprint_depends_on_the_boundaries_of_its_parts() -> None:
    assert fingerprint(b"ab", b"c") != fingerprint(b"a", b"bc")


class DetectorRun:
    """Passes arrivals and ends of requests to a detector, at given rates per second."""

    def __init__(self, shares: list[float] | None = None, in_whole_seconds: bool = False) -> None:
        self.detector = RetryStormDetector(0, shares or [1.0], 8_000_000, in_whole_seconds)
        self.now_us = 0
        self.changes: list[StormChange] = []
        self.event = RetryStormUpdated()

    def run(
        self,
        seconds: float,
        first_attempt_rate: float,
        retry_rate: float = 0.0,
        served_rate: float | None = None,
        tenant: int = 0,
        rejected_rate: float = 0.0,
    ) -> RetryStormUpdated:
        """Run for a number of seconds, and return the last event. Without `served_rate`, all arrivals are served."""
        served_rate = first_attempt_rate + retry_rate if served_rate is None else served_rate
        for _ in range(int(seconds * 1e6 / TICK_US)):
            self._feed(first_attempt_rate, lambda: self.detector.on_request(0, tenant))
            self._feed(retry_rate, lambda: self.detector.on_request(1, tenant))
            self._feed(served_rate, self.detector.on_served)
            self._feed(rejected_rate, lambda: self.detector.on_unserved(0))
            self._tick()
        return self.event

    @staticmethod
    def _feed(rate: float, observe: Callable[[], None]) -> None:
        for _ in range(int(rate * TICK_US / 1e6)):
            observe()

    def _tick(self) -> None:
        self.now_us += TICK_US
        report = self.detector.tick(self.now_us)
        self.event = report.event
        if report.changed:
            self.changes.append(StormChange(self.now_us / 1e6, self.event.active, report.evidence))


def test_storm_after_an_outage_opens_once_and_closes_when_it_is_over() -> None:
    run = DetectorRun()
    run.run(30, 100)
    run.run(5, 100, 200, served_rate=0)
    event = run.run(3, 100, 300, served_rate=150, rejected_rate=50)
    assert event.active and event.admission[0] == 1.0 and event.admission[2] < event.admission[1] < 0.2
    evidence = run.changes[0].evidence
    assert "retries" in str(evidence) and evidence.retry_share > 0.3
    assert "an outage ended" in str(run.detector.tick(run.now_us + TICK_US).evidence)
    run.run(MIN_CALM_US / 1e6 + 6, 100)
    assert [change.active for change in run.changes] == [True, False] and not run.event.active


def test_surge_of_first_attempts_opens_no_storm_though_rejected_ones_are_retried() -> None:
    run = DetectorRun()
    run.run(30, 100)
    run.run(10, 230, 150, served_rate=150)
    assert run.changes == []
    run.run(5, 100)
    run.run(5, 100, 200, served_rate=0)
    assert [change.active for change in run.changes] == [True]


def test_second_outage_soon_after_the_first_opens_a_storm_and_keeps_the_baseline() -> None:
    run = DetectorRun()
    run.run(30, 100)
    baseline_rate = run.detector.baseline_rate
    for _ in range(2):
        run.run(5, 100, 250, served_rate=0)
        run.run(8, 100)
    assert [change.active for change in run.changes] == [True, False, True, False]
    assert run.detector.baseline_rate == pytest.approx(baseline_rate, rel=0.05)


def test_recovering_pool_admits_more_and_shortens_retry_after() -> None:
    run = DetectorRun()
    run.run(30, 100)
    run.run(5, 100, 300, served_rate=0)
    early_event = run.run(2, 100, 300, served_rate=40, rejected_rate=60)
    late_event = run.run(2, 100, 300, served_rate=200)
    assert early_event.active and late_event.active
    assert (
        late_event.admission[1] > early_event.admission[1]
        and late_event.retry_after_windows_us[0] < early_event.retry_after_windows_us[0]
    )
    assert (
        early_event.retry_after_windows_us == sorted(early_event.retry_after_windows_us)
        and max(early_event.retry_after_windows_us) <= 8_000_000
    )


def test_retries_of_a_tenant_over_its_quota_are_limited_separately() -> None:
    run = DetectorRun([0.5, 0.5])
    run.run(30, 100)
    for _ in range(25):
        for _ in range(10):
            run.detector.on_request(0, 0)
        event = run.run(0.2, 50, 400, served_rate=80, tenant=1)
    assert event.active and event.tenant_admission[1] < 0.6 and event.tenant_admission[0] == 1.0


def test_very_little_traffic_opens_no_storm() -> None:
    run = DetectorRun()
    run.run(30, 5)
    run.detector.on_request(1, 0)
    assert run.run(10, 0).active is False and run.changes == []


# The balancer


def storm_harness(**changes: object) -> BalancerHarness:
    """Return the harness of a balancer with three upstreams and a maximum Retry-After of 8 s."""
    harness = BalancerHarness(settings(max_retry_after_us=8_000_000, **changes))
    harness.update_upstreams(upstreams(3))
    return harness


def test_storm_admits_first_attempts_and_a_share_of_the_retries() -> None:
    harness = storm_harness()
    harness.handle(RetryStormUpdated(True, [1.0, 0.25, 0.0], [1_000_000] * 3))
    first_attempts = [harness.arrive(READ) for _ in range(3)]
    assert all(harness.sends(first) for first in first_attempts)
    for first in first_attempts:
        harness.end(first, 0, Outcome.OK)
    first_retries = [harness.arrive(READ, retry_number=1) for _ in range(8)]
    assert sum(bool(harness.sends(retry)) for retry in first_retries) == 2
    later_retry = harness.arrive(READ, retry_number=7)
    answer = harness.answer(later_retry)
    assert isinstance(answer, Reject) and 100_000 <= answer.retry_after_us <= 1_000_000
    harness.handle(RetryStormUpdated())
    assert harness.sends(harness.arrive(READ, retry_number=7))


def test_retry_after_is_spread_over_the_window_even_in_whole_seconds() -> None:
    for in_whole_seconds in (False, True):
        harness = storm_harness()
        harness.handle(
            RetryStormUpdated(True, [1.0, 0.0], [4_000_000, 8_000_000], retry_after_in_seconds=in_whole_seconds)
        )
        retry_after_us = []
        for _ in range(200):
            answer = harness.answer(harness.arrive(READ, retry_number=1))
            assert isinstance(answer, Reject)
            retry_after_us.append(answer.retry_after_us)
        assert max(retry_after_us) <= 8_000_000 and max(retry_after_us) - min(retry_after_us) > 5_000_000
        max_in_a_second = max(
            sum(start <= wait_us < start + 1_000_000 for wait_us in retry_after_us)
            for start in range(0, 9_000_000, 1_000_000)
        )
        assert max_in_a_second < 60
        assert not in_whole_seconds or all(wait_us % 1_000_000 == 0 and wait_us > 0 for wait_us in retry_after_us)


def test_retry_of_a_client_adds_nothing_to_the_retry_budget_in_a_storm() -> None:
    def retry_count(retry_number: int) -> int:
        harness = BalancerHarness(settings(max_retry_after_us=8_000_000, hedging=False))
        harness.update_upstreams(upstreams(40))
        harness.handle(RetryStormUpdated(True, [1.0, 1.0], [1_000_000] * 2))
        count = 0
        for _ in range(60):
            request = harness.arrive(READ, retry_number=retry_number)
            for number in range(len(harness.sends(request))):
                harness.end(request, number, Outcome.RESET)
            count += max(0, len(harness.sends(request)) - 1)
            harness.advance(1_000_000)
        return count

    assert retry_count(1) <= 6 < 12 <= retry_count(0)


def test_only_retries_of_the_tenant_in_the_storm_are_limited() -> None:
    harness = storm_harness(tenants=[Tenant("a", 10.0), Tenant("b", 10.0)])
    harness.handle(RetryStormUpdated(True, [1.0, 1.0], [1_000_000] * 2, tenant_admission=[1.0, 0.0]))
    assert harness.sends(harness.arrive(READ, retry_number=1, tenant=0))
    assert not harness.sends(harness.arrive(READ, retry_number=1, tenant=1))
    assert harness.sends(harness.arrive(READ, retry_number=0, tenant=1))


# A sidecar in virtual time


def test_sidecar_detects_the_opening_and_closing_of_a_storm_after_an_outage(
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
        components = select_components(operator_settings.parse("[storm]\nenabled = true\n", {}))
        converter = await asyncio.start_server(convert, "127.0.0.1", 9000)
        stop = asyncio.Event()
        serving = asyncio.create_task(serve(config, stop, asyncio.Event(), components))
        served_counts = [0, 0]  # numbers of requests that were served by a first attempt, and by a retry

        async def send_with_retries(number: int) -> None:
            """Send a request until it is served, at most five times, each time with a new request id."""
            for retry_number in range(5):
                reader, writer = await asyncio.open_connection(*config.listen)
                writer.write(request("pay", f"r{number}-{retry_number}", b"file %d" % number, deadline_ms=1000))
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head:
                    served_counts[min(retry_number, 1)] += 1
                    return
                await asyncio.sleep(0.3)

        async def traffic() -> None:
            async with asyncio.TaskGroup() as group:
                for number in range(700):
                    group.create_task(send_with_retries(number))
                    await asyncio.sleep(0.03)

        traffic_task = asyncio.create_task(traffic())
        await asyncio.sleep(8.0)
        converter.close()
        for sock in [bound for bound in loop.network.sockets if bound.local_address == ("127.0.0.1", 9000)]:
            sock.close()
        await asyncio.sleep(4.0)
        await asyncio.start_server(convert, "127.0.0.1", 9000)
        await traffic_task
        stop.set()
        await serving
        return served_counts

    caplog.set_level("WARNING")
    served_by_first_attempt, served_by_retry = simulate(1, main)
    lines = [record.getMessage() for record in caplog.records if "retry storm" in record.getMessage()]
    assert ["opens" in line for line in lines] == [True, False]
    assert (
        "are retries" in lines[0] and served_by_first_attempt > 400 and served_by_first_attempt + served_by_retry < 700
    )
