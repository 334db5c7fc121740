"""Tests of KNOWN-RED.txt: the failures that it allows, and the errors in it that fail the run."""

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
TEST_FILE_SOURCE = """
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
TEST_FILE_PREFIX = "tests/test_a.py::"
ONE_PROCESS: tuple[str, ...] = ()
TWO_WORKERS = ("-p", "xdist", "--numprocesses", "2")


@dataclass(frozen=True)
class Run:
    """The exit status and the output of a pytest run that has ended."""

    status: int
    output: str


@dataclass(frozen=True)
class Suite:
    """A small test suite in its own folder, run in one process or by two workers."""

    folder: Path
    options: tuple[str, ...] = ()

    def run(self, listing: str | None, *arguments: str) -> Run:
        """Run the suite with this text as KNOWN-RED.txt, or without such a file if `listing` is None."""
        if listing is not None:
            (self.folder / known_red.FILE_NAME).write_text(listing)
        completed = subprocess.run(
            [sys.executable, "-m", "pytest", *self.options, *arguments],
            cwd=self.folder,
            env=dict(os.environ, PYTEST_DISABLE_PLUGIN_AUTOLOAD="1", PYTHONPATH="", PYTEST_ADDOPTS=""),
            text=True,
            capture_output=True,
            timeout=RUN_TIMEOUT_S,
        )
        return Run(completed.returncode, completed.stdout + completed.stderr)


@pytest.fixture(params=[ONE_PROCESS, TWO_WORKERS], ids=["one process", "two workers"])
def suite(tmp_path: Path, request: pytest.FixtureRequest) -> Suite:
    """Write the suite with the plugin and two test files."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in PLUGIN_FILES:
        shutil.copy(TESTS / name, tests)
    (tests / "test_a.py").write_text(TEST_FILE_SOURCE)
    (tests / "test_b.py").write_text("def test_b(): pass\n")
    (tmp_path / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q -p no:cacheprovider"\n'
    )
    return Suite(tmp_path, request.param)


def entry_text(**changes: str | None) -> str:
    """Return an entry for test_bad with some fields changed, or omitted if their value is None."""
    values = {
        "test": f"{TEST_FILE_PREFIX}test_bad",
        "command": "python -m pytest tests/test_a.py",
        "seed": "7",
        "seen": "assert 0: always",
        "issue": "issue 26",
    } | changes
    return "".join(f"{name}: {value}\n" for name, value in values.items() if value is not None) + "\n"


def entry_for_test(test: str) -> str:
    """Return an entry for a test of test_a.py."""
    return entry_text(test=TEST_FILE_PREFIX + test)


