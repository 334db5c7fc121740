"""KNOWN-RED.txt: what it lets fail, and what of it fails the run."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red

HERE = Path(__file__).parent
SOURCE = """
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
"""
A = "tests/test_a.py::"
Run = tuple[int, str]


def run(folder: Path, listing: str | None, *arguments: str) -> Run:
    """A pytest run of its own on a small suite: the exit status and what it printed."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(HERE / name, tests)
    (tests / "test_a.py").write_text(SOURCE)
    (tests / "test_b.py").write_text("def test_b(): pass\n")
    (folder / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\ntestpaths = ["tests"]\naddopts = "-q -p no:cacheprovider"\n'
    )
    if listing is not None:
        (folder / known_red.FILE).write_text(listing)
    environment = dict(os.environ, PYTEST_DISABLE_PLUGIN_AUTOLOAD="1", PYTHONPATH="", PYTEST_ADDOPTS="")
    done = subprocess.run(
        [sys.executable, "-m", "pytest", *arguments],
        cwd=folder,
        env=environment,
        text=True,
        capture_output=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def line(test: str) -> str:
    return f"{A}{test}, a fault that is known, issue 26\n"


def test_listed_failure_passes_and_is_printed(tmp_path: Path) -> None:
    status, said = run(tmp_path, line("test_bad"), "-k", "good or bad")
    assert status == 0 and "1 passed" in said and "1 xfailed" in said
    assert said.count(f"{A}test_bad, a fault that is known, issue 26") == 2, "at the start and the end"
    assert f"{A}test_bad, a fault that is known, issue 26: failed, as listed" in said


def test_only_the_listed_may_fail(tmp_path: Path) -> None:
    status, said = run(tmp_path, line("test_bad"), "-k", "bad or each")
    assert status == 1 and "3 failed" in said and "1 xfailed" in said


def test_without_a_list_a_failure_fails(tmp_path: Path) -> None:
    status, said = run(tmp_path, None, "-k", "good or bad")
    assert status == 1 and known_red.FILE not in said


def test_parametrised_ids_with_commas_and_brackets(tmp_path: Path) -> None:
    listing = line("test_each[x, y]") + line("test_each[x], y, z]") + line("test_each[[]")
    status, said = run(tmp_path, listing, "-k", "each")
    assert status == 0 and "3 xfailed" in said and "1 passed" in said


@pytest.mark.parametrize(
    "endings",
    [
        {
            "test_good": "passes: take its line out",
            "test_strict": "passes: take its line out",
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
def test_a_listed_test_has_to_fail_itself(tmp_path: Path, endings: dict[str, str]) -> None:
    status, said = run(tmp_path, "".join(map(line, endings)), *(A + test for test in endings))
    assert status == 1
    for test, why in endings.items():
        assert f"fails the run: {A}{test}: {why}" in said


@pytest.mark.parametrize("test", ["tests/test_gone.py::test_x", "test_a.py::test_bad"])
def test_a_line_that_names_no_test_fails_the_whole_run(tmp_path: Path, test: str) -> None:
    status, said = run(tmp_path, f"{test}, its file went, issue 26\n", "-k", "good")
    assert status == 1 and "1 passed" in said
    assert f"fails the run: {test}: names no test" in said


def test_a_line_that_names_a_class_of_tests_names_no_test(tmp_path: Path) -> None:
    status, said = run(tmp_path, line("test_each"), "-k", "good")
    assert status == 1 and f"{A}test_each: names no test" in said


@pytest.mark.parametrize("part", ["tests/test_b.py", "--ignore=tests/test_a.py"])
def test_a_part_of_the_run_may_lack_what_is_listed(tmp_path: Path, part: str) -> None:
    status, said = run(tmp_path, line("test_bad"), part)
    assert status == 0 and f"{A}test_bad, a fault that is known, issue 26: not asked for in this run" in said


def test_a_part_that_takes_in_its_file_may_not(tmp_path: Path) -> None:
    status, said = run(tmp_path, line("test_gone"), "tests/test_a.py", "-k", "good")
    assert status == 1 and f"{A}test_gone: names no test" in said


def test_a_listed_test_that_never_ran_fails(tmp_path: Path) -> None:
    status, said = run(tmp_path, line("test_each[x, y]"), "-x", "-k", "bad or each")
    assert status == 1 and f"{A}test_each[x, y]: did not run to its end" in said


@pytest.mark.parametrize(
    ("listing", "why"),
    [
        (f"{A}test_bad\n", "is not `test, cause, issue`"),
        (f"{A}test_bad, a cause\n", "is not `test, cause, issue`"),
        (f"{A}test_bad, , 26\n", "names no cause"),
        (f"{A}test_bad, a cause, later\n", "names no issue"),
        ("test_bad, a cause, 26\n", "does not begin with a pytest node id"),
        (line("test_bad") + "\n", "line 2 is not `test, cause, issue`"),
        (line("test_bad") + "# a remark\n", "line 2 is not `test, cause, issue`"),
        (2 * line("test_bad"), "again"),
        (line("test_bad") + "".join(line(f"test_each[{a}]") for a in ("x, y", "x], y, z", "[")), "4 lines, at most 3"),
    ],
)
def test_what_is_at_fault_in_a_list(listing: str, why: str) -> None:
    collected = {A + "test_bad", *(f"{A}test_each[{a}]" for a in ("x, y", "x], y, z", "["))}
    endings = dict.fromkeys(collected, known_red.Ending.FAILED)
    faults = known_red.judge(known_red.split_lines(listing), collected, collected, endings, lambda test: True).faults
    assert len(faults) == 1 and why in faults[0]


def test_a_list_at_fault_lets_nothing_fail(tmp_path: Path) -> None:
    status, said = run(tmp_path, line("test_bad") + "\n", "-k", "bad")
    assert status == 1 and "1 failed" in said
    assert "fails the run: line 2 is not `test, cause, issue`" in said


def test_a_list_at_fault_fails_a_run_that_passes(tmp_path: Path) -> None:
    status, said = run(tmp_path, "nothing\n", "tests/test_b.py")
    assert status == 1 and "1 passed" in said and "fails the run: line 1" in said


def test_an_empty_list_changes_nothing(tmp_path: Path) -> None:
    assert run(tmp_path, "", "-k", "good")[0] == 0


def test_the_test_command_is_the_one_that_reads_it() -> None:
    """The whole run, which CI calls, takes its verdict from pytest alone and asks it for all tests, in two groups."""
    assert "make --no-print-directory test" in (HERE.parent / ".ci/run").read_text().splitlines()
    lines = (HERE / "check.sh").read_text().splitlines()
    first = lines.index("status=0")
    assert lines[first:] == [
        "status=0",
        'python -m pytest -m "not alone" --numprocesses "$workers" --dist loadgroup --durations 20 || status=$?',
        "python -m pytest -m alone --durations 10 || status=$?",
        'exit "$status"',
    ]


def test_unknown_parametrised_id_ends_at_its_bracket() -> None:
    entry = known_red.parse("t.py::a[1, 2], why, or how, #7")
    assert entry == known_red.Entry("t.py::a[1, 2]", "why, or how", "#7")
