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
    """Return a `Machine` with this process's clocks and a random generator. Forwarders need different seeds."""
    return Machine(clock_us, lambda: system.unix_ns() // 1000, Random(seed))


def acceptance_rules(operator_settings: OperatorSettings) -> AcceptanceRules:
    """Return the rules by which forwarders accept plans, from the [trust] table of the operators' settings."""
    requirements = operator_settings.plan_acceptance
    return AcceptanceRules(
        requirements.fleet_size,
        requirements.min_reporters,
        requirements.min_window_ms,
        requirements.min_covered,
        requirements.max_ejected,
        requirements.min_weight,
    )


def make_forwarder(
    operator_settings: OperatorSettings, config: platform.Config, dispatcher: RequestDispatcher, source: EndpointSource
) -> BackgroundService:
    """Create the service that reports to planners and passes their plans to the dispatcher.

    The service is registered as an observer of the dispatcher's requests, which it reports on.
    """

    def ready_upstream_ids() -> dict[str, int]:
        return {
            uid: upstream_id
            for uid, upstream_id in source.upstream_ids().items()
            if upstream_id in dispatcher.addresses
        }

    forwarder_settings = operator_settings.forwarder
    settings = forwarder.Settings(
        forwarder_settings.name or config.name,
        [parse_address(text) for text in forwarder_settings.planners],
        acceptance_rules(operator_settings),
        forwarder_settings.report_ms / 1000,
    )
    sidecar_interface = forwarder.SidecarInterface(
        ready_upstream_ids,
        dispatcher.on_plan,
        [request_class.latency_objective_us for request_class in config.settings.classes],
        len(config.settings.tenants),
    )
    service = forwarder.Forwarder(settings, sidecar_interface, make_machine(f"{config.seed} {settings.name}"))
    dispatcher.add_observer(service)
    return service


def make_planner(operator_settings: OperatorSettings, seed: int) -> PlannerServer:
    """Create a planner without starting it. Raises AssemblyError if the folder for its snapshots does not exist."""
    from ryepier.plan import planner_server

    planner_settings = operator_settings.planner
    snapshot_folder = Path(planner_settings.snapshots) if planner_settings.snapshots else None
    if snapshot_folder is not None and not snapshot_folder.is_dir():
        raise AssemblyError(f"planner.snapshots: there is no folder {snapshot_folder}")
    settings = planner_server.Settings(
        planner_settings.name,
        parse_address(planner_settings.listen),
        {name: parse_address(text) for name, text in planner_settings.peers.items()},
        acceptance_rules(operator_settings),
        planner_settings.tenant_shares,
        planner_settings.class_limits,
        planner_settings.max_forwarders,
        snapshot_folder,
    )
    return planner_server.PlannerServer(settings, make_machine(f"{seed} {planner_settings.name}"))
