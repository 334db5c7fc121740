"""Incremental decoder of a stream of JSON objects."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

from ryepier.errors import RyepierError

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # larger than an endpoint list of 10,000 entries
# Possessive quantifiers (`++`, `*+`) never backtrack, so each byte is looked at once.
UP_TO_BRACKET = re.compile(rb'(?:[^"{}\[\]]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)  # or to a string without an end
REST_OF_STRING = re.compile(rb'(?:[^"\\]++|\\.)*+', re.DOTALL)


class JsonStreamError(RyepierError):
    """The stream contains something other than JSON objects."""


class JsonStreamDecoder:
    """Splits a byte stream into JSON objects.

    An object may take one line or several, and a chunk of bytes may begin or end anywhere within an object.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream, with no bytes pending."""
        self.pending = bytearray()
        self.scanned_bytes = 0  # bytes of `pending` that were already searched for the object's end
        self.depth = 0
        self.in_string = False

    def feed(self, data: bytes) -> Iterator[Any]:
        """Add bytes to the stream and yield the objects that they complete.

        Raises JsonStreamError or ValueError if the stream is not a sequence of JSON objects.
        """
        if not self.pending and data.rstrip().endswith(b"}"):
            try:  # fast path: the bytes are nearly always exactly one object
                yield json.loads(data)
                return
            except ValueError:
                pass
        self.pending += data
        while end := self._find_end():
            decoded = json.loads(self.pending[:end])
            del self.pending[:end]
            self.scanned_bytes = 0
            yield decoded
        if self.depth == 0:
            if self.pending.strip():
                raise JsonStreamError("expected a JSON object")
            self.pending.clear()
            self.scanned_bytes = 0
        if len(self.pending) > MAX_OBJECT_BYTES:
            raise JsonStreamError("JSON object exceeds the maximum length")

    def _find_end(self) -> int:
        """Return the length of the first pending object, or 0 if it is incomplete."""
        while self._skip_to_bracket():
            self.depth += 1 if self.pending[self.scanned_bytes] in b"{[" else -1
            self.scanned_bytes += 1
            if self.depth <= 0:
                self.depth = 0
                return self.scanned_bytes
        return 0

    def _skip_to_bracket(self) -> bool:
        """Advance `scanned_bytes` to the next bracket outside strings; return False if there is none yet."""
        while True:
            pattern = REST_OF_STRING if self.in_string else UP_TO_BRACKET
            match = pattern.match(self.pending, self.scanned_bytes)
            assert match is not None  # both patterns match the empty string
            self.scanned_bytes = match.end()
            if self.pending[self.scanned_bytes : self.scanned_bytes + 1] != b'"':
                break
            self.in_string = not self.in_string
            self.scanned_bytes += 1
        return not self.in_string and self.scanned_bytes < len(self.pending)
