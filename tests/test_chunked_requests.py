"""Requests with chunked bodies: which are forwarded and which are rejected."""

from __future__ import annotations

import asyncio

import pytest

from tests.network_peers import (
    OK,
    Upstream,
    check_rejected,
    read_message,
    request,
    respond_in_turn,
    run_async,
    sidecar,
    status_of,
)

CONTENT_LENGTH_HEADER = b"Content-Length: 0"
CHUNKED_HEADER = b"Transfer-Encoding: chunked"


def chunked_request(body: bytes, request_id: str = "1", coding_header: bytes = CHUNKED_HEADER) -> bytes:
    """Return a non-idempotent request without Content-Length; `body` includes its chunk framing."""
    return request("pay", request_id).replace(CONTENT_LENGTH_HEADER, coding_header) + body


@pytest.mark.parametrize(
    ("encoded_body", "body"),
    [
        (b"0\r\n\r\n", b""),
        (b"5\r\nab\r\nc\r\n0\r\n\r\n", b"ab\r\nc"),
        (b"2;name=value\r\nab\r\n00A\r\n0123456789\r\n000\r\n\r\n", b"ab0123456789"),
        (b"1\r\na\r\n0\r\nX-Request-Id: 2\r\nX-Class: read\r\nX-Note: trailer\r\n\r\n", b"a"),
        (b"10000\r\n" + b"x" * 65_536 + b"\r\n0\r\n\r\n", b"x" * 65_536),
        (b"1\r\nx\r\n" * 65_536 + b"0\r\n\r\n", b"x" * 65_536),
    ],
    ids=["empty", "one", "several", "trailers", "longest", "chunks of a byte"],
)
@pytest.mark.parametrize("coding_header", [CHUNKED_HEADER, b"transfer-encoding:  Chunked "])
def test_chunked_request_is_forwarded_with_content_length(
    encoded_body: bytes, body: bytes, coding_header: bytes
) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            for request_id in ("1", "2"):  # the second request shows that the first was read to its exact end
                writer.write(chunked_request(encoded_body, request_id, coding_header))
                assert status_of(await read_message(reader)) == 200
            writer.close()
        for head, forwarded_body in upstream.requests:
            assert forwarded_body == body and b"Content-Length: %d\r\n" % len(body) in head
            assert b"ransfer-" not in head and b"X-Note" not in head
            assert b"X-Class: pay\r\n" in head
        assert [
            b"X-Request-Id: %d\r\n" % request_number in head
            for request_number, (head, _) in enumerate(upstream.requests, 1)
        ] == [True] * 2

    run_async(test)


def test_chunked_request_may_arrive_byte_by_byte() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            for byte in chunked_request(b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Note: t\r\n\r\n"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert [body for _, body in upstream.requests] == [b"abcde"]

    run_async(test)


OVERSIZE_BYTES = 1 << 20  # larger than any request that the sidecar accepts
ENDLESS_CHUNK_EXTENSION = b"1;" + b"x" * OVERSIZE_BYTES
ENDLESS_TRAILERS = b"0\r\n" + b"X-Note: endless\r\n" * (OVERSIZE_BYTES // 16)


@pytest.mark.parametrize(
    ("data", "expected_status"),
    [
        (chunked_request(b"0\r\n\r\n", coding_header=b"Transfer-Encoding: gzip"), 400),
        (chunked_request(b"0\r\n\r\n", coding_header=b"Transfer-Encoding: gzip, chunked"), 400),
        (chunked_request(b"0\r\n\r\n", coding_header=b"Transfer-Encoding: chunked, chunked"), 400),
        (chunked_request(b"0\r\n\r\n", coding_header=CHUNKED_HEADER + b"\r\n" + CHUNKED_HEADER), 400),
        (chunked_request(b"0\r\n\r\n", coding_header=CHUNKED_HEADER + b"\r\n" + CONTENT_LENGTH_HEADER), 400),
        (chunked_request(b"0\r\n\r\n", coding_header=CONTENT_LENGTH_HEADER + b"\r\n" + CHUNKED_HEADER), 400),
        (chunked_request(b"0\r\n\r\n").replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
        (chunked_request(b"0x1\r\na\r\n0\r\n\r\n"), 400),
        (chunked_request(b"-1\r\na\r\n0\r\n\r\n"), 400),
        (chunked_request(b"1\r\nab\r\n0\r\n\r\n"), 400),
        (chunked_request(b"1\na\n0\n\n"), 400),
        (chunked_request(b"fffffffffffffffff\r\n"), 400),
        (chunked_request(b"0\r\nContent-Length: 0\r\n\r\n"), 400),
        (chunked_request(b"10001\r\n" + b"x" * 65_537 + b"\r\n0\r\n\r\n"), 413),
        (chunked_request(b"8000\r\n" + b"x" * 32_768 + b"\r\n" + b"8001\r\n" + b"x" * 32_769), 413),
        (chunked_request(ENDLESS_CHUNK_EXTENSION), 413),
        (chunked_request(ENDLESS_TRAILERS), 413),
    ],
)
def test_unsupported_codings_and_malformed_chunks_are_rejected(data: bytes, expected_status: int) -> None:
    run_async(lambda: check_rejected(data, expected_status))


def test_chunked_request_is_served_if_an_http_1_0_request_is_pipelined_after_it() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as running_sidecar:
            reader, writer = await running_sidecar.connect()
            writer.write(chunked_request(b"0\r\n\r\n") + request("pay", "2").replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert len(upstream.requests) == 1

    run_async(test)
