"""Case 9: a sidecar that starts again while discovery is down sends to converters that drain."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from stand_ins import (
    CONVERT_BATCH,
    CONVERT_FILE,
    Agent,
    Application,
    Attempt,
    Converter,
    Record,
    Sidecar,
    has_trouble,
    run_case,
    settings,
)

CONVERTERS = 12
DRAINING = 3
POD_SIZE = 4
REQUESTS_PER_S = 40.0
QUIET_S = 3.0  # before the sidecar is killed
DRAIN_DELAY_S = 0.5  # from the kill to the drain
OUTAGE_DELAY_S = 0.5  # from the drain to the outage of discovery
RESTART_DELAY_S = 0.5  # from the outage to the restart
OUTAGE_S = 8.0
REST_S = 3.0
DRAIN_GRACE_S = 0.55  # the settings' grace, and the 50 ms that a time limit is longer on sockets


class Drains:
    """Watches for requests that reach a draining converter too late after the sidecar was told."""

    def __init__(self, record: Record) -> None:
        """Start with no draining converters."""
        self.record = record
        self.told_at: dict[str, float] = {}
        self.breaches = 0

    def tell(self, uid: str, at: float) -> None:
        """Record that the sidecar was told, or counts as told, that a converter drains."""
        self.told_at[uid] = at
        self.record.add(f"told: {uid} drains", at)

    def on_attempt(self, attempt: Attempt) -> None:
        """Check an attempt; it counts from its last byte, which arrives no earlier than its first."""
        uid = attempt.converter.uid
        self.record.add(f"ran {attempt.request_id} at {uid}")
        late_s = attempt.at - self.told_at.get(uid, attempt.at)
        if late_s > DRAIN_GRACE_S:
            self.breaches += 1
            self.record.add(f"broken: {attempt.request_id} went to {uid} {late_s:.3f} s after it was told")


async def case(record: Record, temporary: Path) -> bool:
    """Return whether no draining converter got a request more than the grace after the sidecar was told."""
    drains = Drains(record)
    converters = [Converter(f"s-{index}", index // POD_SIZE, drains.on_attempt) for index in range(CONVERTERS)]
    for converter in converters:
        converter.start()
    agent = Agent(converter.entry() for converter in converters)
    await agent.start()
    limits = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
    sidecar = Sidecar(temporary, agent, settings([CONVERT_FILE, CONVERT_BATCH]), limits)
    applications: list[Application] = []

    async def send(duration_s: float) -> None:
        applications.append(Application(sidecar.listen, record, max_open=limits["sockets"] // 3))
        await applications[-1].send_steadily(REQUESTS_PER_S, duration_s)
        await applications[-1].finish()

    try:
        await sidecar.start()
        await send(QUIET_S)
        if has_trouble():
            sidecar.stop()  # the application stops with it
            record.add("the sidecar is killed")
        await asyncio.sleep(DRAIN_DELAY_S)
        agent.change([converter.entry("leaving") for converter in converters[:DRAINING]])
        told_at = time.monotonic()
        await asyncio.sleep(OUTAGE_DELAY_S)
        if has_trouble():
            agent.speaks.clear()
            record.add("discovery is down")
            asyncio.get_running_loop().call_later(OUTAGE_S, agent.speaks.set)
            await asyncio.sleep(RESTART_DELAY_S)
            told_at = time.monotonic()  # what the agent has counts from the first moment of the new process
            record.add("the sidecar starts again, with the list that it last had")
        for converter in converters[:DRAINING]:
            drains.tell(converter.uid, told_at)
        if has_trouble():
            await sidecar.start()
        await send(OUTAGE_S + REST_S)
    finally:
        sidecar.stop()
        agent.stop()
        for converter in converters:
            converter.stop()
    record.add(f"{'; '.join(application.summary() for application in applications)}")
    record.add(f"{drains.breaches} requests went to draining converters after the grace")
    return not drains.breaches


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
