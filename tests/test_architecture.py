"""docs/ARCHITECTURE.md names only what exists, and no modules import each other in a circle."""

from __future__ import annotations

import ast
import graphlib
import importlib
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
PACKAGES = sorted(path.parent.name for path in (ROOT / "ryepier").glob("*/__init__.py"))
NAMED = sorted(set(re.findall(rf"`((?:{'|'.join(PACKAGES)})(?:\.\w+)+(?::[\w.]+)?)`", PAGE)))


def test_the_page_names_the_code_of_each_of_its_parts() -> None:
    modules = {name.partition(":")[0] for name in NAMED}
    assert len(NAMED) >= 60
    assert {"balancer.balancer", "sidecar.dispatcher", "plan.evidence", "maintenance.ledger"} <= modules


@pytest.mark.parametrize("name", NAMED)
def test_what_the_page_names_exists(name: str) -> None:
    module, _, attributes = name.partition(":")
    found: object = importlib.import_module(f"ryepier.{module}")
    for attribute in attributes.split(".") if attributes else ():
        found = getattr(found, attribute)


def test_the_decision_modules_are_all_on_the_page() -> None:
    """A reader finds each concern of the decisions by its name."""
    concerns = ("admission", "concurrency", "outlier_detection", "selection", "slow_start", "subsetting", "retries")
    missing = [concern for concern in concerns if f"`balancer.{concern}:" not in PAGE]
    assert missing == []


MODULES = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in (ROOT / "ryepier").rglob("*.py")
}


def imported_modules(text: str) -> set[str]:
    """Return the modules of `MODULES` that a module imports anywhere, also under TYPE_CHECKING or in a function."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None, "imports are absolute"
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & MODULES.keys()
            found |= submodules or {node.module}
    return found & MODULES.keys()


def test_no_modules_import_each_other_in_a_circle() -> None:
    graph = {name: imported_modules(path.read_text()) - {name} for name, path in MODULES.items()}
    assert len(graph) >= 200 and sum(map(len, graph.values())) >= 500
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        raise AssertionError(f"these import each other: {' <- '.join(error.args[1])}") from None


def test_an_import_for_type_checking_counts() -> None:
    text = "if TYPE_CHECKING:\n    from ryepier.balancer import events\nfrom ryepier.errors import RyepierError"
    assert imported_modules(text) == {"ryepier.balancer.events", "ryepier.errors"}
