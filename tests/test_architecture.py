"""Checks that the documentation matches the code, and that modules have no import cycles.

The compared pages are docs/ARCHITECTURE.md (code references, names used outside the process, error boundaries) and
docs/operate/logs.md (log lines).
"""

from __future__ import annotations

import ast
import graphlib
import importlib
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
ARCHITECTURE_PAGE = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
PACKAGES = sorted(path.parent.name for path in (ROOT / "ryepier").glob("*/__init__.py"))
CODE_REFERENCES = sorted(set(re.findall(rf"`((?:{'|'.join(PACKAGES)})(?:\.\w+)+(?::[\w.]+)?)`", ARCHITECTURE_PAGE)))


def test_architecture_page_references_the_code_of_each_part() -> None:
    modules = {name.partition(":")[0] for name in CODE_REFERENCES}
    assert len(CODE_REFERENCES) >= 60
    assert {"balancer.balancer", "sidecar.dispatcher", "plan.evidence", "maintenance.ledger"} <= modules


@pytest.mark.parametrize("name", CODE_REFERENCES)
def test_code_referenced_by_the_architecture_page_exists(name: str) -> None:
    module, _, attributes = name.partition(":")
    target: object = importlib.import_module(f"ryepier.{module}")
    for attribute in attributes.split(".") if attributes else ():
        target = getattr(target, attribute)


def test_architecture_page_references_each_decision_module() -> None:
    """The page must reference each of the balancer's modules that implement one kind of decision."""
    concerns = ("admission", "concurrency", "outlier_detection", "selection", "slow_start", "subsetting", "retries")
    missing = [concern for concern in concerns if f"`balancer.{concern}:" not in ARCHITECTURE_PAGE]
    assert missing == []


MODULE_PATHS = {
    ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__"): path
    for path in (ROOT / "ryepier").rglob("*.py")
}


def imported_modules(text: str) -> set[str]:
    """Return the modules of `MODULE_PATHS` that a source text imports, also under TYPE_CHECKING or in a function."""
    modules: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0 and node.module is not None, "imports are absolute"
            submodules = {f"{node.module}.{alias.name}" for alias in node.names} & MODULE_PATHS.keys()
            modules |= submodules or {node.module}
    return modules & MODULE_PATHS.keys()


def test_modules_have_no_import_cycles() -> None:
    graph = {name: imported_modules(path.read_text()) - {name} for name, path in MODULE_PATHS.items()}
    assert len(graph) >= 200 and sum(map(len, graph.values())) >= 500
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        raise AssertionError(f"import cycle: {' <- '.join(error.args[1])}") from None


def test_type_checking_imports_are_included() -> None:
    text = "if TYPE_CHECKING:\n    from ryepier.balancer import events\nfrom ryepier.errors import RyepierError"
    assert imported_modules(text) == {"ryepier.balancer.events", "ryepier.errors"}


CHECKED_PACKAGES = ("balancer", "sidecar", "plan", "storm", "slices", "graphql", "conf")
EXTERNAL_NAME_ROWS = re.findall(
    r"^\| `([^`]+)` \| [^|]+ \| `(\w+\.\w+)` \|$", ARCHITECTURE_PAGE.split("## Names at the edge")[1], re.M
)


def string_literals(text: str) -> Iterator[str]:
    """Yield the string literals of a module in lower case, including bytes and parts of f-strings but no docstrings."""
    tree = ast.parse(text)
    documented_nodes = (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)
    docstrings = {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, documented_nodes) and isinstance(node.body[0], ast.Expr)
    }
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, str):
                yield node.value.lower()
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1").lower()


def external_names_in(text: str) -> set[str]:
    """Return the external names that a module contains as a string literal or as part of a path, query or header."""
    names = set()
    for literal in string_literals(text):
        names.add(literal)
        names |= set(re.split(r"[.?&=: ]", literal)) if "=" in literal or " " not in literal else set()
        names |= set(re.findall(r"^[\w-]+(?=: )", literal))
    return names & {name for name, _ in EXTERNAL_NAME_ROWS}


def test_external_names_are_mapped_in_the_listed_modules() -> None:
    assert len(EXTERNAL_NAME_ROWS) >= 70 and len(set(EXTERNAL_NAME_ROWS)) == len(EXTERNAL_NAME_ROWS)
    missing = [
        (name, module)
        for name, module in EXTERNAL_NAME_ROWS
        if name not in external_names_in(MODULE_PATHS[f"ryepier.{module}"].read_text())
    ]
    assert missing == []


