"""Mistakes put into the real code on purpose, one for each rule at least, to see that it is found.

Each is a function to be called in a process of its own, as it stays.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ryepier.balancer import interface as api
from ryepier.balancer.balancer import Attempt, Balancer, Request
from ryepier.sidecar.host import Answer, Host, Result, Verdict

HELD_BEFORE_US = 30_000  # a held refusal goes out so long before the client's time is out


def second_answer() -> None:
    """What ends after the client had its answer answers once more."""
    end = Host._end_attempt

    def end_and_answer(self: Host, request: Any, number: int, result: Result) -> None:
        over = request.over and not request.attempts[number].ended
        end(self, request, number, result)
        if over and result.outcome is api.Outcome.OK:
            request.reply(Answer(Verdict.SERVED))

    Host._end_attempt = end_and_answer  # type: ignore[method-assign]


def lost_answer() -> None:
    """What was reset is never given up, and the host's backstop is gone."""
    finish = Balancer.finish

    def finish_most(self: Balancer, request: Request) -> None:
        if not request.attempts or request.attempts[-1].ended is not api.Outcome.RESET:
            finish(self, request)

    Balancer.finish = finish_most  # type: ignore[method-assign]
    Host._overdue = lambda self, request: None  # type: ignore[method-assign]


def held_answer() -> None:
    """A refusal waits for the client's time."""
    give = Host._answer

    def answer_late(self: Host, ident: int, answer: Answer) -> None:
        request = self.requests.get(ident)
        if request is None or request.over or answer.verdict is Verdict.SERVED:
            give(self, ident, answer)
        else:
            self._at(request.due_us - HELD_BEFORE_US, give, self, ident, answer)

    Host._answer = answer_late  # type: ignore[method-assign]


def two_at_once() -> None:
    """A silent attempt brings a second one beside it."""
    on_overdue = Balancer.on_overdue

    def send_when_overdue(self: Balancer, attempt: Any) -> None:
        on_overdue(self, attempt)
        for request in self.requests.values():
            if attempt in request.attempts and attempt.ended is None and len(request.attempts) < 2:
                self.send(request, attempt.server)

    Balancer.on_overdue = send_when_overdue  # type: ignore[method-assign]


def careless_resend() -> None:
    """What was reset is taken for never run."""
    never_ran = (api.Outcome.REJECTED, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT, api.Outcome.RESET)

    def first_not_reset(self: Request) -> Attempt | None:
        return next((attempt for attempt in self.attempts if attempt.ended not in never_ran), None)

    Request.first_that_may_have_run = first_not_reset  # type: ignore[method-assign]


def any_cell() -> None:
    """A keyed class is sent again anywhere."""
    Balancer.in_group = lambda self, first, server: True  # type: ignore[method-assign]


def long_memory() -> None:
    """A keyed class is sent again however long ago the first was."""
    may_send = Balancer.may_send

    def may_send_later(self: Balancer, request: Request) -> bool:
        kind = self.class_of(request)
        had, kind.idempotency_window_us = kind.idempotency_window_us, kind.idempotency_window_us * 100
        try:
            return may_send(self, request)
        finally:
            kind.idempotency_window_us = had

    Balancer.may_send = may_send_later  # type: ignore[method-assign]


def deaf() -> None:
    """A converter that drains stays in the module's list and in the host's."""

    def hear(self: Host, event: api.UpstreamsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        for entry in event.upstreams:
            entry.state = api.UpstreamState.READY if entry.state is api.UpstreamState.DRAINING else entry.state
        changed(self, event, addresses)

    changed = Host.list_changed
    Host.list_changed = hear  # type: ignore[method-assign]


def freed_twice() -> None:
    """A slot that was given up on suspicion is freed again at the attempt's end."""
    give_up = Balancer.give_up_slot

    def give_up_only(self: Balancer, attempt: Any) -> None:
        give_up(self, attempt)
        attempt.lost = False

    Balancer.give_up_slot = give_up_only  # type: ignore[method-assign]


def never_forgotten() -> None:
    """The host keeps a request whose client has gone."""
    Host._drop_if_done = lambda self, request: None  # type: ignore[method-assign]


def one_more() -> None:
    """One attempt more than the settings allow."""
    may_send = Balancer.may_send

    def may_send_more(self: Balancer, request: Request) -> bool:
        self.settings.max_attempts += 1
        try:
            return may_send(self, request)
        finally:
            self.settings.max_attempts -= 1

    def send_more(self: Host, action: api.Send) -> None:
        self.settings.max_attempts += 1
        try:
            send(self, action)
        finally:
            self.settings.max_attempts -= 1

    send = Host._send
    Balancer.may_send = may_send_more  # type: ignore[method-assign]
    Host._send = send_more  # type: ignore[method-assign]


def glib_refusal() -> None:
    """Whatever is given up is refused, as if it had never run."""
    carry_out = Host._carry_out

    def refuse(self: Host, action: api.Action) -> None:
        carry_out(self, api.Reject(action.request) if isinstance(action, api.Fail) else action)

    Host._carry_out = refuse  # type: ignore[method-assign]


PLANTS: dict[str, tuple[str, Callable[[], None]]] = {  # by name: the rule that breaks, and the mistake
    "second-answer": ("answers", second_answer),
    "lost-answer": ("in time", lost_answer),
    "held-answer": ("at once", held_answer),
    "two-at-once": ("together", two_at_once),
    "careless-resend": ("resend", careless_resend),
    "any-cell": ("resend", any_cell),
    "long-memory": ("resend", long_memory),
    "deaf": ("drain", deaf),
    "freed-twice": ("slots", freed_twice),
    "never-forgotten": ("leak", never_forgotten),
    "one-more": ("attempts", one_more),
    "glib-refusal": ("refused", glib_refusal),
}
