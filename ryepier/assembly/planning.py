"""Creates forwarders and planners from the operators' settings and the platform's configuration."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from ryepier.assembly.errors import AssemblyError
from ryepier.conf.operator_settings import OperatorSettings
from ryepier.plan import forwarder
from ryepier.plan.machine import Machine
from ryepier.plan.plan_follower import AcceptanceRules
from ryepier.sidecar import config as platform
from ryepier.sidecar import system
from ryepier.sidecar.components import BackgroundService, EndpointSource
from ryepier.sidecar.config import parse_address
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.system import clock_us

if TYPE_CHECKING:
    from ryepier.plan.planner_server import PlannerServer


def make_machine(seed: str) -> Machine:
    """Return this process's clocks, and a random generator whose `seed` must differ between forwarders."""
    return Machine(clock_us, lambda: system.unix_ns() // 1000, Random(seed))


def acceptance_rules(operator_settings: OperatorSettings) -> AcceptanceRules:
    """Convert the operators' [trust] table into the rules by which plans are accepted."""
    acceptance = operator_settings.acceptance
    return AcceptanceRules(
        acceptance.fleet,
        acceptance.min_reporters,
        acceptance.min_window_ms,
        acceptance.min_covered,
        acceptance.max_ejected,
        acceptance.min_weight,
    )


def make_forwarder(
    operator_settings: OperatorSettings, config: platform.Config, dispatcher: RequestDispatcher, source: EndpointSource
) -> BackgroundService:
    """Create the service that reports to planners and applies their plans; it observes the dispatcher's requests."""

    def ready_upstream_ids() -> dict[str, int]:
        return {
            uid: upstream_id
            for uid, upstream_id in source.upstream_ids().items()
            if upstream_id in dispatcher.addresses
        }

    plan = operator_settings.plan
    settings = forwarder.Settings(
        plan.name or config.name,
        [parse_address(text) for text in plan.planners],
        acceptance_rules(operator_settings),
        plan.report_ms / 1000,
    )
    sidecar = forwarder.SidecarInterface(
        ready_upstream_ids,
        dispatcher.on_plan,
        [request_class.latency_objective_us for request_class in config.settings.classes],
        len(config.settings.tenants),
    )
    service = forwarder.Forwarder(settings, sidecar, make_machine(f"{config.seed} {settings.name}"))
    dispatcher.add_observer(service)
    return service


def make_planner(operator_settings: OperatorSettings, seed: int) -> PlannerServer:
    """Create a planner without starting it. Raises AssemblyError if its folder for snapshots does not exist."""
    from ryepier.plan import planner_server

    planner = operator_settings.planner
    folder = Path(planner.snapshots) if planner.snapshots else None
    if folder is not None and not folder.is_dir():
        raise AssemblyError(f"planner.snapshots: there is no folder {folder}")
    settings = planner_server.Settings(
        planner.name,
        parse_address(planner.listen),
        {name: parse_address(text) for name, text in planner.peers.items()},
        acceptance_rules(operator_settings),
        planner.tenant_shares,
        planner.class_limits,
        planner.max_forwarders,
        folder,
    )
    return planner_server.PlannerServer(settings, make_machine(f"{seed} {planner.name}"))
