"""pytest plugin for KNOWN-RED.txt (see `known_red.py`).

It allows the listed tests to fail, prints them, and fails the run if the list and the results disagree.

The plugin has two parts. `FailureMarker` runs where the tests run: in the only process, or in each worker of
pytest-xdist. `RunJudge` runs in the process that prints: the only process, or the controller of the workers.
`FailureMarker` passes its results to `RunJudge` in the user properties of test reports and in `workeroutput`, both of
which pytest-xdist sends to the controller.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path
from typing import Any

import pytest

from tests import known_red
from tests.known_red import Ending, Listing

ENDING_PROPERTY = "known_red_ending"
COLLECTED_KEY = "known_red_collected"


def register(config: pytest.Config) -> None:
    """Register the parts of the plugin that this process needs; do nothing without a KNOWN-RED.txt."""
    path = config.rootpath / known_red.FILE_NAME
    if not path.exists():
        return
    listing = read_listing(path)
    worker_output: dict[str, Any] | None = getattr(config, "workeroutput", None)
    judge = RunJudge(config, listing) if worker_output is None else None
    config.pluginmanager.register(FailureMarker(listing, worker_output, judge))
    if judge is not None:
        config.pluginmanager.register(judge)


def read_listing(path: Path) -> Listing:
    """Read the list. A file that cannot be read gives a list with an error and no entries."""
    try:
        return known_red.parse(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return Listing([], [f"cannot be read: {error}"])


class FailureMarker:
    """Reports failures of listed tests as expected failures, and records which tests were collected."""

    def __init__(self, listing: Listing, worker_output: dict[str, Any] | None, judge: RunJudge | None) -> None:
        """Start without collected tests. Only a worker has `worker_output`, and only other processes have a `judge`."""
        self.listing = listing
        self.worker_output = worker_output
        self.judge = judge
        self.collected: set[str] = set()

    def pytest_itemcollected(self, item: pytest.Item) -> None:
        """Record a collected test, even if it is deselected later."""
        self.collected.add(item.nodeid)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Pass on the collected tests, and the selected tests too if the judge is in this process."""
        if self.worker_output is not None:
            listed = {entry.test for entry in self.listing.entries}
            self.worker_output[COLLECTED_KEY] = sorted(listed & self.collected)
        if self.judge is not None:
            self.judge.collected |= self.collected
            self.judge.selected |= {item.nodeid for item in session.items}

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # the outermost wrapper sees the effect of skip and xfail marks
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        """Add the ending to the report of a listed test, and turn its failure into an expected failure."""
        report = yield
        ending = ending_of(report, call) if item.nodeid in self.listing.allowed_failures else None
        if ending is not None:
            report.user_properties.append((ENDING_PROPERTY, ending.name))
        if ending is Ending.FAILED:
            report.outcome = "skipped"
            report.wasxfail = f"listed in {known_red.FILE_NAME}"
        return report


def ending_of(report: pytest.TestReport, call: pytest.CallInfo[None]) -> Ending | None:
    """Return how a test ended, or None if the report's phase (setup, call or teardown) does not decide it."""
    if report.skipped:
        return Ending.SKIPPED
    if report.when != "call":
        if report.failed:
            return Ending.SETUP if report.when == "setup" else Ending.TEARDOWN
        return None
    if report.passed or call.excinfo is None:  # a strict xfail mark reports a pass as a failure
        return Ending.PASSED
    return Ending.FAILED


class RunJudge:
    """Prints the list of known failures, records how the listed tests end, and fails runs that contradict it."""

    def __init__(self, config: pytest.Config, listing: Listing) -> None:
        """Start with no collected or selected tests and no endings; the hooks record them during the run."""
        self.config = config
        self.listing = listing
        self.collected: set[str] = set()
        self.selected: set[str] = set()
        self.endings: dict[str, Ending] = {}

    def pytest_sessionstart(self) -> None:
        """Print the entries of the list."""
        self._print([f"{known_red.FILE_NAME}: {entry}" for entry in self.listing.entries])

    @pytest.hookimpl(optionalhook=True)
    def pytest_xdist_node_collection_finished(self, ids: list[str]) -> None:
        """Record the tests that a worker has selected."""
        self.selected.update(ids)

    @pytest.hookimpl(optionalhook=True)
    def pytest_testnodedown(self, node: Any) -> None:
        """Record the listed tests that a worker has collected. A crashed worker has sent none."""
        self.collected.update(getattr(node, "workeroutput", {}).get(COLLECTED_KEY, ()))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the ending of a listed test."""
        for name, value in report.user_properties:
            if name == ENDING_PROPERTY:
                self.endings[report.nodeid] = Ending[str(value)]

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail a passing run if the list and the results disagree."""
        if self._verdict().errors and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self) -> None:
        """Print how the listed tests ended, and the errors that fail the run."""
        verdict = self._verdict()
        self._print([f"{known_red.FILE_NAME}: {note}" for note in verdict.notes])
        self._print([f"{known_red.FILE_NAME} fails the run: {error}" for error in verdict.errors])

    def _verdict(self) -> known_red.Verdict:
        selected = set() if self.config.getoption("collectonly") else self.selected
        return known_red.judge(self.listing, self.collected, selected, self.endings, self._must_exist)

    def _must_exist(self, test: str) -> bool:
        if self.config.getoption("ignore") or self.config.getoption("ignore_glob"):
            return False  # the test may be in an ignored file
        is_whole_run = self.config.args_source is pytest.Config.ArgsSource.TESTPATHS
        return is_whole_run or known_red.is_requested(test, self._arguments())

    def _arguments(self) -> set[str]:
        """Return the command-line arguments of the run, with paths relative to the root of the repository."""
        arguments = set()
        for argument in self.config.args:
            path, separator, test = argument.partition("::")
            absolute = Path(self.config.invocation_params.dir, path).resolve()
            if absolute.is_relative_to(self.config.rootpath):
                arguments.add(absolute.relative_to(self.config.rootpath).as_posix() + separator + test)
        return arguments

    def _print(self, lines: list[str]) -> None:
        reporter = self.config.pluginmanager.get_plugin("terminalreporter")
        if reporter is not None:
            for line in lines:
                reporter.write_line(line)
