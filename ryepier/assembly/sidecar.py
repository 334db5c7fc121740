"""Selects the components of a sidecar according to the operators' settings and the platform's configuration.

Large libraries are imported in the functions that use them, so that a sidecar loads only those of its features.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from ryepier.assembly.endpoint_slices import make_slice_source, slice_source_settings
from ryepier.assembly.errors import AssemblyError
from ryepier.assembly.planning import make_forwarder
from ryepier.conf.operator_settings import OperatorSettings
from ryepier.sidecar import config as platform
from ryepier.sidecar.components import PLATFORM_COMPONENTS, BackgroundService, Components, EndpointSource
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.system import clock_us


def make_retry_guard(
    operator_settings: OperatorSettings, config: platform.Config, dispatcher: RequestDispatcher, source: EndpointSource
) -> BackgroundService:
    """Create the guard against retry storms, and register it with the dispatcher as retry detector and observer."""
    from ryepier.storm.retry_storm_guard import RetryStormGuard
    from ryepier.storm.storm_detector import RetryStormDetector

    settings = config.settings
    shares = [tenant.share or tenant.allowance_per_s for tenant in settings.tenants]
    total_share = sum(shares) or 1.0
    guard = RetryStormGuard(
        RetryStormDetector(
            clock_us(),
            [share / total_share for share in shares],
            settings.max_retry_after_us,
            operator_settings.retry_guard.rounds_to_seconds,
        ),
        dispatcher.on_retry_storm,
        clock_us,
    )
    dispatcher.retry_detector = guard
    dispatcher.add_observer(guard)
    return guard


def check_settings(operator_settings: OperatorSettings, config: platform.Config) -> None:
    """Raise AssemblyError if the operators' settings do not fit the platform's configuration."""
    if operator_settings.forwarder.planners and not (operator_settings.forwarder.name or config.name):
        raise AssemblyError("plan.name is not set, and the platform's configuration has no name for the forwarder")
    if operator_settings.slices.service:
        from ryepier.slices.api_client import AccessError

        try:
            slice_source_settings(operator_settings.slices, config)
        except AccessError as error:
            raise AssemblyError(f"slices: {error}") from None
    if operator_settings.graphql.enabled:
        from ryepier.fronts.graphql import make_classification_table

        try:
            make_classification_table(operator_settings.graphql, config.settings)
        except ValueError as error:
            raise AssemblyError(f"graphql: {error}") from None


def select_components(operator_settings: OperatorSettings) -> Components:
    """Return the platform's components, extended or replaced by those that the operators' settings enable."""
    components = PLATFORM_COMPONENTS
    if operator_settings.slices.service:
        components = replace(components, source=partial(make_slice_source, operator_settings))
    if operator_settings.graphql.enabled:
        from ryepier.fronts.graphql import make_front_end_factories  # loads graphql-core

        components = replace(components, front_ends=make_front_end_factories(operator_settings.graphql))
    if operator_settings.forwarder.planners:
        components = replace(
            components,
            background_services=(*components.background_services, partial(make_forwarder, operator_settings)),
        )
    if operator_settings.retry_guard.enabled:
        components = replace(
            components,
            background_services=(*components.background_services, partial(make_retry_guard, operator_settings)),
        )
    return components
