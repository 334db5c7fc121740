"""Checks conventions that the linter does not enforce."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())
RUFF = PROJECT["tool"]["ruff"]["lint"]
PER_FILE_IGNORES = RUFF["per-file-ignores"]


def test_lint_rules_are_disabled_only_for_test_docstrings() -> None:
    assert {"N", "D1"} <= set(RUFF["select"]) and "ignore" not in RUFF and "extend-ignore" not in RUFF
    assert PER_FILE_IGNORES == {"tests/*": ["D1"]}
    for path in (ROOT / "ryepier").rglob("*.py"):
        text = path.read_text()
        assert "noqa: D" not in text and "ruff: noqa" not in text, f"{path} switches docstrings off"


def test_wheel_contains_every_package() -> None:
    source_packages = {
        ".".join(path.parent.relative_to(ROOT).parts) for path in (ROOT / "ryepier").rglob("__init__.py")
    }
    assert set(PROJECT["tool"]["setuptools"]["packages"]) == source_packages
