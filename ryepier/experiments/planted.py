"""Sidecars and planners with one named mistake put in on purpose, to show that a claim can fail.

`python -m ryepier.experiments.planted FAULT` is a sidecar like `python -m ryepier.sidecar`, but for that mistake; with
`--config FILE` it is one like `ryepier run`, and where the mistake is a planner's, one like `ryepier planner`.
"""

from __future__ import annotations

import runpy
import sys
import time
import weakref
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import MAX_RETRY_BUDGET, Balancer, Request, Server
from ryepier.check.plants import held_answer
from ryepier.experiments.load_spread import processes_planted as load_spread
from ryepier.plan import compute, snapshot
from ryepier.plan.compute import Planner
from ryepier.plan.follow import Follower
from ryepier.plan.forwarder import Forwarder
from ryepier.plan.lead import Leadership
from ryepier.plan.merge import Evidence
from ryepier.plan.messages import Report, Term
from ryepier.plan.report import Reporter
from ryepier.sidecar import __main__ as sidecar
from ryepier.sidecar import discovery
from ryepier.sidecar.host import Answer, Call, Host, Result, clock_us
from ryepier.sidecar.upstreams import Attempt, Connection, Pool
from ryepier.slices import merge
from ryepier.slices.listing import _Known
from ryepier.slices.merge import Merger, Word
from ryepier.slices.reflect import Reflector, Wait

EVERY_TWICE = 40  # requests; one of so many goes to a second converter too
EVERY_LOST = 150  # answers; one of so many is never written
SPIN_US = 400  # more than a request costs a sidecar that is well
LATE_S = 5.0
SCANS = 2
LIES = 1000


def twice() -> None:
    """One request in many is sent to two converters at once."""
    start, count = Pool.start, 0

    def start_twice(
        self: Pool,
        upstream: int,
        address: tuple[str, int],
        call: Call,
        timeout_us: int,
        ended: Callable[[Result], None],
        latest_us: int = 0,
    ) -> Attempt:
        nonlocal count
        count += 1
        others = [line for line in self.connections if line != upstream]
        if count % EVERY_TWICE == 0 and others:
            peer = next(iter(self.connections[others[0]])).sock.getpeername()
            start(self, others[0], peer, call, timeout_us, lambda result: None)
        return start(self, upstream, address, call, timeout_us, ended, latest_us)

    Pool.start = start_twice  # type: ignore[method-assign]


def deaf() -> None:
    """A converter that drains is taken for ready."""
    discovery.STATES["leaving"] = api.UpstreamState.READY


def lose() -> None:
    """One answer in many is never written."""
    give, count = Host._answer, 0

    def answer_most(self: Host, ident: int, answer: Answer) -> None:
        nonlocal count
        count += 1
        request = self.requests.get(ident)
        if count % EVERY_LOST == 0 and request is not None:
            request.reply = lambda final: None
        give(self, ident, answer)

    Host._answer = answer_most  # type: ignore[method-assign]


def blind() -> None:
    """Silence and time-outs tell it nothing of a converter."""
    judge = Balancer.judge

    def judge_answers(self: Balancer, attempt: Any, elapsed_us: int, class_index: int) -> None:
        if attempt.ended is not api.Outcome.TIMEOUT:
            judge(self, attempt, elapsed_us, class_index)

    def forget_overdue(self: Balancer, attempt: Any) -> None:
        attempt.overdue = attempt.lost = True
        attempt.server.slots_in_use -= 1

    Balancer.judge = judge_answers  # type: ignore[method-assign]
    Balancer.on_overdue = forget_overdue  # type: ignore[method-assign]


def crowd() -> None:
    """A fresh converter gets all there is."""
    free_slots = Balancer.free_slots

    def youngest(
        self: Balancer, request: Request, servers: list[Server], ejection_allowed: bool
    ) -> list[tuple[Server, float]]:
        cold = [server for server in self.servers.values() if self.warmth(server) < 1.0]
        return [(cold[-1], 1.0)] if cold else free_slots(self, request, servers, ejection_allowed)

    Balancer.free_slots = youngest  # type: ignore[method-assign]


def no_advice() -> None:
    """Refusals do not say when to come back."""
    give = Host._answer

    def answer_without(self: Host, ident: int, answer: Answer) -> None:
        answer.retry_after_us = 0
        give(self, ident, answer)

    Host._answer = answer_without  # type: ignore[method-assign]


def spin() -> None:
    """Each request costs far more CPU than it needs."""
    arrived = Host.arrived

    def arrived_slowly(self: Host, call: Call, reply: Callable[[Answer], None]) -> int:
        until_us = clock_us() + SPIN_US
        while clock_us() < until_us:
            pass
        return arrived(self, call, reply)

    Host.arrived = arrived_slowly  # type: ignore[method-assign]


