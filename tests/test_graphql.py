"""Parsing, classification and rejection of GraphQL requests, without a network."""

from __future__ import annotations

import hashlib
import json
from contextlib import suppress
from typing import Any
from urllib.parse import urlencode

import pytest
from graphql import OperationDefinitionNode, Visitor, parse, visit
from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import Idempotency
from ryepier.graphql.classify import ClassificationTable, ClassRule, FieldRule
from ryepier.graphql.document import MAX_DEPTH, DocumentCache
from ryepier.graphql.errors import GraphqlError
from ryepier.graphql.persisted import PersistedQueryCache
from ryepier.graphql.request import ParsedRequest, RequestReader, response_type

CLASSES = {
    name: ClassRule(name, idempotency)
    for name, idempotency in (
        ("lookup", Idempotency.IDEMPOTENT),
        ("report", Idempotency.IDEMPOTENT),
        ("batch", Idempotency.IDEMPOTENCY_KEY),
        ("convert", Idempotency.NON_IDEMPOTENT),
    )
}
TABLE = ClassificationTable(
    CLASSES,
    {"report": FieldRule("report", cost_us=5000, deadline_us=70)},
    {"batch": FieldRule("batch", key_argument="id", cost_us=9000), "convert": FieldRule("convert", cost_us=7000)},
    "lookup",
    "convert",
)
MUTATION = "mutation M { convert(file: 1) { id } }"
JSON = "application/json"


def parse_query(query: Any, reader: RequestReader | None = None, **parameters: Any) -> ParsedRequest:
    return (reader or RequestReader(TABLE)).read_post(JSON, json.dumps({"query": query, **parameters}).encode())


def parse_body(body: bytes | str) -> ParsedRequest:
    return RequestReader(TABLE).read_post(JSON, body if isinstance(body, bytes) else body.encode())


def expect_rejection(function: Any, *arguments: Any, **keywords: Any) -> GraphqlError:
    with pytest.raises(GraphqlError) as error_info:
        function(*arguments, **keywords)
    return error_info.value


@pytest.mark.parametrize(
    ("query", "name"),
    [
        (MUTATION, None),
        (f"# query\n{MUTATION}", None),
        (f",,\n\t{MUTATION}", None),
        (f"query Q {{ a }} {MUTATION}", "M"),
        (f"{MUTATION} query Q {{ a }}", "M"),
        ("fragment F on Mutation { convert(file: 1) { id } } mutation { ...F }", None),
        ("mutation { ... on Mutation { query: convert(file: 1) { id } } }", None),
        ("mutation { ... @include(if: true) { convert } }", None),
        ('mutation($s: String = "query") { other }', None),
        ("mutation { batch }", None),
        ('mutation { a: batch(id: "1") b: batch(id: "2") }', None),
        ('mutation { batch(id: "1") convert }', None),
        ('mutation { batch(id: "has blanks") }', None),
        ("mutation { batch(id: [1]) }", None),
        ("mutation { batch(id: $absent) }", None),
        ("mutation { batch(id: true) }", None),
        ("mutation @skip(if: true) { convert }", None),
        ("mutation { convert @skip(if: true) }", None),
    ],
)
def test_mutation_is_non_idempotent_in_any_spelling(query: str, name: str | None) -> None:
    classification = parse_query(query, operationName=name).classification
    assert (classification.class_name, classification.idempotency, classification.mutates) == (
        "convert",
        Idempotency.NON_IDEMPOTENT,
        True,
    )


