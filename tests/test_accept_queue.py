"""The earliest arrival times that are derived from the length of the listener's queue."""

from __future__ import annotations

import socket

from ryepier.sidecar import system
from ryepier.sidecar.accept_queue import AcceptQueue


def test_connection_arrived_after_the_last_sample_without_it() -> None:
    queue = AcceptQueue(backlog=1024)
    queue.observe(3, now=1.0)
    queue.observe(3, now=2.0)
    queue.observe(4, now=3.0)
    assert [queue.on_accepted() for _ in range(4)] == [1.0, 1.0, 1.0, 2.0]


# Guards against fresh connections that count as late: a queue that is never empty, though nothing waits in it for long.
def test_moving_queue_has_not_waited_since_it_was_last_empty() -> None:
    queue = AcceptQueue(backlog=1024)
    for tenth in range(100):
        queue.observe(2, now=tenth / 10)
        assert not queue.has_waited(0.25, now=tenth / 10)
        queue.on_accepted()


def test_unknown_length_is_bounded_by_the_backlog() -> None:
    queue = AcceptQueue(backlog=1)  # holds two connections
    arrivals = []
    for second in range(5):
        queue.observe(None, now=float(second))
        arrivals.append(queue.on_accepted())
    assert arrivals == [0.0, 0.0, 0.0, 1.0, 2.0]
    queue.observe(0, now=5.0)
    assert queue.on_accepted() is None


def test_system_tells_the_length_of_the_queue() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
        assert system.accept_queue_length(listener) == len(clients)
        accepted, _ = listener.accept()
        assert system.accept_queue_length(listener) == len(clients) - 1
        assert system.accept_queue_length(accepted) is None  # not a listening socket
        for sock in (*clients, accepted):
            sock.close()
