"""Requests of the application in chunks, over loopback sockets: what is taken, and what is not."""

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

LENGTH = b"Content-Length: 0"
CHUNKED = b"Transfer-Encoding: chunked"


def chunked(body: bytes, ident: str = "1", coding: bytes = CHUNKED) -> bytes:
    """A request of an unsafe class whose head tells no length; `body` comes as it is, framing and all."""
    return request("pay", ident).replace(LENGTH, coding) + body


@pytest.mark.parametrize(
    ("framed", "body"),
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
@pytest.mark.parametrize("coding", [CHUNKED, b"transfer-encoding:  Chunked "])
def test_chunked_request_is_forwarded_with_its_length(framed: bytes, body: bytes, coding: bytes) -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            for ident in ("1", "2"):  # the next request on the connection begins where the chunks end
                writer.write(chunked(framed, ident, coding))
                assert status_of(await read_message(reader)) == 200
            writer.close()
        for head, sent in upstream.requests:
            assert sent == body and b"Content-Length: %d\r\n" % len(body) in head
            assert b"ransfer-" not in head and b"X-Note" not in head
            assert b"X-Class: pay\r\n" in head
        assert [b"X-Request-Id: %d\r\n" % n in head for n, (head, _) in enumerate(upstream.requests, 1)] == [True] * 2

    run_async(test)


def test_chunks_may_arrive_byte_by_byte() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            for byte in chunked(b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-Note: t\r\n\r\n"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert [body for _, body in upstream.requests] == [b"abcde"]

    run_async(test)


MOST_BYTES = 1 << 20  # more than any request may take
ENDLESS = b"1;" + b"x" * MOST_BYTES
TRAILERS = b"0\r\n" + b"X-Note: endless\r\n" * (MOST_BYTES // 16)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (chunked(b"0\r\n\r\n", coding=b"Transfer-Encoding: gzip"), 400),
        (chunked(b"0\r\n\r\n", coding=b"Transfer-Encoding: gzip, chunked"), 400),
        (chunked(b"0\r\n\r\n", coding=b"Transfer-Encoding: chunked, chunked"), 400),
        (chunked(b"0\r\n\r\n", coding=CHUNKED + b"\r\n" + CHUNKED), 400),
        (chunked(b"0\r\n\r\n", coding=CHUNKED + b"\r\n" + LENGTH), 400),
        (chunked(b"0\r\n\r\n", coding=LENGTH + b"\r\n" + CHUNKED), 400),
        (chunked(b"0\r\n\r\n").replace(b"HTTP/1.1", b"HTTP/1.0"), 400),
        (chunked(b"0x1\r\na\r\n0\r\n\r\n"), 400),
        (chunked(b"-1\r\na\r\n0\r\n\r\n"), 400),
        (chunked(b"1\r\nab\r\n0\r\n\r\n"), 400),
        (chunked(b"1\na\n0\n\n"), 400),
        (chunked(b"fffffffffffffffff\r\n"), 400),
        (chunked(b"0\r\nContent-Length: 0\r\n\r\n"), 400),
        (chunked(b"10001\r\n" + b"x" * 65_537 + b"\r\n0\r\n\r\n"), 413),
        (chunked(b"8000\r\n" + b"x" * 32_768 + b"\r\n" + b"8001\r\n" + b"x" * 32_769), 413),
        (chunked(ENDLESS), 413),
        (chunked(TRAILERS), 413),
    ],
)
def test_other_codings_and_malformed_chunks_get_an_error_and_the_connection_closes(data: bytes, expected: int) -> None:
    run_async(lambda: check_rejected(data, expected))


def test_chunked_request_is_served_whatever_version_is_pipelined_behind_it() -> None:
    async def test() -> None:
        upstream = Upstream(respond_in_turn(OK))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(chunked(b"0\r\n\r\n") + request("pay", "2").replace(b"HTTP/1.1", b"HTTP/1.0"))
            assert status_of(await read_message(reader)) == 200
            writer.close()
        assert len(upstream.requests) == 1

    run_async(test)
