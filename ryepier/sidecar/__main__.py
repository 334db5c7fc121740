"""One real sidecar: `python -m ryepier.sidecar`, told by its environment what it is."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Sequence

from ryepier.balancer.settings_parser import SettingsError
from ryepier.sidecar import config
from ryepier.sidecar.host import Host, clock_us
from ryepier.sidecar.logs import RateLimit
from ryepier.sidecar.parts import PLATFORM, Front, Parts, Source
from ryepier.sidecar.server import LONGEST_LINGER_S
from ryepier.sidecar.upstreams import Pool

log = logging.getLogger(__name__)

UNREADABLE = (OSError, KeyError, TypeError, ValueError, SettingsError)
STILL_COMING_S = 0.5  # after SIGTERM new connections come for up to 0.4 s
LONGEST_COUNTED_S = 3.0  # SIGKILL comes, at the soonest, so long after SIGTERM or, where it is shorter, the longest
KILL_AFTER_S = 0.7  # deadline, and so much more
KILL_MARGIN_S = 0.1  # the last answers set out so long before it


async def follow(path: str, reload: asyncio.Event, source: Source) -> None:
    """Read the configuration again whenever told to; of what it says only the source's part is taken."""
    while True:
        await reload.wait()
        reload.clear()
        try:
            source.reload(config.load(path))
        except UNREADABLE as error:
            # hazard: a file half written or gone must cost neither requests nor the list
            log.warning("the configuration can't be read and stays as it is: %r", error)


async def serve(settings: config.Config, stop: asyncio.Event, reload: asyncio.Event, parts: Parts = PLATFORM) -> None:
    """Serve until told to stop, then answer what comes and what is open."""
    loop = asyncio.get_running_loop()
    pool = Pool(settings.idle_us, settings.settings.connect_timeout_us, most=settings.sockets * 3 // 8)
    host = Host(settings.settings, settings.seed, pool)
    source = parts.source(settings, host)
    host.subscribe = source.subscribe
    source.recall()
    host.start()
    source.start()
    fronts = [make(settings, host) for make in parts.fronts]
    companions = [make(settings, host, source) for make in parts.companions]
    following = loop.create_task(follow(settings.path, reload, source))
    for companion in companions:
        companion.start()
    await source.first_list()
    for front in fronts:
        front.listen()
    await stop.wait()
    following.cancel()
    await end(host, fronts)
    for companion in companions:
        companion.stop()


async def end(host: Host, fronts: Sequence[Front]) -> None:
    """Answer what is open and what still comes, each before SIGKILL. Hazard: a process that ends sooner, with a
    request open, has lost it."""
    loop = asyncio.get_running_loop()
    longest_s = max(kind.deadline_us for kind in host.settings.classes) / 1e6
    last_s = min(longest_s, LONGEST_COUNTED_S) + KILL_AFTER_S - KILL_MARGIN_S
    last_at = loop.time() + last_s
    host.end_by(clock_us() + int(1e6 * last_s))
    listening_till = loop.time() + STILL_COMING_S
    while loop.time() < listening_till:
        for front in fronts:
            front.stop_idle()
        await asyncio.sleep(0.01)
    for front in fronts:
        front.stop_listening()
    while any(front.count() for front in fronts) and loop.time() < last_at:
        for front in fronts:
            front.stop_idle()
        await asyncio.sleep(0.01)
    for front in fronts:
        front.turn_away()
    while host.busy or (any(front.count() for front in fronts) and loop.time() < last_at + LONGEST_LINGER_S):
        await asyncio.sleep(0.01)


async def run(settings: config.Config, parts: Parts = PLATFORM) -> None:
    """Serve until SIGTERM; SIGHUP brings a new configuration."""
    stop, reload = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    # hazard: by default either signal ends the process and loses what is open; so before the first client
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    await serve(settings, stop, reload, parts)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP})  # the loop's end frees them


def main() -> int:
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
    try:
        settings = config.load(os.environ["BALANCER_CONFIG"])
    except UNREADABLE as error:
        print(f"ryepier.sidecar: configuration: {error!r}", file=sys.stderr)
        return 2
    asyncio.run(run(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
