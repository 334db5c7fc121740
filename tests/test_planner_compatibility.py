"""Messages and snapshots of planners keep their form: what revision 5daa07c wrote is read, and written alike."""

from __future__ import annotations

from pathlib import Path

import pytest

from ryepier.plan import messages, snapshot
from tests import planner_fixtures

WRITTEN = [
    bytes.fromhex(line)
    for line in (Path(__file__).parent / "fixtures" / "planner_messages.hex").read_text().splitlines()
]


@pytest.mark.parametrize("frame", WRITTEN[:-1], ids=range(len(WRITTEN) - 1))
def test_earlier_message_is_read_and_written_the_same(frame: bytes) -> None:
    [message] = messages.FrameDecoder().feed(frame)
    assert messages.encode(message) == frame


def test_earlier_snapshot_is_read_and_written_the_same() -> None:
    read = snapshot.decode(WRITTEN[-1], unix_ms=123457, max_age_ms=1000)
    assert snapshot.encode(read) == WRITTEN[-1]


def test_same_contents_are_written_as_before() -> None:
    assert [*planner_fixtures.frames(), planner_fixtures.snapshot_file()] == WRITTEN
