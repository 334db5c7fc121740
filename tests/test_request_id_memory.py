"""The request ids that a sidecar remembers while one client sends requests at full speed."""

from __future__ import annotations

import pytest

from ryepier.sidecar.request_ids import RecentRequestIds
from tests.network_peers import OK, Upstream, read_message, request, respond_in_turn, run_async, sidecar, status_of
from tests.sidecar_probes import record_servers

REQUESTS = 200


# Guards against memory that grows with each request of a client that sends at full speed: the ids of requests that no
# converter had seen were remembered for up to two deadlines, at a rate that no converter limits.
def test_ids_of_requests_that_were_never_sent_are_not_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    servers = record_servers(monkeypatch)

    async def test() -> None:
        async with sidecar(Upstream(respond_in_turn(OK))) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            for number in range(REQUESTS):
                writer.write(request("pay", f"unsent-{number}", deadline_ms=1))
                assert status_of(await read_message(reader)) == 503
            assert len(servers[0].dispatcher.recent_ids) == 0
            writer.write(request("pay", "sent"))
            assert status_of(await read_message(reader)) == 200
            assert len(servers[0].dispatcher.recent_ids) == 1
            writer.write(request("pay", "sent"))  # it has run, so it may not run again
            assert status_of(await read_message(reader)) == 409
            writer.close()

    run_async(test)


def test_discarded_id_is_new_again() -> None:
    recent_ids = RecentRequestIds(period_s=4.0)
    assert recent_ids.add(b"a") and not recent_ids.add(b"a")
    recent_ids.discard(b"a")
    assert recent_ids.add(b"a")
