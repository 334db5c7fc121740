"""Upstreams that never respond to some requests."""

from __future__ import annotations

import asyncio

from ryepier.balancer.interface import Idempotency, RequestClass
from ryepier.balancer.tuning import MAX_CONCURRENCY
from tests.network_peers import (
    HANG_TIMEOUT_S,
    OK,
    Upstream,
    never_respond,
    read_message,
    request,
    run_async,
    sidecar,
    status_of,
    wait_until,
)

CLASSES = [
    RequestClass(
        name,
        latency_objective_us=200_000,
        deadline_us=600_000_000,
        late_weight=0.5,
        idempotency=Idempotency.NON_IDEMPOTENT,
    )
    for name in ("pay", "order")
]


def test_unanswered_requests_release_the_slots_of_an_upstream_that_answers_others() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if upstream.requests[request_index][1] == b"lost":
                await never_respond(upstream, request_index, reader, writer)
            await asyncio.sleep(0.02)  # lets requests overlap, so that the sidecar allows more slots
            writer.write(OK)

        upstream = Upstream(script)

        def unanswered_count() -> int:
            return sum(1 for _, body in upstream.requests if body == b"lost")

        async with sidecar(upstream, classes=CLASSES) as running_sidecar, asyncio.timeout(HANG_TIMEOUT_S):
            while {
                status_of(response)
                for response in await asyncio.gather(
                    *(running_sidecar.fetch(request("pay", body=b"b")) for _ in range(6))
                )
            } != {200}:
                pass
            unanswered_requests = []
            # until more requests are unanswered than the upstream can have slots
            while (count_before := unanswered_count()) <= MAX_CONCURRENCY:
                reader, writer = await running_sidecar.connect()
                writer.write(request("pay", body=b"lost", deadline_ms=600_000))
                response = asyncio.create_task(read_message(reader))
                while not response.done() and unanswered_count() == count_before:
                    await asyncio.sleep(0.005)
                unanswered_requests.append((response, writer))
                for _ in range(3):
                    await running_sidecar.fetch(request("pay", body=b"b"))
            while status_of(await running_sidecar.fetch(request("pay", body=b"b"))) != 200:
                pass
            for response, writer in unanswered_requests:
                response.cancel()
                writer.close()

    run_async(test)


def test_unanswered_request_releases_the_only_slot_of_an_upstream() -> None:
    async def test() -> None:
        async def script(
            upstream: Upstream, request_index: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if request_index == 0:
                await never_respond(upstream, request_index, reader, writer)
            writer.write(OK)

        upstream = Upstream(script)
        async with sidecar(upstream, classes=CLASSES) as running_sidecar, asyncio.timeout(HANG_TIMEOUT_S):
            _, writer = await running_sidecar.connect()
            writer.write(request("pay", deadline_ms=600_000))
            await wait_until(lambda: len(upstream.requests) == 1)
            while status_of(await running_sidecar.fetch(request("pay"))) != 200:
                await asyncio.sleep(0.01)
            writer.close()

    run_async(test)
