"""The `metering` section: memory-time by tenant, its ledger, budgets and price."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints, model_validator

from walnutpost.config.base import Milliseconds, Name, Ratio, StrictModel

HOURS_PER_DAY = 24


class UsageBudgetConfig(StrictModel):
    """A tenant's budget in memory-seconds (MB times seconds) for each period of whole hours or days, UTC.

    `warning_ratio` of it raises a warning; a state ends once the use has fallen `hysteresis_ratio` below it.
    """

    mb_s: float = Field(gt=0, le=1e12)
    period: Literal["hour", "day"] = "day"
    warning_ratio: Ratio = Field(0.8, alias="near")
    hysteresis_ratio: Ratio = Field(0.05, alias="back")
    action: Literal["note", "no ahead loads", "refuse new loads"] = "note"


class MeteringConfig(StrictModel):
    """Memory-time by tenant, in a file of its own.

    Slices are retained in hours, the hourly and daily lines in days. `renamed` maps tenants' former names.
    """

    file: str = "usage.db"
    fetch_interval_ms: float = Field(2000.0, alias="fetch_ms", ge=10, le=600_000)
    write_interval_ms: float = Field(10_000.0, alias="write_ms", ge=10, le=600_000)
    close_after_ms: Milliseconds = 300_000.0
    max_silence_ms: Milliseconds = Field(600_000.0, alias="silent_ms")
    slice_retention_hours: int = Field(24, alias="keep_slices_h", ge=2, le=24 * 366)
    hour_retention_days: int = Field(35, alias="keep_hours_d", ge=1, le=3660)
    day_retention_days: int = Field(400, alias="keep_days_d", ge=1, le=36_600)
    budgets: dict[Name, UsageBudgetConfig] = {}
    price_per_gb_hour: Annotated[str, StringConstraints(pattern=r"^[0-9]{1,12}(\.[0-9]{1,12})?$")] | None = (
        None
    )
    currency: Annotated[str, StringConstraints(pattern=r"^[A-Z]{3}$")] = "EUR"
    renamed: dict[Name, Name] = {}

    @model_validator(mode="after")
    def _check(self) -> MeteringConfig:
        hour_retention_hours = HOURS_PER_DAY * self.hour_retention_days
        day_retention_hours = HOURS_PER_DAY * self.day_retention_days
        if not self.slice_retention_hours < hour_retention_hours <= day_retention_hours:
            raise ValueError("slices kept for less time than hours, and hours for no more than days")
        renamed_again = sorted(set(self.renamed) & set(self.renamed.values()))
        if renamed_again:
            raise ValueError(f"new names that are final; {', '.join(renamed_again)} is renamed again")
        return self
