"""Case 6: six in ten converters of a large fleet are replaced, and the sidecar stops answering."""

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
    allow_descriptors,
    has_trouble,
    run_case,
    settings,
)

CONVERTERS = 3200  # the pages' largest fleet
REPLACED = CONVERTERS * 6 // 10
POD_SIZE = 4
REQUESTS_PER_S = 90.0
TRY_SHARE = 0.6  # of the time of its class, after which a try is given up
QUIET_S = 3.0  # before the first converter is replaced
REPLACEMENT_S = 7.0
STEP_S = 0.25  # the agent tells all changes of this time in one object
LIST_DELAY_S = 1.0  # a new converter is listed this long after its start
REST_S = 17.0
DESCRIPTORS = 8000


async def replace_converters(agent: Agent, converters: list[Converter]) -> None:
    """Replace REPLACED converters within REPLACEMENT_S: the old ones drain, as many new ones start."""
    await asyncio.sleep(QUIET_S)
    steps = int(REPLACEMENT_S / STEP_S)
    for step in range(steps):
        boot_ms = int((time.time() - LIST_DELAY_S) * 1000)
        indexes = range(REPLACED * step // steps, REPLACED * (step + 1) // steps)
        draining = [converters[index].entry("leaving") for index in indexes]
        started = [converters[CONVERTERS + index].entry(boot_ms=boot_ms) for index in indexes]
        agent.change(draining + started)
        await asyncio.sleep(STEP_S)


async def case(record: Record, temporary: Path) -> bool:
    """Return whether every request got its final answer in time."""
    allow_descriptors(DESCRIPTORS)

    def on_attempt(attempt: Attempt) -> None:
        record.add(f"ran {attempt.request_id} at {attempt.converter.uid}")

    converters = [Converter(f"s-{index}", index // POD_SIZE, on_attempt) for index in range(CONVERTERS + REPLACED)]
    for converter in converters:
        converter.start()
    agent = Agent(converter.entry() for converter in converters[:CONVERTERS])
    await agent.start()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    sidecar = Sidecar(temporary, agent, settings([CONVERT_FILE, CONVERT_BATCH], instances=200), limits)
    try:
        await sidecar.start()
        application = Application(sidecar.listen, record, limits["sockets"] // 3, TRY_SHARE)
        replacement = asyncio.create_task(replace_converters(agent, converters)) if has_trouble() else None
        await application.send_steadily(REQUESTS_PER_S, QUIET_S + REPLACEMENT_S + REST_S)
        await application.finish()
        if replacement is not None:
            await replacement
    finally:
        sidecar.stop()
        agent.stop()
        for converter in converters:
            converter.stop()
    lost = application.lost_requests()
    record.add(f"{len(application.requests)} requests; {application.summary()}")
    record.add(f"{len(lost)} requests got no final answer within half a second after their time")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(case, Path(__file__).resolve().parent))
