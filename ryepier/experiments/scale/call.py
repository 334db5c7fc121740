"""`scale-call`: what a call through a sidecar costs, by how many converters it knows and how often it is called.

A real sidecar is called open-loop, beside the converters themselves, which answer at once; a separate
short run under a profile tells where the time goes, and the module alone, in virtual time, what its decisions cost
where nothing else has the core and its caches. CPU is the figure to go by. Times come with how long the sidecar
waited for a core: on a machine that others use they are the machine's.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import pstats
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy as np

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Balancer
from ryepier.emulator import draws, files
from ryepier.emulator.errors import HarnessError
from ryepier.emulator.harness import SIDECAR
from ryepier.emulator.loopback import find_network
from ryepier.emulator.process import CONVERTER_PORT, DISCOVERY_PORT, SIDECAR_PORT, monotonic_us
from ryepier.emulator.world import Effect, World
from ryepier.experiments import seeded_faults
from ryepier.experiments.core.contract import Benchmark, Claim, Measurement, Scale, TrialConfig
from ryepier.experiments.core.machine import Needs, check_needs, this_machine
from ryepier.experiments.core.processes import wait_until_listening
from ryepier.experiments.core.worlds import load
from ryepier.experiments.scale import lightweight, slopes
from ryepier.experiments.scale.lightweight_converters import ConvertersConfig, make_list
from ryepier.experiments.scale.machine_load import finite_figures, load_figures

KNOWN = (30, 150, 400, 1600)
DESIGN_KNOWN = 1600
DESIGN_PER_S = 369
ADDED_BUDGET_MS = 0.33  # for 99 in 100
ENDS = (30, 1600)  # of the numbers known; at the others the small scale plays the first rate alone
# A rate, how long it is called before that is measured, and how long it is. A sidecar opens upstreams by its rate over
# 5 s: at the small scale it has opened half of them, and the full one waits for all.
Phase = tuple[int, float, float]
PHASES: dict[Scale, tuple[Phase, ...]] = {
    Scale.SMALL: ((DESIGN_PER_S, 2.5, 2.0), (2 * DESIGN_PER_S, 0.8, 1.2), (4 * DESIGN_PER_S, 0.8, 1.2)),
    Scale.FULL: ((DESIGN_PER_S, 15.0, 20.0), (2 * DESIGN_PER_S, 15.0, 20.0), (4 * DESIGN_PER_S, 15.0, 20.0)),
}
PROFILED = (30, 1600)
PROFILED_S = {Scale.SMALL: 2.0, Scale.FULL: 20.0}
PROFILED_FUNCTIONS = 8
OURS = ("ryepier/balancer", "ryepier/sidecar")
ENDS_WITHIN_S = 15.0
START_US = 1_000_000_000  # where virtual time begins: a clock that has been running
ALONE_CALLS = 100  # in a part
ALONE_PARTS, ALONE_WARM_PARTS = 8, 4  # the first ones open the upstreams
ALONE_ANSWER_US = 1_000
BYTES_NEEDED = 1_000_000_000
MOST_LINES = 400  # of a client to one target
LATE_CALLS = 8  # that go out at once where the client is late


@dataclass(slots=True)
class Sidecar:
    """One under test, and who calls it."""

    known: int
    process: subprocess.Popen[bytes]
    target: Target

    def cpu_ns(self) -> tuple[int, int]:
        """What it has used, and for how long it has waited for a core. Its one thread does all."""
        used, waited, _ = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return int(used), int(waited)


class Line(asyncio.Protocol):
    """A client's connection; one call at a time."""

    def __init__(self, target: Target, begun_us: int) -> None:
        self.target = target
        self.begun_us = begun_us
        self.transport: asyncio.Transport | None = None
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.target.lines += 1
        self.send(self.begun_us)

    def send(self, begun_us: int) -> None:
        assert self.transport is not None
        self.begun_us = begun_us
        self.target.number += 1
        self.transport.write(self.target.request % self.target.number)

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or len(body) < body_length(head):
            return
        self.data = b""
        self.target.ended(self.begun_us, served=head[9:12] == b"200")
        self.target.idle.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.target.lines -= 1
        if self in self.target.idle:
            self.target.idle.remove(self)


def body_length(head: bytes) -> int:
    """As an answer's head has it. Pure."""
    _, found, rest = head.lower().partition(b"content-length:")
    return int(rest.split(b"\r\n")[0]) if found else 0


