"""Experiments on retry storms: every converter out for a while, clients that come back, with the guard and without."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping

import msgspec
import numpy as np

from ryepier.emulator.records import ClientAttempt
from ryepier.emulator.world import Fault, FaultKind, World
from ryepier.experiments.core import figures
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.planners.planning import log_lines

WINDOW_S = 1.0
WELL = 0.95
OUTAGES_S = (5.0, 15.0, 30.0)
FULL_OUTAGE_S, AFTER_S = 30.0, 14.0
LONG_OUTAGE_S = 15.0
BACK_WITHIN_S = {True: 12.0, False: 8.0}  # by whether the outage was a long one
OUTAGES = ("release", "refuse", "turn-away")
TICK_US = 200_000  # refusals of so long go by one word of the guard
LEAST_TOLD = 20
BIN_US = 50_000
OPENS = "a retry storm opens"


def without_guard(world: World) -> World:
    """The same world with the sidecars as they were."""
    return msgspec.structs.replace(world, sidecars=msgspec.structs.replace(world.sidecars, storm=False))


def over_s(fault: Fault) -> float:
    """When an outage is over: what was struck is up again."""
    return fault.at_s + fault.for_s + (fault.drain_s + fault.down_s if fault.kind == "release" else 0.0)


def outage_s(run: Run) -> tuple[float, float]:
    """When the first outage began, and when the last was over."""
    faults = [fault for fault in run.world.faults if fault.kind in OUTAGES]
    return min(fault.at_s for fault in faults), max(map(over_s, faults))


def back_after_s(run: Run) -> float:
    """Seconds from the outage's end until each further window is served well, retries counted to the first try; the
    rest of the run where that never comes."""
    _, end_s = outage_s(run)
    edges = np.arange(end_s, run.world.duration_s - WINDOW_S, WINDOW_S / 2)
    served = [
        figures.service_level(run.operations, figures.due_between(at_s, at_s + WINDOW_S)) >= WELL for at_s in edges
    ]
    for index, at_s in enumerate(edges):
        if all(served[index:]):
            return float(at_s - end_s)
    return run.world.duration_s - end_s


def refused_share(run: Run, later: bool) -> float:
    """Of the first tries, or of the later ones, from the outage's end until service is back."""
    _, end_s = outage_s(run)
    until_s = end_s + max(2.0, back_after_s(run))
    chosen = [
        item
        for item in run.history.client_attempts
        if (item.number > 0) is later and end_s * 1e6 <= item.sent_us < until_s * 1e6
    ]
    return sum(item.outcome == "refused" for item in chosen) / max(1, len(chosen))


