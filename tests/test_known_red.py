"""KNOWN-RED.txt: which failures it allows, and what in it fails the run."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests import known_red

TESTS = Path(__file__).parent
PLUGIN_FILES = ("__init__.py", "conftest.py", "known_red.py", "known_red_plugin.py")
RUN_TIMEOUT_S = 120.0
SOURCE = """
import os

import pytest

@pytest.fixture
def broken():
    raise RuntimeError("set-up")

@pytest.fixture
def breaking():
    yield
    raise RuntimeError("teardown")

def test_good(): pass
def test_bad(): assert 0
@pytest.mark.parametrize("a", ["x, y", "x], y, z", "[", "x"])
def test_each(a): assert a == "x"
def test_setup(broken): assert 0
def test_teardown(breaking): assert 0
def test_passing_teardown(breaking): pass
def test_skipped(): pytest.skip("for now")
@pytest.mark.skip
def test_marked(): assert 0
@pytest.mark.xfail
def test_expected(): assert 0
@pytest.mark.xfail(strict=True)
def test_strict(): pass
def test_crashing(): os._exit(1)
"""
A = "tests/test_a.py::"
ONE_PROCESS: tuple[str, ...] = ()
TWO_WORKERS = ("-p", "xdist", "--numprocesses", "2")


@dataclass(frozen=True)
class Run:
    """A pytest run that has ended."""

    status: int
    output: str


@dataclass(frozen=True)
class Suite:
    """A small suite of its own, run in one process or side by side."""

    folder: Path
    options: tuple[str, ...] = ()

    def run(self, listing: str | None, *arguments: str) -> Run:
        """Run it with this KNOWN-RED.txt, or none."""
        if listing is not None:
            (self.folder / known_red.FILE_NAME).write_text(listing)
        done = subprocess.run(
            [sys.executable, "-m", "pytest", *self.options, *arguments],
            cwd=self.folder,
            env=dict(os.environ, PYTEST_DISABLE_PLUGIN_AUTOLOAD="1", PYTHONPATH="", PYTEST_ADDOPTS=""),
            text=True,
            capture_output=True,
            timeout=RUN_TIMEOUT_S,
        )
        return Run(done.returncode, done.stdout + done.stderr)


@pytest.fixture(params=[ONE_PROCESS, TWO_WORKERS], ids=["one process", "two workers"])
def suite(tmp_path: Path, request: pytest.FixtureRequest) -> Suite:
    """Write the suite."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in PLUGIN_FILES:
        shutil.copy(TESTS / name, tests)
    (tests / "test_a.py").write_text(SOURCE)
    (tests / "test_b.py").write_text("def test_b(): pass\n")
    (tmp_path / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q -p no:cacheprovider"\n'
    )
    return Suite(tmp_path, request.param)


def fields(**changes: str | None) -> str:
    """An entry for test_bad with some fields changed, or left out where None."""
    values = {
        "test": f"{A}test_bad",
        "command": "python -m pytest tests/test_a.py",
        "seed": "7",
        "seen": "assert 0: always",
        "issue": "issue 26",
    } | changes
    return "".join(f"{name}: {value}\n" for name, value in values.items() if value is not None) + "\n"


def entry(test: str) -> str:
    """An entry for a test of test_a.py."""
    return fields(test=A + test)


def test_listed_failure_passes_and_is_printed_once(suite: Suite) -> None:
    run = suite.run(entry("test_bad"), "-k", "good or bad")
    assert run.status == 0 and "1 passed" in run.output and "1 xfailed" in run.output
    printed = "KNOWN-RED.txt: test: tests/test_a.py::test_bad; command: python -m pytest tests/test_a.py; seed: 7; "
    assert run.output.count(printed + "seen: assert 0: always; issue: issue 26") == 1
    assert run.output.count(f"KNOWN-RED.txt: {A}test_bad: failed, as listed") == 1


def test_only_listed_tests_may_fail(suite: Suite) -> None:
    run = suite.run(entry("test_bad"), "-k", "bad or each")
    assert run.status == 1 and "3 failed" in run.output and "1 xfailed" in run.output


def test_failure_without_a_list_fails_the_run(suite: Suite) -> None:
    run = suite.run(None, "-k", "good or bad")
    assert run.status == 1 and known_red.FILE_NAME not in run.output


def test_more_than_three_entries_with_commas_and_brackets_in_their_ids(suite: Suite) -> None:
    listing = "".join(map(entry, ("test_each[x, y]", "test_each[x], y, z]", "test_each[[]", "test_bad")))
    run = suite.run(listing, "-k", "each or bad")
    assert run.status == 0 and "4 xfailed" in run.output and "1 passed" in run.output


@pytest.mark.parametrize(
    "endings",
    [
        {
            "test_good": "passes: take its entry out",
            "test_strict": "passes: take its entry out",
            "test_expected": "was skipped or expected to fail",
        },
        {"test_skipped": "was skipped", "test_marked": "was skipped"},
        {
            "test_setup": "its set-up broke",
            "test_teardown": "its teardown broke",
            "test_passing_teardown": "its teardown broke",
        },
    ],
    ids=["passes", "skips", "breaks"],
)
def test_listed_test_that_does_not_fail_itself_fails_the_run(suite: Suite, endings: dict[str, str]) -> None:
    run = suite.run("".join(map(entry, endings)), *(A + test for test in endings))
    assert run.status == 1
    for test, reason in endings.items():
        assert f"fails the run: {A}{test}: {reason}" in run.output


