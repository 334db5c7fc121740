"""Network addresses in the `host:port` form of the agreement and the command line."""

from __future__ import annotations

from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """A host name or IP address, and a TCP port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ValueError if the text has another form or the port is out of range."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return Address(host, int(port))
