"""Parsing of GraphQL documents, with limits on their size: operations and the root fields that they execute.

Performs no I/O. The limits are checked before parsing: the lexer, which is not recursive, counts tokens and nesting
depth, so that a document cannot exhaust CPU time or the stack.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from graphql import (
    DirectiveNode,
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    GraphQLError,
    Lexer,
    OperationDefinitionNode,
    OperationType,
    SelectionSetNode,
    Source,
    TokenKind,
    ValueNode,
    VariableNode,
    parse,
)
from graphql import value_from_ast_untyped as read_value

from ryepier.graphql.errors import malformed_request

MAX_TOKENS = 4_000  # in a document
MAX_DEPTH = 40  # nesting of brackets
MAX_ROOT_FIELDS = 200  # of an operation with its fragments expanded, since nested fragments multiply the fields
MAX_CACHED_DOCUMENTS = 500  # a service usually has a few dozen documents
MAX_CACHED_BYTES = 2_000_000  # total size of the documents' texts
OPENING_BRACKETS = frozenset((TokenKind.BRACE_L, TokenKind.BRACKET_L, TokenKind.PAREN_L))
CLOSING_BRACKETS = frozenset((TokenKind.BRACE_R, TokenKind.BRACKET_R, TokenKind.PAREN_R))


INCLUDE_DIRECTIVE = "include"
SKIP_DIRECTIVE = "skip"
CONDITION_ARGUMENT = "if"  # of both directives


@dataclass(frozen=True, slots=True)
class RootField:
    """A root field of an operation; a field that is selected under two aliases counts as two."""

    name: str
    arguments: Mapping[str, ValueNode]
    conditions: tuple[DirectiveNode, ...]  # @skip and @include of the field and of all fragments around it


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of a document, with its fragments expanded."""

    kind: OperationType
    name: str
    fields: tuple[RootField, ...]
    variable_defaults: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Document:
    """The operations of a GraphQL document."""

    operations: tuple[Operation, ...]

    def select_operation(self, name: str | None) -> Operation:
        """Return the operation that a server executes for an `operationName`, or without one.

        Raises GraphqlError if there is no such operation, or if several are possible.
        """
        if not name:
            if len(self.operations) != 1:
                raise malformed_request(
                    "the document has several operations, and no operationName says which", "OPERATION_NAME"
                )
            return self.operations[0]
        for operation in self.operations:
            if operation.name == name:
                return operation
        raise malformed_request("the document has no operation of that name", "OPERATION_NAME")


def check_limits(text: str) -> None:
    """Raise GraphqlError for a text with too many tokens, too deep nesting, or an invalid token."""
    lexer = Lexer(Source(text))
    depth = token_count = 0
    try:
        while (kind := lexer.advance().kind) is not TokenKind.EOF:
            token_count += 1
            depth += (kind in OPENING_BRACKETS) - (kind in CLOSING_BRACKETS)
            if token_count > MAX_TOKENS:
                raise malformed_request(f"the document has more than {MAX_TOKENS} tokens", "DOCUMENT_TOO_LARGE")
            if depth > MAX_DEPTH:
                raise malformed_request(f"the document is nested more than {MAX_DEPTH} deep", "DOCUMENT_TOO_DEEP")
    except GraphQLError as error:
        raise malformed_request(f"not GraphQL: {error.message}", "GRAPHQL_PARSE_FAILED") from None


def read_document(text: str) -> Document:
    """Parse a text. Raises GraphqlError."""
    if text.startswith("\ufeff"):
        # The specification allows a byte order mark, but not every server skips it, so a server might read the document
        # differently.
        raise malformed_request("the document begins with a byte order mark", "GRAPHQL_PARSE_FAILED")
    check_limits(text)
    try:
        tree = parse(text, no_location=True)
    except (GraphQLError, RecursionError) as error:
        raise malformed_request(
            f"not GraphQL: {getattr(error, 'message', 'too deep')}", "GRAPHQL_PARSE_FAILED"
        ) from None
    return _DocumentBuilder(tree).build()


