"""Conventions that the linter alone does not hold."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())
RUFF = PROJECT["tool"]["ruff"]["lint"]
IGNORED = RUFF["per-file-ignores"]


def test_no_rule_is_off_but_docstrings_of_tests() -> None:
    assert {"N", "D1"} <= set(RUFF["select"]) and "ignore" not in RUFF and "extend-ignore" not in RUFF
    assert IGNORED == {"tests/*": ["D1"]}
    for path in (ROOT / "ryepier").rglob("*.py"):
        text = path.read_text()
        assert "noqa: D" not in text and "ruff: noqa" not in text, f"{path} switches docstrings off"


def test_a_wheel_holds_every_package() -> None:
    there = {".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "ryepier").rglob("__init__.py")}
    assert set(PROJECT["tool"]["setuptools"]["packages"]) == there
