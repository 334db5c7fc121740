"""Documents that clients name by their SHA-256, as automatic persisted queries do. Pure, and bounded."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from ryepier.graphql.errors import GraphqlError, malformed_request

MAX_QUERIES = 1_000
MAX_BYTES = 4_000_000  # of their texts together
VERSION = 1  # of the protocol for persisted queries


class Persisted:
    """Cache of texts by hash. A text is checked against its hash, so one hash never stands for two texts."""

    def __init__(self, max_queries: int = MAX_QUERIES, max_bytes: int = MAX_BYTES) -> None:
        """Start empty."""
        self.max_queries = max_queries
        self.max_bytes = max_bytes
        self.texts: OrderedDict[str, str] = OrderedDict()
        self.size = 0

    def resolve(self, text: str | None, extensions: Mapping[str, Any]) -> str | None:
        """Return the document that a request names, or None. Raises GraphqlError."""
        named = extensions.get("persistedQuery")
        if named is None:
            return text
        wanted = named.get("sha256Hash") if isinstance(named, Mapping) else None
        if not isinstance(wanted, str) or not isinstance(named, Mapping) or named.get("version") != VERSION:
            raise malformed_request("persistedQuery: expected version 1 and a sha256Hash")
        if text is None:
            if wanted not in self.texts:
                # the published answer, at which clients send hash and text together
                raise GraphqlError(200, "PERSISTED_QUERY_NOT_FOUND", "PersistedQueryNotFound")
            self.texts.move_to_end(wanted)
            return self.texts[wanted]
        if hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest() != wanted:
            raise malformed_request("provided sha does not match query", "PERSISTED_QUERY_HASH_MISMATCH")
        return text

    def keep(self, text: str, extensions: Mapping[str, Any]) -> None:
        """Remember a text that `resolve` has checked and that turned out to be GraphQL."""
        named = extensions.get("persistedQuery")
        if named is None or named["sha256Hash"] in self.texts:
            return
        self.texts[named["sha256Hash"]] = text
        self.size += len(text)
        while len(self.texts) > self.max_queries or self.size > self.max_bytes:
            _, old = self.texts.popitem(last=False)
            self.size -= len(old)
