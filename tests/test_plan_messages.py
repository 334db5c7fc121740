"""Decoding of the planner protocol: arbitrary bytes, limits of values, and unknown keys."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.plan.messages import (
    MAX_MESSAGE_BYTES,
    VERSION,
    ConverterAdvice,
    FrameDecoder,
    Heartbeat,
    Hello,
    ProtocolError,
    Term,
    encode,
)
from tests.plan_scenarios import (
    make_plan,
)


@given(st.binary(max_size=300), st.integers(1, 20))
def test_any_bytes_decode_or_raise_protocol_error(data: bytes, chunk_size: int) -> None:
    decoder = FrameDecoder()
    try:
        for offset in range(0, len(data), chunk_size):
            decoder.feed(data[offset : offset + chunk_size])
    except ProtocolError:
        pass
    frame = encode(Heartbeat(Term(3, "a"), True, 5))
    assert FrameDecoder().feed(frame + frame[:5]) == [Heartbeat(Term(3, "a"), True, 5)]


def test_out_of_range_values_are_rejected_and_unknown_keys_ignored() -> None:
    with pytest.raises(ProtocolError, match="bytes"):
        FrameDecoder().feed((MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"))
    with pytest.raises(ProtocolError, match="version"):
        FrameDecoder().feed(encode(Hello(VERSION + 1, "f", 1)))
    with pytest.raises(ProtocolError):
        FrameDecoder().feed(encode(msgspec.structs.replace(make_plan(), entries={"c": ConverterAdvice(weight=2.0)})))
    body = msgspec.msgpack.encode({"type": "beat", "term": [1, "a"], "leads": True, "forwarders": 1, "mood": "good"})
    assert FrameDecoder().feed(len(body).to_bytes(4, "big") + body) == [Heartbeat(Term(1, "a"), True, 1)]
