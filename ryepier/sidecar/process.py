"""The sidecar process: reads its configuration, serves until SIGTERM, and reloads the configuration at SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys

from ryepier.sidecar import config
from ryepier.sidecar.components import PLATFORM_COMPONENTS, Components
from ryepier.sidecar.logs import RateLimitFilter
from ryepier.sidecar.serving import CONFIG_ERRORS, serve

EXIT_INVALID_CONFIG = 2


async def run(sidecar_config: config.Config, components: Components = PLATFORM_COMPONENTS) -> None:
    """Serve until SIGTERM; SIGHUP reloads the configuration."""
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # By default either signal ends the process and drops open requests, so install the handlers before serving clients.
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await serve(sidecar_config, stop, reload, components)
    # Closing the event loop removes the handlers, and a further signal would then kill the process before it exits. So
    # both signals are blocked from here on.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})


def main() -> int:
    """Run the sidecar and return its exit status: 0 after SIGTERM, 2 if the configuration is invalid."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
    try:
        sidecar_config = config.load(os.environ["BALANCER_CONFIG"])
    except CONFIG_ERRORS as error:
        print(f"ryepier.sidecar: configuration: {error!r}", file=sys.stderr)
        return EXIT_INVALID_CONFIG
    asyncio.run(run(sidecar_config))
    return 0
