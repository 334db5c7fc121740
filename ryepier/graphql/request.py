"""Parses GraphQL requests over HTTP, classifies them, and provides the body to forward.

Performs no I/O. Input that parsers may interpret differently is rejected: repeated keys, keys in a different case, and
numbers that JSON does not define. This ensures that the converter executes the operation that was classified here.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from ryepier.balancer.interface import Idempotency
from ryepier.graphql.classify import Classification, ClassificationTable, OperationCall, check_allowed_in_get, classify
from ryepier.graphql.document import DocumentCache, Operation
from ryepier.graphql.errors import GraphqlError, malformed_request
from ryepier.graphql.persisted import PersistedQueryCache

JsonObject = dict[str, Any]

PARAMETER_NAMES = ("query", "operationName", "variables", "extensions")
JSON_TYPE, RESPONSE_TYPE = "application/json", "application/graphql-response+json"
MAX_BATCH_SIZE = 20  # operations in one request


@dataclass(frozen=True, slots=True)
class OperationParameters:
    """The parameters of a GraphQL request for one operation; `query` is the text of the document."""

    query: str | None
    operation_name: str | None
    variables: Mapping[str, Any]
    extensions: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """The classification of an HTTP request, and the body of the POST that is forwarded for it."""

    classification: Classification
    body: bytes


def response_type(accept: str) -> str:
    """Return the media type for the response to a request with this Accept header.

    Raises GraphqlError if the header accepts no supported type.
    """
    if not accept.strip():
        return RESPONSE_TYPE
    best_type, best_quality = "", 0.0
    for part in accept.split(","):
        name, *parameters = (component.strip().lower() for component in part.split(";"))
        quality = 1.0
        for parameter in parameters:
            if parameter.startswith("q="):
                try:
                    quality = float(parameter[2:])
                except ValueError:
                    quality = 0.0
        if name in ("*/*", "application/*"):
            name = RESPONSE_TYPE
        if name in (RESPONSE_TYPE, JSON_TYPE) and quality > best_quality:
            best_type, best_quality = name, quality
    if not best_type:
        raise GraphqlError(406, "NOT_ACCEPTABLE", f"answers are {RESPONSE_TYPE} or {JSON_TYPE}")
    return best_type


def check_content_type(value: str) -> None:
    """Raise GraphqlError unless the value of a Content-Type header denotes JSON in UTF-8."""
    name, *parameters = (component.strip().lower() for component in value.split(";"))
    if name != JSON_TYPE:
        raise GraphqlError(415, "UNSUPPORTED_MEDIA_TYPE", f"a POST has to be {JSON_TYPE}")
    for parameter in parameters:
        if parameter.startswith("charset=") and parameter[8:].strip('"') not in ("utf-8", "utf8"):
            raise GraphqlError(415, "UNSUPPORTED_MEDIA_TYPE", "a POST has to be UTF-8")


def _reject_duplicates(pairs: list[tuple[str, Any]]) -> JsonObject:
    result = dict(pairs)
    if len(result) < len(pairs):
        raise malformed_request("a key stands twice in one object, and servers differ in which they take")
    return result


def _reject_constant(name: str) -> Any:
    raise malformed_request(f"{name} is no JSON")


def read_json(data: bytes | str) -> Any:
    """Parse a JSON text. Raises GraphqlError if it is malformed, or has a repeated key, NaN or Infinity."""
    try:
        text = data.decode("utf-8") if isinstance(data, bytes) else data
        return json.loads(text, object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant)
    except UnicodeDecodeError:
        raise malformed_request("the body is not UTF-8") from None
    except (ValueError, RecursionError) as error:
        raise malformed_request(f"the body is not JSON: {error}") from None


def read_parameters(data: Any) -> OperationParameters:
    """Return the parameters in the JSON object of one operation. Raises GraphqlError."""
    if not isinstance(data, dict):
        raise malformed_request("expected an object with a query")
    for key in data:
        if key not in PARAMETER_NAMES and key.lower() in (known.lower() for known in PARAMETER_NAMES):
            raise malformed_request(f"{key!r}: a key in other letters, which some servers take for the same")
    query, name = data.get("query"), data.get("operationName")
    if query is not None and not isinstance(query, str):
        raise malformed_request("query: expected a text")
    if name is not None and not isinstance(name, str):
        raise malformed_request("operationName: expected a text")
    objects = []
    for key in ("variables", "extensions"):
        value = data.get(key)
        if value is not None and not isinstance(value, dict):
            raise malformed_request(f"{key}: expected an object")
        objects.append(value or {})
    return OperationParameters(query, name, *objects)


def read_get_parameters(query_string: str) -> OperationParameters:
    """Return the parameters in the query string of a GET request. Raises GraphqlError."""
    try:
        pairs = parse_qsl(query_string, keep_blank_values=True, strict_parsing=True, errors="strict", max_num_fields=50)
    except ValueError as error:
        raise malformed_request(f"the query string can't be read: {error}") from None
    parameters: dict[str, Any] = {}
    for key, value in _reject_duplicates(pairs).items():
        parameters[key] = read_json(value) if key in ("variables", "extensions") and value else value
    if parameters.get("variables") == "":
        del parameters["variables"]
    if parameters.get("extensions") == "":
        del parameters["extensions"]
    return read_parameters(parameters)


class SelectedOperation(NamedTuple):
    """The text of a document, and the operation in it that a request selects."""

    text: str
    operation: Operation


class RequestReader:
    """Parses and classifies requests. Caches parsed documents and persisted queries."""

    def __init__(self, table: ClassificationTable, max_batch_size: int = MAX_BATCH_SIZE) -> None:
        """Start with empty caches; `max_batch_size` is the maximum number of operations in a batch."""
        self.table = table
        self.max_batch_size = max_batch_size
        self.documents = DocumentCache()
        self.persisted_queries = PersistedQueryCache()

    def read_get(self, query_string: str) -> ParsedRequest:
        """Parse and classify a GET request, whose operation must be an idempotent query. Raises GraphqlError."""
        parameters = read_get_parameters(query_string)
        text, operation = self._read_operation(parameters)
        classification = classify(self.table, [OperationCall(operation, parameters.variables)])
        check_allowed_in_get(classification)
        return ParsedRequest(classification, _post_body(parameters, text))

    def read_post(self, content_type: str, body: bytes) -> ParsedRequest:
        """Parse and classify a POST request with one operation or a batch of them. Raises GraphqlError."""
        check_content_type(content_type)
        data = read_json(body)
        if isinstance(data, list):
            return self._read_batch(data, body)
        parameters = read_parameters(data)
        text, operation = self._read_operation(parameters)
        classification = classify(self.table, [OperationCall(operation, parameters.variables)])
        # The body is forwarded unchanged, unless it has the hash of a persisted query in place of the document.
        return ParsedRequest(classification, body if parameters.query is not None else _post_body(parameters, text))

    def _read_batch(self, items: Sequence[Any], body: bytes) -> ParsedRequest:
        if not 0 < len(items) <= self.max_batch_size:
            raise malformed_request(
                f"a batch has 1 to {self.max_batch_size} operations, not {len(items)}", "BATCH_SIZE"
            )
        batch_parameters = [read_parameters(item) for item in items]
        selections = [self._read_operation(parameters) for parameters in batch_parameters]
        calls = [
            OperationCall(selection.operation, parameters.variables)
            for parameters, selection in zip(batch_parameters, selections, strict=True)
        ]
        classification = classify(self.table, calls)
        if classification.idempotency is Idempotency.IDEMPOTENCY_KEY:
            # An idempotency key identifies a single operation, not a whole batch.
            classification = replace(
                classification,
                class_name=self.table.mutation_class,
                idempotency_key="",
                idempotency=self.table.idempotency(self.table.mutation_class),
            )
        if all(parameters.query is not None for parameters in batch_parameters):
            return ParsedRequest(classification, body)
        bodies = [
            _post_body(parameters, selection.text)
            for parameters, selection in zip(batch_parameters, selections, strict=True)
        ]
        return ParsedRequest(classification, b"[" + b",".join(bodies) + b"]")

    def _read_operation(self, parameters: OperationParameters) -> SelectedOperation:
        text = self.persisted_queries.resolve(parameters.query, parameters.extensions)
        if text is None:
            raise malformed_request("there is no query", "QUERY_MISSING")
        operation = self.documents.read(text).select_operation(parameters.operation_name)
        self.persisted_queries.store(text, parameters.extensions)
        return SelectedOperation(text, operation)


def _post_body(parameters: OperationParameters, text: str) -> bytes:
    """Return the body of a POST request with these parameters, and `text` as the document."""
    content: dict[str, Any] = {"query": text}
    if parameters.operation_name is not None:
        content["operationName"] = parameters.operation_name
    if parameters.variables:
        content["variables"] = parameters.variables
    if parameters.extensions:
        content["extensions"] = parameters.extensions
    try:
        return json.dumps(content, ensure_ascii=False, separators=(",", ":")).encode()
    except UnicodeEncodeError:
        raise malformed_request("half a character") from None
