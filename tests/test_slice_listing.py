"""Merged endpoints as upstreams of the decision module: damping that never delays a drain, ids, and start times."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import UpstreamState
from ryepier.conf.operator_settings import FailureDomainScope
from ryepier.slices.endpoint_listing import FLAP_RESET_US, MIN_RESTART_US, EndpointListing, ListingRules
from ryepier.slices.endpoint_slice_merger import MergedEndpoint

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED
SETTLE_US = 1_000_000
SECOND_US = 1_000_000


def make_endpoint(
    identity: str = "p1", ready: bool = True, node: str = "", address: str = "10.0.0.1", terminating: bool = False
) -> MergedEndpoint:
    return MergedEndpoint(identity, (address, 80), "a", node, READY if ready else DRAINING, terminating, 1, ("s1",))


def make_listing(failure_domain_scope: str = "endpoint") -> EndpointListing:
    return EndpointListing(ListingRules(["a"], 3, FailureDomainScope(failure_domain_scope), SETTLE_US))


def update(listing: EndpointListing, now_us: int, **changes: MergedEndpoint | None) -> dict[int, UpstreamState]:
    return {upstream.id: upstream.state for upstream, _ in listing.update(now_us, changes)}


def test_flapping_endpoint_drains_at_once_and_waits_twice_as_long_to_become_ready() -> None:
    listing = make_listing()
    assert update(listing, 0, p1=make_endpoint()) == {1: READY}
    now_us = SECOND_US
    for flap in range(3):
        assert update(listing, now_us, p1=make_endpoint(ready=False)) == {1: DRAINING}
        assert update(listing, now_us + 1, p1=make_endpoint()) == {}
        wait_us = SETTLE_US * 2**flap
        assert listing.next_due_at_us == now_us + 1 + wait_us
        assert update(listing, now_us + wait_us) == {}
        assert update(listing, now_us + 1 + wait_us) == {1: READY}
        now_us += 1 + wait_us
    assert update(listing, now_us + FLAP_RESET_US + 1, p1=make_endpoint(ready=False)) == {1: DRAINING}
    update(listing, now_us + FLAP_RESET_US + 2, p1=make_endpoint())
    # a minute after the last return to readiness, earlier flaps no longer lengthen the delay
    assert listing.next_due_at_us == now_us + FLAP_RESET_US + 2 + SETTLE_US


def test_endpoint_that_drains_while_settling_is_never_published_ready() -> None:
    listing = make_listing()
    update(listing, 0, p1=make_endpoint())
    update(listing, 1, p1=make_endpoint(ready=False))
    update(listing, 2, p1=make_endpoint())
    # no update, as it is already published as draining
    assert update(listing, 3, p1=make_endpoint(ready=False, terminating=True)) == {}
    assert listing.next_due_at_us is None and update(listing, 100 * SECOND_US) == {}


def test_endpoint_counts_as_started_if_new_or_unready_for_long() -> None:
    listing = make_listing()
    update(listing, 0, old=make_endpoint("old"))
    listing.take_complete_list()
    [(upstream, _)] = listing.update(5, {"new": make_endpoint("new")})
    assert upstream.started_at_us == 5
    listing.update(10, {"old": make_endpoint("old", ready=False)})
    listing.update(10 + MIN_RESTART_US, {"old": make_endpoint("old")})
    [(upstream, _)] = listing.update(10 + MIN_RESTART_US + SETTLE_US, {})
    assert upstream.started_at_us == 10 + MIN_RESTART_US


def test_move_between_slices_is_no_restart_but_a_reused_address_is() -> None:
    listing = make_listing()
    listing.update(0, {"p1": make_endpoint(), "10.0.0.9:80": make_endpoint("10.0.0.9:80")})
    listing.take_complete_list()
    assert update(listing, 1, **{"p1": None, "10.0.0.9:80": None}) == {1: REMOVED, 2: REMOVED}
    started_us_by_id = {
        upstream.id: upstream.started_at_us
        for upstream, _ in listing.update(2, {"p1": make_endpoint(), "10.0.0.9:80": make_endpoint("10.0.0.9:80")})
    }
    assert started_us_by_id == {1: 0, 3: 2}


def test_endpoint_removed_while_not_ready_has_to_settle_when_it_returns() -> None:
    listing = make_listing()
    update(listing, 0, p1=make_endpoint())
    update(listing, 1, p1=make_endpoint(ready=False))
    update(listing, 2, p1=None)
    assert update(listing, 3, p1=make_endpoint()) == {1: DRAINING}
    assert update(listing, 3 + SETTLE_US) == {1: READY}


def test_only_endpoints_on_one_node_share_a_failure_domain() -> None:
    listing_by_node, listing_by_endpoint = make_listing("node"), make_listing()
    changes = {
        name: make_endpoint(name, node=node) for name, node in (("p1", "n1"), ("p2", "n1"), ("p3", ""), ("p4", ""))
    }
    domains = [upstream.failure_domain for upstream, _ in listing_by_node.update(0, changes)]
    assert domains[0] == domains[1] and len(set(domains)) == 3
    assert len({upstream.failure_domain for upstream, _ in listing_by_endpoint.update(0, changes)}) == 4


def test_changed_address_is_published() -> None:
    listing = make_listing()
    update(listing, 0, p1=make_endpoint())
    [(upstream, address)] = listing.update(1, {"p1": make_endpoint(address="10.0.0.7")})
    assert (upstream.id, upstream.state, address) == (1, READY, ("10.0.0.7", 80))


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3 * SETTLE_US),
            st.sampled_from(["p1", "p2"]),
            st.sampled_from(["ready", "not", "ends", "gone"]),
        ),
        max_size=30,
    )
)
def test_unready_endpoint_is_never_published_ready(steps: list[tuple[int, str, str]]) -> None:
    listing = make_listing()
    now_us, reported_conditions, published_states = 0, {}, {}
    for delay_us, identity, condition in steps:
        now_us += delay_us
        reported_conditions[identity] = condition
        endpoint = (
            None
            if condition == "gone"
            else make_endpoint(identity, condition == "ready", terminating=condition == "ends")
        )
        for upstream, _ in listing.update(now_us, {identity: endpoint}):
            published_states[upstream.id] = upstream.state
        for name, upstream_id in listing.upstream_ids().items():
            assert published_states[upstream_id] is not READY or reported_conditions[name] == "ready"
        assert sum(state is READY for state in published_states.values()) <= sum(
            condition == "ready" for condition in reported_conditions.values()
        )