def test_mutation_with_an_idempotency_key_may_be_retried() -> None:
    assert parse_query('mutation { batch(id: "b-1") { id } }').classification.idempotency_key == "b-1"
    classification = parse_query('mutation($i: ID = "dflt") { batch(id: $i) }', variables={"i": 17}).classification
    assert (
        classification.class_name,
        classification.idempotency,
        classification.idempotency_key,
        classification.cost_us,
    ) == (
        "batch",
        Idempotency.IDEMPOTENCY_KEY,
        "17",
        9000,
    )
    assert parse_query('mutation($i: ID = "dflt") { batch(id: $i) }').classification.idempotency_key == "dflt"
    two_fields = 'mutation($no: Boolean!) { batch(id: "1") convert @include(if: $no) }'
    classification = parse_query(two_fields, variables={"no": False}).classification
    assert (classification.idempotency, classification.idempotency_key) == (Idempotency.IDEMPOTENCY_KEY, "1")
    assert parse_query(two_fields).classification.idempotency == Idempotency.NON_IDEMPOTENT


def test_query_is_idempotent_with_class_and_cost_from_the_table() -> None:
    assert parse_query("{ a b c }").classification.class_name == "lookup"
    classification = parse_query("query { one: report two: report }").classification
    assert (
        classification.class_name,
        classification.idempotency,
        classification.cost_us,
        classification.deadline_us,
    ) == (
        "report",
        Idempotency.IDEMPOTENT,
        10_000,
        70,
    )
    assert parse_query("query { report other }").classification.deadline_us == 0
    assert (
        parse_query("query Q { a } " + MUTATION, operationName="Q").classification.idempotency == Idempotency.IDEMPOTENT
    )


def test_batch_has_its_strictest_class_and_is_forwarded_unchanged() -> None:
    body = json.dumps([{"query": "{ a }"}, {"query": 'mutation { batch(id: "1") }'}]).encode()
    parsed_request = parse_body(body)
    assert (
        parsed_request.classification.idempotency,
        parsed_request.classification.idempotency_key,
        parsed_request.body,
    ) == (
        Idempotency.NON_IDEMPOTENT,
        "",
        body,
    )
    assert parse_body('[{"query": "{ a }"}, {"query": "{ b }"}]').classification.idempotency == Idempotency.IDEMPOTENT
    assert expect_rejection(parse_body, json.dumps([{"query": "{ a }"}] * 1000)).code == "BATCH_SIZE"
    assert expect_rejection(parse_body, "[]").code == "BATCH_SIZE" and expect_rejection(parse_body, "[1]").status == 400


@pytest.mark.parametrize(
    "body",
    [
        b'{"query": "{ a }", "query": "mutation { convert }"}',
        b'{"query": "{ a }", "Query": "mutation { convert }"}',
        b'{"query": "{ a }", "variables": {"x": 1, "x": 2}}',
        b'{"query": "{ a }", "variables": {"x": NaN}}',
        b'\xef\xbb\xbf{"query": "{ a }"}',
        b'{"query": "\\ufeff{ a }"}',
        b'{"query": "{ a }\\ud800"}',
        b'{"query": 1}',
        b'{"query": null}',
        b"{}",
        b'"x"',
        b"{",
        b"\xff",
        b"[" * 60_000,
        b'{"query": "{ a }", "variables": []}',
        b'{"query": "{ a }", "operationName": 3}',
        b'{"query": "subscription { a }"}',
        b'{"query": "type T { a: Int }"}',
        b'{"query": "{ a } { b }"}',
        b'{"query": "query A { a } query A { b }"}',
        b'{"query": "query A { a } query B { b }"}',
        b'{"query": "query A { a } query B { b }", "operationName": ""}',
        b'{"query": "{ a }", "operationName": "B"}',
        b'{"query": "{ ...F } fragment F on Q { ...F }"}',
        b'{"query": "{ ...G }"}',
        b'{"query": "fragment F on Q { a }"}',
        b'{"query": "{ ...F } fragment F on Q { a } fragment F on Q { b }"}',
        b'{"query": ""}',
        b'{"query": "{ a", "extensions": {"persistedQuery": {"version": 1, "sha256Hash": "00"}}}',
    ],
)
def test_ambiguous_or_invalid_request_is_rejected(body: bytes) -> None:
    assert expect_rejection(parse_body, body).status == 400


