"""How forwarders come back to a planner that died: spread over time, and all of them.

The forwarders are the real part of a sidecar, many in one process; the planner is a listener that counts connections.
It is away for a moment, and for some seconds.
"""

from __future__ import annotations

import asyncio

import numpy as np

from ryepier.assembly.planning import make_machine
from ryepier.emulator.process import monotonic_us
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, TrialConfig
from ryepier.plan.forwarder import MAX_BACKOFF_S, Forwarder, Settings, Sidecar
from ryepier.plan.messages import Heartbeat, Term, encode
from ryepier.plan.plan_follower import AcceptanceRules

SIZES = {"small": (50, 500), "full": (50, 1000)}
DOWN_S = (0.05, 2.0)
BACK_WITHIN_S = 8.0
SETTLE_S = 1.0
WINDOW_S = 0.1
BEAT_S = 0.5


class Listener:
    """A planner, as far as connections go."""

    def __init__(self) -> None:
        self.port = 0
        self.times_us: list[int] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=4096)
        self.port = self.server.sockets[0].getsockname()[1]

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        """Whoever says nothing is taken to hang, and left."""
        while True:
            writer.write(encode(Heartbeat(Term(1, "a"), True, 0)))
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.times_us.append(monotonic_us())
        self.writers.add(writer)
        beating = asyncio.create_task(self.beat(writer))
        try:
            while await reader.read(65_536):
                pass
        except ConnectionError:
            pass
        finally:
            beating.cancel()
            self.writers.discard(writer)
            writer.close()

    def die(self) -> None:
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def come_back(size: int, down_s: float, seed: int) -> dict[str, float]:
    """One death: seconds until all are back, and the greatest share that came within one window."""
    planner = Listener()
    await planner.listen()
    made = [
        Forwarder(
            Settings(f"f{i}", [("127.0.0.1", planner.port)], AcceptanceRules(fleet=size), report_s=BEAT_S),
            Sidecar(dict, lambda event: None, [100_000], 1),
            make_machine(f"{seed} f{i}"),
        )
        for i in range(size)
    ]
    for one in made:
        one.start()
    await until_all(planner, size)
    await asyncio.sleep(SETTLE_S)
    planner.die()
    planner.times_us.clear()
    await asyncio.sleep(down_s)
    begun_us = monotonic_us()
    await planner.listen()
    await until_all(planner, size)
    for one in made:
        one.stop()
    planner.die()
    await asyncio.sleep(0.1)
    times_s = (np.sort(planner.times_us) - begun_us) / 1e6
    if not len(times_s):
        return {"back": 0.0, "back_after_s": float("inf"), "peak_share": 1.0}
    inside = np.searchsorted(times_s, times_s + WINDOW_S) - np.arange(len(times_s))
    return {"back": len(times_s) / size, "back_after_s": float(times_s[-1]), "peak_share": float(inside.max()) / size}


async def until_all(planner: Listener, size: int) -> None:
    try:
        async with asyncio.timeout(BACK_WITHIN_S):
            while len(planner.times_us) < size:
                await asyncio.sleep(0.02)
    except TimeoutError:
        pass  # how many came is what is measured


def perform(trial: TrialConfig) -> Measurement:
    """Each size and each time away."""
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()
    figures: dict[str, float] = {}
    claims = []
    for size in SIZES[trial.scale]:
        for down_s in DOWN_S:
            row = asyncio.run(come_back(size, down_s, trial.seed))
            figures |= {f"{name}_{size}_down_{down_s:g}s": value for name, value in row.items()}
            claims.append(Claim(f"share of {size} that came back after {down_s:g} s away", row["back"], "==", 1.0))
        claims += [
            Claim(f"time until all {size} are back (s)", row["back_after_s"], "<=", MAX_BACKOFF_S + 0.5),
            Claim(f"greatest share of {size} that came within {WINDOW_S:g} s", row["peak_share"], "<=", 0.3),
        ]
    return Measurement(claims, figures)


EXPERIMENTS = (
    Benchmark("planner-reconnect", "how forwarders' connections come back after a planner's death", perform, ("herd",)),
)