def scan() -> None:
    """Each draw goes twice more through all upstreams."""
    draw = Balancer.draw

    def draw_after_a_look(self: Balancer, request: Request) -> Server | None:
        for _ in range(SCANS):
            self.free_slots(request, list(self.servers.values()), True)
        return draw(self, request)

    Balancer.draw = draw_after_a_look  # type: ignore[method-assign]


def no_budget() -> None:
    """What is sent again costs nothing, and so has no bound but its time."""
    send = Balancer.send

    def send_for_nothing(self: Balancer, request: Request, server: Server) -> None:
        send(self, request, server)
        self.retry_budget = MAX_RETRY_BUDGET

    Balancer.send = send_for_nothing  # type: ignore[method-assign]


def late_start() -> None:
    """It takes long to come up."""
    time.sleep(LATE_S)


def trust_any() -> None:
    """A forwarder follows whatever plan comes."""
    Follower.unsound = lambda self, plan, listed: ""  # type: ignore[method-assign]


def trust_none() -> None:
    """A forwarder refuses every plan."""
    Follower.unsound = lambda self, plan, listed: "planted"  # type: ignore[method-assign]


def liar() -> None:
    """A forwarder tells planners that each request to some converters went badly a thousand times."""
    report = Reporter.report

    def tall_tale(self: Reporter, *arguments: Any, **more: Any) -> Report:
        told = report(self, *arguments, **more)
        lies = {
            uid: msgspec.structs.replace(seen, bad=seen.bad + LIES * seen.sends) if hash_of(uid) % 6 == 0 else seen
            for uid, seen in told.seen.items()
        }
        return msgspec.structs.replace(told, seen=lies)

    Reporter.report = tall_tale  # type: ignore[method-assign]


def hash_of(uid: str) -> int:
    """The same for the same converter in all processes."""
    return int(uid.rpartition("-")[2], 16)


def credulous() -> None:
    """A planner believes every forwarder."""
    Planner._find_liars = lambda self, heard: set()  # type: ignore[method-assign]
    compute.MOST_SAY = float(10**9)


def amnesiac() -> None:
    """A planner remembers nothing and, sure of itself all the same, publishes at once and in the highest term."""
    snapshot.load = lambda folder, unix_ms, oldest_ms: None
    Evidence.merge = lambda self, now_us, name, boot, report: True  # type: ignore[method-assign]
    Planner.sound = lambda self, basis: True  # type: ignore[method-assign]
    start = Leadership.__post_init__

    def lead_at_once(self: Leadership) -> None:
        start(self)
        self.highest, self.leads = Term(10**6, self.name), True

    Leadership.__post_init__ = lead_at_once  # type: ignore[method-assign]


def recount() -> None:
    """A planner goes through all forwarders at each report."""
    merge = Evidence.merge

    def merge_and_recount(self: Evidence, now_us: int, name: str, boot: int, report: Report) -> bool:
        self.heard(now_us)
        return merge(self, now_us, name, boot, report)

    Evidence.merge = merge_and_recount  # type: ignore[method-assign]


def herd() -> None:
    """Forwarders wait for fixed times before they come back."""
    Forwarder.draw_s = lambda self, bound_s: bound_s  # type: ignore[method-assign]


def last_writer() -> None:
    """Of several slices the word that came last counts, and no end is remembered."""

    def decide(self: Merger, identity: str, said: list[Word]) -> merge.Verdict:
        last = said[-1]
        state = api.UpstreamState.DRAINING if last.rank else api.UpstreamState.READY
        return merge.Verdict(identity, last.address, last.zone, last.node, state, False, 1, (last.slice_name,))

    Merger._decide = decide  # type: ignore[method-assign]
    _Known.due_us = lambda self, settle_us: self.ready_us  # type: ignore[method-assign]


def never_again() -> None:
    """A list that is not kept any more is not asked for anew."""
    Reflector._expired = lambda self, now_us: [Wait(now_us + 10**12)]  # type: ignore[method-assign]


def whole_list() -> None:
    """Each change has the whole list decided anew."""
    changes = Merger.changes

    def all_changes(self: Merger, now_us: int) -> dict[str, merge.Verdict | None]:
        self.dirty |= self.words.keys()
        return changes(self, now_us)

    Merger.changes = all_changes  # type: ignore[method-assign]


def first_word() -> None:
    """A document's first word tells what it does."""
    from ryepier.graphql.document import Document, Documents

    read = Documents.read

    def read_first_word(self: Documents, text: str) -> Document:
        kind = "mutation" if text.startswith("mutation") else "query"
        return Document(tuple(replace(one, kind=kind) for one in read(self, text).operations))

    Documents.read = read_first_word  # type: ignore[method-assign]


