"""The GraphQL front end over loopback sockets: retries, forwarded requests, and errors in GraphQL's response format."""

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
from tests.network_peers import Upstream as ScriptedUpstream

CLASSES = [
    {"name": "pay", "aim": 400000, "deadline": 1200000, "effect": "at_most_once", "worth": 10.0},
    {"name": "look", "aim": 400000, "deadline": 1200000, "effect": "idempotent", "worth": 1.0},
]
GRAPHQL_SETTINGS = '[graphql]\npath = "/graphql"\nqueries = "look"\nmutations = "pay"\n'
QUERY, MUTATION = "{ status }", "mutation { convert }"


class FixedSource:
    """An endpoint source whose list has one converter at `port`, or none if `port` is 0."""

    def __init__(self, dispatcher: RequestDispatcher, port: int) -> None:
        self.dispatcher = dispatcher
        self.port = port

    def restore_cached_list(self) -> None:
        if self.port:
            self.dispatcher.on_endpoints(UpstreamsUpdated(ListKind.FULL, [Upstream(1)]), {1: ("127.0.0.1", self.port)})

    def start(self) -> None:
        pass

    async def wait_for_first_list(self) -> None:
        pass

    def subscribe(self, active: bool) -> None:
        self.restore_cached_list()

    def upstream_ids(self) -> dict[str, int]:
        return {"c1": 1}

    def apply_config(self, config: Config) -> None:
        pass


