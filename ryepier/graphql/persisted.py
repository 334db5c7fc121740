"""Documents that clients name by their SHA-256, as automatic persisted queries do. Pure, and bounded."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from ryepier.graphql.errors import GraphqlError, malformed_request

MAX_QUERIES = 1_000
MAX_CHARACTERS = 4_000_000  # of their texts together
VERSION = 1  # of the protocol for persisted queries


class PersistedQueryCache:
    """Cache of texts by hash. A text is checked against its hash, so one hash never stands for two texts."""

    def __init__(self, max_queries: int = MAX_QUERIES, max_characters: int = MAX_CHARACTERS) -> None:
        """Start empty."""
        self.max_queries = max_queries
        self.max_characters = max_characters
        self.texts: OrderedDict[str, str] = OrderedDict()
        self.size_characters = 0

    def resolve(self, text: str | None, extensions: Mapping[str, Any]) -> str | None:
        """Return the document that a request names, or None. Raises GraphqlError."""
        reference = extensions.get("persistedQuery")
        if reference is None:
            return text
        sha256_hash = reference.get("sha256Hash") if isinstance(reference, Mapping) else None
        if (
            not isinstance(sha256_hash, str)
            or not isinstance(reference, Mapping)
            or reference.get("version") != VERSION
        ):
            raise malformed_request("persistedQuery: expected version 1 and a sha256Hash")
        if text is None:
            if sha256_hash not in self.texts:
                # the published answer, at which clients send hash and text together
                raise GraphqlError(200, "PERSISTED_QUERY_NOT_FOUND", "PersistedQueryNotFound")
            self.texts.move_to_end(sha256_hash)
            return self.texts[sha256_hash]
        if hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest() != sha256_hash:
            raise malformed_request("provided sha does not match query", "PERSISTED_QUERY_HASH_MISMATCH")
        return text

    def store(self, text: str, extensions: Mapping[str, Any]) -> None:
        """Remember a text that `resolve` has checked and that turned out to be GraphQL."""
        reference = extensions.get("persistedQuery")
        if reference is None or reference["sha256Hash"] in self.texts:
            return
        self.texts[reference["sha256Hash"]] = text
        self.size_characters += len(text)
        while len(self.texts) > self.max_queries or self.size_characters > self.max_characters:
            _, evicted = self.texts.popitem(last=False)
            self.size_characters -= len(evicted)