@dataclass(slots=True)
class Target:
    """Whom a client calls, open-loop: a call is sent when it is due, whatever became of the ones before."""

    address: tuple[str, int]
    request: bytes
    idle: list[Line] = field(default_factory=list)
    lines: int = 0
    number: int = 0
    due: int = 0  # calls of this phase
    served: int = 0
    took_us: list[int] = field(default_factory=list)
    dials: set[asyncio.Task[None]] = field(default_factory=set)

    def ended(self, begun_us: int, served: bool) -> None:
        self.served += served
        self.took_us.append(monotonic_us() - begun_us)

    def forget(self) -> None:
        self.due = self.served = 0
        self.took_us = []

    def call(self, begun_us: int) -> None:
        self.due += 1
        if self.idle:
            self.idle.pop().send(begun_us)
        elif self.lines + len(self.dials) < MOST_LINES:
            task = asyncio.get_running_loop().create_task(self.dial(begun_us))
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)

    async def dial(self, begun_us: int) -> None:
        with contextlib.suppress(OSError):  # it counts as not served
            await asyncio.get_running_loop().create_connection(lambda: Line(self, begun_us), *self.address)

    async def run(self, rate_per_s: float, for_s: float, random: np.random.Generator) -> None:
        """Calls at Poisson times. Each is timed from when it really went out: a loop's sleep ends up to 1 ms late."""
        at_us = float(monotonic_us())
        until_us = at_us + for_s * 1e6
        while (at_us := at_us + random.exponential(1e6 / rate_per_s)) < until_us:
            delay_s = (at_us - monotonic_us()) / 1e6
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            elif self.due % LATE_CALLS == 0:
                await asyncio.sleep(0)  # hazard: a client that is late must still read what has come
            self.call(monotonic_us())


def settings_of(
    seed: int, known: int, listen: tuple[str, int], agent: tuple[str, int], converters: tuple[str, int]
) -> str:
    """The platform's configuration of one sidecar, as JSON."""
    world: World = load("steady")
    world = msgspec.structs.replace(
        world,
        sidecars=msgspec.structs.replace(world.sidecars, count=1),
        clients=msgspec.structs.replace(world.clients, rate_per_s=float(DESIGN_PER_S)),
        classes=[msgspec.structs.replace(world.classes[0], share=1.0, effect=Effect.IDEMPOTENT)],
    )
    settings = files.sidecar_settings(world, 0)
    settings["bounds"]["conn-idle"] = 60_000_000  # else connections would be made anew, which is another cost
    return json.dumps(
        {
            "name": f"n{known}",
            "listen": f"{listen[0]}:{listen[1]}",
            "discovery": f"{agent[0]}:{agent[1]}",
            "seed": f"{seed * 1000 + known:x}",
            "known": make_list(known, converters),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
            "settings": settings,
        }
    )


def request_text(name: str) -> bytes:
    """What a client sends; its number comes into it."""
    return (
        f"GET /{name}/1 HTTP/1.1\r\nHost: x\r\nX-Request-Id: r-%d\r\nX-Class: {name}\r\n"
        "X-Tenant: north\r\nX-Deadline-Ms: 1000\r\n\r\n"
    ).encode()


REQUEST = request_text("convert-file")


@dataclass(frozen=True, slots=True)
class Play:
    """The addresses of one run, and how its sidecars are started."""

    network: int
    folder: Path
    seed: int

    @property
    def converters(self) -> tuple[str, int]:
        return f"127.{self.network}.0.1", CONVERTER_PORT

    def agent(self, known: int) -> tuple[str, int]:
        return f"127.{self.network}.252.{KNOWN.index(known) + 1}", DISCOVERY_PORT

    @asynccontextmanager
    async def sidecar(self, known: int, command: Sequence[str]) -> AsyncIterator[Sidecar]:
        """One that is up. Raises HarnessError where it does not come up."""
        listen = f"127.{self.network}.253.{KNOWN.index(known) + 1}", SIDECAR_PORT
        config = self.folder / f"sidecar-{known}.json"
        config.write_text(settings_of(self.seed, known, listen, self.agent(known), self.converters))
        with open(self.folder / f"sidecar-{known}.log", "wb") as log:
            process = subprocess.Popen(
                command, env=os.environ | {"BALANCER_CONFIG": str(config)}, stdout=log, stderr=log
            )
        try:
            await wait_until_listening(process, listen, "a sidecar")
            yield Sidecar(known, process, Target(listen, REQUEST))
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()


def time_ms(target: Target, percentile: float) -> float:
    """Of the calls of this phase that were answered; infinite where none was. Pure."""
    return float(np.percentile(target.took_us, percentile)) / 1000 if target.took_us else float("inf")


