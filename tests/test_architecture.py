"""docs/ARCHITECTURE.md names only modules, classes and functions that exist."""

from __future__ import annotations

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
