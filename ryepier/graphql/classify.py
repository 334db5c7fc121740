"""Classification of operations: the class of a request, and whether it may run more than once.

Performs no I/O. Operations that are not known to be idempotent count as non-idempotent: only queries may have an
idempotent class, and an idempotency key is used only if the request contains a single operation that needs one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

from graphql import OperationType

from ryepier.balancer.interface import Idempotency
from ryepier.graphql.document import Operation, RootField, argument_value, is_executed
from ryepier.graphql.errors import GraphqlError, malformed_request

IDEMPOTENCY_BY_STRICTNESS = list(Idempotency)  # the least strict comes first
MAX_KEY_LENGTH = 128  # characters


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Name of a request class of the platform, and whether its requests may run more than once."""

    name: str
    idempotency: Idempotency


@dataclass(frozen=True, slots=True)
class FieldRule:
    """Rule in the operators' table for a root field of queries or mutations."""

    class_name: str
    key_argument: str = ""  # name of the argument whose value is the idempotency key; empty: no key
    cost_us: int = 0  # expected processing time on a standard core; 0 = unknown
    deadline_us: int = 0  # deadline of requests for which the client sets none; 0 = the deadline of the class


@dataclass(frozen=True, slots=True)
class ClassificationTable:
    """The operators' rules, by the name of the root field.

    Raises ValueError if the rules would allow retries of non-idempotent operations.
    """

    classes: Mapping[str, ClassRule]
    queries: Mapping[str, FieldRule]
    mutations: Mapping[str, FieldRule]
    query_class: str  # class of queries whose root field has no rule
    mutation_class: str  # class of mutations whose root field has no rule

    def __post_init__(self) -> None:
        """Raise ValueError if the class of a rule, or of fields without a rule, does not fit the type of operation."""
        for kind, rules in (("query", self.queries), ("mutation", self.mutations)):
            for name, rule in rules.items():
                self._check_rule(f"{kind} {name}", rule)
        self._check_rule("queries", FieldRule(self.query_class))
        self._check_rule("mutations", FieldRule(self.mutation_class))
        if self.idempotency(self.query_class) is Idempotency.IDEMPOTENCY_KEY:
            raise ValueError(
                f"queries: class {self.query_class!r} requires an idempotency key, but queries without a rule have none"
            )
        if self.idempotency(self.mutation_class) is not Idempotency.NON_IDEMPOTENT:
            raise ValueError(
                f"mutations: requests of class {self.mutation_class!r} may run more than once, "
                "but a mutation without a rule must be assumed to be non-idempotent"
            )
        for name, rule in self.mutations.items():
            if self.idempotency(rule.class_name) is Idempotency.IDEMPOTENT:
                raise ValueError(f"mutation {name}: class {rule.class_name!r} is for idempotent operations only")

    def _check_rule(self, rule_name: str, rule: FieldRule) -> None:
        if rule.class_name not in self.classes:
            raise ValueError(f"{rule_name}: there is no class {rule.class_name!r}")
        if (self.idempotency(rule.class_name) is Idempotency.IDEMPOTENCY_KEY) != bool(
            rule.key_argument
        ) and rule_name not in (
            "queries",
            "mutations",
        ):
            raise ValueError(f"{rule_name}: a class with idempotency keys requires a key, and other classes forbid it")

    def idempotency(self, class_name: str) -> Idempotency:
        """Return whether the requests of a class may run more than once."""
        return self.classes[class_name].idempotency


@dataclass(frozen=True, slots=True)
class Classification:
    """How an HTTP request, with one operation or a batch of them, is to be handled."""

    class_name: str
    idempotency: Idempotency
    idempotency_key: str = ""  # empty: the request has none
    cost_us: int = 0  # expected processing time of all executed root fields together; 0 = unknown
    deadline_us: int = 0  # longest deadline in the rules of the executed root fields; 0 = the deadline of the class
    mutates: bool = False  # whether any operation is a mutation


class OperationCall(NamedTuple):
    """An operation, and the values that the request gives for its variables."""

    operation: Operation
    variables: Mapping[str, Any]


