"""The `schedules` section: cron schedules by name."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field, StringConstraints, field_validator

from walnutpost.config.base import MAX_MS, Name, StrictModel
from walnutpost.cron import check_cron, check_zone

MAX_JITTER_MS = 3_600_000  # an hour
MAX_MISSED_AGE_MS = 366 * 86_400_000

ScheduleName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_-]{1,40}$")]


class ScheduleConfig(StrictModel):
    """A cron schedule.

    `payload` is any JSON; `owner` is the index of the front end that fires it, by default one chosen by hash.
    """

    cron: str
    zone: str = "UTC"
    function: Name
    tenant: Name | None = None
    payload: Any = None
    deadline_ms: float = Field(60_000.0, gt=0, le=MAX_MS)
    jitter_ms: float = Field(0.0, ge=0, le=MAX_JITTER_MS)
    missed: Literal["skip", "once", "all"] = "skip"
    missed_age_ms: float = Field(3_600_000.0, ge=0, le=MAX_MISSED_AGE_MS)
    overlap: Literal["allow", "forbid", "replace"] = "allow"
    is_paused: bool = Field(False, alias="pause")
    owner: int | None = Field(None, ge=0)

    @field_validator("cron")
    @classmethod
    def _check_cron(cls, text: str) -> str:
        check_cron(text)
        return text

    @field_validator("zone")
    @classmethod
    def _check_zone(cls, text: str) -> str:
        check_zone(text)
        return text
