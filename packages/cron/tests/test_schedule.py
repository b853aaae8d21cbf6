"""Tests of schedules: due times across daylight saving changes, validation, jitter and owners."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime
from itertools import islice
from zoneinfo import ZoneInfo

import pytest

from walnutpost.cron import (
    InvalidScheduleError,
    check_cron,
    check_zone,
    compute_fire_time_us,
    iterate_due_times,
    select_owner,
)
from walnutpost.testsupport.cron.fixtures import EVERY_MINUTE, MINUTE_US, SECOND_US, START_US


def parse_epoch_us(text: str, zone: str) -> int:
    return round(datetime.fromisoformat(text).replace(tzinfo=ZoneInfo(zone)).timestamp()) * SECOND_US


def format_next_due_times(cron: str, zone: str, after: str, count: int) -> list[str]:
    schedule = replace(EVERY_MINUTE, cron=cron, zone=zone)
    due_times = islice(iterate_due_times(schedule, parse_epoch_us(after, zone)), count)
    return [datetime.fromtimestamp(due_us / SECOND_US, ZoneInfo(zone)).isoformat() for due_us in due_times]


DUE_TIME_CASES = [
    # A schedule runs once, at the change, if its local time does not exist, and at the first occurrence
    # if its local time occurs twice.
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
    # A schedule for every hour, or with hour steps, follows elapsed time across both changes.
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


@pytest.mark.parametrize(("cron", "zone", "after", "expected"), DUE_TIME_CASES)
def test_due_times_follow_daylight_saving_and_calendar(
    cron: str, zone: str, after: str, expected: list[str]
) -> None:
    assert format_next_due_times(cron, zone, after, len(expected)) == expected


@pytest.mark.parametrize(
    "cron", ["", "* * * *", "* * * * * *", "60 * * * *", "* * 30 2 *", "a * * * *", "*/0 * * * *"]
)
def test_invalid_cron_expression_raises(cron: str) -> None:
    with pytest.raises(InvalidScheduleError) as caught:
        check_cron(cron)
    assert caught.value.text == cron


@pytest.mark.parametrize("zone", ["", "Europe/Nowhere", "../etc", "UTC+1:30"])
def test_unknown_time_zone_raises(zone: str) -> None:
    with pytest.raises(InvalidScheduleError) as caught:
        check_zone(zone)
    assert caught.value.text == zone


def test_jitter_is_reproducible_and_spread_over_its_window() -> None:
    schedule = replace(EVERY_MINUTE, jitter_us=30 * SECOND_US)
    due_times = [START_US + minute * MINUTE_US for minute in range(200)]
    offsets = [compute_fire_time_us(schedule, due_us) - due_us for due_us in due_times]
    assert offsets == [compute_fire_time_us(schedule, due_us) - due_us for due_us in due_times]
    assert 0 <= min(offsets) < 2 * SECOND_US
    assert 28 * SECOND_US < max(offsets) < 30 * SECOND_US


def test_owners_are_balanced_and_few_move_when_a_front_end_is_added() -> None:
    schedules = [replace(EVERY_MINUTE, name=f"s{n}") for n in range(600)]
    owners_of_three = [select_owner(schedule, 3) for schedule in schedules]
    owners_of_four = [select_owner(schedule, 4) for schedule in schedules]
    assert owners_of_three == [select_owner(schedule, 3) for schedule in schedules]
    assert all(150 < owners_of_three.count(index) < 250 for index in range(3))
    moved = sum(before != after for before, after in zip(owners_of_three, owners_of_four, strict=True))
    # A quarter of the schedules move to the fourth front end, not three quarters.
    assert moved < 200


def test_configured_owner_overrides_hashing() -> None:
    assert select_owner(replace(EVERY_MINUTE, owner_index=2), 3) == 2
