"""One schedule: its due times, its jitter, its owner, the names of its firings.

Times are microseconds since the epoch. A due time is a full minute at which the cron expression matches;
the fire time is the due time and the jitter.
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
# From here on an expression is searched for its first due time. Any date does.
CHECK_START = datetime(2024, 1, 1, tzinfo=UTC)


class MissedPolicy(Enum):
    """What is done about due times that passed while the front end was not running."""

    SKIP = "skip"
    ONCE = "once"  # the latest one that is not too old is fired
    ALL = "all"  # each one that is not too old is fired


class OverlapPolicy(Enum):
    """What is done about a due time while an earlier firing is still running."""

    ALLOW = "allow"
    FORBID = "forbid"  # the due time is skipped
    REPLACE = "replace"  # the earlier firing is stopped


@dataclass(frozen=True, slots=True)
class Schedule:
    """A cron schedule and the call that it fires.

    Firings are spread over `jitter_us`. `owner_index` is the front end that fires it, if configured.
    `is_unsafe`: a second run of the function may do harm.
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
    """Return the time zone; raise InvalidScheduleError if the IANA database has none of that name."""
    try:
        return ZoneInfo(name)
    except (OSError, ValueError, LookupError):
        raise InvalidScheduleError(name, f"an IANA time zone as Europe/Dublin, not {name!r}") from None


def check_cron(expression: str) -> None:
    """Raise InvalidScheduleError unless it has five fields and matches some day.

    Fields may have names, lists, ranges and steps.
    """
    field_count = len(expression.split())
    if field_count != CRON_FIELD_COUNT:
        raise InvalidScheduleError(expression, f"a cron expression of five fields, not {field_count}")
    try:
        next(CronSim(expression, CHECK_START))
    except CronSimError as error:
        raise InvalidScheduleError(expression, f"a cron expression of five fields: {error}") from None
    except StopIteration:
        raise InvalidScheduleError(expression, "a cron expression that comes due some day") from None


def iterate_due_times(schedule: Schedule, after_us: int) -> Iterator[int]:
    """Return the due times later than `after_us`, in order.

    Changes to and from daylight saving time are treated as by Debian's cron: a schedule at fixed times
    runs once, at the change if its time does not exist, at the first of two if its time comes twice; a
    schedule for every hour or with steps of hours follows real time.
    """
    start = datetime.fromtimestamp(after_us // SECOND_US, check_zone(schedule.zone))
    for moment in CronSim(schedule.cron, start):
        due_us = int(moment.timestamp()) * SECOND_US
        if due_us > after_us:
            yield due_us


def compute_fire_time_us(schedule: Schedule, due_us: int) -> int:
    """Return the due time and its jitter: the same for a schedule and due time at each start."""
    if schedule.jitter_us <= 0:
        return due_us
    return due_us + _hash("jitter", schedule.name, due_us) % schedule.jitter_us


def select_owner(schedule: Schedule, front_end_count: int) -> int:
    """Return the index of the front end that fires the schedule.

    Without a configured one it is chosen by rendezvous hashing, so that few schedules move when the number
    of front ends changes.
    """
    if schedule.owner_index is not None:
        return schedule.owner_index
    return max(range(front_end_count), key=lambda index: _hash("owner", schedule.name, index))


def format_execution_name(schedule_name: str, due_us: int) -> str:
    """Return the execution name of one firing. Seconds are enough, since due times are full minutes."""
    return f"cron-{schedule_name}-{due_us // SECOND_US}"


def _hash(*parts: object) -> int:
    text = "\0".join(map(str, parts))
    return int.from_bytes(blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")