def advice_alike(run: Run) -> float:
    """Of refusals that went by one word of the guard, the greatest share told to stay away equally long; the mean over
    the run. 1 is a herd."""
    groups: dict[tuple[int, int, int], list[ClientAttempt]] = {}
    for item in run.history.client_attempts:
        if item.outcome == "refused" and item.retry_after_us:
            groups.setdefault((item.sidecar, item.ended_us // TICK_US, min(item.number, 1)), []).append(item)
    shares = [
        max(Counter(item.retry_after_us // BIN_US for item in group).values()) / len(group)
        for group in groups.values()
        if len(group) >= LEAST_TOLD
    ]
    return float(np.mean(shares)) if shares else 1.0


def opened(run: Run) -> int:
    """How often a guard took what it saw for a storm."""
    return sum(OPENS in str(line.get("message")) for line in log_lines(run.folder, "sidecar-*.log"))


def _storm_figures(run: Run) -> Mapping[str, float]:
    assert run.control is not None
    result = {
        "storms_opened": float(opened(run)),
        "advice_alike": advice_alike(run),
        "advice_alike_without": advice_alike(run.control),
    }
    for name, one in (("with", run), ("without", run.control)):
        result[f"back_after_s_{name}"] = back_after_s(one)
        result[f"refused_first_{name}"] = refused_share(one, later=False)
        result[f"refused_later_{name}"] = refused_share(one, later=True)
        result[f"service_{name}"] = figures.service_level(one.operations)
        result[f"tries_{name}"] = len(one.history.client_attempts)
        _, end_s = outage_s(one)
        result[f"service_after_{name}"] = figures.service_level(
            one.operations, figures.due_between(end_s, one.world.duration_s)
        )
    result["recovery_ratio"] = max(WINDOW_S / 2, result["back_after_s_with"]) / max(
        WINDOW_S / 2, result["back_after_s_without"]
    )
    return result


def _storm_claims(run: Run) -> list[Claim]:
    got = _storm_figures(run)
    begin_s, end_s = outage_s(run)
    before = figures.due_between(1.0, begin_s - 3.0)  # what comes later may be lost to the outage
    return [
        Claim("service before the outage", figures.service_level(run.operations, before), ">=", 0.97),
        Claim(
            "time until service is back (s)",
            got["back_after_s_with"],
            "<=",
            BACK_WITHIN_S[end_s - begin_s >= LONG_OUTAGE_S],
        ),
        Claim("sidecars' guards that opened", got["storms_opened"], ">=", run.world.sidecars.count),
        Claim(
            "share refused of first tries over that of later ones",
            got["refused_first_with"] / max(1e-6, got["refused_later_with"]),
            "<=",
            1.0,
        ),
        Claim("share of refusals of one moment told the same", got["advice_alike"], "<=", 0.5),
        Claim(
            "service after the outage lost to the guard (points)",
            100 * (got["service_after_without"] - got["service_after_with"]),
            "<=",
            2.0,
        ),
    ]


def _storm_world(backoff: str, obedient: float, outage_s: float = OUTAGES_S[0]) -> Callable[[Scale], World]:
    def world(scale: Scale) -> World:
        made, replace = load("retry-storm"), msgspec.structs.replace
        clients = msgspec.convert(
            msgspec.to_builtins(made.clients) | {"backoff": backoff, "obedient": obedient}, type(made.clients)
        )
        made = replace(made, clients=clients)
        lasts_s = outage_s if scale == "small" else FULL_OUTAGE_S
        if lasts_s == OUTAGES_S[0]:
            return made
        fault = made.faults[0]
        return replace(made, duration_s=fault.at_s + lasts_s + AFTER_S, faults=[replace(fault, down_s=lasts_s)])

    return world


# retry-storm-again: all go a second time, 5 s after they were back

LEAST_LOST = 0.3  # of the service while all are out: else there was no outage


def _again_claims(run: Run) -> list[Claim]:
    second = run.world.faults[-1]
    out = figures.due_between(second.at_s + second.for_s, over_s(second) - 3.0)
    return [
        Claim("service in the second outage", figures.service_level(run.operations, out), "<=", 1.0 - LEAST_LOST),
        *_storm_claims(run),
    ]


def _again_world(scale: Scale) -> World:
    made, replace = load("retry-storm"), msgspec.structs.replace
    first = made.faults[0]
    second = replace(first, at_s=over_s(first) + 5.0)
    return replace(made, duration_s=over_s(second) + (made.duration_s - over_s(first)), faults=[first, second])


# retry-storm-blind: discovery is away from before the outage on, and never comes back


def _blind_world(scale: Scale) -> World:
    made, replace = load("retry-storm"), msgspec.structs.replace
    first = made.faults[0]
    gone = Fault(kind=FaultKind.REFUSE, at_s=first.at_s, for_s=first.down_s)
    silent = Fault(kind=FaultKind.DISCOVERY_DOWN, at_s=first.at_s - 1.0, for_s=made.duration_s - first.at_s)
    return replace(made, faults=[gone, silent])


# retry-storm-one: all converters turn away what comes by one of the sidecars

STRUCK = 0


def _one_world(scale: Scale) -> World:
    made, replace = load("retry-storm"), msgspec.structs.replace
    first = made.faults[0]
    return replace(made, faults=[Fault(kind=FaultKind.TURN_AWAY, at_s=first.at_s, for_s=first.down_s, via=STRUCK)])


def _opened_at(run: Run) -> set[str]:
    return {str(line["file"]) for line in log_lines(run.folder, "sidecar-*.log") if OPENS in str(line.get("message"))}


def _one_claims(run: Run) -> list[Claim]:
    assert run.control is not None

    def others(item: ClientAttempt) -> bool:
        return item.sidecar != STRUCK

    lost = figures.service_level(run.control.operations, others) - figures.service_level(run.operations, others)
    return [
        Claim("the struck sidecar's guard opened", f"sidecar-{STRUCK}.log" in _opened_at(run), "==", 1),
        Claim("other guards that opened", len(_opened_at(run) - {f"sidecar-{STRUCK}.log"}), "==", 0),
        Claim("service of the others", figures.service_level(run.operations, others), ">=", 0.97),
        Claim("service of the others lost to the guard (points)", 100 * lost, "<=", 0.5),
        Claim("time until service is back (s)", back_after_s(run), "<=", BACK_WITHIN_S[False]),
        Claim("share of refusals of one moment told the same", advice_alike(run), "<=", 0.5),
    ]


# real-surge: as many first tries, and no storm


def _surge_claims(run: Run) -> list[Claim]:
    assert run.control is not None
    fault = fault_of_kind(run.world, "surge")
    during = figures.due_between(fault.at_s, fault.at_s + fault.for_s)
    lost = figures.service_level(run.control.operations, during) - figures.service_level(run.operations, during)
    whole = figures.service_level(run.control.operations) - figures.service_level(run.operations)
    return [
        Claim("times that a guard took the surge for a storm", opened(run), "==", 0),
        Claim("service in the surge lost to the guard (points)", 100 * lost, "<=", 2.0),
        Claim("service lost to the guard (points)", 100 * whole, "<=", 2.0),
    ]


CLIENTS = (
    ("", "clients back off and heed Retry-After", "exponential", 1.0),
    ("-mixed", "half of the clients heed Retry-After", "exponential", 0.5),
    ("-rude", "clients come back at once whatever they are told", "none", 0.0),
)


def _storm(outage_s: float, suffix: str, about: str, backoff: str, obedient: float) -> Experiment:
    length = "" if outage_s == OUTAGES_S[0] else f"-{outage_s:.0f}s"
    full = " (full: 30 s)" if not length else ""
    return Experiment(
        f"retry-storm{suffix}{length}",
        f"all converters out for {outage_s:.0f} s{full}, {about}",
        _storm_world(backoff, obedient, outage_s),
        _storm_claims,
        ("no-spread",),
        _storm_figures,
        control_world=without_guard,
    )


EXPERIMENTS = (
    *(_storm(outage_s, *clients) for outage_s in OUTAGES_S for clients in CLIENTS),
    Experiment(
        "retry-storm-again",
        "all converters out for 5 s, and once more 5 s after they are back",
        _again_world,
        _again_claims,
        ("no-spread",),
        _storm_figures,
        control_world=without_guard,
    ),
    Experiment(
        "retry-storm-blind",
        "converters refuse for 5 s, and discovery is away from before that on",
        _blind_world,
        _storm_claims,
        ("no-spread",),
        _storm_figures,
        control_world=without_guard,
    ),
    Experiment(
        "retry-storm-one",
        "converters turn away for 5 s what comes by one of three sidecars",
        _one_world,
        _one_claims,
        ("no-spread",),
        control_world=without_guard,
    ),
    Experiment(
        "real-surge",
        "first tries in a surge are not damped as a storm",
        lambda scale: load("real-surge"),
        _surge_claims,
        ("jumpy",),
        control_world=without_guard,
    ),
)
