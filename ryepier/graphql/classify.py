"""What operations mean for a request: its class, and whether it may run again.

Pure. Whatever is not known to be harmless is unsafe: a class counts as harmless only for queries, a key only for a
request that starts one thing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ryepier.balancer.interface import Idempotency
from ryepier.graphql.document import Operation, RootField, is_reached, variable_value
from ryepier.graphql.errors import GraphqlError, malformed_request

BY_STRICTNESS = list(Idempotency)  # each stricter than the one before
MAX_KEY_LENGTH = 128  # characters


@dataclass(frozen=True, slots=True)
class ClassRule:
    """A class of the platform, as far as it matters here."""

    name: str
    idempotency: Idempotency


@dataclass(frozen=True, slots=True)
class FieldRule:
    """Rule of the operators' table for one field."""

    class_name: str
    key: str = ""  # the argument that names one run of it
    cost_us: int = 0  # expected work on a standard core; 0 = not known
    deadline_us: int = 0  # where the client names none; 0 = the class's


@dataclass(frozen=True, slots=True)
class Table:
    """The operators' table. Raises ValueError where it would have something unsafe repeated."""

    classes: Mapping[str, ClassRule]
    queries: Mapping[str, FieldRule]
    mutations: Mapping[str, FieldRule]
    query_class: str  # of the fields that are not named
    mutation_class: str

    def __post_init__(self) -> None:
        """Raise ValueError for a rule that its class does not allow."""
        for what, rules in (("query", self.queries), ("mutation", self.mutations)):
            for name, rule in rules.items():
                self._check(f"{what} {name}", rule)
        self._check("queries", FieldRule(self.query_class))
        self._check("mutations", FieldRule(self.mutation_class))
        if self.idempotency(self.query_class) is Idempotency.IDEMPOTENCY_KEY:
            raise ValueError(f"queries: class {self.query_class!r} needs a key, which nothing would name")
        if self.idempotency(self.mutation_class) is not Idempotency.NON_IDEMPOTENT:
            raise ValueError(
                f"mutations: class {self.mutation_class!r} may run again, "
                "and nothing is known of a mutation that is not in the table"
            )
        for name, rule in self.mutations.items():
            if self.idempotency(rule.class_name) is Idempotency.IDEMPOTENT:
                raise ValueError(f"mutation {name}: class {rule.class_name!r} is for what is harmless to repeat")

    def _check(self, where: str, rule: FieldRule) -> None:
        if rule.class_name not in self.classes:
            raise ValueError(f"{where}: there is no class {rule.class_name!r}")
        if (self.idempotency(rule.class_name) is Idempotency.IDEMPOTENCY_KEY) != bool(rule.key) and where not in (
            "queries",
            "mutations",
        ):
            raise ValueError(f"{where}: a key goes with a class that is deduplicated, and the other way round")

    def idempotency(self, class_name: str) -> Idempotency:
        """Return whether a request of a class may be sent again."""
        return self.classes[class_name].idempotency


@dataclass(frozen=True, slots=True)
class Meaning:
    """Of a whole HTTP request."""

    class_name: str
    idempotency: Idempotency
    key: str = ""  # where it is deduplicated
    cost_us: int = 0
    deadline_us: int = 0  # the longest of its fields'; 0 = the class's
    mutates: bool = False


def meaning(table: Table, operations: Sequence[tuple[Operation, Mapping[str, Any]]]) -> Meaning:
    """Of one operation, or of a batch, each with its variables: the strictest class of all its fields.

    A batch goes out whole and has one answer, so one part that must not run twice holds for all of it. Raises
    GraphqlError."""
    found: list[tuple[FieldRule, str]] = []
    mutates = False
    for operation, given in operations:
        variables = {**operation.defaults, **given}
        if operation.kind == "subscription":
            raise malformed_request("subscriptions are not served here", "SUBSCRIPTIONS_NOT_SUPPORTED")
        mutates |= operation.kind == "mutation"
        reached = [one for one in operation.fields if is_reached(one, variables)]
        found += [_field(table, operation.kind, one, variables) for one in reached]
        if not reached:  # everything was skipped; it is still an operation of its kind
            found.append((FieldRule(table.mutation_class if operation.kind == "mutation" else table.query_class), ""))
    strictest = max(found, key=lambda pair: BY_STRICTNESS.index(table.idempotency(pair[0].class_name)))
    rule, key = strictest
    cost_us = sum(one.cost_us for one, _ in found) if all(one.cost_us for one, _ in found) else 0
    deadline_us = max(one.deadline_us for one, _ in found) if all(one.deadline_us for one, _ in found) else 0
    idempotency = table.idempotency(rule.class_name)
    if idempotency is Idempotency.IDEMPOTENCY_KEY and (not key or _started(table, found) > 1):
        # one key can't stand for two runs
        rule, key, idempotency = FieldRule(table.mutation_class), "", table.idempotency(table.mutation_class)
    return Meaning(
        rule.class_name,
        idempotency,
        key if idempotency is Idempotency.IDEMPOTENCY_KEY else "",
        cost_us,
        deadline_us,
        mutates,
    )


def _started(table: Table, found: list[tuple[FieldRule, str]]) -> int:
    return sum(table.idempotency(rule.class_name) is not Idempotency.IDEMPOTENT for rule, _ in found)


def _field(table: Table, kind: str, field: RootField, variables: Mapping[str, Any]) -> tuple[FieldRule, str]:
    rules, otherwise = (
        (table.mutations, table.mutation_class) if kind == "mutation" else (table.queries, table.query_class)
    )
    rule = rules.get(field.name)
    if rule is None:
        return FieldRule(otherwise), ""
    argument = field.arguments.get(rule.key) if rule.key else None
    return rule, _key(variable_value(argument, variables)) if argument is not None else ""


def _key(value: Any) -> str:
    """As a header can carry it; empty, which is no key, for whatever can't name one run beyond doubt."""
    text = str(value) if isinstance(value, str | int) and not isinstance(value, bool) else ""
    return text if len(text) <= MAX_KEY_LENGTH and all("!" <= letter <= "~" for letter in text) else ""


def reject_by_method(method: str, meant: Meaning) -> None:
    """Raises GraphqlError: what a GET carries may be repeated by anything on its way."""
    if method == "GET" and (meant.mutates or meant.idempotency is not Idempotency.IDEMPOTENT):
        raise GraphqlError(405, "METHOD_NOT_ALLOWED", "a GET may only ask, not change anything: use POST", "POST")
