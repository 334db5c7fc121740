"""Automatic persisted queries: a bounded cache of documents that clients identify by SHA-256. Performs no I/O."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

from ryepier.graphql.errors import GraphqlError, malformed_request

MAX_QUERIES = 1_000
MAX_CHARACTERS = 4_000_000  # total length of the cached texts
PROTOCOL_VERSION = 1  # version of the protocol for automatic persisted queries


class PersistedQueryCache:
    """Cache of documents' texts by SHA-256. Each text is checked against its hash, which thus has only one text."""

    def __init__(self, max_queries: int = MAX_QUERIES, max_characters: int = MAX_CHARACTERS) -> None:
        """Start empty. Beyond either limit, the texts that were stored or looked up longest ago are evicted."""
        self.max_queries = max_queries
        self.max_characters = max_characters
        self.texts: OrderedDict[str, str] = OrderedDict()
        self.size_characters = 0

    def resolve(self, text: str | None, extensions: Mapping[str, Any]) -> str | None:
        """Return the text of a request's document: `text`, or else the cached text with the hash in `extensions`.

        Returns None if the request has neither a text nor a hash. Raises GraphqlError for a hash that is unknown or
        malformed, or that does not match the text.
        """
        reference = extensions.get("persistedQuery")
        if reference is None:
            return text
        sha256_hash = reference.get("sha256Hash") if isinstance(reference, Mapping) else None
        if (
            not isinstance(sha256_hash, str)
            or not isinstance(reference, Mapping)
            or reference.get("version") != PROTOCOL_VERSION
        ):
            raise malformed_request("persistedQuery: expected version 1 and a sha256Hash")
        if text is None:
            if sha256_hash not in self.texts:
                # The protocol prescribes this message; clients then repeat the request with both the hash and the text.
                raise GraphqlError(200, "PERSISTED_QUERY_NOT_FOUND", "PersistedQueryNotFound")
            self.texts.move_to_end(sha256_hash)
            return self.texts[sha256_hash]
        if hashlib.sha256(text.encode(errors="surrogatepass")).hexdigest() != sha256_hash:
            raise malformed_request("provided sha does not match query", "PERSISTED_QUERY_HASH_MISMATCH")
        return text

    def store(self, text: str, extensions: Mapping[str, Any]) -> None:
        """Cache the text of a request's document, if `extensions` has its hash.

        The text must be one that `resolve` returned for these extensions, and valid GraphQL.
        """
        reference = extensions.get("persistedQuery")
        if reference is None or reference["sha256Hash"] in self.texts:
            return
        self.texts[reference["sha256Hash"]] = text
        self.size_characters += len(text)
        while len(self.texts) > self.max_queries or self.size_characters > self.max_characters:
            _, evicted_text = self.texts.popitem(last=False)
            self.size_characters -= len(evicted_text)
