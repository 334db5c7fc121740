"""GraphQL messages of the emulator: the clients' documents, in equivalent forms, and the id that converters read.

Each request class of a world is a field of the schema. Converters identify an operation only by its variable `id`,
not by headers.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from urllib.parse import urlencode

from ryepier.emulator.world import Effect, RequestClass, World

PATH = "/graphql"
GET_EVERY = 3  # queries whose number is a multiple of GET_EVERY are sent with GET
# in mutations whose number is a multiple of ESCAPED_EVERY, a letter of `mutation` is written as a JSON escape
# sequence, which does not change the decoded text
ESCAPED_EVERY = 7


@dataclass(frozen=True, slots=True)
class Document:
    """A GraphQL document, and the operationName to send with it, if any."""

    text: str
    operation_name: str | None


@dataclass(frozen=True, slots=True)
class GraphqlRequest:
    """The parts of an HTTP request that carry an operation."""

    method: bytes
    target: bytes
    body: bytes


def field_name(class_name: str) -> str:
    """Return the name of a request class's field in the schema, such as convertFile for convert-file."""
    first_word, *other_words = class_name.split("-")
    return first_word + "".join(word.capitalize() for word in other_words)


def documents(request_class: RequestClass) -> list[Document]:
    """Return equivalent documents for a request class, written in different ways."""
    field = field_name(request_class.name)
    is_deduplicated = request_class.effect is Effect.DEDUPLICATED
    key_variable, key_argument = (", $key: ID!", ", key: $key") if is_deduplicated else ("", "")
    call = f"{field}(id: $id{key_argument}) {{ done }}"
    if request_class.effect is Effect.IDEMPOTENT:
        return [
            Document(f"query ($id: ID!) {{ {call} }}", None),
            Document(f"query Ask($id: ID!) {{ again: {call} }}", "Ask"),
        ]
    head = f"mutation Do($id: ID!{key_variable})"
    return [
        Document(f"{head} {{ {call} }}", "Do"),
        Document(f"# asks for nothing but a status\n{head} {{ {call} }}", None),
        Document(f"fragment Work on Mutation {{ {call} }}\n{head} {{ ...Work }}", None),
        Document(f"query Look($id: ID!) {{ lookup(id: $id) {{ done }} }}\n{head} {{ {call} }}", "Do"),
        Document(f",,\n\t{head} {{ ... on Mutation {{ it: {call} }} }}", "Do"),
    ]


def make_request(request_class: RequestClass, number: int, request_id: str, key: str, unique: bool) -> GraphqlRequest:
    """Return a request. `number` selects the document's form; with `unique`, its text differs from all others."""
    equivalent_documents = documents(request_class)
    document = equivalent_documents[number % len(equivalent_documents)]
    text = document.text + (f" # {request_id}" if unique else "")
    variables = {"id": request_id} | ({"key": key} if key else {})
    parameters: dict[str, object] = {"query": text, "variables": variables}
    if document.operation_name is not None:
        parameters["operationName"] = document.operation_name
    if request_class.effect is Effect.IDEMPOTENT and number % GET_EVERY == 0:
        query_parameters = {
            name: value if isinstance(value, str) else json.dumps(value) for name, value in parameters.items()
        }
        return GraphqlRequest(b"GET", f"{PATH}?{urlencode(query_parameters)}".encode(), b"")
    body = json.dumps(parameters)
    if number % ESCAPED_EVERY == 0:
        body = body.replace('"mutation', '"\\u006dutation')
    return GraphqlRequest(b"POST", PATH.encode(), body.encode())


def operation_id(body: bytes) -> str:
    """Return the id of the operation in a request's body. Raises ValueError if there is none."""
    try:
        id_variable = json.loads(body)["variables"]["id"]
    except (KeyError, TypeError):
        raise ValueError("no operation id") from None
    if not isinstance(id_variable, str):
        raise ValueError("no operation id")
    return id_variable


def settings_table(world: World) -> str:
    """Return the [graphql] table of the sidecars' settings file."""
    query_class = next(
        request_class.name for request_class in world.classes if request_class.effect is Effect.IDEMPOTENT
    )
    mutation_class = next(
        request_class.name for request_class in world.classes if request_class.effect is Effect.AT_MOST_ONCE
    )
    text = f'[graphql]\npath = "{PATH}"\nqueries = "{query_class}"\nmutations = "{mutation_class}"\n'
    for request_class in world.classes:
        text += (
            f'[[graphql.fields]]\ntype = "{"query" if request_class.effect is Effect.IDEMPOTENT else "mutation"}"\n'
            f'name = "{field_name(request_class.name)}"\nrequest_class = "{request_class.name}"\n'
        )
        if request_class.effect is Effect.DEDUPLICATED:
            text += 'key = "key"\n'
    return text
