"""The planner: due times, missed ones, overlaps, jumps of the clock; each due time gets one decision."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import datetime
from itertools import islice
from random import Random
from typing import Any
from zoneinfo import ZoneInfo

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.cron import (
    BadSchedule,
    Fire,
    Missed,
    Overlap,
    Planner,
    Schedule,
    Skip,
    check_cron,
    check_zone,
    due_times,
    fires_at,
    owner_of,
)

SECOND = 1_000_000
MINUTE, HOUR, DAY = 60 * SECOND, 3600 * SECOND, 86_400 * SECOND
START = 1_800_000_000 * SECOND  # 2027-01-15T08:00:00Z
EVERY_MINUTE = Schedule("m", "* * * * *", "UTC", "f", None, b"1", HOUR)


def at(text: str, zone: str) -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone)).timestamp()) * SECOND


def following(cron: str, zone: str, after: str, count: int) -> list[str]:
    schedule = replace(EVERY_MINUTE, cron=cron, zone=zone)
    dues = islice(due_times(schedule, at(after, zone)), count)
    return [datetime.fromtimestamp(due / SECOND, ZoneInfo(zone)).isoformat() for due in dues]


CLOCKS = [
    # A time that does not exist runs at the change, once; one that comes twice runs at the first.
    (
        "30 1 * * *",
        "Europe/Dublin",
        "2027-03-27T12:00",
        ["2027-03-28T02:00:00+01:00", "2027-03-29T01:30:00+01:00"],
    ),
    (
        "30 1 * * *",
        "Europe/Dublin",
        "2027-10-30T12:00",
        ["2027-10-31T01:30:00+01:00", "2027-11-01T01:30:00+00:00"],
    ),
    (
        "30 3 * * *",
        "Europe/Sofia",
        "2027-03-27T12:00",
        ["2027-03-28T04:00:00+03:00", "2027-03-29T03:30:00+03:00"],
    ),
    (
        "30 3 * * *",
        "Europe/Sofia",
        "2027-10-30T12:00",
        ["2027-10-31T03:30:00+03:00", "2027-11-01T03:30:00+02:00"],
    ),
    (
        "15 2 * * *",
        "America/St_Johns",
        "2027-03-13T12:00",
        ["2027-03-14T03:00:00-02:30", "2027-03-15T02:15:00-02:30"],
    ),
    (
        "15 1 * * *",
        "America/St_Johns",
        "2027-11-06T12:00",
        ["2027-11-07T01:15:00-02:30", "2027-11-08T01:15:00-03:30"],
    ),
    # Every hour, or steps of it, follows real time through both.
    (
        "0 * * * *",
        "Europe/Dublin",
        "2027-10-31T00:30",
        ["2027-10-31T01:00:00+01:00", "2027-10-31T01:00:00+00:00"],
    ),
    (
        "0 * * * *",
        "Europe/Dublin",
        "2027-03-28T00:30",
        ["2027-03-28T02:00:00+01:00", "2027-03-28T03:00:00+01:00"],
    ),
    ("0 9 29 2 *", "UTC", "2027-01-01T00:00", ["2028-02-29T09:00:00+00:00", "2032-02-29T09:00:00+00:00"]),
    ("0 9 * jan mon", "UTC", "2027-01-01T00:00", ["2027-01-04T09:00:00+00:00", "2027-01-11T09:00:00+00:00"]),
]


@pytest.mark.parametrize(("cron", "zone", "after", "wanted"), CLOCKS)
def test_due_times_through_changes_of_the_clocks(cron: str, zone: str, after: str, wanted: list[str]) -> None:
    assert following(cron, zone, after, len(wanted)) == wanted


@pytest.mark.parametrize(
    "cron", ["", "* * * *", "* * * * * *", "60 * * * *", "* * 30 2 *", "a * * * *", "*/0 * * * *"]
)
def test_what_is_no_cron_expression(cron: str) -> None:
    with pytest.raises(BadSchedule):
        check_cron(cron)


@pytest.mark.parametrize("zone", ["", "Europe/Nowhere", "../etc", "UTC+1:30"])
def test_what_is_no_zone(zone: str) -> None:
    with pytest.raises(BadSchedule):
        check_zone(zone)


def told(decisions: list[Any]) -> list[tuple[str, int, int]]:
    """What was decided, with minutes since the start and how many due times it is for."""
    return [
        ("fire" if isinstance(d, Fire) else "skip", (d.due - START) // MINUTE, getattr(d, "count", 1))
        for d in decisions
    ]


MISSED = [
    ({}, [("skip", 1, 8), ("fire", 9, 1), ("fire", 10, 1)]),
    ({"missed": Missed.ONCE}, [("skip", 1, 7), ("fire", 8, 1), ("fire", 9, 1), ("fire", 10, 1)]),
    (
        {"missed": Missed.ALL, "missed_age": 4 * MINUTE},
        [("skip", 1, 5), *(("fire", n, 1) for n in range(6, 11))],
    ),
    ({"missed": Missed.ONCE, "missed_age": MINUTE}, [("skip", 1, 8), ("fire", 9, 1), ("fire", 10, 1)]),
    ({"missed": Missed.ALL, "paused": True}, [("skip", 1, 10)]),
]


@pytest.mark.parametrize(("changes", "wanted"), MISSED)
def test_what_becomes_of_missed_ones(changes: dict[str, Any], wanted: list[Any]) -> None:
    """Ten minutes pass unseen, as in a suspended machine; the last minute is on time."""
    planner = Planner([replace(EVERY_MINUTE, **changes)], {"m": START}, START)
    assert told(planner.plan(START + 10 * MINUTE)) == wanted
    assert planner.plan(START + 10 * MINUTE) == []


OVERLAPS = [
    (Overlap.ALLOW, ["fire", "fire", "fire"], ()),
    (Overlap.FORBID, ["fire", "skip", "fire"], ()),
    (Overlap.REPLACE, ["fire", "fire", "fire"], (START + MINUTE,)),
]


@pytest.mark.parametrize(("overlap", "wanted", "stops"), OVERLAPS)
def test_an_overrun_of_a_schedule_longer_than_its_period(
    overlap: Overlap, wanted: list[str], stops: Any
) -> None:
    planner = Planner([replace(EVERY_MINUTE, overlap=overlap)], {}, START)
    first = planner.plan(START + MINUTE)
    second = planner.plan(START + 2 * MINUTE)
    assert isinstance(second[0], Skip) or second[0].stop == stops
    for due in (1, 2):
        planner.ended("m", START + due * MINUTE)
    third = planner.plan(START + 3 * MINUTE)
    assert [kind for kind, _, _ in told([*first, *second, *third])] == wanted


def test_a_clock_that_steps_back_fires_nothing_again() -> None:
    planner = Planner([EVERY_MINUTE], {}, START)
    assert len(planner.plan(START + MINUTE)) == 1
    assert planner.plan(START - HOUR) == []
    assert planner.plan(START + MINUTE) == []
    again = Planner([EVERY_MINUTE], planner.marks, START - HOUR)
    assert again.plan(START + MINUTE) == [] and told(again.plan(START + 2 * MINUTE)) == [("fire", 2, 1)]


def test_a_clock_a_day_ahead_is_a_day_missed_in_one_entry() -> None:
    planner = Planner([EVERY_MINUTE], {}, START)
    decided = told(planner.plan(START + DAY))
    assert decided == [("skip", 1, 1438), ("fire", 1439, 1), ("fire", 1440, 1)]


def test_many_that_are_due_together_can_be_decided_on_in_parts() -> None:
    planner = Planner([replace(EVERY_MINUTE, name=f"s{n}") for n in range(10)], {}, START)
    parts = []
    while (upcoming := planner.next()) is not None and upcoming <= START + MINUTE:
        parts.append(planner.plan(START + MINUTE, 4))
    assert [len(part) for part in parts] == [4, 4, 2]
    assert len({d.schedule.name for part in parts for d in part}) == 10


def test_a_reload_while_a_firing_is_out() -> None:
    other = replace(EVERY_MINUTE, name="other")
    planner = Planner([EVERY_MINUTE, other], {}, START)
    planner.plan(START + MINUTE)
    changed = replace(EVERY_MINUTE, cron="*/2 * * * *", overlap=Overlap.FORBID)
    planner.replace([changed, replace(other, name="new")], START + MINUTE + SECOND)
    assert told(planner.plan(START + 3 * MINUTE)) == [("skip", 2, 1), ("fire", 2, 1), ("fire", 3, 1)]
    planner.ended("m", START + MINUTE)
    assert [d.schedule.name for d in planner.plan(START + 4 * MINUTE)] == ["m", "new"]


def test_an_older_copy_of_the_state_fires_no_unsafe_function_again() -> None:
    unsafe = replace(EVERY_MINUTE, name="u", unsafe=True, missed=Missed.ALL)
    safe = replace(unsafe, name="s", unsafe=False)
    marks = {"u": START, "s": START}
    planner = Planner([unsafe, safe], marks, START + 5 * MINUTE, doubtful=START + 3 * MINUTE)
    decided = planner.plan(START + 5 * MINUTE)
    fired = Counter(d.schedule.name for d in decided if isinstance(d, Fire))
    assert fired == {"u": 2, "s": 5}
    assert [(d.count, d.why) for d in decided if isinstance(d, Skip)] == [
        (3, "the state is an older copy: it may have been fired")
    ]


def test_jitter_and_owners_are_the_same_at_each_start_and_spread() -> None:
    spread = replace(EVERY_MINUTE, jitter=30 * SECOND)
    offsets = [fires_at(spread, START + n * MINUTE) - START - n * MINUTE for n in range(200)]
    assert offsets == [fires_at(spread, START + n * MINUTE) - START - n * MINUTE for n in range(200)]
    assert 0 <= min(offsets) < 2 * SECOND and 28 * SECOND < max(offsets) < 30 * SECOND
    lines = [replace(EVERY_MINUTE, name=f"s{n}") for n in range(600)]
    three = [owner_of(s, 3) for s in lines]
    assert all(150 < three.count(index) < 250 for index in range(3))
    moved = sum(a != b for a, b in zip(three, (owner_of(s, 4) for s in lines), strict=True))
    assert moved < 200  # a quarter, not three quarters, go to the fourth
    assert owner_of(replace(EVERY_MINUTE, owner=2), 3) == 2


def random_cron(rng: Random) -> tuple[str, Any]:
    """An expression and the sets that its fields stand for; None is any."""

    def field(low: int, high: int, dense: float) -> tuple[str, set[int] | None]:
        kind = rng.random()
        if kind < dense:
            return "*", None
        if kind < dense + 0.15:
            step = rng.randint(2, (high - low) // 2)
            return f"*/{step}", set(range(low, high + 1, step))
        if kind < dense + 0.3:
            a, b = sorted(rng.sample(range(low, high + 1), 2))
            return f"{a}-{b}", set(range(a, b + 1))
        some = sorted(rng.sample(range(low, high + 1), rng.randint(1, 3)))
        return ",".join(map(str, some)), set(some)

    parts = [field(0, 59, 0.05), field(0, 23, 0.3), field(1, 31, 0.6), field(1, 12, 0.6), field(0, 6, 0.6)]
    starred = any(parts[place][0].startswith("*") for place in (2, 4))
    return " ".join(text for text, _ in parts), ([values for _, values in parts], starred)


def brute_force(sets: Any, start: int, end: int) -> set[int]:
    """Minute by minute. Both day fields must fit, but either will do where neither begins with a star."""
    out = set()
    (minutes, hours, days, months, weekdays), starred = sets
    for now in range(start, end, MINUTE):
        moment = datetime.fromtimestamp(now / SECOND, ZoneInfo("UTC"))
        if (minutes is not None and moment.minute not in minutes) or (
            hours is not None and moment.hour not in hours
        ):
            continue
        if months is not None and moment.month not in months:
            continue
        day = days is None or moment.day in days
        weekday = weekdays is None or moment.isoweekday() % 7 in weekdays
        if (day and weekday) if starred else (day or weekday):
            out.add(now)
    return out


def live_through(schedule: Schedule, start: int, end: int, rng: Random) -> Counter[int]:
    """How often each due time got a fate, with restarts and pauses of looking at random points; state
    that a crash lost is decided again, as what was not committed is."""
    fates: Counter[int] = Counter()
    marks = {schedule.name: start}
    planner, now = Planner([schedule], marks, start), start
    while now < end:
        now = min(end, now + rng.choice([30 * SECOND, MINUTE, HOUR, 7 * HOUR, 3 * DAY]))
        if rng.random() < 0.3:
            planner = Planner([schedule], marks, now)
        decisions = planner.plan(now)
        if rng.random() < 0.1:  # dies before the commit
            planner = Planner([schedule], marks, now)
            continue
        for d in decisions:
            if isinstance(d, Fire):
                fates[d.due] += 1
                planner.ended(schedule.name, d.due)
            else:
                fates.update(due for due in islice(due_times(schedule, d.due - 1), d.count))
                assert d.last == max(due for due in islice(due_times(schedule, d.due - 1), d.count))
        marks = dict(planner.marks)
    for d in Planner([schedule], marks, now).plan(now):  # what the last death left
        fates.update(due for due in islice(due_times(schedule, d.due - 1), getattr(d, "count", 1)))
    return fates


@settings(deadline=None, max_examples=60)
@given(st.integers(0, 10_000), st.sampled_from(Missed), st.sampled_from(Overlap))
def test_each_due_time_gets_one_fate_whatever_restarts(seed: int, missed: Missed, overlap: Overlap) -> None:
    rng = Random(seed)
    cron, sets = random_cron(rng)
    try:
        check_cron(cron)
    except BadSchedule:
        return  # never comes due
    start = START + rng.randrange(300) * DAY // MINUTE * MINUTE
    schedule = replace(EVERY_MINUTE, cron=cron, missed=missed, overlap=overlap)
    fates = live_through(schedule, start, start + 3 * DAY, rng)
    assert set(fates) == brute_force(sets, start + MINUTE, start + 3 * DAY + 1)
    assert set(fates.values()) <= {1}
