"""The scheduler: timers, waits and their interruption, fairness, signals, the helper thread."""

from __future__ import annotations

import os
import resource
import signal
import socket
import threading
from collections.abc import Callable
from functools import partial
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.heap_timers import HeapTimers
from walnutpost.eventloop import (
    BootTime,
    Cancelled,
    Event,
    Full,
    Group,
    Listener,
    Loop,
    Queue,
    Stream,
    Timeout,
    VirtualClock,
    connect,
)
from walnutpost.eventloop.scheduler import OPS_A_TURN, READ
from walnutpost.eventloop.timers import GRAIN, Timer, WheelTimers

SECOND = 1_000_000
LOCAL = ("127.0.0.1", 0)


def loop(errors: list[tuple[str, BaseException]] | None = None) -> Loop:
    return Loop(VirtualClock(), (lambda n, e: errors.append((n, e))) if errors is not None else None)


STEP = st.tuples(st.sampled_from(["add", "cancel", "pass"]), st.integers(0, 40_000_000))


@given(st.lists(STEP, max_size=60))
def test_both_timers_hand_out_each_callback_once_and_in_time(steps: list[tuple[str, int]]) -> None:
    for make, slack in ((HeapTimers, 0), (WheelTimers, GRAIN)):
        now, fired, wanted = 1_000_000, list[int](), dict[int, int]()
        timers: Any = make(now)
        known: list[Timer] = []
        for what, number in [*steps, ("pass", 41_000_000)]:
            if what == "add":
                ident = len(known)
                wanted[ident] = now + number
                known.append(timers.add(now + number, partial(fired.append, ident)))
            elif what == "cancel" and known:
                known[number % len(known)].cancel()
                if number % len(known) not in fired:
                    wanted.pop(number % len(known), None)
            else:
                now += number
                for callback in timers.due(now):
                    callback()
                assert all(wanted[i] <= now for i in fired)
                assert all(i in fired for i, when in wanted.items() if when + slack < now)
                upcoming = timers.next()
                left = [when for i, when in wanted.items() if i not in fired]
                assert (upcoming is None) == (not left)
                assert upcoming is None or upcoming <= min(left) + slack
        assert sorted(fired) == sorted(wanted) and len(timers) == 0


WAITS: dict[str, Callable[[Loop], object]] = {
    "sleep": lambda lo: lo.sleep(10 * SECOND),
    "queue get": lambda lo: Queue[int](lo, 1).get(),
    "event": lambda lo: Event(lo).wait(),
    "accept": lambda lo: Listener(lo, LOCAL).accept(),
    "join": lambda lo: lo.spawn(lo.sleep, 10 * SECOND).join(),
    "recv": lambda lo: connect(lo, (kept := Listener(lo, LOCAL)).address).recv() + bytes(kept.turned_away),
}


@pytest.mark.parametrize("name", WAITS)
def test_a_timeout_interrupts_any_wait(name: str) -> None:
    lo = loop()

    def main() -> int:
        began = lo.now()
        with pytest.raises(Timeout), lo.timeout(SECOND):
            WAITS[name](lo)
        return lo.now() - began

    assert lo.run(main) == SECOND


def test_an_outer_timeout_is_not_taken_for_the_inner_one() -> None:
    lo = loop()

    def main() -> str:
        try:
            with lo.timeout(SECOND) as outer, lo.timeout(5 * SECOND):
                lo.sleep(10 * SECOND)
        except Timeout as error:
            return "outer" if error is outer else "inner"
        return "none"

    assert lo.run(main) == "outer"


def test_a_timeout_that_fires_while_its_task_is_ready_leaves_nothing_behind() -> None:
    lo = loop()

    def main() -> None:
        event = Event(lo)
        lo.call_later(SECOND, event.set)
        with lo.timeout(SECOND):
            event.wait()
        lo.sleep(SECOND)  # would be thrown here

    lo.run(main)


def test_an_error_ends_its_own_task_alone_and_is_told() -> None:
    errors: list[tuple[str, BaseException]] = []
    lo = loop(errors)

    def fails() -> None:
        raise ValueError("mine")

    def main() -> str:
        lo.spawn(fails, name="bad")
        lo.call_later(0, fails)
        lo.sleep(SECOND)
        return "alive"

    assert lo.run(main) == "alive"
    assert sorted(name for name, _ in errors) == ["bad", "timer"]


def test_cancelling_ends_a_task_wherever_it_is() -> None:
    lo = loop()
    seen: list[str] = []

    def works() -> None:
        try:
            lo.sleep(SECOND)
        except Cancelled:
            seen.append("told")
            raise

    def main() -> None:
        unstarted, waiting = lo.spawn(works), lo.spawn(works)
        unstarted.cancel()
        lo.breathe()
        waiting.cancel()
        for task in (unstarted, waiting):
            with pytest.raises(Cancelled):
                task.join()
        with pytest.raises(ValueError), Group(lo) as group:
            group.spawn(works)
            lo.breathe()
            raise ValueError
        assert not len(group)

    lo.run(main)
    assert seen == ["told", "told"]