def test_document_size_is_limited_before_parsing() -> None:
    nested_document = "{a" * 32_000 + "}" * 32_000
    assert expect_rejection(parse_query, nested_document).code == "DOCUMENT_TOO_DEEP"
    assert expect_rejection(parse_query, "{" * 65_000).code == "DOCUMENT_TOO_DEEP"
    assert expect_rejection(parse_query, "{ " + "a " * 30_000 + "}").code == "DOCUMENT_TOO_LARGE"
    assert (
        parse_query("{" + "a{" * (MAX_DEPTH - 1) + "b" + "}" * MAX_DEPTH).classification.idempotency
        == Idempotency.IDEMPOTENT
    )
    nested_fragments = " ".join(f"fragment F{i} on Q {{ ...F{i + 1} ...F{i + 1} }}" for i in range(20))
    assert (
        expect_rejection(parse_query, f"{{ ...F0 }} {nested_fragments} fragment F20 on Q {{ a }}").code
        == "DOCUMENT_TOO_LARGE"
    )


def test_get_request_must_be_a_query() -> None:
    reader = RequestReader(TABLE)
    parsed_request = reader.read_get(
        urlencode({"query": "query Q($x: Int) { a(x: $x) }", "variables": '{"x": 1}', "operationName": "Q"})
    )
    assert json.loads(parsed_request.body) == {
        "query": "query Q($x: Int) { a(x: $x) }",
        "variables": {"x": 1},
        "operationName": "Q",
    }
    error = expect_rejection(reader.read_get, urlencode({"query": MUTATION}))
    assert (error.status, error.allow) == (405, "POST")
    for text in ("", "query=%7Ba%7D&query=%7Bb%7D", "query=%ff", "query=%7Ba%7D&variables=1", "a"):
        assert expect_rejection(reader.read_get, text).status == 400


def test_persisted_hash_refers_to_one_text_only() -> None:
    def extensions(text: str) -> dict[str, Any]:
        return {"persistedQuery": {"version": 1, "sha256Hash": hashlib.sha256(text.encode()).hexdigest()}}

    reader = RequestReader(TABLE)
    error = expect_rejection(parse_query, None, reader, extensions=extensions("{ a }"))
    assert (error.status, error.code, error.text) == (200, "PERSISTED_QUERY_NOT_FOUND", "PersistedQueryNotFound")
    assert (
        expect_rejection(parse_query, MUTATION, reader, extensions=extensions("{ a }")).code
        == "PERSISTED_QUERY_HASH_MISMATCH"
    )
    parse_query("{ a }", reader, extensions=extensions("{ a }"))
    parsed_request = reader.read_post(
        JSON, json.dumps({"extensions": extensions("{ a }"), "variables": {"v": 1.5}}).encode()
    )
    assert (
        parsed_request.classification.idempotency == Idempotency.IDEMPOTENT
        and json.loads(parsed_request.body)["query"] == "{ a }"
    )
    assert json.loads(parsed_request.body)["variables"] == {"v": 1.5}
    cache = PersistedQueryCache(max_queries=2)
    for text in ("{ a }", "{ b }", "{ c }"):
        cache.store(text, extensions(text))
    assert len(cache.texts) == 2 and cache.size_characters == 10
    assert expect_rejection(cache.resolve, None, extensions("{ a }")).code == "PERSISTED_QUERY_NOT_FOUND"


def test_document_cache_is_bounded() -> None:
    cache = DocumentCache(max_documents=3, max_bytes=100)
    for number in range(10):
        cache.read(f"{{ a{number} }}")
    cache.read("{ a9 }")
    assert cache.misses == 10 and len(cache.entries) == 3
    cache.read("{ " + "a" * 93 + " }")
    assert cache.size_bytes <= 100 and len(cache.entries) == 1


@pytest.mark.parametrize(
    ("accept", "media_type"),
    [
        ("", "application/graphql-response+json"),
        ("*/*", "application/graphql-response+json"),
        ("application/json", "application/json"),
        ("application/json;q=0.5, application/graphql-response+json", "application/graphql-response+json"),
        ("text/html, application/json;q=0.1", "application/json"),
    ],
)
def test_responses_have_a_media_type_that_the_client_accepts(accept: str, media_type: str) -> None:
    assert response_type(accept) == media_type


