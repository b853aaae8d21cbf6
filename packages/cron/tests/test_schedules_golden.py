"""Names, jitter and owners of firings: a front end of another version names and times them alike."""

from __future__ import annotations

from itertools import islice
from pathlib import Path

from golden_files import assert_as_golden, json_lines
from walnutpost.cron import Missed, Overlap, Schedule, execution_name, fires_at, owner_of
from walnutpost.cron.schedule import due_times

GOLDEN = Path(__file__).parent / "golden"
BEGIN = 1_774_000_000_000_000  # microseconds: some days before clocks in Dublin go forward
SCHEDULES = [
    Schedule("nightly", "30 1 * * *", "Europe/Dublin", "price", "tills", b"{}", 60, jitter=1_800_000_000),
    Schedule("often", "*/20 * * * *", "UTC", "price", None, b"null", 60, jitter=7),
    Schedule("on-a-day", "0 9 1-7 * mon", "America/New_York", "price", None, b"1", 60, owner=2),
]


def told(schedule: Schedule) -> dict[str, object]:
    dues = list(islice(due_times(schedule, BEGIN), 12))
    return {
        "due": dues,
        "fires at": [fires_at(schedule, due) for due in dues],
        "executions": [execution_name(schedule.name, due) for due in dues],
        "owner of 1 to 9 front ends": [owner_of(schedule, count) for count in range(1, 10)],
    }


def golden_files() -> dict[Path, bytes]:
    found: dict[str, object] = {schedule.name: told(schedule) for schedule in SCHEDULES}
    found["missed"] = [word.value for word in Missed]
    found["overlap"] = [word.value for word in Overlap]
    return {GOLDEN / "firings.json": json_lines(found)}


def test_firings_are_named_timed_and_owned_as_before() -> None:
    assert_as_golden(golden_files())