def test_external_names_appear_only_in_the_listed_modules() -> None:
    mapped = {(f"ryepier.{module}", name) for name, module in EXTERNAL_NAME_ROWS}
    occurrences = {
        (module, name)
        for module, path in MODULE_PATHS.items()
        if module.split(".")[1:2] and module.split(".")[1] in CHECKED_PACKAGES
        for name in external_names_in(path.read_text())
    }
    assert occurrences - mapped == set()


def test_external_names_are_found_in_any_string() -> None:
    assert external_names_in('read(raw, f"settings.bounds.conn-idle", x)') == {"conn-idle"}
    assert external_names_in('x = b"X-Deadline-Ms: %d"') == {"x-deadline-ms"}
    assert external_names_in('"""aim"""\nx = "the aim of it"') == set()


ERROR_BOUNDARIES = set(
    re.findall(r"^\| `([\w.]+:[\w.]+)` \|", ARCHITECTURE_PAGE.split("## Error boundaries")[1].split("\n## ")[0], re.M)
)


def functions_that_catch_everything(module: str, text: str) -> Iterator[str]:
    """Yield the functions that have an `except` clause for Exception, for BaseException or without a type."""

    def walk(node: ast.AST, path: tuple[str, ...]) -> Iterator[str]:
        for child in ast.iter_child_nodes(node):
            if isinstance(child, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
                yield from walk(child, (*path, child.name))
                continue
            if isinstance(child, ast.ExceptHandler):
                caught_types = ast.unparse(child.type) if child.type is not None else "BaseException"
                if re.search(r"\b(Base)?Exception\b", caught_types):
                    yield f"{module.removeprefix('ryepier.')}:{'.'.join(path)}"
            yield from walk(child, path)

    return walk(ast.parse(text), ())


def test_catch_all_handlers_exist_only_at_listed_boundaries() -> None:
    catch_all_functions = {
        name
        for module, path in MODULE_PATHS.items()
        if module.split(".")[1:2] and module.split(".")[1] in CHECKED_PACKAGES
        for name in functions_that_catch_everything(module, path.read_text())
    }
    assert catch_all_functions == ERROR_BOUNDARIES


LOG_PAGE = (ROOT / "docs" / "operate" / "logs.md").read_text()
LOG_PAGE_ROWS = set(re.findall(r"^\| `([^`]+)` \| (\w+) \|", LOG_PAGE, re.M))
LOG_LEVELS = {"debug": "debug", "info": "info", "warning": "warning", "error": "error", "exception": "error"}
LOG_PACKAGES = (*CHECKED_PACKAGES, "assembly", "fronts", "logs")


def possible_texts(argument: ast.expr, function: ast.AST) -> set[str]:
    """Return the possible texts of an argument: a literal, a conditional expression, or a variable set to these."""
    if isinstance(argument, ast.Constant):
        return {str(argument.value)}
    if isinstance(argument, ast.JoinedStr):
        parts = [str(part.value) if isinstance(part, ast.Constant) else "{}" for part in argument.values]
        return {"".join(parts)}
    if isinstance(argument, ast.IfExp):
        return possible_texts(argument.body, function) | possible_texts(argument.orelse, function)
    assert isinstance(argument, ast.Name), ast.unparse(argument)
    assigned = [node.value for node in ast.walk(function) if isinstance(node, ast.Assign)]
    targets = [node.targets[0] for node in ast.walk(function) if isinstance(node, ast.Assign)]
    values = [value for value, target in zip(assigned, targets, strict=True) if ast.unparse(target) == argument.id]
    return set().union(*(possible_texts(value, function) for value in values))


def log_lines(text: str) -> set[tuple[str, str]]:
    """Return the (text, level) pairs that a module logs through `log`, or through `self.log` in the balancer."""
    lines = set()
    for function in ast.walk(ast.parse(text)):
        if not isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef):
            continue
        for call in ast.walk(function):
            if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute):
                continue
            callee = ast.unparse(call.func)
            level = "info" if callee == "self.log" else LOG_LEVELS.get(callee.removeprefix("log."), "")
            if callee == "self.log" or (callee.startswith("log.") and level):
                lines |= {(line, level) for line in possible_texts(call.args[0], function)}
    return lines


def test_log_page_lists_each_log_line_with_its_level() -> None:
    # the format "%s" logs a line of the decision module or an `UnservedLine`; the page lists those lines themselves
    unserved_line = ("request {} {} after {} of {} ms: {}", "info")
    logged_lines = {unserved_line} | {
        line
        for module, path in MODULE_PATHS.items()
        if module.split(".")[1:2] and module.split(".")[1] in LOG_PACKAGES
        for line in log_lines(path.read_text())
    }
    assert "UnservedLine" in MODULE_PATHS["ryepier.sidecar.open_requests"].read_text()
    assert logged_lines - {("%s", "info")} == LOG_PAGE_ROWS