class FieldCall(NamedTuple):
    """The rule for an executed root field, and the idempotency key from the field's arguments (empty: no key)."""

    rule: FieldRule
    idempotency_key: str


def classify(table: ClassificationTable, calls: Sequence[OperationCall]) -> Classification:
    """Classify a request with one operation or a batch of them. Raises GraphqlError for a subscription.

    The class is that of the executed root field that restricts retries most. A batch is forwarded as one request with
    one answer, so a single operation that must not run twice makes the whole batch non-idempotent.
    """
    field_calls: list[FieldCall] = []
    mutates = False
    for operation, request_variables in calls:
        variables = {**operation.variable_defaults, **request_variables}
        if operation.kind is OperationType.SUBSCRIPTION:
            raise malformed_request("subscriptions are not served here", "SUBSCRIPTIONS_NOT_SUPPORTED")
        is_mutation = operation.kind is OperationType.MUTATION
        mutates |= is_mutation
        executed_fields = [root_field for root_field in operation.fields if is_executed(root_field, variables)]
        field_calls += [_make_field_call(table, is_mutation, root_field, variables) for root_field in executed_fields]
        if not executed_fields:  # directives skip all fields, so the class for fields without a rule applies
            field_calls.append(FieldCall(FieldRule(table.mutation_class if is_mutation else table.query_class), ""))
    rule, idempotency_key = max(
        field_calls, key=lambda call: IDEMPOTENCY_BY_STRICTNESS.index(table.idempotency(call.rule.class_name))
    )
    costs_us = [call.rule.cost_us for call in field_calls]
    deadlines_us = [call.rule.deadline_us for call in field_calls]
    cost_us = sum(costs_us) if all(costs_us) else 0
    deadline_us = max(deadlines_us) if all(deadlines_us) else 0
    idempotency = table.idempotency(rule.class_name)
    if idempotency is Idempotency.IDEMPOTENCY_KEY and (
        not idempotency_key or _count_non_idempotent_calls(table, field_calls) > 1
    ):
        # A request can't be deduplicated without a key, nor if several of its operations must not be repeated, since an
        # idempotency key covers a single operation only.
        rule = FieldRule(table.mutation_class)
        idempotency = table.idempotency(table.mutation_class)
    return Classification(
        rule.class_name,
        idempotency,
        idempotency_key if idempotency is Idempotency.IDEMPOTENCY_KEY else "",
        cost_us,
        deadline_us,
        mutates,
    )


def _count_non_idempotent_calls(table: ClassificationTable, field_calls: list[FieldCall]) -> int:
    return sum(table.idempotency(call.rule.class_name) is not Idempotency.IDEMPOTENT for call in field_calls)


def _make_field_call(
    table: ClassificationTable, is_mutation: bool, field: RootField, variables: Mapping[str, Any]
) -> FieldCall:
    rules = table.mutations if is_mutation else table.queries
    rule = rules.get(field.name)
    if rule is None:
        return FieldCall(FieldRule(table.mutation_class if is_mutation else table.query_class), "")
    argument = field.arguments.get(rule.key_argument) if rule.key_argument else None
    if argument is None:
        return FieldCall(rule, "")
    return FieldCall(rule, _idempotency_key(argument_value(argument, variables)))


def _idempotency_key(value: Any) -> str:
    """Return an argument's value as the text of an Idempotency-Key header; empty if the value is unsuitable."""
    text = str(value) if isinstance(value, str | int) and not isinstance(value, bool) else ""
    return text if len(text) <= MAX_KEY_LENGTH and all("!" <= character <= "~" for character in text) else ""


def check_allowed_in_get(classification: Classification) -> None:
    """Raise GraphqlError unless the request is an idempotent query, since proxies and clients may repeat any GET."""
    if classification.mutates or classification.idempotency is not Idempotency.IDEMPOTENT:
        raise GraphqlError(405, "METHOD_NOT_ALLOWED", "a GET may only ask, not change anything: use POST", "POST")
