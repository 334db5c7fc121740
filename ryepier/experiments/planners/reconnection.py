"""`planner-reconnect`: do forwarders return to a planner that died spread over time, and all of them?

Forwarders as in a sidecar, many in one process, are connected to a listener that counts connections. It dies and is
back after a moment, or after two seconds. Claims: all forwarders return, within the longest backoff, and no more than a
part of them in any tenth of a second.
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

FLEET_SIZES = {Scale.SMALL: (50, 500), Scale.FULL: (50, 1000)}  # forwarders
DOWN_TIMES_S = (0.05, 2.0)
RETURN_TIMEOUT_S = 8.0
SETTLE_S = 1.0
CLOSE_S = 0.1
POLL_INTERVAL_S = 0.02
WINDOW_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
MAX_RETURN_S = MAX_BACKOFF_S + 0.5  # time to connect
MAX_PEAK_SHARE = 0.3
HOST = "127.0.0.1"
BACKLOG = 4096
READ_BYTES = 65_536
UNANSWERED_AFTER_US = 100_000
US_PER_S = 1e6


class PlannerListener:
    """A planner as far as connections go: it accepts them, sends heartbeats, and records when they came."""

    def __init__(self) -> None:
        """Start with any free port; later lives keep it."""
        self.port = 0
        self.connected_us: list[int] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """Stop listening and abort all connections, as the end of a process does."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connected_us.append(monotonic_us())
        self._writers.add(writer)
        heartbeats = asyncio.create_task(self._send_heartbeats(writer))
        try:
            with contextlib.suppress(ConnectionError):
                while await reader.read(READ_BYTES):
                    pass
        finally:
            heartbeats.cancel()
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _send_heartbeats(writer: asyncio.StreamWriter) -> None:
        """Send heartbeats, without which forwarders would leave a planner that seems to hang."""
        while True:
            writer.write(encode(Heartbeat(Term(1, "a"), True, 0)))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class Return:
    """How a fleet returned to its planner."""

    returned_share: float
    last_after_s: float
    peak_share: float  # the largest share within `WINDOW_S`

    def as_figures(self, fleet_size: int, down_s: float) -> dict[str, float]:
        """Return the figures of result.json."""
        suffix = f"{fleet_size}_down_{down_s:g}s"
        return {
            f"back_{suffix}": self.returned_share,
            f"back_after_s_{suffix}": self.last_after_s,
            f"peak_share_{suffix}": self.peak_share,
        }


def summarize(connected_us: list[int], since_us: int, fleet_size: int) -> Return:
    """Return the shares and times of connections that came after a restart."""
    if not connected_us:
        return Return(0.0, float("inf"), 1.0)
    times_s = (np.sort(connected_us) - since_us) / US_PER_S
    in_window = np.searchsorted(times_s, times_s + WINDOW_S) - np.arange(len(times_s))
    return Return(len(times_s) / fleet_size, float(times_s[-1]), float(in_window.max()) / fleet_size)


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


async def restart_planner(fleet_size: int, down_s: float, seed: int) -> Return:
    """Let a planner die once, and return how its forwarders come back."""
    planner = PlannerListener()
    await planner.listen()
    forwarders = _make_forwarders(fleet_size, planner.port, seed)
    for forwarder in forwarders:
        forwarder.start()
    await _wait_for_connections(planner, fleet_size)
    await asyncio.sleep(SETTLE_S)
    planner.die()
    planner.connected_us.clear()
    await asyncio.sleep(down_s)
    restarted_us = monotonic_us()
    await planner.listen()
    await _wait_for_connections(planner, fleet_size)
    for forwarder in forwarders:
        forwarder.stop()
    planner.die()
    await asyncio.sleep(CLOSE_S)
    return summarize(planner.connected_us, restarted_us, fleet_size)


async def _wait_for_connections(planner: PlannerListener, count: int) -> None:
    """Wait until so many connections came, or a timeout has passed."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(RETURN_TIMEOUT_S):
            while len(planner.connected_us) < count:
                await asyncio.sleep(POLL_INTERVAL_S)


def measure(trial: TrialConfig) -> Measurement:
    """Restart the planner of each fleet after each time."""
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
    figures: dict[str, float] = {}
    claims = []
    for size in FLEET_SIZES[trial.scale]:
        for down_s in DOWN_TIMES_S:
            found = asyncio.run(restart_planner(size, down_s, trial.seed))
            figures |= found.as_figures(size, down_s)
            name = f"share of {size} that came back after {down_s:g} s away"
            claims.append(Claim(name, found.returned_share, "==", 1.0))
        peak_name = f"greatest share of {size} that came within {WINDOW_S:g} s"
        claims += [
            Claim(f"time until all {size} are back (s)", found.last_after_s, "<=", MAX_RETURN_S),
            Claim(peak_name, found.peak_share, "<=", MAX_PEAK_SHARE),
        ]
    return Measurement(claims, figures)


EXPERIMENT = Benchmark(
    name="planner-reconnect",
    question="how forwarders' connections come back after a planner's death",
    measure=measure,
    seeded_faults=("herd",),
)
