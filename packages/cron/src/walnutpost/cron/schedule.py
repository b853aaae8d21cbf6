"""One schedule: its due times, its jitter, its owner, the names of its firings. Times are microseconds
(UTC)."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from hashlib import blake2b
from zoneinfo import ZoneInfo

from cronsim import CronSim, CronSimError

SECOND = 1_000_000


class BadSchedule(ValueError):
    """A cron expression or a time zone that is none."""


class Missed(Enum):
    """What becomes of due times that passed while nobody looked."""

    SKIP = "skip"
    ONCE = "once"  # the latest of them that is young enough
    ALL = "all"  # each that is young enough


class Overlap(Enum):
    """What a due time means while an earlier firing is out."""

    ALLOW = "allow"
    FORBID = "forbid"  # it is skipped
    REPLACE = "replace"  # the earlier one is stopped


@dataclass(frozen=True, slots=True)
class Schedule:
    """`jitter` is the window that firings are spread over, `missed_age` how old a missed one may be,
    `owner` the front end by configuration; `unsafe`: a second run of its function is not harmless."""

    name: str
    cron: str
    zone: str
    function: str
    tenant: str | None
    payload: bytes
    deadline: int
    jitter: int = 0
    missed: Missed = Missed.SKIP
    missed_age: int = 3600 * SECOND
    overlap: Overlap = Overlap.ALLOW
    paused: bool = False
    owner: int | None = None
    unsafe: bool = False


def check_zone(name: str) -> ZoneInfo:
    try:
        return ZoneInfo(name)
    except (OSError, ValueError, LookupError):
        raise BadSchedule(f"an IANA time zone as Europe/Dublin, not {name!r}") from None


def check_cron(text: str) -> None:
    """Five fields, with names, lists, ranges and steps; an expression that never comes due is none."""
    if len(text.split()) != 5:
        raise BadSchedule(f"a cron expression of five fields, not {len(text.split())}")
    try:
        next(CronSim(text, datetime(2024, 1, 1, tzinfo=UTC)))
    except CronSimError as error:
        raise BadSchedule(f"a cron expression of five fields: {error}") from None
    except StopIteration:
        raise BadSchedule("a cron expression that comes due some day") from None


def due_times(schedule: Schedule, after: int) -> Iterator[int]:
    """Its due times later than `after`, in order.

    At changes of the clocks as Debian's cron does: what is asked for at fixed times runs once, at the
    change if its time does not exist and at the first of two if it comes twice; what is asked for every
    hour or by steps of the hour follows real time.
    """
    begin = datetime.fromtimestamp(after // SECOND, check_zone(schedule.zone))
    for moment in CronSim(schedule.cron, begin):
        due = int(moment.timestamp()) * SECOND
        if due > after:
            yield due


def _hash(*parts: object) -> int:
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


def fires_at(schedule: Schedule, due: int) -> int:
    """The due time and its jitter: a function of schedule and due time, so the same at each start."""
    if schedule.jitter <= 0:
        return due
    return due + _hash("jitter", schedule.name, due) % schedule.jitter


def owner_of(schedule: Schedule, front_ends: int) -> int:
    """The front end that fires it: as configured, else by rendezvous hash, so that a changed number of
    front ends moves as few schedules as can be."""
    if schedule.owner is not None:
        return schedule.owner
    return max(range(front_ends), key=lambda index: _hash("owner", schedule.name, index))


def execution_name(schedule: str, due: int) -> str:
    """The execution of one firing; seconds are enough, since due times are whole minutes."""
    return f"cron-{schedule}-{due // SECOND}"
