"""EndpointSlices without a network: what is read, and what many slices together say in whatever order they come."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import UpstreamState
from ryepier.slices.api_objects import Slice, SliceError, read_event, read_list
from ryepier.slices.endpoint_slice_merger import EMPTY_LIST_HOLD_US, EndpointSliceMerger

READY, DRAINING = UpstreamState.READY, UpstreamState.DRAINING


def endpoint(pod: str = "p1", address: str = "10.0.0.1", **conditions: Any) -> dict[str, Any]:
    reference = {"targetRef": {"kind": "Pod", "uid": pod}} if pod else {}
    return {"addresses": [address], "conditions": conditions} | reference


def a_slice(*endpoints: dict[str, Any], name: str = "s1", uid: str = "u1", generation: int = 1) -> Slice:
    raw = {
        "metadata": {"name": name, "uid": uid, "generation": generation},
        "addressType": "IPv4",
        "endpoints": list(endpoints),
        "ports": [{"name": "http", "port": 80}, {"name": "other", "port": 81}],
    }
    found = read_event(json.dumps({"type": "ADDED", "object": raw}).encode()).slice
    assert found is not None
    return found


def states(merger: EndpointSliceMerger, now_us: int = 0) -> dict[str, UpstreamState]:
    return {identity: verdict.state for identity, verdict in merger.endpoints(now_us).items()}


@pytest.mark.parametrize(
    ("conditions", "state"),
    [
        ({}, READY),
        ({"ready": None}, READY),
        ({"ready": True}, READY),
        ({"ready": False}, DRAINING),
        ({"ready": True, "serving": False}, DRAINING),
        ({"ready": False, "serving": True}, DRAINING),
        ({"ready": True, "terminating": True}, DRAINING),
        ({"ready": True, "terminating": False}, READY),
    ],
)
def test_conditions_are_read_as_the_api_defines_them(conditions: dict[str, Any], state: UpstreamState) -> None:
    merger = EndpointSliceMerger()
    merger.apply(a_slice(endpoint(**conditions)))
    assert states(merger) == {"p1": state}


def test_address_in_two_slices_takes_the_safest_state() -> None:
    merger = EndpointSliceMerger()
    merger.apply(a_slice(endpoint("", ready=True)))
    merger.apply(a_slice(endpoint("", ready=True, terminating=True), name="s2", uid="u2"))
    [verdict] = merger.endpoints(0).values()
    assert (verdict.state, verdict.rule, verdict.source_slices) == (DRAINING, 4, ("s1", "s2"))


def test_slice_created_again_while_its_endpoint_drains_does_not_restore_it() -> None:
    merger = EndpointSliceMerger()
    merger.apply(a_slice(endpoint(ready=True), generation=3))
    merger.apply(a_slice(endpoint(terminating=True), generation=4))
    merger.delete(a_slice(endpoint(terminating=True), generation=4))
    merger.apply(a_slice(endpoint(ready=True), endpoint("p2", "10.0.0.2"), uid="u9"))
    assert not merger.apply(a_slice(endpoint(ready=True), generation=9))  # the old object, come late
    assert states(merger) == {"p1": DRAINING, "p2": READY}
    assert merger.endpoints(0)["p1"].rule == 3


def test_address_reused_by_a_new_pod_within_a_second_is_another_converter() -> None:
    merger = EndpointSliceMerger()
    merger.apply(a_slice(endpoint("p1", terminating=True)))
    merger.apply(a_slice(endpoint("p2", ready=True), generation=2))
    assert states(merger) == {"p2": READY}


def test_address_without_a_pod_may_be_reused_once_no_slice_has_its_old_state() -> None:
    merger = EndpointSliceMerger()
    merger.apply(a_slice(endpoint("", terminating=True)))
    merger.apply(a_slice(endpoint("", ready=True), generation=2))
    assert states(merger) == {"10.0.0.1:80": READY}


def test_list_that_is_suddenly_empty_is_kept_for_a_while_and_then_applied() -> None:
    merger = EndpointSliceMerger()
    merger.apply(a_slice(endpoint(), endpoint("p2", "10.0.0.2")))
    assert states(merger) == {"p1": READY, "p2": READY}
    merger.delete(a_slice(endpoint(terminating=True)))
    assert states(merger, 5) == {"p1": DRAINING, "p2": READY} and merger.is_retained
    assert states(merger, 5 + EMPTY_LIST_HOLD_US) == {}


def test_ports_are_selected_by_name_and_a_slice_without_it_is_reported() -> None:
    merger = EndpointSliceMerger("other")
    merger.apply(a_slice(endpoint()))
    assert merger.endpoints(0)["p1"].address == ("10.0.0.1", 81)
    merger = EndpointSliceMerger("none")
    merger.apply(a_slice(endpoint()))
    assert merger.endpoints(0) == {} and merger.skipped_slices == {"s1": "no port 'none'"}


def test_rolling_update_of_a_thousand_endpoints_ends_with_the_new_ones_and_restores_none() -> None:
    merger, size = EndpointSliceMerger(), 100
    slices = [
        [endpoint(f"old{i}", f"10.0.{i // 250}.{i % 250}") for i in range(first, first + size)]
        for first in range(0, 10 * size, size)
    ]
    for index, content in enumerate(slices):
        merger.apply(a_slice(*content, name=f"s{index}", uid=f"u{index}", generation=1))
    merger.changes(0)
    generation = 1
    for number in range(10 * size):
        index, place = number % 10, number // 10
        for new in (
            endpoint(f"old{index * size + place}", "10.0.0.1", terminating=True),
            endpoint(f"new{number}", f"10.1.{number // 250}.{number % 250}"),
        ):
            generation += 1
            slices[index][place] = new
            merger.apply(a_slice(*slices[index], name=f"s{index}", uid=f"u{index}", generation=generation))
            assert len(merger.changes(0)) <= 2  # what changed, and nothing else
        merger.apply(a_slice(*slices[index], name=f"s{index}", uid=f"u{index}", generation=generation - 1))
    assert states(merger) == {f"new{number}": READY for number in range(10 * size)}


STREAMS = st.lists(
    st.lists(st.tuples(st.sampled_from(["p1", "p2", "p3"]), st.booleans(), st.booleans()), max_size=3),
    min_size=1,
    max_size=4,
)


@given(st.lists(STREAMS, min_size=1, max_size=3), st.data())
def test_any_interleaving_with_repeats_ends_in_the_same_list_and_restores_none(
    contents: list[list[list[tuple[str, bool, bool]]]], data: Any
) -> None:
    streams = []
    for index, generations in enumerate(contents):
        pods = [
            [endpoint(pod, f"10.0.0.{pod[1]}", ready=ready, terminating=ends) for pod, ready, ends in each]
            for each in generations
        ]
        streams.append(
            [
                a_slice(*each, name=f"s{index}", uid=f"u{index}", generation=number)
                for number, each in enumerate(pods, 1)
            ]
        )
    straight, mixed = EndpointSliceMerger(), EndpointSliceMerger()
    for stream in streams:
        for one in stream:
            straight.apply(one)
    ended: set[str] = set()
    everything = [one for stream in streams for one in stream]
    for one in data.draw(st.permutations(everything + everything[::2])):
        mixed.apply(one)
        ended |= {
            e.target_ref.uid or ""
            for e in one.endpoints or []
            if e.target_ref and e.conditions and e.conditions.terminating
        }
        assert all(mixed.endpoints(0)[pod].state is DRAINING for pod in ended & mixed.endpoints(0).keys())
    mixed.replace([stream[-1] for stream in streams])
    # a list that was empty on the way is held for a while (rule 6); after that all is one
    for merger in (mixed, straight):
        merger.endpoints(0)
    assert mixed.endpoints(EMPTY_LIST_HOLD_US) == straight.endpoints(EMPTY_LIST_HOLD_US)


@given(
    st.binary(max_size=200)
    | st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=9),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(
                st.sampled_from(["type", "object", "metadata", "name", "endpoints", "addresses", "ports", "x"]), inner
            )
        ),
        max_leaves=20,
    ).map(lambda value: json.dumps(value).encode())
)
def test_bytes_that_are_neither_event_nor_list_raise_only_the_documented_error(data: bytes) -> None:
    for read in (read_event, read_list):
        with suppress(SliceError):
            read(data)


def test_events_of_a_watch_are_distinguished() -> None:
    gone = read_event(b'{"type":"ERROR","object":{"kind":"Status","code":410,"reason":"Expired"}}')
    assert gone.status is not None and gone.status.code == 410
    mark = read_event(b'{"type":"BOOKMARK","object":{"kind":"EndpointSlice","metadata":{"resourceVersion":"77"}}}')
    assert mark.resource_version == "77" and mark.slice is None
    page = read_list(b'{"metadata":{"resourceVersion":"5","continue":"abc"},"items":[]}')
    assert page.metadata.more == "abc"
    with pytest.raises(SliceError, match="unknown event"):
        read_event(b'{"type":"RENAMED","object":{}}')
