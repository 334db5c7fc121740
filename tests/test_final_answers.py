"""Every request gets an answer by its deadline, in any order of faults.

The faults hit sidecar processes with open and partial requests: a configuration reload, a drained converter, a
converter that resets connections as soon as it has accepted them, and SIGTERM.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from tests.acceptance import (
    ANSWER_TOLERANCE_S,
    DEADLINE_S,
    SERVED_STATUS,
    Agent,
    Converter,
    Exchange,
    RecordingClient,
    RequestRecord,
    SidecarProcess,
    unanswered_requests,
)
from tests.network_peers import OK, Upstream, endpoint_entry, endpoint_list

pytestmark = pytest.mark.alone

FAULTS = ("reload", "drain", "kill", "pieces")
FAULTS_BEFORE_SHUTDOWN = ("reload", "drain", "kill")
BODY = b"a file in two halves"
# Requests are split this many bytes after the start of the head and before the end of the body.
FIRST_PIECE_LENGTH, LAST_PIECE_LENGTH = 30, 12
FAULT_INTERVAL_S = 0.03  # time between two faults; requests stay open for longer than this
WORK_S = 0.06  # time in which a converter handles a request
CLASS_NAMES = ("read", "pay", "mark")
CONCURRENT_SIDECARS = 4
RUN_TIMEOUT_S = 60.0
# In a single run of an order, the seeded fault may hit no open request.
SEEDED_FAULT_REPEATS = 4
MIN_REQUESTS_PER_CONVERTER = 3  # sent to each faulty converter before an order of faults is applied
MIN_REQUESTS_PER_ORDER, MIN_SERVED_PER_ORDER = 10, 5  # below these numbers the check would not be meaningful

# Faults of tests/seeded_sidecar_faults.py, each with an order in which it leaves a request without an answer
SEEDED_FAULTS = [
    ("forget_open_on_reload", ("drain", "reload", "pieces", "kill")),
    ("forget_open_on_drain", ("pieces", "drain", "kill", "reload")),
    ("forget_on_reset", ("kill", "reload", "pieces", "drain")),
    ("ignore_pieces", ("drain", "kill", "reload", "pieces")),
    ("answer_late", ("reload", "drain", "kill", "pieces")),
    ("close_partial_on_shutdown", ("pieces", "reload", "stop", "drain", "kill")),
]


async def respond_after_work(
    upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Script that responds after WORK_S."""
    await asyncio.sleep(WORK_S)
    writer.write(OK)


