"""Experiment `retry-storm` and its variants: the service recovers from an outage although clients retry.

All converters are down for 5, 15 or 30 s. In two further variants they are down twice, or while discovery is down as
well. Clients either back off, and all or half of them honour Retry-After, or they retry at once. Each world is run with
and without the sidecars' retry storm guards, with the same seed.

The claims require that every guard detects the storm, that the service recovers in time, that retries are rejected
rather than first attempts, that clients get different Retry-After times, and that the guard costs almost no service
after the outage.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ryepier.emulator.world import World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.storms import measures, worlds
from ryepier.experiments.storms.outage import end_of_fault_s, find_outage, service_after
from ryepier.experiments.storms.worlds import SHORT_OUTAGE_S, ClientBehavior

OUTAGES_S = (SHORT_OUTAGE_S, 15.0, 30.0)
LONG_OUTAGE_S = 15.0  # for outages of at least this length, a longer recovery is allowed
MAX_RECOVERY_S = 8.0
MAX_RECOVERY_AFTER_LONG_OUTAGE_S = 12.0
MEASURED_FROM_S = 1.0  # time of the run; operations planned before it are excluded
# Operations planned less than this before the start or the end of an outage are excluded, as their attempts may fall on
# both sides of it.
OUTAGE_MARGIN_S = 3.0
MIN_SERVICE_BEFORE = 0.97
MAX_FIRST_TO_RETRY_RATIO = 1.0  # rejected share of first attempts, relative to that of retries
MAX_RETRY_AFTER_UNIFORMITY = 0.5  # see `measures.retry_after_uniformity`
MAX_LOST_POINTS = 2.0  # percentage points of the service level
MIN_LOST_SHARE_IN_OUTAGE = 0.3  # loss of service level; a smaller loss would mean that there was no outage
MIN_DIVISOR = 1e-6  # avoids a division by zero

# a description and the behaviour of the clients, by the suffix of the experiment's name
BEHAVIORS = {
    "": ("clients back off and heed Retry-After", ClientBehavior("exponential", 1.0)),
    "-mixed": ("half of the clients heed Retry-After", ClientBehavior("exponential", 0.5)),
    "-rude": ("clients come back at once whatever they are told", ClientBehavior("none", 0.0)),
}


def _figures(run: Run) -> Mapping[str, float]:
    assert run.control is not None
    values = {
        "storms_opened": float(measures.count_detections(run)),
        "advice_alike": measures.retry_after_uniformity(run),
        "advice_alike_without": measures.retry_after_uniformity(run.control),
    }
    values |= _figures_of_run(run, "with")
    values |= _figures_of_run(run.control, "without")
    recovery_with_s = max(measures.WINDOW_STEP_S, values["back_after_s_with"])
    recovery_without_s = max(measures.WINDOW_STEP_S, values["back_after_s_without"])
    values["recovery_ratio"] = recovery_with_s / recovery_without_s
    return values


def _figures_of_run(run: Run, variant: str) -> dict[str, float]:
    return {
        f"back_after_s_{variant}": measures.recovery_s(run),
        f"refused_first_{variant}": measures.rejected_share(run, retries=False),
        f"refused_later_{variant}": measures.rejected_share(run, retries=True),
        f"service_{variant}": figures.service_level(run.operations),
        f"tries_{variant}": len(run.history.client_attempts),
        f"service_after_{variant}": service_after(run),
    }


def _claims(run: Run) -> list[Claim]:
    run_figures = _figures(run)
    outage = find_outage(run.world)
    is_before = figures.due_between(MEASURED_FROM_S, outage.begin_s - OUTAGE_MARGIN_S)
    is_long = outage.duration_s >= LONG_OUTAGE_S
    max_recovery_s = MAX_RECOVERY_AFTER_LONG_OUTAGE_S if is_long else MAX_RECOVERY_S
    first_to_retry_ratio = run_figures["refused_first_with"] / max(MIN_DIVISOR, run_figures["refused_later_with"])
    lost_points = 100 * (run_figures["service_after_without"] - run_figures["service_after_with"])
    return [
        Claim("service before the outage", figures.service_level(run.operations, is_before), ">=", MIN_SERVICE_BEFORE),
        Claim("time until service is back (s)", run_figures["back_after_s_with"], "<=", max_recovery_s),
        Claim("sidecars' guards that opened", run_figures["storms_opened"], ">=", run.world.sidecars.count),
        Claim(
            "share refused of first tries over that of later ones", first_to_retry_ratio, "<=", MAX_FIRST_TO_RETRY_RATIO
        ),
        Claim(
            "share of refusals of one moment told the same",
            run_figures["advice_alike"],
            "<=",
            MAX_RETRY_AFTER_UNIFORMITY,
        ),
        Claim("service after the outage lost to the guard (points)", lost_points, "<=", MAX_LOST_POINTS),
    ]


def _claims_of_two_outages(run: Run) -> list[Claim]:
    second_outage = run.world.faults[-1]
    is_in_outage = figures.due_between(phases.end_s(second_outage), end_of_fault_s(second_outage) - OUTAGE_MARGIN_S)
    service = figures.service_level(run.operations, is_in_outage)
    return [Claim("service in the second outage", service, "<=", 1.0 - MIN_LOST_SHARE_IN_OUTAGE), *_claims(run)]


def _make_experiment(
    name: str,
    description: str,
    world: Callable[[Scale], World],
    claims: Callable[[Run], list[Claim]] = _claims,
) -> Experiment:
    return Experiment(
        name=name,
        description=description,
        world=world,
        claims=claims,
        seeded_faults=("no-spread",),
        extra_figures=_figures,
        control_world=worlds.without_guard,
    )


def _make_variant(outage_s: float, suffix: str) -> Experiment:
    clients_description, behavior = BEHAVIORS[suffix]
    is_short_outage = outage_s == SHORT_OUTAGE_S
    duration_suffix = "" if is_short_outage else f"-{outage_s:.0f}s"
    full_scale_note = f" (full: {worlds.FULL_OUTAGE_S:.0f} s)" if is_short_outage else ""
    return _make_experiment(
        f"retry-storm{suffix}{duration_suffix}",
        f"all converters out for {outage_s:.0f} s{full_scale_note}, {clients_description}",
        worlds.world_with_outage(behavior, outage_s),
    )


EXPERIMENTS = (
    *(_make_variant(outage_s, suffix) for outage_s in OUTAGES_S for suffix in BEHAVIORS),
    _make_experiment(
        "retry-storm-again",
        "all converters out for 5 s, and once more 5 s after they are back",
        worlds.two_outages,
        _claims_of_two_outages,
    ),
    _make_experiment(
        "retry-storm-blind",
        "converters refuse for 5 s, and discovery is away from before that on",
        worlds.outage_without_discovery,
    ),
)