@pytest.mark.parametrize("test", ["tests/test_gone.py::test_x", "test_a.py::test_bad"])
def test_entry_that_names_no_test_fails_the_whole_run(suite: Suite, test: str) -> None:
    run = suite.run(fields(test=test), "-k", "good")
    assert run.status == 1 and "1 passed" in run.output
    assert f"fails the run: {test}: names no test" in run.output


def test_entry_that_names_all_cases_of_a_test_names_no_test(suite: Suite) -> None:
    run = suite.run(entry("test_each"), "-k", "good")
    assert run.status == 1 and f"{A}test_each: names no test" in run.output


@pytest.mark.parametrize("part", ["tests/test_b.py", "--ignore=tests/test_a.py"])
def test_listed_test_outside_a_partial_run_is_not_missed(suite: Suite, part: str) -> None:
    run = suite.run(entry("test_bad"), part)
    assert run.status == 0 and f"{A}test_bad: not requested in this run" in run.output


def test_listed_test_that_is_deselected_is_not_missed(suite: Suite) -> None:
    run = suite.run(entry("test_bad"), "-k", "good")
    assert run.status == 0 and f"{A}test_bad: not requested in this run" in run.output


def test_listed_test_missing_from_a_requested_file_fails_the_run(suite: Suite) -> None:
    run = suite.run(entry("test_gone"), "tests/test_a.py", "-k", "good")
    assert run.status == 1 and f"{A}test_gone: names no test" in run.output


@pytest.mark.parametrize(
    "suite", [ONE_PROCESS], indirect=True
)  # side by side, what ran before the stop is left to chance
def test_listed_test_that_never_ran_fails_the_run(suite: Suite) -> None:
    run = suite.run(entry("test_each[x, y]"), "-x", "-k", "bad or each")
    assert run.status == 1 and f"{A}test_each[x, y]: did not run to its end" in run.output


@pytest.mark.parametrize("suite", [TWO_WORKERS], indirect=True)  # the only process would end with it
def test_listed_test_that_ends_its_worker_fails_the_run(suite: Suite) -> None:
    run = suite.run(entry("test_crashing"), "-k", "crashing or good")
    assert run.status == 1 and f"fails the run: {A}test_crashing: did not run to its end" in run.output


def test_list_with_a_fault_allows_no_failure(suite: Suite) -> None:
    run = suite.run(entry("test_bad") + "a remark\n", "-k", "bad")
    assert run.status == 1 and "1 failed" in run.output
    assert "fails the run: entry 2 has a line that cannot be read: 'a remark'" in run.output


def test_list_with_a_fault_fails_a_run_that_passes(suite: Suite) -> None:
    run = suite.run("nothing\n", "tests/test_b.py")
    assert run.status == 1 and "1 passed" in run.output and "fails the run: entry 1" in run.output


def test_list_that_is_not_text_fails_the_run(suite: Suite) -> None:
    (suite.folder / known_red.FILE_NAME).write_bytes(b"test: \xff\n")
    run = suite.run(None, "-k", "good")
    assert run.status == 1 and "fails the run: cannot be read" in run.output


def test_empty_list_changes_nothing(suite: Suite) -> None:
    assert suite.run("", "-k", "good").status == 0


@pytest.mark.parametrize(
    ("listing", "fault"),
    [
        (f"{A}test_bad\n", "entry 1 has a line that cannot be read"),
        (f"{A}test_bad, a cause, issue 26\n", "entry 1 has a line that cannot be read"),
        (fields(seen=None), "entry 1 lacks seen"),
        (fields(command=None, seed=None), "entry 1 lacks command, seed"),
        (fields(seen=""), "entry 1 has a line that cannot be read: 'seen: '"),
        (fields(issue="later"), "entry 1 names no issue"),
        (fields(test="test_bad"), "entry 1 names no pytest node id"),
        (fields().rstrip("\n") + "\nseed: 8\n", "entry 1 gives seed twice"),
        (fields() + "# a remark\n", "entry 2 has a line that cannot be read"),
        (2 * fields(), "entry 2 lists tests/test_a.py::test_bad again"),
    ],
)
def test_entry_at_fault_is_named_with_its_cause(listing: str, fault: str) -> None:
    collected = {A + "test_bad"}
    endings = dict.fromkeys(collected, known_red.Ending.FAILED)
    verdict = known_red.judge(known_red.parse(listing), collected, collected, endings, lambda test: True)
    assert len(verdict.faults) == 1 and fault in verdict.faults[0]


def test_values_of_an_entry_may_hold_colons_and_commas() -> None:
    entries = known_red.parse(
        "test: t.py::a[1, 2: 3]\ncommand: pytest -k 'a: b'\nseed: none\nseen: why, or how\nissue: #7\n"
    ).entries
    assert entries == [known_red.Entry("t.py::a[1, 2: 3]", "pytest -k 'a: b'", "none", "why, or how", "#7")]


def test_whole_run_takes_its_verdict_from_pytest_alone() -> None:
    """CI calls the whole run, which asks pytest for all tests, in two groups."""
    assert "make --no-print-directory test" in (TESTS.parent / ".ci/run").read_text().splitlines()
    lines = (TESTS / "check.sh").read_text().splitlines()
    first = lines.index("status=0")
    assert lines[first:] == [
        "status=0",
        'python -m pytest -m "not alone" --numprocesses "$workers" --dist loadgroup --durations 20 || status=$?',
        "python -m pytest -m alone --durations 10 || status=$?",
        'exit "$status"',
    ]
