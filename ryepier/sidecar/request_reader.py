"""Reads one HTTP/1.1 request from the bytes of a client connection, within limits on its size."""

from __future__ import annotations

import httptools

from ryepier.sidecar.request_parsing import RequestError
from ryepier.sidecar.requests import Header
from ryepier.sidecar.segments import MAX_SEGMENT_BYTES, split_into_segments

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_COUNT = 100
HEADER_OVERHEAD_BYTES = 150  # memory of a stored header in addition to its name and value
CALLBACKS_PER_MESSAGE = 4  # begin, target, end of the head, end of the message
MAX_CHUNKED_BYTES = 8 * MAX_BODY_BYTES  # limit of a chunked message with its framing: a one-byte chunk takes six bytes


def callback_error(error: httptools.HttpParserCallbackError) -> Exception:
    """Return the RequestError that a callback raised, or the parser's error around any other.

    The caller must not bind the result to a local variable: its traceback holds the caller's frame, and with it the
    received bytes, so this would be a reference cycle.
    """
    return error.__context__ if isinstance(error.__context__, RequestError) else error


class RequestReader:
    """Collects one request from the callbacks of an HTTP parser."""

    __slots__ = (
        "body",
        "callback_count",
        "chunked",
        "has_pipelined_bytes",
        "head_complete",
        "header_bytes",
        "headers",
        "http_version",
        "is_complete",
        "keeps_alive",
        "method",
        "parser",
        "received_bytes",
        "target",
    )

    def __init__(self) -> None:
        """Start before the first byte of a request."""
        self.parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.is_complete = False
        self.has_pipelined_bytes = False  # bytes have arrived after the end of the request
        self.head_complete = False
        self.chunked = False
        self.method = b""
        self.http_version = ""
        self.keeps_alive = True  # the client wants to keep the connection after this request
        self.target = b""
        self.headers: list[Header] = []
        self.header_bytes = 0  # length of the names and values in `headers`
        self.received_bytes = 0
        self.body = bytearray()
        self.callback_count = 0  # calls of the parser, the cost of parsing

    @property
    def is_partial(self) -> bool:
        """Whether a request has arrived in part but not completely."""
        return self.received_bytes > 0 and not self.is_complete

    @property
    def buffered_bytes(self) -> int:
        """Approximate memory of what was collected."""
        head_bytes = self.header_bytes + len(self.target) if self.head_complete else self.received_bytes
        return head_bytes + HEADER_OVERHEAD_BYTES * len(self.headers) + len(self.body)

    def feed(self, data: bytes) -> None:
        """Parse received bytes. Raises RequestError if they are malformed or the request is too long."""
        for segment in split_into_segments(data, self._bytes_until_limit):
            self.received_bytes += len(segment)
            self._parse(segment)
            self._check_length()

    def release(self) -> None:
        """Drop what was collected, and break the reference cycle with the parser.

        Only a rare full garbage collection would end that cycle, and the connection may stay open for some time.
        """
        self.parser = None
        self.target = b""
        self.headers = []
        self.body = bytearray()

    def _parse(self, segment: bytes) -> None:
        assert self.parser is not None
        try:
            self.parser.feed_data(segment)
        except httptools.HttpParserCallbackError as error:
            raise callback_error(error) from None
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Malformed bytes after a complete request mean that the request's length was wrong, so it is rejected too.
            raise RequestError(400, "malformed request") from None

    def _bytes_until_limit(self) -> int:
        if self.is_complete:
            return MAX_SEGMENT_BYTES
        return (MAX_CHUNKED_BYTES if self.head_complete else MAX_HEAD_BYTES) - self.received_bytes

    def _check_length(self) -> None:
        """Raise RequestError if the head, or a chunked body with its extensions and trailers, is too long."""
        if self.is_complete or self._bytes_until_limit() > 0:
            return
        raise RequestError(413, "the chunks are too long" if self.head_complete else "the head is too long")

    def _add_header(self, name: bytes, value: bytes) -> None:
        """Add a header.

        Raises RequestError for too many headers, a transfer coding other than chunked, or a body that is too long.
        """
        if len(self.headers) >= MAX_HEADER_COUNT:
            raise RequestError(431, "too many headers")
        lower_name = name.lower()
        if lower_name == b"transfer-encoding":
            if value.strip().lower() != b"chunked":
                raise RequestError(400, "a transfer coding other than chunked")
            self.chunked = True
        if lower_name == b"content-length" and int(value) > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")
        self.headers.append((name, value))
        self.header_bytes += len(name) + len(value)

    # Callbacks of the HTTP parser

    def on_message_begin(self) -> None:
        """Record that another request was sent before the current one was answered."""
        self.callback_count += CALLBACKS_PER_MESSAGE
        if self.is_complete:
            self.has_pipelined_bytes = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self.is_complete:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header. Trailers are ignored, as they could contradict the headers."""
        self.callback_count += 1
        if not self.is_complete and not self.head_complete:
            self._add_header(name, value)

    def on_headers_complete(self) -> None:
        """Store what the parser knows of the head. Raises RequestError for a chunked body in HTTP/1.0.

        The parser has to be asked here: once it has parsed the start of a further request, it describes that one.
        """
        assert self.parser is not None
        if self.is_complete:
            return
        self.method = self.parser.get_method()
        self.http_version = self.parser.get_http_version()
        self.keeps_alive = self.parser.should_keep_alive()
        # An HTTP/1.0 proxy in front of this server ignores the transfer coding and goes by Content-Length. The proxy
        # and the sidecar would then disagree about where the next request begins.
        if self.chunked and self.http_version != "1.1":
            raise RequestError(400, "a transfer coding, but not HTTP/1.1")
        self.head_complete = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body. Raises RequestError if it is too long.

        Content-Length was checked before, but a chunked body has no length in its head.
        """
        self.callback_count += 1
        if self.is_complete:
            return
        self.body += data
        if len(self.body) > MAX_BODY_BYTES:
            raise RequestError(413, "the body is too long")

    def on_message_complete(self) -> None:
        """Record that the request is complete."""
        self.is_complete = True
