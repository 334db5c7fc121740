"""Start of a sidecar from its configuration, and the reload of that configuration."""

from __future__ import annotations

import asyncio
import logging

from ryepier.balancer.settings_parser import SettingsError
from ryepier.sidecar import config
from ryepier.sidecar.components import PLATFORM, Components, EndpointSource
from ryepier.sidecar.connection_pool import ConnectionPool
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.graceful_shutdown import shut_down

log = logging.getLogger(__name__)

CONFIG_ERRORS = (OSError, KeyError, TypeError, ValueError, SettingsError)


async def follow_config(path: str, reload: asyncio.Event, source: EndpointSource) -> None:
    """Read the configuration again whenever `reload` is set; only the endpoint source takes part of it."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            source.apply_config(config.load(path))
        except CONFIG_ERRORS as error:  # a file that is half written or missing must cost no request
            log.warning("configuration not reloaded: %r", error)


async def serve(
    settings: config.Config, stop: asyncio.Event, reload: asyncio.Event, components: Components = PLATFORM
) -> None:
    """Serve until `stop` is set, then shut down gracefully."""
    max_connections = settings.max_descriptors * 3 // 8
    pool = ConnectionPool(settings.upstream_idle_timeout_us, settings.settings.connect_timeout_us, max_connections)
    dispatcher = RequestDispatcher(settings.settings, settings.seed, pool)
    source = components.source(settings, dispatcher)
    dispatcher.subscribe = source.subscribe
    source.restore_cached()
    dispatcher.start()
    source.start()
    front_ends = [make(settings, dispatcher) for make in components.front_ends]
    background_services = [make(settings, dispatcher, source) for make in components.background_services]
    following = asyncio.get_running_loop().create_task(follow_config(settings.path, reload, source))
    for service in background_services:
        service.start()
    await source.wait_for_first_list()
    for front_end in front_ends:
        front_end.listen()
    await stop.wait()
    following.cancel()
    await shut_down(dispatcher, front_ends)
    for service in background_services:
        service.stop()
