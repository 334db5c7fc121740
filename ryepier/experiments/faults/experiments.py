"""A fleet of sidecars under load and single faults: what is claimed of each world, and when one core is not enough."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
import numpy as np

from ryepier.emulator import draws, timeline
from ryepier.emulator.timeline import FaultAction, TargetKind
from ryepier.emulator.world import Fault, World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import load

FULL_FLEET = 3  # `full` has so many times the converters, sidecars and traffic of `small`
FULL_LENGTH = 2  # and lasts so many times as long, its faults later and longer alike
BROKEN_BELOW = 0.95  # service at which a load is too much
WINDOW_S = 1.0


def scaled(world: World, scale: Scale) -> World:
    """The world itself, or one several times as large and long."""
    if scale == "small":
        return world
    replace = msgspec.structs.replace
    return replace(
        world,
        duration_s=world.duration_s * FULL_LENGTH,
        converters=[replace(group, count=group.count * FULL_FLEET) for group in world.converters],
        sidecars=replace(world.sidecars, count=world.sidecars.count * FULL_FLEET),
        clients=replace(world.clients, rate_per_s=world.clients.rate_per_s * FULL_FLEET),
        faults=[
            replace(fault, at_s=fault.at_s * FULL_LENGTH, for_s=fault.for_s * FULL_LENGTH) for fault in world.faults
        ],
        harness=replace(world.harness, client_processes=2, converter_processes=3),
    )


def _fault(world: World, kind: str) -> Fault:
    return next(fault for fault in world.faults if fault.kind == kind)


# steady: nothing goes wrong


def _steady_claims(run: Run) -> list[Claim]:
    tries, attempts = run.history.client_attempts, run.history.converter_attempts
    return [
        Claim("service", figures.service_level(run.operations), ">=", 0.98),
        Claim("attempts a try", len(attempts) / max(1, len(tries)), "<=", 1.01),
        Claim("waste", figures.wasted_work_share(run.history), "<=", 0.01),
    ]


# release: converters are replaced one after another, and watches break meanwhile


def _release_claims(run: Run) -> list[Claim]:
    fault = _fault(run.world, "release")
    steps = timeline.build(run.world, run.seed).steps
    fresh = {step.uid for step in steps if step.action is FaultAction.START}
    reached = {attempt.uid for attempt in run.history.converter_attempts} & fresh
    told = sum(notice.state == "leaving" for notice in run.history.notices)
    during = figures.due_between(fault.at_s, fault.at_s + fault.for_s)
    return [
        Claim("drains told of", told, ">=", len(fresh) * run.world.sidecars.count * 0.9),
        Claim("share of fresh converters in use", len(reached) / max(1, len(fresh)), ">=", 1.0),
        Claim("service during the release", figures.service_level(run.operations, during), ">=", 0.95),
    ]


# hang: a part of the converters takes requests and answers none


def _hung(run: Run) -> set[str]:
    built = timeline.build(run.world, run.seed)
    struck = {step.index for step in built.steps if step.target is TargetKind.CONVERTER and step.fault == "hang"}
    return {instance.uid for instance in built.instances if instance.index in struck}


def _hang_claims(run: Run) -> list[Claim]:
    fault = _fault(run.world, "hang")
    middle_s, end_s = fault.at_s + fault.for_s / 2, fault.at_s + fault.for_s
    to_hung, to_all = figures.count_attempts(run.history.converter_attempts, _hung(run), middle_s, end_s)
    return [
        Claim("share of attempts to hung converters, second half", to_hung / max(1, to_all), "<=", 0.03),
        Claim(
            "service in the second half of the hang",
            figures.service_level(run.operations, figures.due_between(middle_s, end_s)),
            ">=",
            0.90,
        ),
        Claim(
            "service from 2 s after the hang",
            figures.service_level(run.operations, figures.due_between(end_s + 2.0, run.world.duration_s)),
            ">=",
            0.95,
        ),
    ]


# surge: more than the fleet can do


def _surge_claims(run: Run) -> list[Claim]:
    fault = _fault(run.world, "surge")
    end_s = fault.at_s + fault.for_s
    return [
        Claim(
            "service before the surge",
            figures.service_level(run.operations, figures.due_between(0.5, fault.at_s)),
            ">=",
            0.97,
        ),
        Claim(
            "service during the surge",
            figures.service_level(run.operations, figures.due_between(fault.at_s, end_s)),
            ">=",
            0.55,
        ),
        Claim(
            "service from 2 s after the surge",
            figures.service_level(run.operations, figures.due_between(end_s + 2.0, run.world.duration_s)),
            ">=",
            0.95,
        ),
        Claim("share of refusals with Retry-After", figures.retry_after_share(run.history.client_attempts), ">=", 0.99),
    ]


# sidecar-kill: one sidecar dies and is started again


def _kill_claims(run: Run) -> list[Claim]:
    fault = _fault(run.world, "sidecar-kill")
    killed = {life.sidecar for life in run.history.incarnations if life.killed}
    back = [life for life in run.history.incarnations if life.started_us > 0]
    up_s = max(((life.ready_us - life.started_us) / 1e6 for life in back), default=float("inf"))
    after = figures.due_between(fault.at_s + fault.down_s + 2.0, run.world.duration_s)
    return [
        Claim("sidecars killed", len(killed), ">=", 1),
        Claim("sidecars started again", len(back), "==", len(killed)),
        Claim("time to come up (s)", up_s, "<=", 2.0),
        Claim(
            "service of the others' clients",
            figures.service_level(run.operations, lambda item: item.sidecar not in killed),
            ">=",
            0.97,
        ),
        Claim(
            "service of its own clients, 2 s after its start",
            figures.service_level(run.operations, lambda item: item.sidecar in killed and after(item)),
            ">=",
            0.97,
        ),
    ]


# breaking-point: the load rises until one sidecar's core is not enough


def _windows(run: Run) -> list[tuple[float, float, float]]:
    """(offered a second, service, when) of each window."""
    edges = np.arange(0.0, run.world.duration_s, WINDOW_S)
    rows = []
    for begin_s in edges:
        inside = [order for order in run.operations if figures.due_between(begin_s, begin_s + WINDOW_S)(order.first)]
        rows.append((len(inside) / WINDOW_S, figures.service_level(inside), float(begin_s)))
    return rows


def breaking_point(run: Run) -> tuple[float, float]:
    """Requests a second in the last window before service fell below the bound for two windows, and its end (s)."""
    rows = _windows(run)
    for (offered, _, begin_s), (_, first, _), (_, second, _) in zip(rows, rows[1:], rows[2:], strict=False):
        if first < BROKEN_BELOW and second < BROKEN_BELOW:
            return offered, begin_s + WINDOW_S
    return rows[-1][0], run.world.duration_s


def cpu_us_a_request(run: Run, begin_s: float, end_s: float) -> float:
    """CPU of the sidecar over the tries that came in a part of the run."""
    samples = [
        (at_us, cpu) for at_us, cpu, _ in run.history.incarnations[0].samples if begin_s * 1e6 <= at_us <= end_s * 1e6
    ]
    if len(samples) < 2:
        return float("inf")
    came = sum(samples[0][0] <= item.sent_us < samples[-1][0] for item in run.history.client_attempts)
    return (samples[-1][1] - samples[0][1]) / max(1, came)


def _breaking_figures(run: Run) -> Mapping[str, float]:
    per_s, until_s = breaking_point(run)
    rate = draws.offered_per_s(run.world, np.array([int(until_s * 1e6)], dtype=np.int64))[0]
    return {
        "breaking_point_per_s": per_s,
        "breaking_point_at_s": until_s,
        "planned_rate_there_per_s": float(rate),
        "cpu_us_a_request": cpu_us_a_request(run, 1.0, until_s),
    }


def _breaking_claims(run: Run) -> list[Claim]:
    per_s, until_s = breaking_point(run)
    return [
        Claim("requests a second for one sidecar core", per_s, ">=", 2000),
        Claim("CPU a request up to there (us)", cpu_us_a_request(run, 1.0, until_s), "<=", 450),
        Claim(
            "breaches of answers in time before it",
            sum(
                breach.at_us < until_s * 1e6
                for breach in run.breaches
                if breach.rule in ("unanswered", "held-up", "broken")
            ),
            "==",
            0,
        ),
    ]


# Past the point where its core is full a sidecar can't answer in time; all other rules hold there too.
_SAFE_RULES = (
    "second-answer",
    "forged",
    "invented",
    "run-twice",
    "refused-after-run",
    "unsafe-resend",
    "together",
    "drain",
    "cold",
    "crash",
)


# ceiling: the emulator alone, so that nobody measures the rig


def _ceiling_figures(run: Run) -> Mapping[str, float]:
    served = sum(item.outcome == "served" for item in run.history.client_attempts)
    return {"served_per_s": served / run.world.duration_s}


def _ceiling_claims(run: Run) -> list[Claim]:
    return [Claim("requests served a second without a sidecar", _ceiling_figures(run)["served_per_s"], ">=", 5000)]


EXPERIMENTS = (
    Experiment(
        "steady",
        "a fleet in which nothing goes wrong",
        lambda scale: scaled(load("steady"), scale),
        _steady_claims,
        ("twice", "lose"),
    ),
    Experiment(
        "release",
        "all converters are replaced in turn while watches break",
        lambda scale: scaled(load("release"), scale),
        _release_claims,
        ("deaf", "crowd"),
    ),
    Experiment(
        "hang",
        "a sixth of the converters takes requests and answers none",
        lambda scale: scaled(load("hang"), scale),
        _hang_claims,
        ("blind",),
    ),
    Experiment(
        "surge",
        "2.3 times the traffic for 9.6 s, more than the fleet can do",
        lambda scale: scaled(load("surge"), scale),
        _surge_claims,
        ("hold", "no-advice"),
    ),
    Experiment(
        "sidecar-kill",
        "a sidecar is killed and started again",
        lambda scale: scaled(load("sidecar-kill"), scale),
        _kill_claims,
        ("late-start",),
    ),
    Experiment(
        "breaking-point",
        "load raised until one sidecar's core is not enough",
        lambda scale: (
            load("breaking-point")
            if scale == "small"
            else msgspec.structs.replace(
                load("breaking-point"), duration_s=load("breaking-point").duration_s * FULL_LENGTH
            )
        ),
        _breaking_claims,
        ("spin",),
        _breaking_figures,
        _SAFE_RULES,
        valid_until_s=lambda run: breaking_point(run)[1],
        measures_cpu=True,
    ),
    Experiment(
        "ceiling",
        "what the emulator offers and serves by itself, on four cores",
        lambda scale: load("ceiling"),
        _ceiling_claims,
        (),
        _ceiling_figures,
        ("invented", "forged", "run-twice"),
        cores=4,
        measures_cpu=True,
    ),
)
