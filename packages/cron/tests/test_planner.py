"""Tests of the planner: on-time, missed and overlapping due times, clock jumps, and restarts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.cron import (
    Decision,
    Fire,
    InvalidScheduleError,
    MissedPolicy,
    OverlapPolicy,
    Planner,
    Skip,
    SkipReason,
    check_cron,
)
from walnutpost.testsupport.cron.fixtures import (
    DAY_US,
    EVERY_MINUTE,
    HOUR_US,
    MINUTE_US,
    SECOND_US,
    START_US,
    count_decisions,
    find_matching_minutes,
    make_random_cron,
)


def summarize(decisions: Sequence[Decision]) -> list[tuple[str, int, int]]:
    """Return the kind, due time in minutes after START_US, and number of due times of each decision."""
    return [
        (
            "fire" if isinstance(decision, Fire) else "skip",
            (decision.due_us - START_US) // MINUTE_US,
            decision.count if isinstance(decision, Skip) else 1,
        )
        for decision in decisions
    ]


MISSED_CASES = [
    ({}, [("skip", 1, 8), ("fire", 9, 1), ("fire", 10, 1)]),
    ({"missed_policy": MissedPolicy.ONCE}, [("skip", 1, 7), ("fire", 8, 1), ("fire", 9, 1), ("fire", 10, 1)]),
    (
        {"missed_policy": MissedPolicy.ALL, "max_missed_age_us": 4 * MINUTE_US},
        [("skip", 1, 5), *(("fire", n, 1) for n in range(6, 11))],
    ),
    (
        {"missed_policy": MissedPolicy.ONCE, "max_missed_age_us": MINUTE_US},
        [("skip", 1, 8), ("fire", 9, 1), ("fire", 10, 1)],
    ),
    ({"missed_policy": MissedPolicy.ALL, "is_paused": True}, [("skip", 1, 10)]),
]


@pytest.mark.parametrize(("changes", "expected"), MISSED_CASES)
def test_missed_due_times_are_skipped_or_fired_by_policy(
    changes: dict[str, Any], expected: list[Any]
) -> None:
    """Ten minutes pass at once, as when the machine is suspended. The last minute is on time."""
    planner = Planner([replace(EVERY_MINUTE, **changes)], {"m": START_US}, START_US)
    assert summarize(planner.decide(START_US + 10 * MINUTE_US)) == expected
    assert planner.decide(START_US + 10 * MINUTE_US) == []


OVERLAP_CASES = [
    (OverlapPolicy.ALLOW, ["fire", "fire", "fire"], ()),
    (OverlapPolicy.FORBID, ["fire", "skip", "fire"], ()),
    (OverlapPolicy.REPLACE, ["fire", "fire", "fire"], (START_US + MINUTE_US,)),
]


@pytest.mark.parametrize(("overlap_policy", "expected", "expected_stop_us"), OVERLAP_CASES)
def test_due_time_during_a_running_firing_follows_overlap_policy(
    overlap_policy: OverlapPolicy, expected: list[str], expected_stop_us: tuple[int, ...]
) -> None:
    planner = Planner([replace(EVERY_MINUTE, overlap_policy=overlap_policy)], {}, START_US)
    first = planner.decide(START_US + MINUTE_US)
    second = planner.decide(START_US + 2 * MINUTE_US)
    assert isinstance(second[0], Skip) or second[0].stop_due_us == expected_stop_us
    for minute in (1, 2):
        planner.mark_ended("m", START_US + minute * MINUTE_US)
    third = planner.decide(START_US + 3 * MINUTE_US)
    assert [kind for kind, _, _ in summarize([*first, *second, *third])] == expected


def test_clock_stepping_back_does_not_fire_a_due_time_again() -> None:
    planner = Planner([EVERY_MINUTE], {}, START_US)
    assert len(planner.decide(START_US + MINUTE_US)) == 1
    assert planner.decide(START_US - HOUR_US) == []
    assert planner.decide(START_US + MINUTE_US) == []
    restarted = Planner([EVERY_MINUTE], planner.last_decided_us, START_US - HOUR_US)
    assert restarted.decide(START_US + MINUTE_US) == []
    assert summarize(restarted.decide(START_US + 2 * MINUTE_US)) == [("fire", 2, 1)]


def test_clock_stepping_a_day_ahead_skips_the_missed_day_in_one_decision() -> None:
    planner = Planner([EVERY_MINUTE], {}, START_US)
    summary = summarize(planner.decide(START_US + DAY_US))
    assert summary == [("skip", 1, 1438), ("fire", 1439, 1), ("fire", 1440, 1)]


def test_schedules_due_together_are_decided_in_batches_of_the_given_size() -> None:
    planner = Planner([replace(EVERY_MINUTE, name=f"s{n}") for n in range(10)], {}, START_US)
    batches = []
    while (next_us := planner.next_fire_time_us()) is not None and next_us <= START_US + MINUTE_US:
        batches.append(planner.decide(START_US + MINUTE_US, 4))
    assert [len(batch) for batch in batches] == [4, 4, 2]
    assert len({decision.schedule.name for batch in batches for decision in batch}) == 10


def test_replacing_schedules_keeps_firings_running() -> None:
    other = replace(EVERY_MINUTE, name="other")
    planner = Planner([EVERY_MINUTE, other], {}, START_US)
    planner.decide(START_US + MINUTE_US)
    changed = replace(EVERY_MINUTE, cron="*/2 * * * *", overlap_policy=OverlapPolicy.FORBID)
    planner.replace_schedules([changed, replace(other, name="new")], START_US + MINUTE_US + SECOND_US)
    summary = summarize(planner.decide(START_US + 3 * MINUTE_US))
    assert summary == [("skip", 2, 1), ("fire", 2, 1), ("fire", 3, 1)]
    planner.mark_ended("m", START_US + MINUTE_US)
    decisions = planner.decide(START_US + 4 * MINUTE_US)
    assert [decision.schedule.name for decision in decisions] == ["m", "new"]


def test_state_from_an_older_copy_does_not_fire_unsafe_functions_again() -> None:
    unsafe = replace(EVERY_MINUTE, name="u", is_unsafe=True, missed_policy=MissedPolicy.ALL)
    safe = replace(unsafe, name="s", is_unsafe=False)
    last_decided_us = {"u": START_US, "s": START_US}
    now_us = START_US + 5 * MINUTE_US
    planner = Planner([unsafe, safe], last_decided_us, now_us, uncertain_until_us=START_US + 3 * MINUTE_US)
    decisions = planner.decide(now_us)
    fired = Counter(decision.schedule.name for decision in decisions if isinstance(decision, Fire))
    assert fired == {"u": 2, "s": 5}
    skipped = [(skip.count, skip.reason) for skip in decisions if isinstance(skip, Skip)]
    assert skipped == [(3, SkipReason.UNCERTAIN)]
    assert SkipReason.UNCERTAIN.value == "the state is an older copy: it may have been fired"


@settings(deadline=None, max_examples=60)
@given(st.integers(0, 10_000), st.sampled_from(MissedPolicy), st.sampled_from(OverlapPolicy))
def test_each_due_time_is_decided_once_across_random_restarts(
    seed: int, missed_policy: MissedPolicy, overlap_policy: OverlapPolicy
) -> None:
    rng = Random(seed)
    cron, fields = make_random_cron(rng)
    try:
        check_cron(cron)
    except InvalidScheduleError:
        return  # never comes due
    start_us = START_US + rng.randrange(300) * DAY_US // MINUTE_US * MINUTE_US
    schedule = replace(EVERY_MINUTE, cron=cron, missed_policy=missed_policy, overlap_policy=overlap_policy)
    decision_counts = count_decisions(schedule, start_us, start_us + 3 * DAY_US, rng)
    assert set(decision_counts) == find_matching_minutes(
        fields, start_us + MINUTE_US, start_us + 3 * DAY_US + 1
    )
    assert set(decision_counts.values()) <= {1}