def phase_row(name: str, for_s: float, target: Target, direct: Target, cpu_ns: tuple[int, int]) -> dict[str, float]:
    """One sidecar's calls at one rate: its CPU, and times beside the direct ones of the same moments. `cpu_ns`: what it
    used, and for how long it waited for a core. Pure."""
    used_ns, waited_ns = cpu_ns
    found = {
        # by the answers, not the calls: one that can't keep up would seem cheap
        f"cpu_us_a_call_{name}": used_ns / 1000 / max(1, len(target.took_us)),
        f"cores_{name}": used_ns / 1e9 / for_s,
        f"wait_share_{name}": waited_ns / max(1, used_ns + waited_ns),
        f"answered_share_{name}": len(target.took_us) / max(1, target.due),
        f"served_share_{name}": target.served / max(1, len(target.took_us)),
    }
    for percentile in (50, 99):
        through_ms, direct_ms = time_ms(target, percentile), time_ms(direct, percentile)
        found |= {
            f"p{percentile}_ms_{name}": through_ms,
            f"direct_p{percentile}_ms_{name}": direct_ms,
            f"added_p{percentile}_ms_{name}": through_ms - direct_ms,
        }
    return found


async def play_phase(play: Play, phase: Phase, sidecar: Sidecar, direct: Target) -> dict[str, float]:
    """One rate: warm up, then measure."""
    rate, warm_s, for_s = phase
    randoms = [draws.stream(play.seed, f"calls {rate} {sidecar.known} {who}") for who in ("through", "direct")]

    async def calls(lasts_s: float) -> None:
        await asyncio.gather(sidecar.target.run(rate, lasts_s, randoms[0]), direct.run(rate, lasts_s, randoms[1]))

    await calls(warm_s)
    sidecar.target.forget()
    direct.forget()
    early = sidecar.cpu_ns()
    await calls(for_s)
    late = sidecar.cpu_ns()
    return phase_row(
        f"{rate}_per_s_{sidecar.known}_known", for_s, sidecar.target, direct, (late[0] - early[0], late[1] - early[1])
    )


