"""Starts a sidecar from its configuration and reloads that configuration."""

from __future__ import annotations

import asyncio
import logging

from ryepier.balancer.settings_parser import SettingsError
from ryepier.sidecar import config
from ryepier.sidecar.components import PLATFORM_COMPONENTS, Components, EndpointSource
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.graceful_shutdown import shut_down

log = logging.getLogger(__name__)

CONFIG_ERRORS = (OSError, KeyError, TypeError, ValueError, SettingsError)


async def follow_config(path: str, reload: asyncio.Event, source: EndpointSource) -> None:
    """Reload the configuration whenever `reload` is set; only the endpoint source applies the new values."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            source.apply_config(config.load(path))
        except CONFIG_ERRORS as error:  # a missing or incomplete file must not affect requests
            log.warning("configuration not reloaded: %r", error)


async def is_current_before(stop: asyncio.Event, source: EndpointSource) -> bool:
    """Wait for the first list of a source; return False if `stop` was set before it came."""
    waits = [asyncio.ensure_future(source.wait_for_first_list()), asyncio.ensure_future(stop.wait())]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
    return not stop.is_set()


async def serve(
    sidecar_config: config.Config,
    stop: asyncio.Event,
    reload: asyncio.Event,
    components: Components = PLATFORM_COMPONENTS,
) -> None:
    """Serve until `stop` is set, then shut down gracefully; `reload` triggers a reload of the configuration file.

    The cached list of `sidecar_config` is dropped once it is applied, as a long one takes megabytes.
    """
    max_connections = sidecar_config.max_descriptors * 3 // 8
    pool = ConnectionPool(
        sidecar_config.upstream_idle_timeout_us, sidecar_config.settings.connect_timeout_us, max_connections
    )
    dispatcher = RequestDispatcher(sidecar_config.settings, sidecar_config.seed, pool)
    source = components.source(sidecar_config, dispatcher)
    dispatcher.subscribe = source.subscribe
    sidecar_config.cached_list = None  # the source has it
    source.restore_cached_list()
    dispatcher.start()
    source.start()
    front_ends = [make_front_end(sidecar_config, dispatcher) for make_front_end in components.front_ends]
    background_services = [
        make_service(sidecar_config, dispatcher, source) for make_service in components.background_services
    ]
    reload_task = asyncio.get_running_loop().create_task(follow_config(sidecar_config.path, reload, source))
    for service in background_services:
        service.start()
    if await is_current_before(stop, source):
        for front_end in front_ends:
            front_end.listen()
    await stop.wait()
    reload_task.cancel()
    await shut_down(dispatcher, front_ends)
    for service in background_services:
        service.stop()
