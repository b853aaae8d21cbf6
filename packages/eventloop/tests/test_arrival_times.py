"""When what a poll reports may have come: `Loop.arrived_after`."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from walnutpost.eventloop import BootTime, Loop, VirtualClock
from walnutpost.eventloop.poller import READABLE
from walnutpost.testsupport.eventloop.fixtures import MS, SECOND, close_all

BUSY, WATCHED = 6, 7  # descriptors


class ManualClock:
    """Real time that moves only where a test moves it."""

    is_virtual = False

    def __init__(self) -> None:
        self.now_us = 100 * SECOND

    def now(self) -> int:
        return self.now_us

    def boot_time(self) -> BootTime:
        return BootTime("manual", self.now_us)

    def advance_to(self, time_us: int) -> None:
        self.now_us = time_us


class ScriptedPoll:
    """A poll object whose polls take the time that the script says, and report what it says."""

    def __init__(self, clock: ManualClock, script: list[tuple[int, list[int]]]) -> None:
        self._clock = clock
        self.script = script

    def register(self, fd: int, event_mask: int, /) -> None: ...

    modify = register

    def unregister(self, fd: int, /) -> None: ...

    def poll(self, timeout_ms: int | None, /) -> list[tuple[int, int]]:
        took_us, readable = self.script.pop(0)
        self._clock.now_us += took_us
        return [(fd, READABLE) for fd in readable]


@pytest.mark.parametrize(
    ("round_took", "polls", "came_after"),
    [
        pytest.param(0, [(10 * MS, [WATCHED])], 10 * MS, id="came-in-a-wait"),
        pytest.param(0, [(3 * SECOND, [WATCHED])], 0, id="stopped-in-a-wait"),
        pytest.param(MS, [(0, [WATCHED])], 0, id="there-after-a-short-round"),
        pytest.param(2 * SECOND, [(0, [WATCHED])], 0, id="there-after-a-stop"),
        pytest.param(2 * SECOND, [(10 * MS, [WATCHED])], 0, id="there-and-interrupted-in-the-poll"),
        pytest.param(2 * SECOND, [(SECOND, [WATCHED])], 0, id="there-and-stopped-in-the-poll"),
        pytest.param(
            80 * MS, [(0, []), (10 * MS, [WATCHED])], 90 * MS, id="came-in-a-wait-after-a-long-round"
        ),
        pytest.param(
            80 * MS, [(0, []), (SECOND, [WATCHED])], 80 * MS, id="stopped-in-a-wait-after-a-long-round"
        ),
        pytest.param(0, [(10 * MS, []), (0, [WATCHED])], 10 * MS, id="there-after-a-wait"),
        pytest.param(0, [(SECOND, []), (0, [WATCHED])], 0, id="there-after-a-wait-that-it-was-stopped-in"),
    ],
)
def test_event_came_after_the_last_poll_that_did_not_report_it(
    round_took: int, polls: list[tuple[int, list[int]]], came_after: int
) -> None:
    """`round_took`: between two polls. `polls`: those after it, how long each took and what it reported."""
    clock = ManualClock()
    kernel = ScriptedPoll(clock, [(0, []), (0, [BUSY]), *polls])
    loop = Loop(clock, poll_object=kernel)
    began = clock.now_us

    def busy() -> None:
        clock.now_us += round_took
        loop.call_later(100 * MS, lambda: None)

    def main() -> Any:
        task, token = loop.begin_wait()
        loop.on_readable(BUSY, busy)
        loop.on_readable(WATCHED, lambda: loop.wake(task, token, loop.arrived_after() - began))
        return loop.park()

    assert loop.run(main) == came_after
    assert not kernel.script


def test_virtual_clock_moved_by_a_test_is_a_stall_and_moved_by_the_loop_is_none() -> None:
    clock = VirtualClock()
    loop = Loop(clock)

    def main() -> list[int]:
        left, right = socket.socketpair()
        stalls = []
        for stall, sleep in ((0, 0), (0, SECOND), (SECOND, 0)):
            loop.sleep(sleep)
            left.send(b"x")
            clock.advance_to(loop.now() + stall)
            loop.wait_readable(right.fileno())
            right.recv(1)
            stalls.append(loop.now() - loop.arrived_after())
        loop.forget(right.fileno())
        close_all(left, right)
        return stalls

    assert loop.run(main) == [0, 0, SECOND]
