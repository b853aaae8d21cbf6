"""A schedule: its due times, jitter, owning front end, and the execution names of its firings.

Times are microseconds since the epoch. A due time is a full minute that the cron expression matches. The
fire time is the due time plus the jitter.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from hashlib import blake2b
from zoneinfo import ZoneInfo

from cronsim import CronSim, CronSimError

from walnutpost.cron.errors import InvalidScheduleError

SECOND_US = 1_000_000
HOUR_US = 3600 * SECOND_US
CRON_FIELD_COUNT = 5
HASH_BYTES = 8
# `check_cron` searches for a first due time from here on. Any date works.
VALIDATION_START = datetime(2024, 1, 1, tzinfo=UTC)


class MissedPolicy(Enum):
    """How to handle due times that passed while the front end was not running."""

    SKIP = "skip"
    ONCE = "once"  # fire the latest one that is not too old
    ALL = "all"  # fire each one that is not too old


class OverlapPolicy(Enum):
    """How to handle a due time if an earlier firing is still running."""

    ALLOW = "allow"
    FORBID = "forbid"  # skip the due time
    REPLACE = "replace"  # stop the earlier firing


@dataclass(frozen=True, slots=True)
class Schedule:
    """A cron schedule and the call that it makes.

    Each firing is delayed by less than `jitter_us`, unless that is 0. `owner_index` is the index of the front
    end that fires the schedule, if one is configured. `is_unsafe` is true if running the function twice may
    do harm.
    """

    name: str
    cron: str
    zone: str
    function: str
    tenant: str | None
    payload: bytes
    deadline_us: int
    jitter_us: int = 0
    missed_policy: MissedPolicy = MissedPolicy.SKIP
    max_missed_age_us: int = HOUR_US
    overlap_policy: OverlapPolicy = OverlapPolicy.ALLOW
    is_paused: bool = False
    owner_index: int | None = None
    is_unsafe: bool = False


def check_zone(name: str) -> ZoneInfo:
    """Return the time zone. Raises InvalidScheduleError if the name is not in the IANA database."""
    try:
        return ZoneInfo(name)
    except (OSError, ValueError, LookupError):
        raise InvalidScheduleError(name, f"an IANA time zone such as Europe/Dublin, not {name!r}") from None


def check_cron(expression: str) -> None:
    """Raise InvalidScheduleError unless the expression has five valid fields and matches at least one date.

    Fields may contain names, lists, ranges and steps.
    """
    field_count = len(expression.split())
    if field_count != CRON_FIELD_COUNT:
        raise InvalidScheduleError(expression, f"a cron expression of five fields, not {field_count}")
    try:
        next(CronSim(expression, VALIDATION_START))
    except CronSimError as error:
        raise InvalidScheduleError(expression, f"a cron expression of five fields: {error}") from None
    except StopIteration:
        raise InvalidScheduleError(expression, "a cron expression that matches at least one date") from None


def iterate_due_times(schedule: Schedule, after_us: int) -> Iterator[int]:
    """Yield the due times later than `after_us`, in order.

    Daylight saving time follows the rules of Debian's cron. A schedule with fixed times runs once: at the
    change if its local time does not exist, and at the first of two occurrences if its local time occurs
    twice. A schedule for every hour, or with hour steps, follows elapsed time.
    """
    start = datetime.fromtimestamp(after_us // SECOND_US, check_zone(schedule.zone))
    for moment in CronSim(schedule.cron, start):
        due_us = int(moment.timestamp()) * SECOND_US
        if due_us > after_us:
            yield due_us


def compute_fire_time_us(schedule: Schedule, due_us: int) -> int:
    """Return the due time plus the jitter. A restart does not change the jitter of a due time."""
    if schedule.jitter_us <= 0:
        return due_us
    return due_us + _hash("jitter", schedule.name, due_us) % schedule.jitter_us


def select_owner(schedule: Schedule, front_end_count: int) -> int:
    """Return the index of the front end that fires the schedule.

    If no owner is configured, rendezvous hashing chooses one, so that few schedules move when the number of
    front ends changes.
    """
    if schedule.owner_index is not None:
        return schedule.owner_index
    return max(range(front_end_count), key=lambda index: _hash("owner", schedule.name, index))


def format_execution_name(schedule_name: str, due_us: int) -> str:
    """Return the execution name of a firing. Seconds are enough because due times are full minutes."""
    return f"cron-{schedule_name}-{due_us // SECOND_US}"


def _hash(*parts: object) -> int:
    text = "\0".join(map(str, parts))
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")
