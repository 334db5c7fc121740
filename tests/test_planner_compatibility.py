"""The formats of planner messages and snapshots stay compatible with the bytes that revision 5daa07c wrote."""

from __future__ import annotations

from pathlib import Path

import pytest

from ryepier.plan import messages, snapshot
from tests import planner_fixtures

RECORDED_DATA = [
    bytes.fromhex(line)
    for line in (Path(__file__).parent / "fixtures" / "planner_messages.hex").read_text().splitlines()
]


@pytest.mark.parametrize("frame", RECORDED_DATA[:-1], ids=range(len(RECORDED_DATA) - 1))
def test_recorded_message_is_decoded_and_encoded_identically(frame: bytes) -> None:
    [message] = messages.FrameDecoder().feed(frame)
    assert messages.encode(message) == frame


def test_recorded_snapshot_is_decoded_and_encoded_identically() -> None:
    loaded = snapshot.decode(RECORDED_DATA[-1], unix_ms=123457, max_age_ms=1000)
    assert snapshot.encode(loaded) == RECORDED_DATA[-1]


def test_current_code_writes_the_recorded_bytes() -> None:
    assert [*planner_fixtures.frames(), planner_fixtures.snapshot_file()] == RECORDED_DATA
