"""Lets the tests of KNOWN-RED.txt fail, and nothing else (see `known_red.py`)."""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import Ending


def pytest_configure(config: pytest.Config) -> None:
    path = config.rootpath / known_red.FILE
    if path.exists():
        config.pluginmanager.register(KnownRed(config, path.read_text("utf-8", errors="replace")))


class KnownRed:
    """A run beside a KNOWN-RED.txt."""

    def __init__(self, config: pytest.Config, text: str) -> None:
        self.config = config
        self.lines = known_red.split_lines(text)
        self.collected: set[str] = set()
        self.selected: set[str] = set()
        self.listed: set[str] = set()
        self.endings: dict[str, Ending] = {}

    def arguments(self) -> set[str]:
        """What the run was asked for, by its paths from the root."""
        found = set()
        for argument in self.config.args:
            path, mark, test = argument.partition("::")
            whole = Path(self.config.invocation_params.dir, path).resolve()
            if whole.is_relative_to(self.config.rootpath):
                found.add(whole.relative_to(self.config.rootpath).as_posix() + mark + test)
        return found

    def wanted(self, test: str) -> bool:
        """Whether the test has to be found; where files are left out by name, it may be in one of them."""
        if self.config.getoption("ignore") or self.config.getoption("ignore_glob"):
            return False
        whole = self.config.args_source is pytest.Config.ArgsSource.TESTPATHS
        return whole or known_red.asked_for(test, self.arguments())

    def verdict(self) -> known_red.Verdict:
        selected = set() if self.config.getoption("collectonly") else self.selected
        return known_red.judge(self.lines, self.collected, selected, self.endings, self.wanted)

    def pytest_sessionstart(self) -> None:
        self.print([f"{known_red.FILE}: {line}" for line in self.lines])

    def pytest_itemcollected(self, item: pytest.Item) -> None:
        self.collected.add(item.nodeid)

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        self.selected = {item.nodeid for item in session.items}
        entries, faults = known_red.parse_all(self.lines, self.collected)
        # hazard: with a list that is at fault nothing is let fail
        self.listed = set() if faults else {entry.test for entry in entries}

    @pytest.hookimpl(wrapper=True, tryfirst=True)  # after all others, so that what a mark makes of it is seen
    def pytest_runtest_makereport(
        self, item: pytest.Item, call: pytest.CallInfo[None]
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if item.nodeid not in self.listed:
            return report
        if report.when != "call":
            if report.skipped:
                self.endings[item.nodeid] = Ending.SKIPPED
            elif report.failed:
                self.endings[item.nodeid] = Ending.SETUP if report.when == "setup" else Ending.TEARDOWN
        elif report.skipped:
            self.endings[item.nodeid] = Ending.SKIPPED
        elif report.passed or call.excinfo is None:  # a mark may call a pass a failure
            self.endings[item.nodeid] = Ending.PASSED
        else:
            self.endings[item.nodeid] = Ending.FAILED
            report.outcome = "skipped"
            report.wasxfail = f"listed in {known_red.FILE}"
        return report

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if self.verdict().faults and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self) -> None:
        verdict = self.verdict()
        self.print([f"{known_red.FILE}: {note}" for note in verdict.notes])
        self.print([f"{known_red.FILE} fails the run: {fault}" for fault in verdict.faults])

    def print(self, lines: list[str]) -> None:
        reporter = self.config.pluginmanager.get_plugin("terminalreporter")
        if reporter is not None:
            for line in lines:
                reporter.write_line(line)
