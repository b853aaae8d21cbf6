"""`Timers` in isolation: the order of due timers, replacement by an earlier time, and arming."""

from __future__ import annotations

from random import Random

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.timers import TIMER_TOKEN, TimerKind, Timers
from walnutpost.testsupport.policy.harness import SETTINGS

NOW_US = 1_000_000
TICK_US = SETTINGS.tick_us
KINDS_IN_ORDER = [
    TimerKind.REQUEST_DEADLINE,
    TimerKind.WATCH_ENDPOINTS,
    TimerKind.REFRESH_COPIES,
    TimerKind.RELEASE_QUEUED,
    TimerKind.CHECK_WORKER,
]


def make_timers(now_us: int = NOW_US) -> tuple[DecisionContext, Timers]:
    """Return timers and the context that holds their clock and their actions."""
    context = DecisionContext(SETTINGS, seed=1)
    context.begin_event(now_us)
    return context, Timers(context)


def test_timers_due_at_the_same_time_run_by_kind_and_then_by_subject() -> None:
    context, timers = make_timers()
    expected = [(kind, subject) for kind in KINDS_IN_ORDER for subject in (3, 8)]
    for kind, subject in Random(4).sample(expected, len(expected)):
        timers.schedule(NOW_US + 2 * TICK_US, kind, subject)
    context.begin_event(NOW_US + 2 * TICK_US)
    assert list(timers.pop_due()) == expected
    assert sorted(TimerKind) == KINDS_IN_ORDER


def test_only_an_earlier_time_replaces_a_scheduled_one() -> None:
    context, timers = make_timers()
    for ticks in (5, 3, 9):
        timers.schedule(NOW_US + ticks * TICK_US, TimerKind.CHECK_WORKER, 1)
    context.begin_event(NOW_US + 3 * TICK_US)
    assert list(timers.pop_due()) == [(TimerKind.CHECK_WORKER, 1)]
    context.begin_event(NOW_US + 20 * TICK_US)
    assert not list(timers.pop_due())


def test_timer_for_a_past_time_is_due_in_one_tick() -> None:
    context, timers = make_timers()
    timers.schedule(0, TimerKind.RELEASE_QUEUED, 1)
    assert not list(timers.pop_due())
    timers.arm()
    assert context.actions == [api.SetTimer(TICK_US, TIMER_TOKEN)]


def test_an_armed_timer_is_replaced_only_by_an_earlier_one() -> None:
    context, timers = make_timers()
    timers.schedule(NOW_US + 9 * TICK_US, TimerKind.RELEASE_QUEUED, 1)
    timers.arm()
    timers.schedule(NOW_US + 12 * TICK_US, TimerKind.RELEASE_QUEUED, 2)
    timers.arm()
    timers.schedule(NOW_US + 4 * TICK_US, TimerKind.RELEASE_QUEUED, 3)
    timers.arm()
    assert context.actions == [api.SetTimer(ticks * TICK_US, TIMER_TOKEN) for ticks in (9, 4)]