class Scenario:
    """Three converters, a discovery agent and a client of one sidecar; each fault is a method."""

    def __init__(self) -> None:
        self.client = RecordingClient()
        self.steady_converter, self.draining_converter, self.crashing_converter = (
            Converter(respond_after_work) for _ in range(3)
        )
        self.agent = Agent()
        self.agents: list[Agent] = []
        self.revision = 1
        self.generation = 0  # counts the replacements of the draining and the crashing converter
        self.drain_state = "active"  # listed state of the draining converter
        self.partial_exchanges: list[Exchange] = []

    async def start(self) -> None:
        for converter in (self.steady_converter, self.draining_converter, self.crashing_converter):
            await converter.start()
        await self.start_new_agent()

    def stop(self) -> None:
        for converter in (self.steady_converter, self.draining_converter, self.crashing_converter):
            converter.crash()
        for agent in self.agents:
            agent.stop()

    def endpoint_list(self) -> dict[str, Any]:
        return endpoint_list(
            endpoint_entry("steady", self.steady_converter.port),
            endpoint_entry(f"draining-{self.generation}", self.draining_converter.port, self.drain_state),
            endpoint_entry(f"dying-{self.generation}", self.crashing_converter.port),
            rev=self.revision,
        )

    async def start_new_agent(self) -> None:
        self.agent = Agent(initial_list=self.endpoint_list())
        self.agents.append(self.agent)
        await self.agent.start()

    async def replace_converters(self, sidecar: SidecarProcess) -> None:
        """Replace the draining and the crashing converter by new ones, and wait until the sidecar uses them."""
        old_converters = self.draining_converter, self.crashing_converter
        self.draining_converter, self.crashing_converter = Converter(respond_after_work), Converter(respond_after_work)
        await self.draining_converter.start()
        await self.crashing_converter.start()
        self.generation += 1
        self.revision += 1
        self.drain_state = "active"
        self.agent.initial_list = self.endpoint_list()
        self.agent.send_list(self.agent.initial_list)
        for converter in old_converters:
            converter.crash()
        await self.use_faulty_converters(sidecar)

    async def use_faulty_converters(self, sidecar: SidecarProcess) -> None:
        """Make the sidecar send enough requests to both faulty converters that it then sends them several at once."""
        async with asyncio.timeout(RUN_TIMEOUT_S):
            while (
                min(len(self.draining_converter.requests), len(self.crashing_converter.requests))
                < MIN_REQUESTS_PER_CONVERTER
            ):
                await self.client.fetch(sidecar, "read")
                await asyncio.sleep(FAULT_INTERVAL_S / 2)

    async def send_burst(self, sidecar: SidecarProcess) -> None:
        """Send two complete requests of each class."""
        for class_name in CLASS_NAMES * 2:
            await self.client.fetch(sidecar, class_name)

    async def reload_configuration(self, sidecar: SidecarProcess) -> None:
        await self.start_new_agent()
        sidecar.reload(self.agent)

    async def drain_converter(self, sidecar: SidecarProcess) -> None:
        self.drain_state = "leaving"
        self.revision += 1
        self.agent.initial_list = self.endpoint_list()
        if self.agent.writers:  # otherwise the next watch begins with the new list
            self.agent.send_list(self.agent.initial_list)

    async def kill_converter(self, sidecar: SidecarProcess) -> None:
        self.crashing_converter.kill_at_next_connection()

    async def stop_sidecar(self, sidecar: SidecarProcess) -> None:
        sidecar.stop()

    async def send_first_pieces(self, sidecar: SidecarProcess) -> None:
        """Send the first piece of one request per class, each split in its head and, if it has a body, in its body."""
        for class_name in CLASS_NAMES:
            body = b"" if class_name == "read" else BODY
            exchange = await self.client.send_first_piece(sidecar, class_name, [FIRST_PIECE_LENGTH], body)
            self.split_body(exchange, len(body))
            self.partial_exchanges.append(exchange)

    @staticmethod
    def split_body(exchange: Exchange, body_length: int) -> None:
        """Split the unsent part of a request in its body, or in the head if it has no body."""
        (unsent,) = exchange.unsent
        split_offset = len(unsent) - (LAST_PIECE_LENGTH if body_length else 2)
        exchange.unsent = [unsent[:split_offset], unsent[split_offset:]]

    def send_next_pieces(self) -> None:
        """Send the next piece of each partial request, unless it is the last piece."""
        for exchange in self.partial_exchanges:
            if len(exchange.unsent) > 1:
                exchange.send_next()

    def send_last_pieces(self) -> None:
        """Send the rest of the partial requests."""
        for exchange in self.partial_exchanges:
            self.client.finish(exchange)
        self.partial_exchanges.clear()

    async def run(self, sidecar: SidecarProcess, order: Sequence[str]) -> None:
        """Apply the faults in this order. Until the shutdown begins, requests are open at each fault."""
        faults: dict[str, Callable[[SidecarProcess], Any]] = {
            "reload": self.reload_configuration,
            "drain": self.drain_converter,
            "kill": self.kill_converter,
            "pieces": self.send_first_pieces,
            "stop": self.stop_sidecar,
        }
        is_stopped = False
        for name in order:
            if not is_stopped:
                await self.send_burst(sidecar)
            await faults[name](sidecar)
            is_stopped |= name == "stop"
            await asyncio.sleep(FAULT_INTERVAL_S)
            self.send_next_pieces()
        await asyncio.sleep(FAULT_INTERVAL_S)
        self.send_last_pieces()
        if not is_stopped:
            await self.send_burst(sidecar)


async def run_orders(directory: Path, orders: Sequence[Sequence[str]], seeded_fault: str = "") -> list[RequestRecord]:
    """Run the orders one after another with one sidecar and return all requests. Only the last may stop the sidecar."""
    scenario = Scenario()
    await scenario.start()
    sidecar = SidecarProcess(directory, "sidecar", scenario.agent, scenario.endpoint_list(), seeded_fault)
    try:
        await sidecar.start()
        await scenario.use_faulty_converters(sidecar)
        for order_index, order in enumerate(orders):
            if order_index:
                await scenario.replace_converters(sidecar)
            await scenario.run(sidecar, order)
        await scenario.client.wait_until_ended()
        if "stop" in orders[-1]:
            assert await sidecar.wait_until_ended() == 0
    finally:
        sidecar.kill()
        scenario.stop()
    return scenario.client.requests