def test_unsupported_media_type_is_reported() -> None:
    assert expect_rejection(response_type, "text/html").status == 406
    assert expect_rejection(response_type, "application/json;q=0").status == 406
    for content_type in ("text/plain", "", "application/json; charset=utf-16"):
        assert expect_rejection(RequestReader(TABLE).read_post, content_type, b"{}").status == 415


@pytest.mark.parametrize(
    "overrides",
    [
        {"mutation_class": "lookup"},
        {"mutation_class": "batch"},
        {"query_class": "nothing"},
        {"query_class": "batch"},
        {"mutations": {"m": FieldRule("lookup")}},
        {"mutations": {"m": FieldRule("batch")}},
        {"mutations": {"m": FieldRule("convert", key_argument="id")}},
    ],
)
def test_table_that_would_retry_non_idempotent_operations_is_rejected(overrides: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=r"class|key"):
        ClassificationTable(
            **{"classes": CLASSES, "queries": {}, "mutations": {}, "query_class": "lookup", "mutation_class": "convert"}
            | overrides
        )


FIELD_NAMES = st.sampled_from(["a", "report", "batch", "convert", "query", "mutation", "on1"])
FIELDS = st.builds(
    lambda alias, name, suffix: f"{alias}: {name}{suffix}",
    st.sampled_from(["x", "query", "m"]),
    FIELD_NAMES,
    st.sampled_from(["", " { id }", '(id: "1")', "(id: $v)", " @skip(if: $v)", '(t: "mutation {")']),
)
SELECTIONS = st.lists(
    FIELDS | st.sampled_from(["...F", "... on T { convert }", "... @include(if: $v) { a }"]), min_size=1, max_size=4
).map(" ".join)
# Texts before an operation that do not change its meaning.
FILLERS = st.sampled_from(["", " ", "# mutation\n", ",", "\n"])


@given(
    st.lists(st.tuples(st.sampled_from(["query", "mutation"]), SELECTIONS, FILLERS), min_size=1, max_size=3),
    SELECTIONS,
    st.integers(0, 2),
    st.sampled_from([None, True, False, "x"]),
)
def test_no_mutation_is_ever_classified_as_idempotent(
    operations: list[tuple[str, str, str]], fragment_fields: str, operation_index: int, variable_value: Any
) -> None:
    text = "".join(f"{filler}{kind} O{i}($v: X) {{ {fields} }} " for i, (kind, fields, filler) in enumerate(operations))
    text = f"fragment F on T {{ {fragment_fields.replace('...F', 'f')} }} " + text
    name = f"O{operation_index % len(operations)}"
    visited_kinds: list[str] = []

    class OperationKindCollector(Visitor):
        def enter_operation_definition(self, node: OperationDefinitionNode, *_: Any) -> None:
            if node.name is not None and node.name.value == name:
                visited_kinds.append(node.operation.value)

    visit(parse(text), OperationKindCollector())
    classification = parse_query(text, operationName=name, variables={"v": variable_value}).classification
    assert visited_kinds == [operations[operation_index % len(operations)][0]]
    assert classification.mutates == (visited_kinds == ["mutation"])
    assert (classification.idempotency == Idempotency.IDEMPOTENT) == (visited_kinds == ["query"])
    assert classification.idempotency != Idempotency.IDEMPOTENCY_KEY or (
        classification.idempotency_key and text.count("batch") >= 1
    )


@given(st.binary(max_size=300) | st.text(max_size=200).map(lambda text: json.dumps({"query": text}).encode()))
def test_arbitrary_bytes_are_parsed_or_rejected(body: bytes) -> None:
    with suppress(GraphqlError):
        parse_body(body)
    with suppress(GraphqlError):
        RequestReader(TABLE).read_get(body.decode("latin-1"))
