"""Messages of the plan protocol: any bytes are messages or an error, values have limits."""

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
def test_any_bytes_are_messages_or_a_protocol_error(data: bytes, piece: int) -> None:
    frames = FrameDecoder()
    try:
        for at in range(0, len(data), piece):
            frames.feed(data[at : at + piece])
    except ProtocolError:
        pass
    good = encode(Heartbeat(Term(3, "a"), True, 5))
    assert FrameDecoder().feed(good + good[:5]) == [Heartbeat(Term(3, "a"), True, 5)]


def test_value_beyond_its_limits_is_an_error_and_an_unknown_key_is_not() -> None:
    with pytest.raises(ProtocolError, match="bytes"):
        FrameDecoder().feed((MAX_MESSAGE_BYTES + 1).to_bytes(4, "big"))
    with pytest.raises(ProtocolError, match="version"):
        FrameDecoder().feed(encode(Hello(VERSION + 1, "f", 1)))
    with pytest.raises(ProtocolError):
        FrameDecoder().feed(encode(msgspec.structs.replace(make_plan(), entries={"c": ConverterAdvice(weight=2.0)})))
    newer = msgspec.msgpack.encode({"type": "beat", "term": [1, "a"], "leads": True, "forwarders": 1, "mood": "good"})
    assert FrameDecoder().feed(len(newer).to_bytes(4, "big") + newer) == [Heartbeat(Term(1, "a"), True, 1)]
