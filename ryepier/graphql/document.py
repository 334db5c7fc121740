"""Parses GraphQL documents, with limits on their size, and finds the root fields of each operation.

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
MAX_DEPTH = 40  # nesting depth of brackets
# Root fields of an operation after its fragments are expanded: nested fragments can multiply the fields exponentially.
MAX_ROOT_FIELDS = 200
MAX_CACHED_DOCUMENTS = 500  # a service usually has a few dozen documents
MAX_CACHED_BYTES = 2_000_000  # total size of the texts of the cached documents
OPENING_BRACKETS = frozenset((TokenKind.BRACE_L, TokenKind.BRACKET_L, TokenKind.PAREN_L))
CLOSING_BRACKETS = frozenset((TokenKind.BRACE_R, TokenKind.BRACKET_R, TokenKind.PAREN_R))


INCLUDE_DIRECTIVE = "include"
SKIP_DIRECTIVE = "skip"
CONDITION_ARGUMENT = "if"  # argument of both directives


@dataclass(frozen=True, slots=True)
class RootField:
    """A root field of an operation. A field that is selected twice, such as under two aliases, counts as two."""

    name: str
    arguments: Mapping[str, ValueNode]
    conditions: tuple[DirectiveNode, ...]  # the @skip and @include of the field and of all enclosing fragments


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation of a document; `fields` includes the root fields from its fragments."""

    kind: OperationType
    name: str
    fields: tuple[RootField, ...]
    variable_defaults: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Document:
    """The operations of a GraphQL document."""

    operations: tuple[Operation, ...]

    def select_operation(self, name: str | None) -> Operation:
        """Return the operation that a request selects; `name` is its `operationName`, if it has one.

        Raises GraphqlError if there is no operation of that name, or if there are several and no name is given.
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
    """Raise GraphqlError if a document has too many tokens, too deeply nested brackets, or an invalid token."""
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
    """Parse the text of a document and expand its fragments.

    Raises GraphqlError if the text exceeds a limit, is not valid GraphQL, or could be interpreted differently by the
    converter.
    """
    if text.startswith("\ufeff"):
        # The specification allows a byte order mark, but not every server skips it, so a converter might interpret the
        # document differently.
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
    """Validates a parsed document, and collects the root fields of its operations."""

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
            # Servers differ in which of several operations with the same name they execute.
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
        """Append the root fields of a selection set to `fields`, including those of its fragments.

        `conditions` are the @skip and @include directives of the fragments that enclose the selection set, and
        `enclosing_fragments` are the names of these fragments.
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
    """A parsed document, and the size of its text in UTF-8."""

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
        """Return the document with a given text, from the cache if possible. Raises GraphqlError.

        Only valid documents are cached; beyond either limit, the least recently used ones are evicted.
        """
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
    """Return the value of an argument, with variables replaced by their values (None if a variable has no value)."""
    return variables.get(node.name.value) if isinstance(node, VariableNode) else read_value(node, dict(variables))


def is_executed(root_field: RootField, variables: Mapping[str, Any]) -> bool:
    """Return whether the @skip and @include directives of a field let it be executed.

    A directive whose condition is not a boolean, such as an unset variable, does not exclude the field.
    """
    for directive in root_field.conditions:
        condition = next(
            (argument.value for argument in directive.arguments or () if argument.name.value == CONDITION_ARGUMENT),
            None,
        )
        value = argument_value(condition, variables) if condition is not None else None
        if value is (directive.name.value == SKIP_DIRECTIVE):
            return False
    return True
