"""Create forwarders and planners from the settings of operators and platform."""

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
    """Return the clocks and the random source of this process, seeded so that two forwarders draw differently."""
    return Machine(clock_us, lambda: system.unix_ns() // 1000, Random(seed))


def acceptance_rules(operators: OperatorSettings) -> AcceptanceRules:
    """Convert the operators' [trust] table into the rules that plans are checked against."""
    acceptance = operators.acceptance
    return AcceptanceRules(
        acceptance.fleet,
        acceptance.min_reporters,
        acceptance.min_window_ms,
        acceptance.min_covered,
        acceptance.max_ejected,
        acceptance.min_weight,
    )


def make_forwarder(
    operators: OperatorSettings, config: platform.Config, dispatcher: RequestDispatcher, source: EndpointSource
) -> BackgroundService:
    """Create the component that reports to planners and applies their plans, and register it as an observer."""

    def ready() -> dict[str, int]:
        return {uid: ident for uid, ident in source.upstream_ids().items() if ident in dispatcher.addresses}

    plan = operators.plan
    settings = forwarder.Settings(
        plan.name or config.name,
        [parse_address(text) for text in plan.planners],
        acceptance_rules(operators),
        plan.report_ms / 1000,
    )
    sidecar = forwarder.Sidecar(
        ready,
        dispatcher.on_plan,
        [kind.latency_objective_us for kind in config.settings.classes],
        len(config.settings.tenants),
    )
    made = forwarder.Forwarder(settings, sidecar, make_machine(f"{config.seed} {settings.name}"))
    dispatcher.add_observer(made)
    return made


def make_planner(operators: OperatorSettings, seed: int) -> PlannerServer:
    """Create a planner without starting it. Raises AssemblyError where its folder is missing."""
    from ryepier.plan import planner_server

    own = operators.planner
    folder = Path(own.snapshots) if own.snapshots else None
    if folder is not None and not folder.is_dir():
        raise AssemblyError(f"planner.snapshots: no folder {folder}")
    settings = planner_server.Settings(
        own.name,
        parse_address(own.listen),
        {name: parse_address(text) for name, text in own.peers.items()},
        acceptance_rules(operators),
        own.tenant_shares,
        own.class_limits,
        own.max_forwarders,
        folder,
    )
    return planner_server.PlannerServer(settings, make_machine(f"{seed} {own.name}"))
