"""The GraphQL front over sockets: the same rules as for plain HTTP, answers in GraphQL's words."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from ryepier.assembly.sidecar import select_components
from ryepier.balancer.interface import ListKind, Upstream, UpstreamsUpdated
from ryepier.conf import operator_settings
from ryepier.sidecar import components
from ryepier.sidecar.config import Config, load
from ryepier.sidecar.dispatcher import RequestDispatcher
from ryepier.sidecar.serving import serve
from tests.loopback_ports import free_port
from tests.network_peers import (
    HANG_TIMEOUT_S,
    NOT_RUN,
    OK,
    SETTINGS,
    request,
    respond_in_turn,
    wait_until,
    write_configuration,
)
from tests.network_peers import Upstream as Peer

CLASSES = [
    {"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "at_most_once", "worth": 10.0},
    {"name": "look", "aim": 400000, "deadline": 1200000, "effect": "idempotent", "worth": 1.0},
]
TABLE = '[graphql]\npath = "/graphql"\nqueries = "look"\nmutations = "pay"\n'
QUERY, MUTATION = "{ status }", "mutation { convert }"


class Fixed:
    """A source that tells of one converter, or of none."""

    def __init__(self, host: RequestDispatcher, port: int) -> None:
        self.host = host
        self.port = port

    def restore_cached(self) -> None:
        if self.port:
            self.host.on_endpoints(UpstreamsUpdated(ListKind.FULL, [Upstream(1)]), {1: ("127.0.0.1", self.port)})

    def start(self) -> None:
        pass

    async def wait_for_first_list(self) -> None:
        pass

    def subscribe(self, active: bool) -> None:
        self.restore_cached()

    def upstream_ids(self) -> dict[str, int]:
        return {"c1": 1}

    def apply_config(self, config: Config) -> None:
        pass


def http(query: str | bytes, method: str = "POST", target: str = "/graphql", **headers: str) -> bytes:
    body = query if isinstance(query, bytes) else json.dumps({"query": query}).encode()
    lines = [f"{method} {target} HTTP/1.1", "Host: x"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + (body if method == "POST" else b"")


class Front:
    def __init__(self, port: int) -> None:
        self.port = port

    async def fetch(self, data: bytes) -> tuple[int, dict[str, str], Any]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        body = await reader.readexactly(int(headers["content-length"]))
        writer.close()
        kind = headers.get("content-type", "")
        return int(head[0].split()[1]), headers, json.loads(body) if "json" in kind else body


def with_front(
    folder: Path,
    script: Any,
    test: Callable[[Front, Peer], Awaitable[None]],
    table: str = TABLE,
    reachable: bool = True,
) -> None:
    async def play() -> None:
        peer = Peer(script)
        await peer.start()
        config = load(str(write_configuration(folder, known=None, settings=SETTINGS | {"request-classes": CLASSES})))
        made = select_components(operator_settings.parse(table, {}))
        port = config.listen[1]
        stop = asyncio.Event()
        task = asyncio.create_task(
            serve(
                config,
                stop,
                asyncio.Event(),
                components.Components(lambda config, host: Fixed(host, peer.port if reachable else 0), made.front_ends),
            )
        )
        async with asyncio.timeout(HANG_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.close()
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            await test(Front(port), peer)
            stop.set()
            await task
        peer.stop()

    asyncio.run(play())


def reply(status: int, body: str, kind: str = "application/graphql-response+json") -> bytes:
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()


def test_query_is_retried_after_a_reset_and_a_mutation_is_not(tmp_path: Path) -> None:
    async def test(front: Front, peer: Peer) -> None:
        status, _, body = await front.fetch(http(MUTATION))
        assert status == 500 and len(peer.requests) == 1
        assert body["errors"][0]["extensions"] == {"code": "UPSTREAM_FAILED", "mayHaveRun": True}
        assert "data" not in body
        status, headers, body = await front.fetch(http(QUERY))
        assert (status, body, len(peer.requests)) == (200, {"data": {"status": 1}}, 3)
        assert headers["content-type"] == "application/graphql-response+json"

    with_front(tmp_path, respond_in_turn(b"", b"", reply(200, '{"data":{"status":1}}')), test)


def test_response_with_graphql_errors_is_forwarded_and_not_retried(tmp_path: Path) -> None:
    partial = '{"data":{"status":null},"errors":[{"message":"half"}]}'
    refused = '{"errors":[{"message":"no such field"}]}'

    async def test(front: Front, peer: Peer) -> None:
        assert (await front.fetch(http(QUERY)))[::2] == (200, json.loads(partial))
        assert (await front.fetch(http(QUERY)))[::2] == (400, json.loads(refused))
        assert len(peer.requests) == 2

    with_front(tmp_path, respond_in_turn(reply(200, partial), reply(400, refused)), test)


def test_rejection_has_retry_after_at_once_and_in_graphql(tmp_path: Path) -> None:
    async def test(front: Front, peer: Peer) -> None:
        begun = asyncio.get_running_loop().time()
        status, headers, body = await front.fetch(http(MUTATION, Accept="application/json"))
        assert status == 503 and body["errors"][0]["extensions"]["code"] == "OVERLOADED"
        assert headers["content-type"] == "application/json" and body["errors"][0]["extensions"]["mayHaveRun"] is False
        assert asyncio.get_running_loop().time() - begun < 1.0

    with_front(tmp_path, respond_in_turn(NOT_RUN), test)


def test_converter_gets_the_classified_bytes_with_class_and_id_of_the_front(tmp_path: Path) -> None:
    async def test(front: Front, peer: Peer) -> None:
        await front.fetch(http(QUERY, X_Class="pay", Idempotency_Key="k", X_Request_Id="r1"))
        head, body = peer.requests[0]
        assert b"X-Class: look\r\n" in head and b"X-Request-Id: r1\r\n" in head and b"Idempotency-Key" not in head
        assert json.loads(body) == {"query": QUERY}
        await front.fetch(http("", "GET", "/graphql?query=%7Bstatus%7D"))
        head, body = peer.requests[1]
        assert head.startswith(b"POST /graphql HTTP/1.1\r\n") and json.loads(body) == {"query": "{status}"}
        assert b"X-Request-Id: " in head

    with_front(tmp_path, respond_in_turn(reply(200, "{}")), test)


NOT_TAKEN = [
    (http("", "GET", "/graphql?query=mutation%7Bconvert%7D"), 405, "METHOD_NOT_ALLOWED"),
    (http("", "DELETE"), 405, "METHOD_NOT_ALLOWED"),
    (http("{"), 400, "GRAPHQL_PARSE_FAILED"),
    (http(b'{"query": "{a}", "query": "{b}"}'), 400, "BAD_REQUEST"),
    (http(QUERY, Accept="text/html"), 406, "NOT_ACCEPTABLE"),
    (http(QUERY, X_Deadline_Ms="soon"), 400, "BAD_REQUEST"),
    (http(QUERY, Content_Encoding="gzip"), 415, "UNSUPPORTED_MEDIA_TYPE"),
    (http("subscription { a }"), 400, "SUBSCRIPTIONS_NOT_SUPPORTED"),
    (http(b'{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"x"}}}'), 200, "PERSISTED_QUERY_NOT_FOUND"),
]


def test_rejected_request_is_answered_in_graphql_and_reaches_no_converter(tmp_path: Path) -> None:
    async def test(front: Front, peer: Peer) -> None:
        for data, status, code in NOT_TAKEN:
            got, headers, body = await front.fetch(data)
            assert (got, body["errors"][0]["extensions"]["code"]) == (status, code)
            assert status != 405 or "POST" in headers["allow"]
        assert peer.requests == []

    with_front(tmp_path, respond_in_turn(OK), test)


def test_plain_requests_are_served_beside_it_and_an_own_listener_accepts_any_path(tmp_path: Path) -> None:
    own = free_port()

    async def test(front: Front, peer: Peer) -> None:
        status, _, _ = await front.fetch(request("pay", body=b"b", deadline_ms=1000))
        assert status == 200 and peer.requests[0][0].startswith(b"POST /pay/it")
        status, _, _ = await Front(own).fetch(http(QUERY, target="/any"))
        assert status == 200 and peer.requests[1][0].startswith(b"POST /any HTTP")
        status, _, _ = await front.fetch(http(QUERY))
        assert status == 404

    table = TABLE.replace('path = "/graphql"', f'listen = "127.0.0.1:{own}"')
    with_front(tmp_path, respond_in_turn(reply(200, "{}")), test, table)


def test_connection_stays_open_after_a_request_rejected_for_its_content(tmp_path: Path) -> None:
    async def test(front: Front, peer: Peer) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", front.port)
        for data, status in ((http("{"), b"400"), (http(QUERY), b"200")):
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == status and b"Connection: close" not in head
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
        writer.close()
        await wait_until(lambda: len(peer.requests) == 1)

    with_front(tmp_path, respond_in_turn(reply(200, "{}")), test)