def top_functions(path: Path, calls: int) -> list[tuple[str, float]]:
    """Where a profile has our own code's time: (function, us a call), the dearest first, each without what it calls."""
    stats = pstats.Stats(str(path))
    rows = []
    for (file, number, function), (_, _, own_s, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        if Path(file).parent.as_posix().endswith(OURS):
            at_line = f"_line_{number}" if function.startswith("<") else ""  # a comprehension has no name of its own
            rows.append((f"{Path(file).stem}.{function.strip('<>')}{at_line}", own_s))
    merged: dict[str, float] = {}
    for function, own_s in rows:
        merged[function] = merged.get(function, 0.0) + own_s * 1e6 / max(1, calls)
    return sorted(merged.items(), key=lambda item: -item[1])[:PROFILED_FUNCTIONS]


async def profile(play: Play, scale: Scale, stack: AsyncExitStack, plant: str) -> dict[str, float]:
    """Both sidecars under a profile, a process each; its own cost is in the figures, so they are shares, not times."""
    found: dict[str, float] = {}
    sidecars = []
    for known in PROFILED:
        out = play.folder / f"profile-{known}"
        module = seeded_faults.command(plant)[2:] if plant else list(SIDECAR[2:])
        command = [sys.executable, "-B", "-m", "cProfile", "-o", str(out), *module]
        sidecars.append(await stack.enter_async_context(play.sidecar(known, command)))
    await asyncio.gather(
        *(
            sidecar.target.run(DESIGN_PER_S, PROFILED_S[scale], draws.stream(play.seed, f"profile {sidecar.known}"))
            for sidecar in sidecars
        )
    )
    for sidecar in sidecars:
        sidecar.process.send_signal(signal.SIGTERM)
    loop = asyncio.get_running_loop()
    ends = loop.time() + ENDS_WITHIN_S
    while any(sidecar.process.poll() is None for sidecar in sidecars):
        if loop.time() > ends:
            raise HarnessError("a sidecar under a profile does not end")
        await asyncio.sleep(0.05)
    for sidecar in sidecars:
        for function, us in top_functions(play.folder / f"profile-{sidecar.known}", len(sidecar.target.took_us)):
            found[f"profile_us_a_call_{sidecar.known}_known_{function}"] = us
    return found


def module_us_a_call(known: int, seed: int) -> float:
    """CPU of the module's part of a call, by itself in this process, at the rate to design for and opened to as many
    upstreams as that takes. In virtual time; the median over parts, so that a moment's trouble does not count."""
    kind = api.RequestClass("work", 150_000, 1_000_000)
    now_us, random = START_US, draws.stream(seed, f"alone {known}")
    balancer = Balancer(api.Settings([kind], max_attempts=4), seed, now_us)
    upstreams = [api.Upstream(number + 1) for number in range(known)]
    balancer.handle(now_us, api.UpstreamsUpdated(api.ListKind.FULL, upstreams, 1))
    admission = balancer.membership.pools[0].admission
    admission.send_rate = admission.burst_rate = float(DESIGN_PER_S)  # as after a minute of it
    parts, due_us = [], 0
    for part in range(ALONE_PARTS):
        begun_s = time.process_time()
        for number in range(part * ALONE_CALLS, (part + 1) * ALONE_CALLS):
            now_us += ALONE_ANSWER_US + int(random.exponential(1e6 / DESIGN_PER_S - ALONE_ANSWER_US))
            actions = balancer.handle(now_us, api.TimerFired(0)) if 0 < due_us <= now_us else []
            actions += balancer.handle(now_us, api.RequestArrived(number, now_us + kind.deadline_us))
            for sent in [action for action in actions if isinstance(action, api.Send)]:
                actions += balancer.handle(
                    now_us + ALONE_ANSWER_US,
                    api.AttemptEnded(number, 0, sent.upstream, api.Outcome.OK, ALONE_ANSWER_US, final=True),
                )
            due_us = next((action.at_us for action in reversed(actions) if isinstance(action, api.SetTimer)), due_us)
        parts.append((time.process_time() - begun_s) * 1e6 / ALONE_CALLS)
    return float(np.median(parts[ALONE_WARM_PARTS:]))


async def measure(seed: int, scale: Scale, folder: Path, plant: str) -> dict[str, float]:
    """All phases, then the profile."""
    play = Play(find_network(), folder, seed)
    async with AsyncExitStack() as stack:
        config = ConvertersConfig(play.converters, {known: play.agent(known) for known in KNOWN})
        encoded = msgspec.json.encode(config).decode()
        process = await stack.enter_async_context(
            lightweight.start_process("ryepier.experiments.scale.lightweight_converters", [encoded])
        )
        await process.read()
        command = seeded_faults.command(plant) if plant else SIDECAR
        found: dict[str, float] = {}
        gc.collect()
        gc.freeze()  # a collection through all that this process holds would make its calls late
        for known in KNOWN:
            async with play.sidecar(known, command) as sidecar:
                direct = Target(play.converters, REQUEST)
                for phase in PHASES[scale] if known in ENDS or scale is Scale.FULL else PHASES[scale][:1]:
                    found |= await play_phase(play, phase, sidecar, direct)
        return found | await profile(play, scale, stack, plant)


MOST_US_A_KNOWN = 2.0  # CPU a call for each further known converter
SERVED = 0.99


def summary(found: Mapping[str, float]) -> dict[str, float]:
    """The lines through the CPU of a call at the rate to design for, and what it comes to. Pure."""
    result: dict[str, float] = {}
    for name, figure in (
        ("cpu", f"cpu_us_a_call_{DESIGN_PER_S}_per_s_{{}}_known"),
        ("module", "module_us_a_call_{}_known"),
    ):
        line = slopes.fit(KNOWN, [found[figure.format(known)] for known in KNOWN])
        result |= {f"fit_{name}_us_a_call_{key}": float(value) for key, value in msgspec.to_builtins(line).items()}
    name = f"added_p99_ms_{DESIGN_PER_S}_per_s_{DESIGN_KNOWN}_known"
    result["design_share_of_budget_added_p99_ms"] = found[name] / ADDED_BUDGET_MS
    return result


def claims_of(found: Mapping[str, float]) -> list[Claim]:
    """What holds of a call as it stands. Pure."""
    few = KNOWN[0]
    return [
        Claim(
            f"share of calls served at {DESIGN_PER_S} a second, {few} known",
            found[f"served_share_{DESIGN_PER_S}_per_s_{few}_known"],
            ">=",
            SERVED,
        ),
        Claim(
            "CPU a call for each further known converter (us)",
            found["fit_cpu_us_a_call_per_unit"],
            "<=",
            MOST_US_A_KNOWN,
        ),
        # a sidecar that can't keep up with its calls spends more on each; the module alone has no such moments
        Claim("of it, the module's part by itself (us)", found["fit_module_us_a_call_per_unit"], "<=", MOST_US_A_KNOWN),
    ]


def perform(trial: TrialConfig) -> Measurement:
    """The whole of it, with how busy the machine was."""
    check_needs(Needs(4, BYTES_NEEDED, 3 * MOST_LINES), this_machine())
    if trial.seeded_fault:
        seeded_faults.SEEDED_FAULTS[trial.seeded_fault]()  # into this process too, where the module runs alone
    found = load_figures("before")
    found |= {f"module_us_a_call_{known}_known": module_us_a_call(known, trial.seed) for known in KNOWN}
    found |= asyncio.run(measure(trial.seed, trial.scale, trial.folder, trial.seeded_fault))
    found |= load_figures("after")
    found |= summary(found)
    return Measurement(claims_of(found), finite_figures(found))


EXPERIMENT = Benchmark(
    name="scale-call",
    question="CPU and added time of a call through a sidecar that knows 30 to 1,600",
    measure=perform,
    seeded_faults=("scan",),
)
