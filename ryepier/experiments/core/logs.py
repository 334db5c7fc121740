"""Reads the JSON logs that the processes of a run wrote into its folder."""

from __future__ import annotations

import json
from pathlib import Path

SIDECAR_LOGS = "sidecar-*.log"
PLANNER_LOGS = "planner-*.log"


def log_lines(folder: Path, pattern: str) -> list[dict[str, object]]:
    """Return the JSON lines of the logs that match a pattern, each with the log's file name as `file`.

    Lines that are not JSON are skipped.
    """
    lines = []
    for path in sorted(folder.glob(pattern)):
        for text in path.read_text(errors="replace").splitlines():
            try:
                lines.append(json.loads(text) | {"file": path.name})
            except ValueError:
                continue
    return lines


def lines_containing(folder: Path, pattern: str, text: str) -> list[dict[str, object]]:
    """Return the lines whose message contains a text, of the logs that match a pattern."""
    return [line for line in log_lines(folder, pattern) if text in str(line.get("message"))]


def files_containing(folder: Path, pattern: str, text: str) -> set[str]:
    """Return the file names of the logs that match a pattern and have a line whose message contains a text."""
    return {str(line["file"]) for line in lines_containing(folder, pattern, text)}
