"""Seeded faults in how the GraphQL front parses documents.

Each function patches the code of the whole process and can't be undone, so call it in a separate process.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace


def classify_by_first_word() -> None:
    """Classify a document as a mutation only if its first word is `mutation`."""
    from graphql import OperationType

    from ryepier.graphql.document import Document, DocumentCache

    original_read = DocumentCache.read

    def read_first_word(self: DocumentCache, text: str) -> Document:
        kind = OperationType.MUTATION if text.startswith("mutation") else OperationType.QUERY
        return Document(tuple(replace(operation, kind=kind) for operation in original_read(self, text).operations))

    DocumentCache.read = read_first_word  # type: ignore[method-assign]


def parse_every_time() -> None:
    """Parse the document of each request, without the cache."""
    from ryepier.graphql import document

    document.DocumentCache.read = lambda self, text: document.read_document(text)  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "first-word": classify_by_first_word,
    "forgetful": parse_every_time,
}