def test_a_queue_is_bounded() -> None:
    lo = loop()

    def main() -> list[int]:
        q = Queue[int](lo, 2)

        def fill() -> None:
            for i in range(5):
                q.put(i)

        lo.spawn(fill)
        lo.breathe()
        assert len(q) == 2
        with pytest.raises(Full):
            q.put_now(9)
        return [q.get() for _ in range(5)]

    assert lo.run(main) == [0, 1, 2, 3, 4]


def test_a_greedy_task_gives_way_to_accepts_and_timers() -> None:
    """Its socket calls always succeed; still others run after OPS_A_TURN of them at the most."""
    lo = Loop()
    turns: list[int] = []
    ops = [0]

    def greedy() -> None:
        left, right = socket.socketpair()
        left.setblocking(False), right.setblocking(False)  # type: ignore[func-returns-value]
        a, b = Stream(lo, left), Stream(lo, right)
        while len(turns) < 20:
            a.send_all(b"x")
            b.recv(1)
            ops[0] += 2
        a.close(), b.close()  # type: ignore[func-returns-value]

    def other() -> None:
        while len(turns) < 20:
            turns.append(ops[0])
            lo.breathe()

    def main() -> None:
        with Group(lo) as group:
            group.spawn(greedy)
            group.spawn(other)

    lo.run(main)
    assert max(b - a for a, b in pairwise(turns)) <= OPS_A_TURN + 2


def test_without_descriptors_callers_are_told_at_once_and_the_next_are_served() -> None:
    lo = Loop()

    def main() -> None:
        listener = Listener(lo, LOCAL)
        served: list[Stream] = []

        def accept() -> None:
            while True:
                served.append(listener.accept(b"sorry"))

        lo.spawn(accept)
        outside = socket.create_connection(listener.address)  # its descriptor is there before the shortage
        while not served:
            lo.sleep(1000)
        late = socket.socket()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        taken: list[int] = []
        try:
            top = max(int(fd) for fd in os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (top + 1, hard))
            with pytest.raises(OSError):
                while True:
                    taken.append(os.dup(0))
            late.connect(listener.address)
            while not listener.turned_away:
                lo.sleep(1000)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for fd in taken:
                os.close(fd)
        assert late.recv(10) == b"sorry" and late.recv(10) == b""
        after = socket.create_connection(listener.address)
        while len(served) < 2:
            lo.sleep(1000)
        for sock in (outside, late, after):
            sock.close()

    lo.run(main)


