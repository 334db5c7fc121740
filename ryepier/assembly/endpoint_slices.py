"""Creates the endpoint source that follows Kubernetes EndpointSlices.

The TLS and HTTP libraries are imported in the functions that use them, so that sidecars that do not use EndpointSlices
do not load them.
"""

from __future__ import annotations

import logging
from pathlib import Path
from typing import TYPE_CHECKING

from ryepier.conf.operator_settings import EndpointSliceSettings, OperatorSettings
from ryepier.sidecar import config as platform
from ryepier.sidecar.components import EndpointSource
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.system import clock_us

if TYPE_CHECKING:
    from ryepier.slices.slice_source import Settings

log = logging.getLogger(__name__)


def make_slice_source(
    operator_settings: OperatorSettings, config: platform.Config, dispatcher: RequestDispatcher
) -> EndpointSource:
    """Create the endpoint source that replaces the platform's discovery. Raises AccessError."""
    from ryepier.slices.slice_source import SliceSource  # loads the TLS and HTTP libraries

    settings = slice_source_settings(operator_settings.slices, config)
    log.info(
        "using the EndpointSlices of %s/%s in place of the platform's discovery",
        settings.namespace,
        settings.service,
    )
    return SliceSource(settings, dispatcher.on_endpoints, clock_us)


def resolve_namespace(slices: EndpointSliceSettings) -> str:
    """Return the configured namespace, or else the pod's own. Raises AccessError if neither is available."""
    from ryepier.slices.api_client import SERVICE_ACCOUNT_FOLDER, AccessError

    if slices.namespace:
        return slices.namespace
    try:
        return (SERVICE_ACCOUNT_FOLDER / "namespace").read_text(encoding="ascii").strip()
    except OSError:
        raise AccessError("slices.namespace is not set, and this process does not run in a pod") from None


def slice_source_settings(slices: EndpointSliceSettings, config: platform.Config) -> Settings:
    """Return the settings of a `SliceSource`, made from the operators' and the platform's. Raises AccessError."""
    from ryepier.slices.api_client import find_access
    from ryepier.slices.endpoint_listing import ListingRules
    from ryepier.slices.slice_source import Settings

    access = find_access(
        slices.server, slices.token_file, slices.ca_file, slices.client_cert_file, slices.client_key_file
    )
    rules = ListingRules(config.zones, len(config.kinds), slices.failure_domain_scope, slices.settle_ms * 1000)
    return Settings(
        access,
        resolve_namespace(slices),
        slices.service,
        rules,
        slices.port,
        slices.watch_s,
        slices.hold_s * 1_000_000,
        Path(slices.cache) if slices.cache else None,
        not config.settings.polls_endpoints,
        config.seed,
    )