def test_listed_failure_passes_and_is_printed_once(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_bad"), "-k", "good or bad")
    assert run.status == 0 and "1 passed" in run.output and "1 xfailed" in run.output
    printed = "KNOWN-RED.txt: test: tests/test_a.py::test_bad; command: python -m pytest tests/test_a.py; seed: 7; "
    assert run.output.count(printed + "seen: assert 0: always; issue: issue 26") == 1
    assert run.output.count(f"KNOWN-RED.txt: {TEST_FILE_PREFIX}test_bad: failed, as listed") == 1


def test_only_listed_tests_may_fail(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_bad"), "-k", "bad or each")
    assert run.status == 1 and "3 failed" in run.output and "1 xfailed" in run.output


def test_failure_without_a_list_fails_the_run(suite: Suite) -> None:
    run = suite.run(None, "-k", "good or bad")
    assert run.status == 1 and known_red.FILE_NAME not in run.output


def test_more_than_three_entries_with_commas_and_brackets_in_their_ids(suite: Suite) -> None:
    listing = "".join(map(entry_for_test, ("test_each[x, y]", "test_each[x], y, z]", "test_each[[]", "test_bad")))
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
def test_listed_test_without_the_listed_failure_fails_the_run(suite: Suite, endings: dict[str, str]) -> None:
    run = suite.run("".join(map(entry_for_test, endings)), *(TEST_FILE_PREFIX + test for test in endings))
    assert run.status == 1
    for test, reason in endings.items():
        assert f"fails the run: {TEST_FILE_PREFIX}{test}: {reason}" in run.output


@pytest.mark.parametrize("test", ["tests/test_gone.py::test_x", "test_a.py::test_bad"])
def test_entry_that_names_no_test_fails_the_whole_run(suite: Suite, test: str) -> None:
    run = suite.run(entry_text(test=test), "-k", "good")
    assert run.status == 1 and "1 passed" in run.output
    assert f"fails the run: {test}: names no test" in run.output


def test_entry_that_names_all_cases_of_a_test_names_no_test(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_each"), "-k", "good")
    assert run.status == 1 and f"{TEST_FILE_PREFIX}test_each: names no test" in run.output


@pytest.mark.parametrize("argument", ["tests/test_b.py", "--ignore=tests/test_a.py"])
def test_listed_test_outside_a_partial_run_is_not_reported_as_missing(suite: Suite, argument: str) -> None:
    run = suite.run(entry_for_test("test_bad"), argument)
    assert run.status == 0 and f"{TEST_FILE_PREFIX}test_bad: not requested in this run" in run.output


def test_deselected_listed_test_is_not_reported_as_missing(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_bad"), "-k", "good")
    assert run.status == 0 and f"{TEST_FILE_PREFIX}test_bad: not requested in this run" in run.output


def test_listed_test_missing_from_a_requested_file_fails_the_run(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_gone"), "tests/test_a.py", "-k", "good")
    assert run.status == 1 and f"{TEST_FILE_PREFIX}test_gone: names no test" in run.output


@pytest.mark.parametrize(
    "suite", [ONE_PROCESS], indirect=True
)  # with two workers, the tests that run before the stop differ from run to run
def test_listed_test_that_never_ran_fails_the_run(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_each[x, y]"), "-x", "-k", "bad or each")
    assert run.status == 1 and f"{TEST_FILE_PREFIX}test_each[x, y]: did not run to its end" in run.output


@pytest.mark.parametrize("suite", [TWO_WORKERS], indirect=True)  # in a single process, the whole run would end
def test_listed_test_that_ends_its_worker_fails_the_run(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_crashing"), "-k", "crashing or good")
    assert run.status == 1 and f"fails the run: {TEST_FILE_PREFIX}test_crashing: did not run to its end" in run.output


def test_invalid_list_allows_no_failure(suite: Suite) -> None:
    run = suite.run(entry_for_test("test_bad") + "a remark\n", "-k", "bad")
    assert run.status == 1 and "1 failed" in run.output
    assert "fails the run: entry 2 has a line that cannot be read: 'a remark'" in run.output


def test_invalid_list_fails_a_passing_run(suite: Suite) -> None:
    run = suite.run("nothing\n", "tests/test_b.py")
    assert run.status == 1 and "1 passed" in run.output and "fails the run: entry 1" in run.output


def test_list_that_is_not_text_fails_the_run(suite: Suite) -> None:
    (suite.folder / known_red.FILE_NAME).write_bytes(b"test: \xff\n")
    run = suite.run(None, "-k", "good")
    assert run.status == 1 and "fails the run: cannot be read" in run.output


def test_empty_list_changes_nothing(suite: Suite) -> None:
    assert suite.run("", "-k", "good").status == 0


@pytest.mark.parametrize(
    ("listing", "error"),
    [
        (f"{TEST_FILE_PREFIX}test_bad\n", "entry 1 has a line that cannot be read"),
        (f"{TEST_FILE_PREFIX}test_bad, a cause, issue 26\n", "entry 1 has a line that cannot be read"),
        (entry_text(seen=None), "entry 1 lacks seen"),
        (entry_text(command=None, seed=None), "entry 1 lacks command, seed"),
        (entry_text(seen=""), "entry 1 has a line that cannot be read: 'seen: '"),
        (entry_text(issue="later"), "entry 1 names no issue"),
        (entry_text(test="test_bad"), "entry 1 names no pytest node id"),
        (entry_text().rstrip("\n") + "\nseed: 8\n", "entry 1 gives seed twice"),
        (entry_text() + "# a remark\n", "entry 2 has a line that cannot be read"),
        (2 * entry_text(), "entry 2 lists tests/test_a.py::test_bad again"),
    ],
)
def test_invalid_entry_is_reported_with_its_cause(listing: str, error: str) -> None:
    collected = {TEST_FILE_PREFIX + "test_bad"}
    endings = dict.fromkeys(collected, known_red.Ending.FAILED)
    verdict = known_red.judge(known_red.parse(listing), collected, collected, endings, lambda test: True)
    assert len(verdict.errors) == 1 and error in verdict.errors[0]


def test_values_of_an_entry_may_hold_colons_and_commas() -> None:
    entries = known_red.parse(
        "test: t.py::a[1, 2: 3]\ncommand: pytest -k 'a: b'\nseed: none\nseen: why, or how\nissue: #7\n"
    ).entries
    assert entries == [known_red.Entry("t.py::a[1, 2: 3]", "pytest -k 'a: b'", "none", "why, or how", "#7")]


def test_ci_status_depends_only_on_pytest() -> None:
    """CI runs `make test`, which runs all tests with pytest in two groups and exits with a status from pytest."""
    assert "make --no-print-directory test" in (TESTS.parent / ".ci/run").read_text().splitlines()
    script_lines = (TESTS / "check.sh").read_text().splitlines()
    first_line = script_lines.index("status=0")
    assert script_lines[first_line:] == [
        "status=0",
        'python -m pytest -m "not alone" --numprocesses "$workers" --dist loadgroup --durations 20 || status=$?',
        "python -m pytest -m alone --durations 10 || status=$?",
        'exit "$status"',
    ]
