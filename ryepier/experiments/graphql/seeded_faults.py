"""Seeded faults in how the GraphQL front reads a document.

Each function installs its fault in the whole process for good, so call it in a process of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace


def classify_by_first_word() -> None:
    """Take a document for a mutation only if that is its first word."""
    from graphql import OperationType

    from ryepier.graphql.document import Document, DocumentCache

    original_read = DocumentCache.read

    def read_first_word(self: DocumentCache, text: str) -> Document:
        kind = OperationType.MUTATION if text.startswith("mutation") else OperationType.QUERY
        return Document(tuple(replace(operation, kind=kind) for operation in original_read(self, text).operations))

    DocumentCache.read = read_first_word  # type: ignore[method-assign]


def read_every_time() -> None:
    """Read a document again each time, without the cache."""
    from ryepier.graphql import document

    document.DocumentCache.read = lambda self, text: document.read_document(text)  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "first-word": classify_by_first_word,
    "forgetful": read_every_time,
}