def forgetful() -> None:
    """A document is read anew each time."""
    from ryepier.graphql import document

    document.Documents.read = lambda self, text: document.read_document(text)  # type: ignore[method-assign]


def no_spread() -> None:
    """All that are refused in a storm are told the same time."""
    usual = Balancer.retry_after_us

    def all_alike(self: Balancer, request: Request) -> int:
        storm = self.storm
        if not storm.active:
            return usual(self, request)
        return min(storm.wait_us[min(request.event.tries, len(storm.wait_us) - 1)], self.settings.max_retry_after_us)

    Balancer.retry_after_us = all_alike  # type: ignore[method-assign]


def jumpy() -> None:
    """Any retries are taken for a storm."""
    from ryepier.storm.detect import Detector, Evidence

    Detector._opens = lambda self, evidence: evidence.later_share > 0  # type: ignore[method-assign]

    def unjudged(self: Detector, now_us: int) -> Evidence:
        offered = sum(self.rates)
        return Evidence(offered, self.served, sum(self.rates[1:]) / max(1.0, offered), 0.0, None)

    Detector._evidence = unjudged  # type: ignore[method-assign]


def answer_twice() -> None:
    """One answer in many is written twice."""
    from ryepier.sidecar.server import Client

    write, count = Client.write, 0

    def write_twice(self: Client, status: int, body: bytes, head: bytes = b"", last: bool = False) -> None:
        nonlocal count
        count += 1
        write(self, status, body, head, last)
        if count % EVERY_TWICE == 0 and self.transport is not None and status == 200 and body:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    Client.write = write_twice  # type: ignore[method-assign]


def keep_after_time_out() -> None:
    """A connection whose attempt was given up is used again, its answer still on the way."""
    give_up = Attempt.give_up

    def give_up_and_keep(self: Attempt) -> None:
        connection, written = self.connection, self.written
        if connection is None or not written:
            give_up(self)
            return
        self.given_up, self.connection, connection.attempt = True, None, None
        connection.pool.put_idle(connection)

    def usable(self: Connection) -> bool:
        return not self.closed and self.transport is not None and not self.transport.is_closing()

    def data_received(self: Connection, data: bytes) -> None:
        if self.attempt is not None:
            receive(self, data)

    receive = Connection.data_received
    Attempt.give_up = give_up_and_keep  # type: ignore[method-assign]
    Connection.usable = usable  # type: ignore[method-assign]
    Connection.data_received = data_received  # type: ignore[method-assign]


def forget_drain() -> None:
    """What drained while the watch was away is taken for ready once it is back."""
    changed = discovery.Discovery.changed
    told: weakref.WeakSet[discovery.Watch] = weakref.WeakSet()

    def changed_since(self: discovery.Discovery, lines: Any) -> None:
        if self.watch is not None and self.watch not in told:  # the first that a watch says: what it missed
            told.add(self.watch)
            lines["targets"] = [line for line in lines["targets"] if line["state"] != "leaving"]
        changed(self, lines)

    discovery.Discovery.changed = changed_since  # type: ignore[method-assign]


PLANNERS_PLANTS = frozenset(("amnesiac", "credulous", "recount"))  # mistakes of a planner; all others are a sidecar's
PLANTS: dict[str, Callable[[], None]] = {
    "twice": twice,
    "deaf": deaf,
    "hold": held_answer,
    "lose": lose,
    "blind": blind,
    "crowd": crowd,
    "no-advice": no_advice,
    "spin": spin,
    "scan": scan,
    "no-budget": no_budget,
    "late-start": late_start,
    "trust-any": trust_any,
    "trust-none": trust_none,
    "amnesiac": amnesiac,
    "credulous": credulous,
    "liar": liar,
    "recount": recount,
    "first-word": first_word,
    "forgetful": forgetful,
    "answer-twice": answer_twice,
    "keep-after-time-out": keep_after_time_out,
    "forget-drain": forget_drain,
    "herd": herd,
    "no-spread": no_spread,
    "jumpy": jumpy,
    "last-writer": last_writer,
    "never-again": never_again,
    "whole-list": whole_list,
    **load_spread.PLANTS,
}


def command(plant: str) -> list[str]:
    """How to start a sidecar with this mistake."""
    return [sys.executable, "-B", "-m", "ryepier.experiments.planted", plant]


def main() -> int:
    plant, *arguments = sys.argv[1:]
    PLANTS[plant]()
    if plant in PLANNERS_PLANTS or arguments:
        # the command line lies above this floor, so it is started as a person would start it
        sys.argv = ["ryepier", "planner" if plant in PLANNERS_PLANTS else "run", *arguments]
        runpy.run_module("ryepier", run_name="__main__")
    return sidecar.main()


if __name__ == "__main__":
    sys.exit(main())
