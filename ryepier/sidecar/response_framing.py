"""Decides whether an HTTP/1.1 response runs until the end of its connection (RFC 9112, section 6.3)."""

from __future__ import annotations

import httptools

from ryepier.sidecar.requests import Header

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class _FramingProbe:
    """Asks the parser for the framing of a head without a Connection header."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.runs_until_end = False

    def on_headers_complete(self) -> None:
        # Nothing in this head asks for a close, so the parser gives up the connection only if the message has no end.
        self.runs_until_end = not self.parser.should_keep_alive()


def runs_until_end_of_connection(status: int, framing_headers: list[Header]) -> bool:
    """Return whether a response has neither a length nor chunks, so that the end of its connection is its end.

    `framing_headers` are its headers whose lower-case names are in FRAMING_HEADERS. The parser that read the response
    does not tell its framing where `Connection: close` or HTTP/1.0 ends the connection anyway. So another one gets the
    framing alone.
    """
    if any(name.lower() == b"transfer-encoding" for name, _ in framing_headers):
        return False  # chunks have an end of their own, and other codings are not decoded
    probe = _FramingProbe()
    lines = b"".join(b"%s: %s\r\n" % header for header in framing_headers)
    probe.parser.feed_data(b"HTTP/1.1 %d -\r\n%s\r\n" % (status, lines))
    return probe.runs_until_end
