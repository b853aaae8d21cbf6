"""The timer wheel and the heap that the benchmark compares it with fulfil the same contract."""

from __future__ import annotations

from functools import partial
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from benchmarks.heap_timers import HeapTimers
from walnutpost.eventloop.timers import TICK_US, Timer, TimerWheel

STEP = st.tuples(st.sampled_from(["add", "cancel", "pass"]), st.integers(0, 40_000_000))


@given(st.lists(STEP, max_size=60))
def test_wheel_and_heap_hand_out_each_callback_once_and_in_time(steps: list[tuple[str, int]]) -> None:
    for make, slack_us in ((HeapTimers, 0), (TimerWheel, TICK_US)):
        now, fired, expected = 1_000_000, list[int](), dict[int, int]()
        timers: Any = make(now)
        added: list[Timer] = []
        for step, number in [*steps, ("pass", 41_000_000)]:
            if step == "add":
                ident = len(added)
                expected[ident] = now + number
                added.append(timers.add(now + number, partial(fired.append, ident)))
            elif step == "cancel" and added:
                added[number % len(added)].cancel()
                if number % len(added) not in fired:
                    expected.pop(number % len(added), None)
            else:
                now += number
                for callback in timers.pop_due(now):
                    callback()
                assert all(expected[i] <= now for i in fired)
                assert all(i in fired for i, due_us in expected.items() if due_us + slack_us < now)
                next_due_us = timers.next_due_us()
                pending = [due_us for i, due_us in expected.items() if i not in fired]
                assert (next_due_us is None) == (not pending)
                assert next_due_us is None or next_due_us <= min(pending) + slack_us
        assert sorted(fired) == sorted(expected)
        assert len(timers) == 0
