"""`Loop.arrived_after`: the lower bound on the arrival time of the events that a poll reports."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from walnutpost.eventloop import BootTime, Loop, VirtualClock
from walnutpost.eventloop.poller import READABLE
from walnutpost.testsupport.eventloop.fixtures import MS, SECOND, close_all

BUSY, WATCHED = 6, 7  # descriptors


class ManualClock:
    """A clock that the loop treats as real, and that advances only when a test advances it."""

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
    """A poll object with scripted results: pairs of the duration of a poll and the readable descriptors."""

    def __init__(self, clock: ManualClock, script: list[tuple[int, list[int]]]) -> None:
        self._clock = clock
        self.script = script

    def register(self, fd: int, event_mask: int, /) -> None: ...

    modify = register

    def unregister(self, fd: int, /) -> None: ...

    def poll(self, timeout_ms: int | None, /) -> list[tuple[int, int]]:
        duration_us, readable = self.script.pop(0)
        self._clock.now_us += duration_us
        return [(fd, READABLE) for fd in readable]


@pytest.mark.parametrize(
    ("round_duration_us", "polls", "expected_us"),
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
def test_event_arrived_after_the_last_poll_that_did_not_report_it(
    round_duration_us: int, polls: list[tuple[int, list[int]]], expected_us: int
) -> None:
    """`round_duration_us`: time between two polls. `polls`: duration and result of each poll after it."""
    clock = ManualClock()
    scripted_poll = ScriptedPoll(clock, [(0, []), (0, [BUSY]), *polls])
    loop = Loop(clock, poll_object=scripted_poll)
    start_us = clock.now_us

    def busy() -> None:
        clock.now_us += round_duration_us
        loop.call_later(100 * MS, lambda: None)

    def main() -> Any:
        task, token = loop.begin_wait()
        loop.on_readable(BUSY, busy)
        loop.on_readable(WATCHED, lambda: loop.wake(task, token, loop.arrived_after() - start_us))
        return loop.park()

    assert loop.run(main) == expected_us
    assert not scripted_poll.script


def test_virtual_clock_advance_counts_as_a_stall_only_if_a_test_makes_it() -> None:
    clock = VirtualClock()
    loop = Loop(clock)

    def main() -> list[int]:
        local, peer = socket.socketpair()
        measured_stalls_us = []
        for stall_us, sleep_us in ((0, 0), (0, SECOND), (SECOND, 0)):
            loop.sleep(sleep_us)
            local.send(b"x")
            clock.advance_to(loop.now() + stall_us)
            loop.wait_readable(peer.fileno())
            peer.recv(1)
            measured_stalls_us.append(loop.now() - loop.arrived_after())
        loop.stop_watching(peer.fileno())
        close_all(local, peer)
        return measured_stalls_us

    assert loop.run(main) == [0, 0, SECOND]
