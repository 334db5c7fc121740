"""Network addresses, as the agreement and the command line write them."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address in `host:port`. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not host:port")
    return Address(host, int(port))
