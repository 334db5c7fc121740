"""A sidecar's parts and a planner's settings, from what the operators' file and the platform's say.

Heavier libraries come in with what uses them, and only there.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from functools import partial
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from ryepier.conf import operator_settings as conf
from ryepier.conf.operator_settings import OperatorSettings
from ryepier.plan import forwarder, plan_follower
from ryepier.plan.machine import Machine
from ryepier.sidecar import config as platform
from ryepier.sidecar import system
from ryepier.sidecar.components import PLATFORM, Companion, Components, EndpointSource
from ryepier.sidecar.config import parse_address
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.system import clock_us

if TYPE_CHECKING:
    from ryepier.plan.planner_server import PlannerServer
    from ryepier.slices.slice_source import Settings

log = logging.getLogger(__name__)


class AssemblyError(ValueError):
    """The two files do not go together; says how."""


def machine(seed: str) -> Machine:
    """What this process runs on. Hazard: sidecars that are alike but for their names must not draw alike."""
    return Machine(clock_us, lambda: system.unix_ns() // 1000, Random(seed))


def acceptance_rules(operators: OperatorSettings) -> plan_follower.AcceptanceRules:
    """The operators' [trust] as the plan's own rules."""
    acceptance = operators.acceptance
    return plan_follower.AcceptanceRules(
        acceptance.fleet,
        acceptance.min_reporters,
        acceptance.min_window_ms,
        acceptance.min_covered,
        acceptance.max_ejected,
        acceptance.min_weight,
    )


def make_forwarder(
    operators: OperatorSettings, config: platform.Config, host: RequestDispatcher, source: EndpointSource
) -> Companion:
    """The part that reports to planners and follows their plans, as the host's observer."""

    def ready() -> dict[str, int]:
        return {uid: ident for uid, ident in source.upstream_ids().items() if ident in host.addresses}

    plan = operators.plan
    settings = forwarder.Settings(
        plan.name or config.name,
        [parse_address(text) for text in plan.planners],
        acceptance_rules(operators),
        plan.report_ms / 1000,
    )
    sidecar = forwarder.Sidecar(
        ready,
        host.on_plan,
        [kind.latency_objective_us for kind in config.settings.classes],
        len(config.settings.tenants),
    )
    made = forwarder.Forwarder(settings, sidecar, machine(f"{config.seed} {settings.name}"))
    host.add_observer(made)
    return made


def make_guard(
    operators: OperatorSettings, config: platform.Config, host: RequestDispatcher, source: EndpointSource
) -> Companion:
    """The guard against retry storms, as the host's recogniser and one of its observers."""
    from ryepier.storm.retry_storm_guard import RetryStormGuard
    from ryepier.storm.storm_detector import RetryStormDetector

    settings = config.settings
    shares = [tenant.share or tenant.allowance_per_s for tenant in settings.tenants]
    whole = sum(shares) or 1.0
    made = RetryStormGuard(
        RetryStormDetector(
            clock_us(),
            [share / whole for share in shares],
            settings.max_retry_after_us,
            operators.storm.rounds_to_seconds,
        ),
        host.on_retry_storm,
        clock_us,
    )
    host.retry_detector = made
    host.add_observer(made)
    return made


def make_slice_source(operators: OperatorSettings, config: platform.Config, host: RequestDispatcher) -> EndpointSource:
    """The EndpointSlices that the operators' file names, in place of the platform's discovery."""
    from ryepier.slices.slice_source import SliceSource  # with TLS and all: only where it is used

    settings = source_settings(operators.slices, config)
    log.info(
        "the list comes from the EndpointSlices of %s/%s; the platform's discovery is not asked",
        settings.namespace,
        settings.service,
    )
    return SliceSource(settings, host.on_endpoints, clock_us)


def namespace_of(slices: conf.EndpointSliceSettings) -> str:
    """As named, or else the pod's own. Raises AccessError."""
    from ryepier.slices.api_client import POD, AccessError

    if slices.namespace:
        return slices.namespace
    try:
        return (POD / "namespace").read_text(encoding="ascii").strip()
    except OSError:
        raise AccessError("slices.namespace is not set, and this is no pod that would tell") from None


def source_settings(slices: conf.EndpointSliceSettings, config: platform.Config) -> Settings:
    """What a sidecar's source is told. Raises AccessError."""
    from ryepier.slices.api_client import find_access
    from ryepier.slices.endpoint_listing import ListingRules
    from ryepier.slices.slice_source import Settings

    access = find_access(
        slices.server, slices.token_file, slices.ca_file, slices.client_cert_file, slices.client_key_file
    )
    rules = ListingRules(config.zones, len(config.kinds), slices.failure_domain, slices.settle_ms * 1000)
    return Settings(
        access,
        namespace_of(slices),
        slices.service,
        rules,
        slices.port,
        slices.watch_s,
        slices.hold_s * 1_000_000,
        Path(slices.cache) if slices.cache else None,
        not config.settings.polls_endpoints,
        config.seed,
    )


def check(operators: OperatorSettings, config: platform.Config) -> None:
    """Raises AssemblyError where the operators' file asks for what can't be had."""
    if operators.plan.planners and not (operators.plan.name or config.name):
        raise AssemblyError("a forwarder needs a name: none in the platform's configuration, and no plan.name")
    if operators.slices.service:
        from ryepier.slices.api_client import AccessError

        try:
            source_settings(operators.slices, config)
        except AccessError as error:
            raise AssemblyError(f"slices: {error}") from None
    if operators.graphql.enabled:
        from ryepier.fronts.graphql import make_table

        try:
            make_table(operators.graphql, config.settings)
        except ValueError as error:
            raise AssemblyError(f"graphql: {error}") from None


def parts_for(operators: OperatorSettings) -> Components:
    """The platform's parts, and what the operators' file adds to them or puts in their place."""
    parts = PLATFORM
    if operators.slices.service:
        parts = replace(parts, source=partial(make_slice_source, operators))
    if operators.graphql.enabled:
        from ryepier.fronts.graphql import make_fronts  # with graphql-core: only where it is used

        parts = replace(parts, front_ends=make_fronts(operators.graphql))
    if operators.plan.planners:
        parts = replace(parts, companions=(*parts.companions, partial(make_forwarder, operators)))
    if operators.storm.enabled:
        parts = replace(parts, companions=(*parts.companions, partial(make_guard, operators)))
    return parts


def make_planner(operators: OperatorSettings, seed: int) -> PlannerServer:
    """A planner, not started. Raises AssemblyError."""
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
    return planner_server.PlannerServer(settings, machine(f"{seed} {own.name}"))
