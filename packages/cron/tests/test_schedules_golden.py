"""Golden test of firing names, jitter and owners, which must be the same in front ends of all versions."""

from __future__ import annotations

from itertools import islice
from pathlib import Path

from walnutpost.cron import (
    MissedPolicy,
    OverlapPolicy,
    Schedule,
    compute_fire_time_us,
    format_execution_name,
    iterate_due_times,
    select_owner,
)
from walnutpost.testsupport.golden.files import assert_as_golden, json_lines

GOLDEN = Path(__file__).parent / "golden"
START_US = 1_774_000_000_000_000  # a few days before daylight saving time starts in Dublin
SCHEDULES = [
    Schedule("nightly", "30 1 * * *", "Europe/Dublin", "price", "tills", b"{}", 60, jitter_us=1_800_000_000),
    Schedule("often", "*/20 * * * *", "UTC", "price", None, b"null", 60, jitter_us=7),
    Schedule("on-a-day", "0 9 1-7 * mon", "America/New_York", "price", None, b"1", 60, owner_index=2),
]


def describe(schedule: Schedule) -> dict[str, object]:
    due_times = list(islice(iterate_due_times(schedule, START_US), 12))
    return {
        "due": due_times,
        "fires at": [compute_fire_time_us(schedule, due_us) for due_us in due_times],
        "executions": [format_execution_name(schedule.name, due_us) for due_us in due_times],
        "owner of 1 to 9 front ends": [select_owner(schedule, count) for count in range(1, 10)],
    }


def golden_files() -> dict[Path, bytes]:
    values: dict[str, object] = {schedule.name: describe(schedule) for schedule in SCHEDULES}
    values["missed"] = [policy.value for policy in MissedPolicy]
    values["overlap"] = [policy.value for policy in OverlapPolicy]
    return {GOLDEN / "firings.json": json_lines(values)}


def test_firing_names_times_and_owners_match_the_golden_file() -> None:
    assert_as_golden(golden_files())
