"""EndpointSlices without a network: decoding, and merging of many slices whose events arrive in any order."""

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


def make_slice(*endpoints: dict[str, Any], name: str = "s1", uid: str = "u1", generation: int = 1) -> Slice:
    raw = {
        "metadata": {"name": name, "uid": uid, "generation": generation},
        "addressType": "IPv4",
        "endpoints": list(endpoints),
        "ports": [{"name": "http", "port": 80}, {"name": "other", "port": 81}],
    }
    endpoint_slice = read_event(json.dumps({"type": "ADDED", "object": raw}).encode()).slice
    assert endpoint_slice is not None
    return endpoint_slice


def states(merger: EndpointSliceMerger, now_us: int = 0) -> dict[str, UpstreamState]:
    return {identity: merged.state for identity, merged in merger.endpoints(now_us).items()}


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
def test_conditions_follow_the_defaults_of_the_api(conditions: dict[str, Any], state: UpstreamState) -> None:
    merger = EndpointSliceMerger()
    merger.apply(make_slice(endpoint(**conditions)))
    assert states(merger) == {"p1": state}


def test_address_in_two_slices_takes_the_riskiest_state() -> None:
    merger = EndpointSliceMerger()
    merger.apply(make_slice(endpoint("", ready=True)))
    merger.apply(make_slice(endpoint("", ready=True, terminating=True), name="s2", uid="u2"))
    [merged] = merger.endpoints(0).values()
    assert (merged.state, merged.rule, merged.source_slices) == (DRAINING, 4, ("s1", "s2"))


def test_recreated_slice_does_not_restore_a_draining_endpoint() -> None:
    merger = EndpointSliceMerger()
    merger.apply(make_slice(endpoint(ready=True), generation=3))
    merger.apply(make_slice(endpoint(terminating=True), generation=4))
    merger.delete(make_slice(endpoint(terminating=True), generation=4))
    merger.apply(make_slice(endpoint(ready=True), endpoint("p2", "10.0.0.2"), uid="u9"))
    assert not merger.apply(make_slice(endpoint(ready=True), generation=9))  # a late event of the deleted slice
    assert states(merger) == {"p1": DRAINING, "p2": READY}
    assert merger.endpoints(0)["p1"].rule == 3


def test_address_reused_by_a_new_pod_is_another_converter() -> None:
    merger = EndpointSliceMerger()
    merger.apply(make_slice(endpoint("p1", terminating=True)))
    merger.apply(make_slice(endpoint("p2", ready=True), generation=2))
    assert states(merger) == {"p2": READY}


def test_address_without_a_pod_may_become_ready_again() -> None:
    merger = EndpointSliceMerger()
    merger.apply(make_slice(endpoint("", terminating=True)))
    merger.apply(make_slice(endpoint("", ready=True), generation=2))
    assert states(merger) == {"10.0.0.1:80": READY}


def test_sudden_empty_list_is_applied_after_the_hold_time() -> None:
    merger = EndpointSliceMerger()
    merger.apply(make_slice(endpoint(), endpoint("p2", "10.0.0.2")))
    assert states(merger) == {"p1": READY, "p2": READY}
    merger.delete(make_slice(endpoint(terminating=True)))
    assert states(merger, 5) == {"p1": DRAINING, "p2": READY} and merger.is_list_retained
    assert states(merger, 5 + EMPTY_LIST_HOLD_US) == {}


def test_port_is_selected_by_name_and_a_slice_without_it_is_skipped() -> None:
    merger = EndpointSliceMerger("other")
    merger.apply(make_slice(endpoint()))
    assert merger.endpoints(0)["p1"].address == ("10.0.0.1", 81)
    merger = EndpointSliceMerger("none")
    merger.apply(make_slice(endpoint()))
    assert merger.endpoints(0) == {} and merger.skipped_slices == {"s1": "no port 'none'"}


