"""Tasks: errors, cancellation and fair scheduling."""

from __future__ import annotations

import socket
from itertools import pairwise

import pytest

from walnutpost.eventloop import Cancelled, Loop, Stream, TaskGroup
from walnutpost.eventloop.tasks import MAX_OPERATIONS_PER_TURN
from walnutpost.testsupport.eventloop.fixtures import SECOND, close_all, virtual_loop


def test_error_ends_only_its_own_task_or_callback_and_is_reported() -> None:
    errors: list[tuple[str, BaseException]] = []
    loop = virtual_loop(errors)

    def raise_error() -> None:
        raise ValueError("mine")

    def main() -> str:
        loop.spawn(raise_error, name="bad")
        loop.call_later(0, raise_error)
        loop.sleep(SECOND)
        return "alive"

    assert loop.run(main) == "alive"
    assert sorted(name for name, _ in errors) == ["bad", "timer"]


def test_cancellation_ends_unstarted_waiting_and_grouped_tasks() -> None:
    loop = virtual_loop()
    cancellations: list[str] = []

    def sleep_until_cancelled() -> None:
        try:
            loop.sleep(SECOND)
        except Cancelled:
            cancellations.append("cancelled")
            raise

    def main() -> None:
        not_started, waiting = loop.spawn(sleep_until_cancelled), loop.spawn(sleep_until_cancelled)
        not_started.cancel()
        loop.yield_now()
        waiting.cancel()
        for task in (not_started, waiting):
            with pytest.raises(Cancelled):
                task.join()
        with pytest.raises(ValueError), TaskGroup(loop) as group:
            group.spawn(sleep_until_cancelled)
            loop.yield_now()
            raise ValueError
        assert not len(group)

    loop.run(main)
    assert cancellations == ["cancelled", "cancelled"]


def test_task_whose_socket_calls_all_succeed_yields_to_others() -> None:
    """Other tasks run after at most MAX_OPERATIONS_PER_TURN of its socket calls."""
    loop = Loop()
    counts_at_turns: list[int] = []
    operations = 0

    def greedy() -> None:
        nonlocal operations
        sockets = socket.socketpair()
        for sock in sockets:
            sock.setblocking(False)
        sender, receiver = (Stream(loop, sock) for sock in sockets)
        while len(counts_at_turns) < 20:
            sender.send_all(b"x")
            receiver.recv(1)
            operations += 2
        close_all(sender, receiver)

    def other() -> None:
        while len(counts_at_turns) < 20:
            counts_at_turns.append(operations)
            loop.yield_now()

    def main() -> None:
        with TaskGroup(loop) as group:
            group.spawn(greedy)
            group.spawn(other)

    loop.run(main)
    assert max(b - a for a, b in pairwise(counts_at_turns)) <= MAX_OPERATIONS_PER_TURN + 2
