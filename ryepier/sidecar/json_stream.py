"""Incremental decoder of a stream of JSON objects."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any

from ryepier.errors import RyepierError

MAX_OBJECT_BYTES = 4 * 1024 * 1024  # more than a list of 10,000 entries
STRUCTURAL_BYTE = re.compile(rb'["{}\[\]]')
STRING_END_OR_ESCAPE = re.compile(rb'["\\]')


class JsonStreamError(RyepierError):
    """Bytes of a stream that are no JSON objects."""


class JsonStreamDecoder:
    """Cuts a stream into its JSON objects: one per line, or over several lines, wherever its bytes are split."""

    def __init__(self) -> None:
        """Start before the first object."""
        self.pending = bytearray()
        self.scanned_bytes = 0  # bytes of it
        self.depth = 0
        self.in_string = False

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the objects that are complete now. Raises JsonStreamError or ValueError on what is no object."""
        if not self.pending and data.rstrip().endswith(b"}"):
            try:  # nearly always it is exactly one object
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
                raise JsonStreamError("not an object")
            self.pending.clear()
            self.scanned_bytes = 0
        if len(self.pending) > MAX_OBJECT_BYTES:
            raise JsonStreamError("an object without end")

    def _find_end(self) -> int:
        """Return where the first pending object ends; 0 if it is incomplete."""
        while match := (STRING_END_OR_ESCAPE if self.in_string else STRUCTURAL_BYTE).search(
            self.pending, self.scanned_bytes
        ):
            token, self.scanned_bytes = match.group(), match.end()
            if token == b"\\":
                if self.scanned_bytes == len(self.pending):  # the escaped character has not arrived
                    self.scanned_bytes -= 1
                    return 0
                self.scanned_bytes += 1
            elif token == b'"':
                self.in_string = not self.in_string
            else:
                self.depth += 1 if token in b"{[" else -1
                if self.depth <= 0:
                    self.depth = 0
                    return self.scanned_bytes
        self.scanned_bytes = len(self.pending)
        return 0
