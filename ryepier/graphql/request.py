"""Reading of GraphQL requests over HTTP: bytes in, checked operations and the body to forward out.

Pure. What two readers might read differently is rejected: a repeated key, a key in other letters, numbers that JSON
does not have. So what is classified here is what the converter executes.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from ryepier.balancer.interface import Idempotency
from ryepier.graphql.classify import Meaning, OperationCall, Table, check_get, meaning
from ryepier.graphql.document import DocumentCache, Operation
from ryepier.graphql.errors import GraphqlError, malformed_request
from ryepier.graphql.persisted import Persisted

JsonObject = dict[str, Any]

KEYS = ("query", "operationName", "variables", "extensions")
JSON_TYPE, RESPONSE_TYPE = "application/json", "application/graphql-response+json"
MAX_BATCH = 20  # operations of one request


@dataclass(frozen=True, slots=True)
class Parameters:
    """One request for one operation, before its document is read."""

    query: str | None
    operation_name: str | None
    variables: Mapping[str, Any]
    extensions: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A complete HTTP request: its classification, and the body to forward as a POST."""

    meaning: Meaning
    body: bytes


def response_type(accept: str) -> str:
    """Return the media type of the response, by the Accept header. Raises GraphqlError."""
    if not accept.strip():
        return RESPONSE_TYPE
    best, best_weight = "", 0.0
    for part in accept.split(","):
        name, *parameters = (piece.strip().lower() for piece in part.split(";"))
        weight = 1.0
        for parameter in parameters:
            if parameter.startswith("q="):
                try:
                    weight = float(parameter[2:])
                except ValueError:
                    weight = 0.0
        if name in ("*/*", "application/*"):
            name = RESPONSE_TYPE
        if name in (RESPONSE_TYPE, JSON_TYPE) and weight > best_weight:
            best, best_weight = name, weight
    if not best:
        raise GraphqlError(406, "NOT_ACCEPTABLE", f"answers are {RESPONSE_TYPE} or {JSON_TYPE}")
    return best


def check_content_type(value: str) -> None:
    """Raise GraphqlError unless a content type is JSON in UTF-8."""
    name, *parameters = (piece.strip().lower() for piece in value.split(";"))
    if name != JSON_TYPE:
        raise GraphqlError(415, "UNSUPPORTED_MEDIA_TYPE", f"a POST has to be {JSON_TYPE}")
    for parameter in parameters:
        if parameter.startswith("charset=") and parameter[8:].strip('"') not in ("utf-8", "utf8"):
            raise GraphqlError(415, "UNSUPPORTED_MEDIA_TYPE", "a POST has to be UTF-8")


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> JsonObject:
    found = dict(pairs)
    if len(found) < len(pairs):
        raise malformed_request("a key stands twice in one object, and servers differ in which they take")
    return found


def _reject_constant(name: str) -> Any:
    raise malformed_request(f"{name} is no JSON")


def read_json(data: bytes | str) -> Any:
    """Return the value of a JSON text, strictly read. Raises GraphqlError."""
    try:
        text = data.decode("utf-8") if isinstance(data, bytes) else data
        return json.loads(text, object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant)
    except UnicodeDecodeError:
        raise malformed_request("the body is not UTF-8") from None
    except (ValueError, RecursionError) as error:
        raise malformed_request(f"the body is not JSON: {error}") from None


def read_parameters(found: Any) -> Parameters:
    """Return the parameters of one operation from its JSON object. Raises GraphqlError."""
    if not isinstance(found, dict):
        raise malformed_request("expected an object with a query")
    for key in found:
        if key not in KEYS and key.lower() in (known.lower() for known in KEYS):
            raise malformed_request(f"{key!r}: a key in other letters, which some servers take for the same")
    query, name = found.get("query"), found.get("operationName")
    if query is not None and not isinstance(query, str):
        raise malformed_request("query: expected a text")
    if name is not None and not isinstance(name, str):
        raise malformed_request("operationName: expected a text")
    objects = []
    for key in ("variables", "extensions"):
        value = found.get(key)
        if value is not None and not isinstance(value, dict):
            raise malformed_request(f"{key}: expected an object")
        objects.append(value or {})
    return Parameters(query, name, *objects)