def stop_orders() -> list[tuple[str, ...]]:
    """Return all orders of FAULTS_BEFORE_SHUTDOWN, each with "pieces" at its start and "stop" inserted.

    The position of "stop" varies from order to order.
    """
    orders = []
    for order_index, order in enumerate(itertools.permutations(FAULTS_BEFORE_SHUTDOWN)):
        stop_position = order_index % (len(order) + 1)
        orders.append(("pieces", *order[:stop_position], "stop", *order[stop_position:]))
    return orders


def orders_from(first_fault: str) -> list[tuple[str, ...]]:
    """Return the orders of all faults except the shutdown that begin with `first_fault`."""
    return [order for order in itertools.permutations(FAULTS) if order[0] == first_fault]


async def run_all(directory: Path) -> dict[str, list[RequestRecord]]:
    """Run all orders, with a few sidecars at a time to limit the load, and return the requests of each run."""
    semaphore = asyncio.Semaphore(CONCURRENT_SIDECARS)

    async def run(
        name: str, orders: Sequence[Sequence[str]], seeded_fault: str = ""
    ) -> tuple[str, list[RequestRecord]]:
        async with semaphore:
            return name, await run_orders(directory / name, orders, seeded_fault)

    runs = [run(first_fault, orders_from(first_fault)) for first_fault in FAULTS]
    runs += [run("-".join(order), [order]) for order in stop_orders()]
    runs += [run(seeded_fault, [order] * repeat_count(order), seeded_fault) for seeded_fault, order in SEEDED_FAULTS]
    async with asyncio.timeout(RUN_TIMEOUT_S):
        return dict(await asyncio.gather(*runs))


def repeat_count(order: Sequence[str]) -> int:
    """Return how often to run an order with a seeded fault; only once if it stops the sidecar."""
    return 1 if "stop" in order else SEEDED_FAULT_REPEATS


@pytest.fixture(scope="module")
def requests_by_run(tmp_path_factory: pytest.TempPathFactory) -> dict[str, list[RequestRecord]]:
    """Return the requests of all runs, by the name of the run."""
    return asyncio.run(run_all(tmp_path_factory.mktemp("unanswered")))


def check_request_counts(requests: Sequence[RequestRecord], order_count: int) -> None:
    """Check that enough requests were sent and served for the other checks to be meaningful."""
    assert len(requests) >= MIN_REQUESTS_PER_ORDER * order_count
    assert sum(record.status == SERVED_STATUS for record in requests) >= MIN_SERVED_PER_ORDER * order_count


@pytest.mark.parametrize("first_fault", FAULTS)
def test_every_request_is_answered_in_time_in_each_order_of_faults(
    first_fault: str, requests_by_run: dict[str, list[RequestRecord]]
) -> None:
    check_request_counts(requests_by_run[first_fault], len(orders_from(first_fault)))
    assert unanswered_requests(requests_by_run[first_fault]) == []


@pytest.mark.parametrize("order", stop_orders(), ids="-".join)
def test_every_request_is_answered_in_time_when_shutdown_begins_between_its_pieces(
    order: tuple[str, ...], requests_by_run: dict[str, list[RequestRecord]]
) -> None:
    requests = requests_by_run["-".join(order)]
    check_request_counts(requests, 1)
    assert unanswered_requests(requests) == []


@pytest.mark.parametrize(
    ("seeded_fault", "order"), SEEDED_FAULTS, ids=[seeded_fault for seeded_fault, _ in SEEDED_FAULTS]
)
def test_check_finds_requests_that_a_seeded_fault_leaves_unanswered(
    seeded_fault: str, order: tuple[str, ...], requests_by_run: dict[str, list[RequestRecord]]
) -> None:
    check_request_counts(requests_by_run[seeded_fault], repeat_count(order))  # the sidecar still serves requests
    assert unanswered_requests(requests_by_run[seeded_fault])


@pytest.mark.parametrize(
    ("ended_at", "is_unanswered"),
    [
        (None, True),
        (DEADLINE_S + ANSWER_TOLERANCE_S + 0.01, True),
        (DEADLINE_S + ANSWER_TOLERANCE_S - 0.01, False),
        (0.0, False),
    ],
)
def test_request_counts_as_unanswered_if_its_answer_is_late_or_missing(
    ended_at: float | None, is_unanswered: bool
) -> None:
    request = RequestRecord("sidecar", "1", ended_at=ended_at)
    assert unanswered_requests([request]) == ([request] if is_unanswered else [])
