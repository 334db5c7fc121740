"""Reflector of EndpointSlices without sockets: backoff, expired lists and pages, bookmarks, and split lines."""

from __future__ import annotations

import asyncio
import itertools
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from ryepier.slices import api_client, api_objects, reflector
from ryepier.slices.reflector import Apply, Call, Failure, Reflector, Replace, Wait


def test_retry_after_of_a_busy_server_is_respected() -> None:
    reflector_under_test = Reflector("default", "convert", Random(1))
    reflector_under_test.start(0)
    [_, wait] = reflector_under_test.on_failure(0, Failure("busy", 429, retry_after_s=3))
    assert isinstance(wait, Wait) and 3_100_000 <= wait.until_us <= 3_200_000
    [_, wait] = reflector_under_test.on_failure(0, Failure("busy", 429, retry_after_s=86_400))
    assert isinstance(wait, Wait) and wait.until_us <= reflector.MAX_RETRY_AFTER_US + 400_000


def test_backoff_grows_with_jitter_up_to_a_bound() -> None:
    delays_us = []
    for seed in range(50):
        reflector_under_test = Reflector("default", "convert", Random(seed))
        for _ in range(12):
            wait_ends_at_us = [
                action.until_us
                for action in reflector_under_test.on_failure(0, Failure("refused"))
                if isinstance(action, Wait)
            ]
        delays_us += wait_ends_at_us
    assert min(delays_us) >= 0.5 * reflector.MAX_BACKOFF_US and max(delays_us) <= reflector.MAX_BACKOFF_US
    assert max(delays_us) - min(delays_us) > 0.4 * reflector.MAX_BACKOFF_US


def test_ten_minute_outage_causes_few_requests_and_an_expired_version_is_relisted_at_once() -> None:
    reflector = Reflector("default", "convert", Random(1))
    reflector.resource_version = "5"
    now_us = call_count = 0
    reflector.start(0)
    while now_us < 600_000_000:
        call_count += 1
        [now_us] = [
            action.until_us for action in reflector.on_failure(now_us, Failure("refused")) if isinstance(action, Wait)
        ]
        [call] = reflector.on_wake(now_us)
        assert isinstance(call, Call) and "resourceVersion=5" in call.target
    assert 60 <= call_count <= 130
    assert [action for action in reflector.on_failure(now_us, Failure("gone", 410)) if isinstance(action, Call)]


@given(st.binary(max_size=200), st.lists(st.integers(0, 400), max_size=6), st.booleans())
def test_watch_split_at_any_byte_gives_complete_lines_despite_garbage(
    garbage: bytes, split_offsets: list[int], is_valid: bool
) -> None:
    async def test() -> None:
        lines: list[bytes] = []
        body = b'{"a":1}\n' + garbage.replace(b"\r", b"") + b"\n"
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        if not is_valid:
            data = garbage
        response = api_client.ResponseReader(reflector.CallKind.WATCH, lines.append, lambda: None)
        offsets = sorted({0, len(data), *(split_offset for split_offset in split_offsets if split_offset < len(data))})
        for begin, end in itertools.pairwise(offsets):
            response.data_received(data[begin:end])
        assert not is_valid or (
            response.is_complete
            and response.failure is None
            and lines == [line for line in body.split(b"\n") if line.strip()]
        )

    asyncio.run(test())


def test_expired_page_is_followed_by_a_list_without_paging() -> None:
    reflector = Reflector("default", "convert", Random(1))
    reflector.start(0)
    [next_page] = reflector.on_page(
        0,
        api_objects.read_list(
            b'{"metadata":{"resourceVersion":"5","continue":"abc"},"items":[{"metadata":{"name":"s"},"addressType":"IPv4"}]}'
        ),
    )
    assert isinstance(next_page, Call) and "continue=abc" in next_page.target
    [_, complete_list] = reflector.on_failure(1, Failure("expired", 410))
    assert (
        isinstance(complete_list, Call)
        and "limit" not in complete_list.target
        and "continue" not in complete_list.target
    )
    assert any(isinstance(action, Wait) for action in reflector.on_failure(2, Failure("expired", 410)))
    [replace, watch] = reflector.on_page(3, api_objects.read_list(b'{"metadata":{"resourceVersion":"9"},"items":[]}'))
    assert replace == Replace([]) and isinstance(watch, Call) and "resourceVersion=9" in watch.target


def test_watch_resumes_from_the_last_bookmark_after_its_end_or_an_error() -> None:
    read_event = api_objects.read_event
    reflector = Reflector("default", "convert", Random(1))
    reflector.resource_version = "5"
    reflector.start(0)
    line = b'{"type":"ADDED","object":{"metadata":{"name":"s","resourceVersion":"6"},"addressType":"IPv4"}}'
    assert isinstance(reflector.on_event(1, read_event(line))[0], Apply)
    assert reflector.on_event(2, read_event(b'{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"8"}}}')) == []
    [call] = reflector.on_watch_end(10_000_000)
    assert isinstance(call, Call) and "resourceVersion=8" in call.target
    [_, wait] = reflector.on_event(10_000_001, read_event(b'{"type":"ERROR","object":{"code":500,"message":"etcd"}}'))
    assert isinstance(wait, Wait)
    assert "resourceVersion=8" in reflector.on_wake(wait.until_us)[0].target  # type: ignore[union-attr]
