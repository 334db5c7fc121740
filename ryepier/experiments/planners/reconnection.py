"""Benchmark `planner-reconnect`: all forwarders reconnect to a restarted planner, spread over time.

Many real forwarders in this process are connected to a listener that records connections. The listener closes abruptly
and restarts after 50 ms or 2 s. The claims require that all forwarders reconnect within the longest backoff, and limit
the share of the forwarders that reconnects within any tenth of a second.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass

import numpy as np

from ryepier.assembly.planning import make_machine
from ryepier.emulator.process import monotonic_us
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.plan.forwarder import MAX_BACKOFF_S, Forwarder, Settings, SidecarInterface
from ryepier.plan.messages import Heartbeat, Term, encode
from ryepier.plan.plan_follower import AcceptanceRules

FLEET_SIZES = {Scale.SMALL: (50, 500), Scale.FULL: (50, 1000)}  # numbers of forwarders
DOWN_TIMES_S = (0.05, 2.0)  # times between the crash and the restart of the planner
CONNECTION_TIMEOUT_S = 8.0  # longest wait for all forwarders to connect
SETTLING_TIME_S = 1.0  # time between the last of the first connections and the crash
CLOSING_TIME_S = 0.1  # time allowed for aborted connections to close
POLL_INTERVAL_S = 0.02
WINDOW_S = 0.1  # length of the window in which the peak of the reconnections is determined
HEARTBEAT_INTERVAL_S = 0.5
MAX_RECONNECTION_S = MAX_BACKOFF_S + 0.5  # the longest backoff, and 0.5 s to connect
MAX_PEAK_SHARE = 0.3  # largest allowed share of the forwarders that reconnects within `WINDOW_S`
HOST = "127.0.0.1"
BACKLOG = 4096
READ_BYTES = 65_536
UNANSWERED_AFTER_US = 100_000  # time after which forwarders count an attempt without an answer as failed
US_PER_S = 1e6


class PlannerListener:
    """Takes the place of a planner: accepts connections, records when they were made, and sends heartbeats."""

    def __init__(self) -> None:
        """Start without a port; the first `listen` chooses a free one, which later calls reuse."""
        self.port = 0
        self.connected_at_us: list[int] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen and accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and abort all connections, as the end of a process does."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connected_at_us.append(monotonic_us())
        self._writers.add(writer)
        heartbeat_task = asyncio.create_task(self._send_heartbeats(writer))
        try:
            with contextlib.suppress(ConnectionError):
                while await reader.read(READ_BYTES):
                    pass
        finally:
            heartbeat_task.cancel()
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _send_heartbeats(writer: asyncio.StreamWriter) -> None:
        """Send heartbeats until cancelled; without them, forwarders would consider the planner hung and disconnect."""
        while True:
            writer.write(encode(Heartbeat(Term(1, "a"), True, 0)))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class ReconnectionResult:
    """How the forwarders of a fleet reconnected to their planner."""

    reconnected_share: float  # share of the fleet that reconnected before the timeout
    last_reconnection_s: float  # time from the restart to the last reconnection
    peak_share: float  # largest share of the fleet that reconnected within `WINDOW_S`

    def as_figures(self, fleet_size: int, down_s: float) -> dict[str, float]:
        """Return the figures of result.json."""
        suffix = f"{fleet_size}_down_{down_s:g}s"
        return {
            f"back_{suffix}": self.reconnected_share,
            f"back_after_s_{suffix}": self.last_reconnection_s,
            f"peak_share_{suffix}": self.peak_share,
        }


def summarize_connections(connected_at_us: list[int], since_us: int, fleet_size: int) -> ReconnectionResult:
    """Return how a fleet reconnected after a restart at `since_us`, from the times of its connections in any order."""
    if not connected_at_us:
        return ReconnectionResult(0.0, float("inf"), 1.0)
    times_s = (np.sort(connected_at_us) - since_us) / US_PER_S
    counts_in_window = np.searchsorted(times_s, times_s + WINDOW_S) - np.arange(len(times_s))
    return ReconnectionResult(len(times_s) / fleet_size, float(times_s[-1]), float(counts_in_window.max()) / fleet_size)


def _make_forwarders(fleet_size: int, port: int, seed: int) -> list[Forwarder]:
    return [
        Forwarder(
            Settings(
                f"f{index}",
                [(HOST, port)],
                AcceptanceRules(fleet_size=fleet_size),
                report_interval_s=HEARTBEAT_INTERVAL_S,
            ),
            SidecarInterface(dict, lambda event: None, [UNANSWERED_AFTER_US], 1),
            make_machine(f"{seed} f{index}"),
        )
        for index in range(fleet_size)
    ]


async def restart_planner(fleet_size: int, down_s: float, seed: int) -> ReconnectionResult:
    """Crash and restart a planner, and return how its forwarders reconnect."""
    planner = PlannerListener()
    await planner.listen()
    forwarders = _make_forwarders(fleet_size, planner.port, seed)
    for forwarder in forwarders:
        forwarder.start()
    await _wait_for_connections(planner, fleet_size)
    await asyncio.sleep(SETTLING_TIME_S)
    planner.crash()
    planner.connected_at_us.clear()
    await asyncio.sleep(down_s)
    restarted_at_us = monotonic_us()
    await planner.listen()
    await _wait_for_connections(planner, fleet_size)
    for forwarder in forwarders:
        forwarder.stop()
    planner.crash()
    await asyncio.sleep(CLOSING_TIME_S)
    return summarize_connections(planner.connected_at_us, restarted_at_us, fleet_size)


async def _wait_for_connections(planner: PlannerListener, count: int) -> None:
    """Wait until `count` connections were made or the timeout has passed."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CONNECTION_TIMEOUT_S):
            while len(planner.connected_at_us) < count:
                await asyncio.sleep(POLL_INTERVAL_S)


def measure(trial: TrialConfig) -> Measurement:
    """Restart a planner once for each fleet size and down time, and measure the reconnections."""
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
    figures: dict[str, float] = {}
    claims = []
    for size in FLEET_SIZES[trial.scale]:
        for down_s in DOWN_TIMES_S:
            result = asyncio.run(restart_planner(size, down_s, trial.seed))
            figures |= result.as_figures(size, down_s)
            claim_name = f"share of {size} that came back after {down_s:g} s away"
            claims.append(Claim(claim_name, result.reconnected_share, "==", 1.0))
        peak_claim_name = f"greatest share of {size} that came within {WINDOW_S:g} s"
        claims += [
            Claim(f"time until all {size} are back (s)", result.last_reconnection_s, "<=", MAX_RECONNECTION_S),
            Claim(peak_claim_name, result.peak_share, "<=", MAX_PEAK_SHARE),
        ]
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="planner-reconnect",
    description="how forwarders' connections come back after a planner's death",
    measure=measure,
    seeded_faults=("herd",),
)