def http_request(query: str | bytes, method: str = "POST", target: str = "/graphql", **headers: str) -> bytes:
    body = query if isinstance(query, bytes) else json.dumps({"query": query}).encode()
    lines = [f"{method} {target} HTTP/1.1", "Host: x"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + (body if method == "POST" else b"")


class FrontClient:
    """An HTTP client that opens a new connection to the front end for each request."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def fetch(self, request_bytes: bytes) -> tuple[int, dict[str, str], Any]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request_bytes)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
        body = await reader.readexactly(int(headers["content-length"]))
        writer.close()
        content_type = headers.get("content-type", "")
        return int(head[0].split()[1]), headers, json.loads(body) if "json" in content_type else body


def run_with_front_end(
    folder: Path,
    script: Any,
    test: Callable[[FrontClient, ScriptedUpstream], Awaitable[None]],
    settings_text: str = GRAPHQL_SETTINGS,
    reachable: bool = True,
) -> None:
    async def run() -> None:
        upstream = ScriptedUpstream(script)
        await upstream.start()
        config = load(str(write_configuration(folder, known=None, settings=SETTINGS | {"request-classes": CLASSES})))
        selected_components = select_components(operator_settings.parse(settings_text, {}))
        port = config.listen[1]
        stop_event = asyncio.Event()
        task = asyncio.create_task(
            serve(
                config,
                stop_event,
                asyncio.Event(),
                components.Components(
                    lambda config, dispatcher: FixedSource(dispatcher, upstream.port if reachable else 0),
                    selected_components.front_ends,
                ),
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
            await test(FrontClient(port), upstream)
            stop_event.set()
            await task
        upstream.stop()

    asyncio.run(run())


def http_response(status: int, body: str, content_type: str = "application/graphql-response+json") -> bytes:
    return (
        f"HTTP/1.1 {status} X\r\nContent-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def test_query_is_retried_after_a_reset_and_a_mutation_is_not(tmp_path: Path) -> None:
    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        status, _, body = await client.fetch(http_request(MUTATION))
        assert status == 500 and len(upstream.requests) == 1
        assert body["errors"][0]["extensions"] == {"code": "UPSTREAM_FAILED", "mayHaveRun": True}
        assert "data" not in body
        status, headers, body = await client.fetch(http_request(QUERY))
        assert (status, body, len(upstream.requests)) == (200, {"data": {"status": 1}}, 3)
        assert headers["content-type"] == "application/graphql-response+json"

    run_with_front_end(tmp_path, respond_in_turn(b"", b"", http_response(200, '{"data":{"status":1}}')), test)


def test_response_with_graphql_errors_is_forwarded_and_not_retried(tmp_path: Path) -> None:
    partial_result = '{"data":{"status":null},"errors":[{"message":"half"}]}'
    error_result = '{"errors":[{"message":"no such field"}]}'

    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        assert (await client.fetch(http_request(QUERY)))[::2] == (200, json.loads(partial_result))
        assert (await client.fetch(http_request(QUERY)))[::2] == (400, json.loads(error_result))
        assert len(upstream.requests) == 2

    run_with_front_end(
        tmp_path, respond_in_turn(http_response(200, partial_result), http_response(400, error_result)), test
    )


def test_rejection_is_immediate_and_has_a_graphql_error(tmp_path: Path) -> None:
    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        started_at_s = asyncio.get_running_loop().time()
        status, headers, body = await client.fetch(http_request(MUTATION, Accept="application/json"))
        assert status == 503 and body["errors"][0]["extensions"]["code"] == "OVERLOADED"
        assert headers["content-type"] == "application/json" and body["errors"][0]["extensions"]["mayHaveRun"] is False
        assert asyncio.get_running_loop().time() - started_at_s < 1.0

    run_with_front_end(tmp_path, respond_in_turn(NOT_RUN), test)


def test_converter_receives_the_classified_body_with_the_front_ends_headers(tmp_path: Path) -> None:
    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        await client.fetch(http_request(QUERY, X_Class="pay", Idempotency_Key="k", X_Request_Id="r1"))
        head, body = upstream.requests[0]
        assert b"X-Class: look\r\n" in head and b"X-Request-Id: r1\r\n" in head and b"Idempotency-Key" not in head
        assert json.loads(body) == {"query": QUERY}
        await client.fetch(http_request("", "GET", "/graphql?query=%7Bstatus%7D"))
        head, body = upstream.requests[1]
        assert head.startswith(b"POST /graphql HTTP/1.1\r\n") and json.loads(body) == {"query": "{status}"}
        assert b"X-Request-Id: " in head

    run_with_front_end(tmp_path, respond_in_turn(http_response(200, "{}")), test)


REJECTED_REQUESTS = [
    (http_request("", "GET", "/graphql?query=mutation%7Bconvert%7D"), 405, "METHOD_NOT_ALLOWED"),
    (http_request("", "DELETE"), 405, "METHOD_NOT_ALLOWED"),
    (http_request("{"), 400, "GRAPHQL_PARSE_FAILED"),
    (http_request(b'{"query": "{a}", "query": "{b}"}'), 400, "BAD_REQUEST"),
    (http_request(QUERY, Accept="text/html"), 406, "NOT_ACCEPTABLE"),
    (http_request(QUERY, X_Deadline_Ms="soon"), 400, "BAD_REQUEST"),
    (http_request(QUERY, Content_Encoding="gzip"), 415, "UNSUPPORTED_MEDIA_TYPE"),
    (http_request("subscription { a }"), 400, "SUBSCRIPTIONS_NOT_SUPPORTED"),
    (
        http_request(b'{"extensions":{"persistedQuery":{"version":1,"sha256Hash":"x"}}}'),
        200,
        "PERSISTED_QUERY_NOT_FOUND",
    ),
]


def test_rejected_request_gets_a_graphql_error_and_is_not_forwarded(tmp_path: Path) -> None:
    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        for request_bytes, status, code in REJECTED_REQUESTS:
            actual_status, headers, body = await client.fetch(request_bytes)
            assert (actual_status, body["errors"][0]["extensions"]["code"]) == (status, code)
            assert status != 405 or "POST" in headers["allow"]
        assert upstream.requests == []

    run_with_front_end(tmp_path, respond_in_turn(OK), test)


def test_separate_listener_serves_graphql_on_any_path_beside_plain_http(tmp_path: Path) -> None:
    graphql_port = free_port()

    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        status, _, _ = await client.fetch(request("pay", body=b"b", deadline_ms=1000))
        assert status == 200 and upstream.requests[0][0].startswith(b"POST /pay/it")
        status, _, _ = await FrontClient(graphql_port).fetch(http_request(QUERY, target="/any"))
        assert status == 200 and upstream.requests[1][0].startswith(b"POST /any HTTP")
        status, _, _ = await client.fetch(http_request(QUERY))
        assert status == 404

    settings_text = GRAPHQL_SETTINGS.replace('path = "/graphql"', f'listen = "127.0.0.1:{graphql_port}"')
    run_with_front_end(tmp_path, respond_in_turn(http_response(200, "{}")), test, settings_text)


# Guards against a mutation that runs twice: each front end remembered only the request ids that it had read itself.
def test_request_id_that_another_front_end_has_forwarded_is_not_forwarded_again(tmp_path: Path) -> None:
    graphql_port = free_port()

    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        status, _, _ = await client.fetch(request("pay", "r1", body=b"b", deadline_ms=1000))
        assert status == 200
        status, _, _ = await FrontClient(graphql_port).fetch(http_request(MUTATION, X_Request_Id="r1"))
        assert status == 409 and len(upstream.requests) == 1

    settings_text = GRAPHQL_SETTINGS.replace('path = "/graphql"', f'listen = "127.0.0.1:{graphql_port}"')
    run_with_front_end(tmp_path, respond_in_turn(http_response(200, "{}")), test, settings_text)


def test_connection_stays_open_after_a_request_rejected_for_its_content(tmp_path: Path) -> None:
    async def test(client: FrontClient, upstream: ScriptedUpstream) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", client.port)
        for request_bytes, status in ((http_request("{"), b"400"), (http_request(QUERY), b"200")):
            writer.write(request_bytes)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == status and b"Connection: close" not in head
            await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
        writer.close()
        await wait_until(lambda: len(upstream.requests) == 1)

    run_with_front_end(tmp_path, respond_in_turn(http_response(200, "{}")), test)
