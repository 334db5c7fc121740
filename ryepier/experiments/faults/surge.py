"""Experiment `surge`: sidecars shed an overload early, with a Retry-After, and recover soon after the surge.

For 9.6 s the clients send 2.3 times the usual traffic, more than the converters can serve. The claims bound the service
level before, during and after the surge, and require that nearly all rejections carry a Retry-After.
"""

from __future__ import annotations

from ryepier.emulator.world import FaultKind, World
from ryepier.experiments.core import figures, phases
from ryepier.experiments.core.contract import Claim, Experiment, Run, Scale
from ryepier.experiments.core.worlds import fault_of_kind, load
from ryepier.experiments.faults.scaling import scale_world

MEASURED_FROM_S = 0.5  # time of the run; operations planned before it are excluded
MIN_SERVICE_BEFORE = 0.97
MIN_SERVICE_DURING = 0.55
MIN_SERVICE_AFTER = 0.95
MIN_RETRY_AFTER_SHARE = 0.99


def _world(scale: Scale) -> World:
    return scale_world(load("surge"), scale)


def surge_claims(run: Run) -> list[Claim]:
    """Return the claims on the service level during and after the surge of a run's world."""
    surge = fault_of_kind(run.world, FaultKind.SURGE)
    service_during = figures.service_level(run.operations, phases.during(surge))
    service_after = figures.service_level(run.operations, phases.after_recovery(surge, run.world))
    return [
        Claim("service during the surge", service_during, ">=", MIN_SERVICE_DURING),
        Claim("service from 2 s after the surge", service_after, ">=", MIN_SERVICE_AFTER),
    ]


def _claims(run: Run) -> list[Claim]:
    surge = fault_of_kind(run.world, FaultKind.SURGE)
    service_before = figures.service_level(run.operations, figures.due_between(MEASURED_FROM_S, surge.at_s))
    retry_after_share = figures.retry_after_share(run.history.client_attempts)
    return [
        Claim("service before the surge", service_before, ">=", MIN_SERVICE_BEFORE),
        *surge_claims(run),
        Claim("share of refusals with Retry-After", retry_after_share, ">=", MIN_RETRY_AFTER_SHARE),
    ]


EXPERIMENT = Experiment(
    name="surge",
    description="2.3 times the traffic for 9.6 s, more than the fleet can do",
    world=_world,
    claims=_claims,
    seeded_faults=("hold", "no-advice"),
)
