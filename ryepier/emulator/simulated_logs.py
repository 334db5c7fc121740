"""Logs of simulated processes: a file for each process, and detection of logged exceptions."""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

from ryepier.logs.structured import JsonLinesFormatter
from ryepier.sidecar import system
from ryepier.sim.process import CURRENT_PROCESS
from ryepier.sim.run import SimLoop


class ProcessLogs(logging.Handler):
    """Writes each process's records to a file of its own. An exception that a process logs fails the run."""

    def __init__(self, loop: SimLoop, folder: Path | None) -> None:
        """Write log files to `folder`, if it is given. Logged exceptions are added to the failures of `loop`."""
        super().__init__()
        self.loop = loop
        self.folder = folder
        self._files: dict[str, TextIO] = {}
        self._stack = contextlib.ExitStack()  # holds the files open until the run ends
        self.setFormatter(JsonLinesFormatter())

    def emit(self, record: logging.LogRecord) -> None:
        """Handle a log record of a simulated process; records of other code are ignored."""
        process_name = CURRENT_PROCESS.get()
        if not process_name:
            return
        if record.exc_info is not None and record.exc_info[0] is not None:
            failure = f"{self.loop.now_s:.6f} s: {process_name}: {record.getMessage()}: {record.exc_info[1]!r}"
            self.loop.failures.append(failure)
        if self.folder is not None:
            record.created = system.unix_ns() / 1e9
            self._file(self.folder, process_name).write(self.format(record) + "\n")

    def _file(self, folder: Path, process_name: str) -> TextIO:
        name = process_name.partition(",")[0].replace(" ", "-")
        if name not in self._files:
            self._files[name] = self._stack.enter_context((folder / f"{name}.log").open("w"))
        return self._files[name]

    def close(self) -> None:
        """Close the files."""
        self._stack.close()
        super().close()


@contextlib.contextmanager
def capture_logs(loop: SimLoop, folder: Path | None) -> Iterator[None]:
    """Write the root logger's records to files in `folder`; without a folder, only detect logged exceptions."""
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    handler = ProcessLogs(loop, folder)
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO if folder is not None else logging.ERROR)
    try:
        yield
    finally:
        handler.close()
        root.handlers[:] = handlers
        root.setLevel(level)