def test_rolling_update_of_a_thousand_endpoints_restores_no_terminated_one() -> None:
    merger, slice_size = EndpointSliceMerger(), 100
    slices = [
        [endpoint(f"old{i}", f"10.0.{i // 250}.{i % 250}") for i in range(first_index, first_index + slice_size)]
        for first_index in range(0, 10 * slice_size, slice_size)
    ]
    for index, content in enumerate(slices):
        merger.apply(make_slice(*content, name=f"s{index}", uid=f"u{index}", generation=1))
    merger.changes(0)
    generation = 1
    for pod_number in range(10 * slice_size):
        index, position = pod_number % 10, pod_number // 10
        for endpoint_content in (
            endpoint(f"old{index * slice_size + position}", "10.0.0.1", terminating=True),
            endpoint(f"new{pod_number}", f"10.1.{pod_number // 250}.{pod_number % 250}"),
        ):
            generation += 1
            slices[index][position] = endpoint_content
            merger.apply(make_slice(*slices[index], name=f"s{index}", uid=f"u{index}", generation=generation))
            assert len(merger.changes(0)) <= 2  # only the changed endpoints
        merger.apply(make_slice(*slices[index], name=f"s{index}", uid=f"u{index}", generation=generation - 1))
    assert states(merger) == {f"new{pod_number}": READY for pod_number in range(10 * slice_size)}


# the generations of one slice: for each, the endpoints as (pod, ready, terminating)
GENERATIONS = st.lists(
    st.lists(st.tuples(st.sampled_from(["p1", "p2", "p3"]), st.booleans(), st.booleans()), max_size=3),
    min_size=1,
    max_size=4,
)


@given(st.lists(GENERATIONS, min_size=1, max_size=3), st.data())
def test_any_order_and_repetition_of_events_gives_the_same_list(
    contents: list[list[list[tuple[str, bool, bool]]]], data: Any
) -> None:
    generations_by_slice = []
    for index, generations in enumerate(contents):
        endpoints_by_generation = [
            [
                endpoint(pod, f"10.0.0.{pod[1]}", ready=ready, terminating=terminating)
                for pod, ready, terminating in content
            ]
            for content in generations
        ]
        generations_by_slice.append(
            [
                make_slice(*content, name=f"s{index}", uid=f"u{index}", generation=generation)
                for generation, content in enumerate(endpoints_by_generation, 1)
            ]
        )
    in_order, shuffled = EndpointSliceMerger(), EndpointSliceMerger()
    for slice_generations in generations_by_slice:
        for endpoint_slice in slice_generations:
            in_order.apply(endpoint_slice)
    terminated_pods: set[str] = set()
    all_slices = [endpoint_slice for slice_generations in generations_by_slice for endpoint_slice in slice_generations]
    for endpoint_slice in data.draw(st.permutations(all_slices + all_slices[::2])):
        shuffled.apply(endpoint_slice)
        terminated_pods |= {
            listed_endpoint.target_ref.uid or ""
            for listed_endpoint in endpoint_slice.endpoints or []
            if listed_endpoint.target_ref and listed_endpoint.conditions and listed_endpoint.conditions.terminating
        }
        assert all(
            shuffled.endpoints(0)[pod].state is DRAINING for pod in terminated_pods & shuffled.endpoints(0).keys()
        )
    shuffled.replace([slice_generations[-1] for slice_generations in generations_by_slice])
    # if all endpoints vanished at once in between, the last list is kept for the hold time (rule 6); after that, both
    # lists must be equal
    for merger in (shuffled, in_order):
        merger.endpoints(0)
    assert shuffled.endpoints(EMPTY_LIST_HOLD_US) == in_order.endpoints(EMPTY_LIST_HOLD_US)


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
def test_arbitrary_bytes_raise_only_slice_error(data: bytes) -> None:
    for read in (read_event, read_list):
        with suppress(SliceError):
            read(data)


def test_watch_events_and_list_pages_are_decoded() -> None:
    error_event = read_event(b'{"type":"ERROR","object":{"kind":"Status","code":410,"reason":"Expired"}}')
    assert error_event.status is not None and error_event.status.code == 410
    bookmark = read_event(b'{"type":"BOOKMARK","object":{"kind":"EndpointSlice","metadata":{"resourceVersion":"77"}}}')
    assert bookmark.resource_version == "77" and bookmark.slice is None
    page = read_list(b'{"metadata":{"resourceVersion":"5","continue":"abc"},"items":[]}')
    assert page.metadata.continue_token == "abc"
    with pytest.raises(SliceError, match="unknown event"):
        read_event(b'{"type":"RENAMED","object":{}}')