def test_signals_and_blocking_work_wake_the_loop() -> None:
    lo = Loop()
    order: list[int] = []

    def main() -> None:
        told = Event(lo)
        lo.on_signal(signal.SIGUSR1, told.set)
        os.kill(os.getpid(), signal.SIGUSR1)
        told.wait()
        gate = threading.Event()

        def held() -> None:
            gate.wait()
            order.append(1)

        first = lo.spawn(lo.blocking, held)
        second = lo.spawn(lo.blocking, order.append, 2)
        with pytest.raises(Timeout), lo.timeout(SECOND // 100):
            first.join()
        gate.set()
        second.join()
        with pytest.raises(ZeroDivisionError):
            lo.blocking(lambda: 1 // 0)

    lo.run(main)
    assert order == [1, 2]


def test_a_virtual_clock_waits_for_blocking_work() -> None:
    lo = loop()

    def main() -> int:
        lo.call_later(SECOND, lambda: None)
        began = lo.now()
        gate = threading.Event()
        threading.Timer(0.05, gate.set).start()
        lo.blocking(gate.wait)
        return lo.now() - began

    assert lo.run(main) == 0


def test_the_end_waits_for_the_helpers_last_job() -> None:
    """What jobs work on is closed right after; a store closed under a commit took the process with it."""
    lo = loop()
    gate, done = threading.Event(), list[str]()

    def job() -> None:
        gate.wait()
        done.append("job")

    def main() -> None:
        lo.spawn(lo.blocking, job)
        lo.breathe()
        lo.call_later(SECOND, lambda: None)
        threading.Timer(0.05, gate.set).start()

    lo.run(main)
    assert done == ["job"]


def test_an_event_of_a_closed_socket_is_none_of_the_one_that_got_its_number() -> None:
    """Two sockets fire in one round; the first one's callback closes the second, and opens another there."""
    loop, seen = Loop(VirtualClock()), list[str]()

    def body() -> None:
        pairs = [socket.socketpair() for _ in range(2)]
        fresh: list[socket.socket] = []

        def first() -> None:
            number = pairs[1][0].fileno()
            loop.forget(number)
            pairs[1][0].close()
            fresh.extend(socket.socketpair())
            assert fresh[0].fileno() == number
            loop.on_readable(number, lambda: seen.append(fresh[0].recv(9).decode()))

        for mine, other in pairs:
            mine.setblocking(False)
            other.send(b"old")
        loop.on_readable(pairs[0][0].fileno(), first)
        loop.on_readable(pairs[1][0].fileno(), lambda: None)
        loop.sleep(1000)
        assert seen == []
        fresh[1].send(b"new")
        loop.sleep(1000)
        for sock in (*pairs[0], pairs[1][1], *fresh):
            loop.forget(sock.fileno())
            sock.close()

    loop.run(body)
    assert seen == ["new"]


def test_a_wait_begun_by_the_callback_of_a_broken_socket_is_kept() -> None:
    loop, seen = Loop(VirtualClock()), list[str]()

    def body() -> None:
        mine, other = socket.socketpair()
        mine.setblocking(False)
        other.close()
        fd = mine.fileno()
        loop.on_writable(fd, lambda: loop.on_readable(fd, lambda: seen.append("ended")))
        loop.sleep(10_000)
        loop.forget(fd)
        mine.close()

    loop.run(body)
    assert seen == ["ended"]


def test_an_error_in_a_signals_callback_leaves_the_next_signal_heard() -> None:
    errors: list[BaseException] = []
    loop, heard = Loop(VirtualClock(), lambda name, error: errors.append(error)), list[int]()

    def odd() -> None:
        heard.append(1)
        raise KeyError("a configuration that nobody foresaw")

    def body() -> None:
        loop.on_signal(signal.SIGHUP, odd)
        for _ in range(2):
            os.kill(os.getpid(), signal.SIGHUP)
            loop.sleep(10_000)

    before = signal.getsignal(signal.SIGHUP)
    try:
        loop.run(body)
    finally:
        signal.signal(signal.SIGHUP, before)
    assert len(heard) == len(errors) == 2


# When what a poll reports may have come


class ManualClock:
    """Real time that moves only where a test moves it."""

    virtual = False

    def __init__(self) -> None:
        self.time = 100 * SECOND

    def now(self) -> int:
        return self.time

    def boot_time(self) -> BootTime:
        return BootTime("manual", self.time)

    def jump(self, to: int) -> None:
        self.time = to


BUSY, WATCHED = 6, 7  # descriptors
MS = 1000


class ScriptedPoll:
    """Stands for the kernel: each poll takes the time that the script says, and reports what it says."""

    def __init__(self, clock: ManualClock, script: list[tuple[int, list[int]]]) -> None:
        self._clock = clock
        self.script = script

    def register(self, fd: int, mask: int) -> None: ...

    modify = register

    def unregister(self, fd: int) -> None: ...

    def poll(self, timeout_ms: int | None) -> list[tuple[int, int]]:
        took, readable = self.script.pop(0)
        self._clock.time += took
        return [(fd, READ) for fd in readable]


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
def test_what_a_poll_reports_came_after_the_last_that_did_not(
    round_took: int, polls: list[tuple[int, list[int]]], came_after: int
) -> None:
    """`round_took`: between two polls. `polls`: those after it, how long each took and what it reported."""
    clock = ManualClock()
    lo = Loop(clock)
    began = clock.time
    kernel = ScriptedPoll(clock, [(0, []), (0, [BUSY]), *polls])
    lo._poll = kernel  # type: ignore[assignment]

    def busy() -> None:
        clock.time += round_took
        lo.call_later(100 * MS, lambda: None)

    def main() -> Any:
        task, token = lo.waiting()
        lo.on_readable(BUSY, busy)
        lo.on_readable(WATCHED, lambda: lo.wake(task, token, lo.arrived_after() - began))
        return lo.park()

    assert lo.run(main) == came_after
    assert not kernel.script


def test_a_virtual_clock_plays_a_stall_where_a_test_moves_it_and_none_where_it_jumps() -> None:
    clock = VirtualClock()
    lo = Loop(clock)

    def main() -> list[int]:
        left, right = socket.socketpair()
        seen = []
        for stall, sleep in ((0, 0), (0, SECOND), (SECOND, 0)):
            lo.sleep(sleep)
            left.send(b"x")
            clock.jump(lo.now() + stall)
            lo.wait_readable(right.fileno())
            right.recv(1)
            seen.append(lo.now() - lo.arrived_after())
        lo.forget(right.fileno())
        left.close(), right.close()  # type: ignore[func-returns-value]
        return seen

    assert lo.run(main) == [0, 0, SECOND]