def read_get(query_string: str) -> Parameters:
    """Return the parameters of a GET. Raises GraphqlError."""
    try:
        pairs = parse_qsl(query_string, keep_blank_values=True, strict_parsing=True, errors="strict", max_num_fields=50)
    except ValueError as error:
        raise malformed_request(f"the query string can't be read: {error}") from None
    found: dict[str, Any] = {}
    for key, value in _reject_duplicates(pairs).items():
        found[key] = read_json(value) if key in ("variables", "extensions") and value else value
    if found.get("variables") == "":
        del found["variables"]
    if found.get("extensions") == "":
        del found["extensions"]
    return read_parameters(found)


class ReadOperation(NamedTuple):
    """The text of a document and the operation that is chosen from it."""

    text: str
    operation: Operation


class Reader:
    """Reads the requests of one front end; caches the documents that it has read."""

    def __init__(self, table: Table, max_batch: int = MAX_BATCH) -> None:
        """Start with empty caches."""
        self.table = table
        self.max_batch = max_batch
        self.documents = DocumentCache()
        self.persisted = Persisted()

    def get(self, query_string: str) -> ParsedRequest:
        """Read a GET. Raises GraphqlError."""
        parameters = read_get(query_string)
        text, operation = self._operation(parameters)
        meant = meaning(self.table, [OperationCall(operation, parameters.variables)])
        check_get(meant)
        return ParsedRequest(meant, _body(parameters, text))

    def post(self, content_type: str, body: bytes) -> ParsedRequest:
        """Read a POST. Raises GraphqlError."""
        check_content_type(content_type)
        found = read_json(body)
        if isinstance(found, list):
            return self._batch(found, body)
        parameters = read_parameters(found)
        text, operation = self._operation(parameters)
        meant = meaning(self.table, [OperationCall(operation, parameters.variables)])
        # The body is forwarded as it was checked, unless its document has to be inserted.
        return ParsedRequest(meant, body if parameters.query is not None else _body(parameters, text))

    def _batch(self, found: Sequence[Any], body: bytes) -> ParsedRequest:
        if not 0 < len(found) <= self.max_batch:
            raise malformed_request(f"a batch has 1 to {self.max_batch} operations, not {len(found)}", "BATCH_SIZE")
        parts = [read_parameters(one) for one in found]
        read = [self._operation(part) for part in parts]
        calls = [OperationCall(one.operation, part.variables) for part, one in zip(parts, read, strict=True)]
        meant = meaning(self.table, calls)
        if meant.idempotency is Idempotency.IDEMPOTENCY_KEY:
            # A key identifies one run, not a whole batch.
            meant = replace(
                meant,
                class_name=self.table.mutation_class,
                key="",
                idempotency=self.table.idempotency(self.table.mutation_class),
            )
        if all(part.query is not None for part in parts):
            return ParsedRequest(meant, body)
        bodies = [_body(part, one.text) for part, one in zip(parts, read, strict=True)]
        return ParsedRequest(meant, b"[" + b",".join(bodies) + b"]")

    def _operation(self, parameters: Parameters) -> ReadOperation:
        text = self.persisted.resolve(parameters.query, parameters.extensions)
        if text is None:
            raise malformed_request("there is no query", "QUERY_MISSING")
        operation = self.documents.read(text).choose(parameters.operation_name)
        self.persisted.keep(text, parameters.extensions)
        return ReadOperation(text, operation)


def _body(parameters: Parameters, text: str) -> bytes:
    """Return the body of a POST with the same meaning."""
    found: dict[str, Any] = {"query": text}
    if parameters.operation_name is not None:
        found["operationName"] = parameters.operation_name
    if parameters.variables:
        found["variables"] = parameters.variables
    if parameters.extensions:
        found["extensions"] = parameters.extensions
    try:
        return json.dumps(found, ensure_ascii=False, separators=(",", ":")).encode()
    except UnicodeEncodeError:
        raise malformed_request("half a character") from None
