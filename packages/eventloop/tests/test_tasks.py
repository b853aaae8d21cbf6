"""Tasks: errors, cancellation, and turns for all."""

from __future__ import annotations

import socket
from itertools import pairwise

import pytest

from walnutpost.eventloop import Cancelled, Loop, Stream, TaskGroup
from walnutpost.eventloop.tasks import MAX_OPERATIONS_PER_TURN
from walnutpost.testsupport.eventloop.fixtures import SECOND, close_all, virtual_loop


def test_error_of_a_task_or_callback_ends_it_alone_and_is_reported() -> None:
    errors: list[tuple[str, BaseException]] = []
    loop = virtual_loop(errors)

    def fails() -> None:
        raise ValueError("mine")

    def main() -> str:
        loop.spawn(fails, name="bad")
        loop.call_later(0, fails)
        loop.sleep(SECOND)
        return "alive"

    assert loop.run(main) == "alive"
    assert sorted(name for name, _ in errors) == ["bad", "timer"]


def test_cancelled_task_ends_whether_it_has_not_begun_waits_or_is_in_a_group() -> None:
    loop = virtual_loop()
    ended: list[str] = []

    def works() -> None:
        try:
            loop.sleep(SECOND)
        except Cancelled:
            ended.append("cancelled")
            raise

    def main() -> None:
        not_begun, waiting = loop.spawn(works), loop.spawn(works)
        not_begun.cancel()
        loop.yield_now()
        waiting.cancel()
        for task in (not_begun, waiting):
            with pytest.raises(Cancelled):
                task.join()
        with pytest.raises(ValueError), TaskGroup(loop) as group:
            group.spawn(works)
            loop.yield_now()
            raise ValueError
        assert not len(group)

    loop.run(main)
    assert ended == ["cancelled", "cancelled"]


def test_task_whose_socket_calls_all_succeed_yields_to_others() -> None:
    """Others run after MAX_OPERATIONS_PER_TURN of its calls at most."""
    loop = Loop()
    counts_at_turns: list[int] = []
    operations = 0

    def greedy() -> None:
        nonlocal operations
        ends = socket.socketpair()
        for end in ends:
            end.setblocking(False)
        sender, receiver = (Stream(loop, end) for end in ends)
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