class _DocumentBuilder:
    def __init__(self, tree: DocumentNode) -> None:
        self.operations = [node for node in tree.definitions if isinstance(node, OperationDefinitionNode)]
        other_definitions = [node for node in tree.definitions if not isinstance(node, OperationDefinitionNode)]
        self.fragments: dict[str, FragmentDefinitionNode] = {}
        for node in other_definitions:
            if not isinstance(node, FragmentDefinitionNode):
                raise malformed_request("the document defines types, which is nothing to execute", "NOT_EXECUTABLE")
            if node.name.value in self.fragments:
                raise malformed_request(f"two fragments are called {node.name.value}", "GRAPHQL_VALIDATION_FAILED")
            self.fragments[node.name.value] = node

    def build(self) -> Document:
        if not self.operations:
            raise malformed_request("the document has no operation", "NOT_EXECUTABLE")
        names = [node.name.value if node.name else "" for node in self.operations]
        if len(set(names)) < len(names) or ("" in names and len(names) > 1):
            # servers differ in which operation of a given name they execute
            raise malformed_request("operations of one document need names that differ", "GRAPHQL_VALIDATION_FAILED")
        return Document(
            tuple(self.build_operation(node, name) for node, name in zip(self.operations, names, strict=True))
        )

    def build_operation(self, node: OperationDefinitionNode, name: str) -> Operation:
        fields: list[RootField] = []
        self.collect_root_fields(node.selection_set, (), frozenset(), fields)
        variable_defaults = {}
        for variable in node.variable_definitions or ():
            if variable.default_value is not None:
                variable_defaults[variable.variable.name.value] = read_value(variable.default_value)
        return Operation(node.operation, name, tuple(fields), variable_defaults)

    def collect_root_fields(
        self,
        selection_set: SelectionSetNode,
        conditions: tuple[DirectiveNode, ...],
        enclosing_fragments: frozenset[str],
        fields: list[RootField],
    ) -> None:
        """Add the root fields of a selection set to `fields`, with all fragments expanded.

        `conditions` and `enclosing_fragments` are the directives and the names of the fragments around it.
        """
        for node in selection_set.selections:
            field_conditions = conditions + tuple(
                directive
                for directive in node.directives or ()
                if directive.name.value in (SKIP_DIRECTIVE, INCLUDE_DIRECTIVE)
            )
            if isinstance(node, FieldNode):
                if len(fields) >= MAX_ROOT_FIELDS:
                    raise malformed_request(f"more than {MAX_ROOT_FIELDS} fields at the top", "DOCUMENT_TOO_LARGE")
                fields.append(
                    RootField(
                        node.name.value,
                        {argument.name.value: argument.value for argument in node.arguments or ()},
                        field_conditions,
                    )
                )
                continue
            inline_selection_set = getattr(node, "selection_set", None)
            if inline_selection_set is not None:  # an inline fragment
                self.collect_root_fields(inline_selection_set, field_conditions, enclosing_fragments, fields)
                continue
            name = node.name.value  # type: ignore[attr-defined]
            if name in enclosing_fragments:
                raise malformed_request(f"fragment {name} holds itself", "GRAPHQL_VALIDATION_FAILED")
            if name not in self.fragments:
                raise malformed_request(f"there is no fragment {name}", "GRAPHQL_VALIDATION_FAILED")
            self.collect_root_fields(
                self.fragments[name].selection_set, field_conditions, enclosing_fragments | {name}, fields
            )


class CachedDocument(NamedTuple):
    """A parsed document, and the size of its text."""

    document: Document
    size_bytes: int


@dataclass(slots=True)
class DocumentCache:
    """LRU cache of parsed documents by the hash of their text."""

    max_documents: int = MAX_CACHED_DOCUMENTS
    max_bytes: int = MAX_CACHED_BYTES
    entries: OrderedDict[bytes, CachedDocument] = field(default_factory=OrderedDict)
    size_bytes: int = 0
    misses: int = 0

    def read(self, text: str) -> Document:
        """Return the parsed text, from the cache if possible. Raises GraphqlError; only valid documents are cached."""
        try:
            data = text.encode()
        except UnicodeEncodeError:
            raise malformed_request("the document holds half a character", "GRAPHQL_PARSE_FAILED") from None
        key = hashlib.blake2b(data, digest_size=16).digest()
        if key in self.entries:
            self.entries.move_to_end(key)
            return self.entries[key].document
        self.misses += 1
        document = read_document(text)
        self.entries[key] = CachedDocument(document, len(data))
        self.size_bytes += len(data)
        while len(self.entries) > self.max_documents or self.size_bytes > self.max_bytes:
            _, oldest = self.entries.popitem(last=False)
            self.size_bytes -= oldest.size_bytes
        return document


def argument_value(node: ValueNode, variables: Mapping[str, Any]) -> Any:
    """Return an argument's value with variables substituted; None for a variable without a value."""
    return variables.get(node.name.value) if isinstance(node, VariableNode) else read_value(node, dict(variables))


def is_executed(root_field: RootField, variables: Mapping[str, Any]) -> bool:
    """Return whether a field's @skip and @include allow its execution; a condition of unknown value does."""
    for directive in root_field.conditions:
        condition = next(
            (argument.value for argument in directive.arguments or () if argument.name.value == CONDITION_ARGUMENT),
            None,
        )
        value = argument_value(condition, variables) if condition is not None else None
        if value is (directive.name.value == SKIP_DIRECTIVE):
            return False
    return True
