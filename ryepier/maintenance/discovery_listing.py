"""Fetches the list of converters from discovery over HTTP."""

from __future__ import annotations

import asyncio
import json

from ryepier.errors import RyepierError
from ryepier.maintenance.address import Address
from ryepier.maintenance.observer import ListedConverter

MAX_RESPONSE_HEAD_BYTES = 8192
MAX_LISTING_BYTES = 8 * 1024 * 1024
LISTING_PATH = "/discovery/hosts"
READY_STATE = "active"
STATUS_OK = "200"


class ListingError(RyepierError):
    """Discovery did not return a valid list in time; the message has the address and the reason."""


async def fetch_listing(address: Address, timeout_s: float) -> list[ListedConverter]:
    """Fetch and return the complete list of converters. Raises ListingError."""
    try:
        async with asyncio.timeout(timeout_s):
            body = await _http_get(address, LISTING_PATH)
        targets = json.loads(body)["targets"]
        return [ListedConverter(str(target["uid"]), target["state"] == READY_STATE) for target in targets]
    except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError, ValueError, KeyError, TypeError) as error:
        raise ListingError(f"{address.host}:{address.port}: {type(error).__name__}: {error}") from None


async def _http_get(address: Address, path: str) -> bytes:
    """Send a GET request and return the body of the response.

    Raises OSError, EOFError, LimitOverrunError, ValueError, or KeyError if the response has no content length.
    """
    reader, writer = await asyncio.open_connection(*address, limit=MAX_RESPONSE_HEAD_BYTES)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {address.host}\r\n\r\n".encode())
        head_lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status_code = head_lines[0].split(" ")[1:2]
        if status_code != [STATUS_OK]:
            raise ValueError(f"unexpected status line {head_lines[0]!r}")
        headers = dict(line.lower().split(":", 1) for line in head_lines[1:] if ":" in line)
        length = int(headers["content-length"])
        if length > MAX_LISTING_BYTES:
            raise ValueError(f"a list of {length} bytes exceeds the limit of {MAX_LISTING_BYTES} bytes")
        return await reader.readexactly(length)
    finally:
        writer.close()
