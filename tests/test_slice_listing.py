"""The merged list as the module's entries: damping that never delays a drain, numbers, and what counts as fresh."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from ryepier.balancer.interface import UpstreamState
from ryepier.conf.operator_settings import FailureDomainBy
from ryepier.slices.endpoint_listing import FLAP_RESET_US, MIN_RESTART_US, EndpointListing, ListingRules
from ryepier.slices.endpoint_slice_merger import MergedEndpoint

READY, DRAINING, REMOVED = UpstreamState.READY, UpstreamState.DRAINING, UpstreamState.REMOVED
SETTLE_US = 1_000_000
SECOND = 1_000_000


def verdict(
    identity: str = "p1", ready: bool = True, node: str = "", address: str = "10.0.0.1", ends: bool = False
) -> MergedEndpoint:
    return MergedEndpoint(identity, (address, 80), "a", node, READY if ready else DRAINING, ends, 1, ("s1",))


def listing(cell_by: str = "endpoint") -> EndpointListing:
    return EndpointListing(ListingRules(["a"], 3, FailureDomainBy(cell_by), SETTLE_US))


def told(made: EndpointListing, now_us: int, **changes: MergedEndpoint | None) -> dict[int, UpstreamState]:
    return {entry.id: entry.state for entry, _ in made.update(now_us, changes)}


def test_flapping_endpoint_drains_at_once_and_waits_twice_as_long_to_become_ready() -> None:
    made = listing()
    assert told(made, 0, p1=verdict()) == {1: READY}
    now_us = SECOND
    for flap in range(3):
        assert told(made, now_us, p1=verdict(ready=False)) == {1: DRAINING}
        assert told(made, now_us + 1, p1=verdict()) == {}
        wait_us = SETTLE_US * 2**flap
        assert made.next_due_us == now_us + 1 + wait_us
        assert told(made, now_us + wait_us) == {}
        assert told(made, now_us + 1 + wait_us) == {1: READY}
        now_us += 1 + wait_us
    assert told(made, now_us + FLAP_RESET_US + 1, p1=verdict(ready=False)) == {1: DRAINING}
    told(made, now_us + FLAP_RESET_US + 2, p1=verdict())
    assert made.next_due_us == now_us + FLAP_RESET_US + 2 + SETTLE_US  # calm for a minute: forgotten


def test_endpoint_that_drains_while_it_settles_is_never_reported_ready() -> None:
    made = listing()
    told(made, 0, p1=verdict())
    told(made, 1, p1=verdict(ready=False))
    told(made, 2, p1=verdict())
    assert told(made, 3, p1=verdict(ready=False, ends=True)) == {}  # it drains already
    assert made.next_due_us is None and told(made, 100 * SECOND) == {}


def test_endpoint_counts_as_started_if_it_is_new_or_was_absent_for_long() -> None:
    made = listing()
    told(made, 0, old=verdict("old"))
    made.complete_list()
    [(entry, _)] = made.update(5, {"new": verdict("new")})
    assert entry.started_us == 5
    made.update(10, {"old": verdict("old", ready=False)})
    made.update(10 + MIN_RESTART_US, {"old": verdict("old")})
    [(entry, _)] = made.update(10 + MIN_RESTART_US + SETTLE_US, {})
    assert entry.started_us == 10 + MIN_RESTART_US


def test_move_between_slices_is_no_restart_but_a_reused_address_is() -> None:
    made = listing()
    made.update(0, {"p1": verdict(), "10.0.0.9:80": verdict("10.0.0.9:80")})
    made.complete_list()
    assert told(made, 1, **{"p1": None, "10.0.0.9:80": None}) == {1: REMOVED, 2: REMOVED}
    back = {
        entry.id: entry.started_us
        for entry, _ in made.update(2, {"p1": verdict(), "10.0.0.9:80": verdict("10.0.0.9:80")})
    }
    assert back == {1: 0, 3: 2}


def test_endpoint_removed_while_not_ready_has_to_settle_when_it_returns() -> None:
    made = listing()
    told(made, 0, p1=verdict())
    told(made, 1, p1=verdict(ready=False))
    told(made, 2, p1=None)
    assert told(made, 3, p1=verdict()) == {1: DRAINING}
    assert told(made, 3 + SETTLE_US) == {1: READY}


def test_failure_domains_are_never_shared_by_chance() -> None:
    by_node, by_itself = listing("node"), listing()
    changes = {name: verdict(name, node=node) for name, node in (("p1", "n1"), ("p2", "n1"), ("p3", ""), ("p4", ""))}
    cells = [entry.failure_domain for entry, _ in by_node.update(0, changes)]
    assert cells[0] == cells[1] and len(set(cells)) == 3
    assert len({entry.failure_domain for entry, _ in by_itself.update(0, changes)}) == 4


def test_changed_address_is_reported() -> None:
    made = listing()
    told(made, 0, p1=verdict())
    [(entry, address)] = made.update(1, {"p1": verdict(address="10.0.0.7")})
    assert (entry.id, entry.state, address) == (1, READY, ("10.0.0.7", 80))


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
def test_decision_module_never_counts_an_unready_endpoint_as_ready(steps: list[tuple[int, str, str]]) -> None:
    made = listing()
    now_us, said, held = 0, {}, {}
    for after_us, identity, word in steps:
        now_us += after_us
        said[identity] = word
        new = None if word == "gone" else verdict(identity, word == "ready", ends=word == "ends")
        for entry, _ in made.update(now_us, {identity: new}):
            held[entry.id] = entry.state
        for name, ident in made.upstream_ids().items():
            assert held[ident] is not READY or said[name] == "ready"
        assert sum(state is READY for state in held.values()) <= sum(word == "ready" for word in said.values())
