"""Select the components of a sidecar by the settings of operators and platform.

Heavier libraries are imported by the functions that need them.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from ryepier.assembly.endpoint_slices import make_slice_source, source_settings
from ryepier.assembly.errors import AssemblyError
from ryepier.assembly.planning import make_forwarder
from ryepier.conf.operator_settings import OperatorSettings
from ryepier.sidecar import config as platform
from ryepier.sidecar.components import PLATFORM, BackgroundService, Components, EndpointSource
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.system import clock_us


def make_retry_guard(
    operators: OperatorSettings, config: platform.Config, dispatcher: RequestDispatcher, source: EndpointSource
) -> BackgroundService:
    """Create the retry storm guard; it detects retries for the dispatcher and observes its requests."""
    from ryepier.storm.retry_storm_guard import RetryStormGuard
    from ryepier.storm.storm_detector import RetryStormDetector

    settings = config.settings
    shares = [tenant.share or tenant.allowance_per_s for tenant in settings.tenants]
    total = sum(shares) or 1.0
    made = RetryStormGuard(
        RetryStormDetector(
            clock_us(),
            [share / total for share in shares],
            settings.max_retry_after_us,
            operators.storm.rounds_to_seconds,
        ),
        dispatcher.on_retry_storm,
        clock_us,
    )
    dispatcher.retry_detector = made
    dispatcher.add_observer(made)
    return made


def check_settings(operators: OperatorSettings, config: platform.Config) -> None:
    """Raise AssemblyError where the operators' settings and the platform's contradict each other."""
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


def select_components(operators: OperatorSettings) -> Components:
    """Return the platform's components with those that the operators add or replace."""
    components = PLATFORM
    if operators.slices.service:
        components = replace(components, source=partial(make_slice_source, operators))
    if operators.graphql.enabled:
        from ryepier.fronts.graphql import make_fronts  # with graphql-core: only where it is used

        components = replace(components, front_ends=make_fronts(operators.graphql))
    if operators.plan.planners:
        components = replace(
            components, background_services=(*components.background_services, partial(make_forwarder, operators))
        )
    if operators.storm.enabled:
        components = replace(
            components, background_services=(*components.background_services, partial(make_retry_guard, operators))
        )
    return components
