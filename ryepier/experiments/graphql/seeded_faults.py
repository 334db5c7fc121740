"""Mistakes in what the GraphQL front makes of a document.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace


def first_word() -> None:
    """A document's first word tells what it does."""
    from ryepier.graphql.document import Document, Documents

    read = Documents.read

    def read_first_word(self: Documents, text: str) -> Document:
        kind = "mutation" if text.startswith("mutation") else "query"
        return Document(tuple(replace(one, kind=kind) for one in read(self, text).operations))

    Documents.read = read_first_word  # type: ignore[method-assign]


def forgetful() -> None:
    """A document is read anew each time."""
    from ryepier.graphql import document

    document.Documents.read = lambda self, text: document.read_document(text)  # type: ignore[method-assign]


SEEDED_FAULTS: dict[str, Callable[[], None]] = {
    "first-word": first_word,
    "forgetful": forgetful,
}
