"""GraphQL as the stand-ins speak it: what clients send, in all the guises a mutation may have; what converters read.

Each class of a world is a field of its own. A converter knows an operation by the `id` among its variables, whatever
the headers say.
"""

from __future__ import annotations

import json
from urllib.parse import urlencode

from ryepier.emulator.world import RequestClass, World

PATH = "/graphql"


def field_name(class_name: str) -> str:
    """convert-file -> convertFile"""
    first, *rest = class_name.split("-")
    return first + "".join(part.capitalize() for part in rest)


def guises(kind: RequestClass) -> list[tuple[str, str | None]]:
    """Documents that all do the same, each with the operationName that goes with it."""
    field = field_name(kind.name)
    key, given = (", $key: ID!", ", key: $key") if kind.effect == "deduplicated" else ("", "")
    call = f"{field}(id: $id{given}) {{ done }}"
    if kind.effect == "idempotent":
        return [(f"query ($id: ID!) {{ {call} }}", None), (f"query Ask($id: ID!) {{ again: {call} }}", "Ask")]
    head = f"mutation Do($id: ID!{key})"
    return [
        (f"{head} {{ {call} }}", "Do"),
        (f"# asks for nothing but a status\n{head} {{ {call} }}", None),
        (f"fragment Work on Mutation {{ {call} }}\n{head} {{ ...Work }}", None),
        (f"query Look($id: ID!) {{ lookup(id: $id) {{ done }} }}\n{head} {{ {call} }}", "Do"),
        (f",,\n\t{head} {{ ... on Mutation {{ it: {call} }} }}", "Do"),
    ]


def request(kind: RequestClass, number: int, ident: str, key: str, unique: bool) -> tuple[bytes, bytes, bytes]:
    """Method, target and body of one request; which guise it has follows from its number."""
    documents = guises(kind)
    text, name = documents[number % len(documents)]
    if unique:
        text += f" # {ident}"
    variables = {"id": ident} | ({"key": key} if key else {})
    found: dict[str, object] = {"query": text, "variables": variables}
    if name is not None:
        found["operationName"] = name
    if kind.effect == "idempotent" and number % 3 == 0:
        pairs = {key: value if isinstance(value, str) else json.dumps(value) for key, value in found.items()}
        return b"GET", f"{PATH}?{urlencode(pairs)}".encode(), b""
    body = json.dumps(found)
    if number % 7 == 0:
        body = body.replace('"mutation', '"\\u006dutation')  # the same to whoever reads JSON
    return b"POST", PATH.encode(), body.encode()


def operation_id(body: bytes) -> str:
    """The id of the operation in a converter's request. Raises ValueError."""
    try:
        ident = json.loads(body)["variables"]["id"]
    except (KeyError, TypeError):
        raise ValueError("no operation id") from None
    if not isinstance(ident, str):
        raise ValueError("no operation id")
    return ident


def operators_table(world: World) -> str:
    """The [graphql] part of the sidecars' operators' file."""
    asked = next(kind.name for kind in world.classes if kind.effect == "idempotent")
    unsafe = next(kind.name for kind in world.classes if kind.effect == "at_most_once")
    text = f'[graphql]\npath = "{PATH}"\nqueries = "{asked}"\nmutations = "{unsafe}"\n'
    for kind in world.classes:
        text += (
            f'[[graphql.fields]]\ntype = "{"query" if kind.effect == "idempotent" else "mutation"}"\n'
            f'name = "{field_name(kind.name)}"\nrequest_class = "{kind.name}"\n'
        )
        if kind.effect == "deduplicated":
            text += 'key = "key"\n'
    return text
