"""Scenario files: a fleet, its traffic, and which faults come when. Field names are the keys of the file."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from walnutpost.config.base import Name, Ratio, StrictModel

Seconds = Annotated[float, Field(ge=0, le=3600)]


class ScheduledFault(StrictModel):
    """A fault `at_s` after the start.

    `workers` and `fronts` are numbers of machines, which the seed chooses unless their places are in `on`.
    """

    at_s: Seconds
    on: list[int] | None = None


class TrafficBurst(ScheduledFault):
    """Calls arrive at `factor` times the rate."""

    what: Literal["burst"]
    for_s: Seconds
    factor: float = Field(gt=0, le=100)


class FunctionsReleased(ScheduledFault):
    """A share of the functions is released anew: all their idle copies are invalid."""

    what: Literal["released"]
    share: Ratio


class SilentWorkers(ScheduledFault):
    """Workers answer nothing, without a reset, and then restart cold."""

    what: Literal["silent"]
    for_s: Seconds
    workers: int = 1


class WorkerRestarts(ScheduledFault):
    """Workers are killed within `for_s` and restart cold at once."""

    what: Literal["restart"]
    for_s: Seconds = 0.0
    workers: int = 1


class SlowWorkers(ScheduledFault):
    """Workers run `factor` times slower; with `every_s` by turns."""

    what: Literal["slow"]
    for_s: Seconds
    factor: float = Field(gt=0, le=1000)
    workers: int = 1
    every_s: Seconds = 0.0


class AgeingWorkers(ScheduledFault):
    """Workers grow slower up to `factor`, then die and restart cold."""

    what: Literal["ageing"]
    for_s: Seconds
    factor: float = Field(gt=1, le=1000)
    workers: int = 1


class SlowStore(ScheduledFault):
    """The package store takes `factor` times as long."""

    what: Literal["store_slow"]
    for_s: Seconds
    factor: float = Field(gt=0, le=1000)


class LateReports(ScheduledFault):
    """Load reports are `by_s` late."""

    what: Literal["reports_late"]
    for_s: Seconds
    by_s: Seconds
    workers: int = 1


class HeavyCalls(ScheduledFault):
    """A share of the calls costs `factor` times the usual work."""

    what: Literal["heavy"]
    for_s: Seconds
    factor: float = Field(gt=0, le=1000)
    share: Ratio


class OneOffCalls(ScheduledFault):
    """A share of the safe calls is for functions that are called once only."""

    what: Literal["one_offs"]
    for_s: Seconds
    share: Ratio


class WorkerDrain(ScheduledFault):
    """Workers are listed as draining, stop after `for_s`, and restart cold after as long again."""

    what: Literal["drain"]
    for_s: Seconds
    workers: int = 1


class FrontEndKill(ScheduledFault):
    """Front ends are killed and restart after `for_s`."""

    what: Literal["kill_front"]
    for_s: Seconds
    fronts: int = 1


AnyFault = Annotated[
    TrafficBurst
    | FunctionsReleased
    | SilentWorkers
    | WorkerRestarts
    | SlowWorkers
    | AgeingWorkers
    | SlowStore
    | LateReports
    | HeavyCalls
    | OneOffCalls
    | WorkerDrain
    | FrontEndKill,
    Field(discriminator="what"),
]


class Traffic(StrictModel):
    """Calls arrive at random at `rate_per_s`; weights are how often which function and tenant is called.

    `retries` are a client's own, of calls that its class allows to be retried. `try_share` is the part of the
    time left that an attempt states as its deadline.
    """

    rate_per_s: float = Field(gt=0, le=10_000)
    functions: dict[Name, float] = Field(min_length=1)
    tenants: dict[Name, float] = Field(default_factory=dict)
    deferred_share: Ratio = 0.0
    retries: int = Field(1, ge=0, le=10)
    retry_wait_ms: float = Field(100.0, ge=0)
    try_share: float = Field(1.0, gt=0, le=1)


class Scenario(StrictModel):
    """A scenario; `config` is a configuration file with a fleet, relative to the scenario's file.

    `no_counterpart` names what another format's file has that can't be played.
    """

    config: str
    seed: int = 1
    duration_s: Seconds
    front_ends: int = Field(1, ge=1, le=100)
    list_delay_s: Seconds = 1.0
    traffic: Traffic
    troubles: list[AnyFault] = Field(default_factory=list)
    no_counterpart: list[str] = Field(default_factory=list)
    one_off_functions: int = Field(0, ge=0, le=100_000)

    @model_validator(mode="after")
    def _check_one_offs(self) -> Scenario:
        has_one_offs = any(isinstance(fault, OneOffCalls) for fault in self.troubles)
        if has_one_offs and not self.one_off_functions:
            raise ValueError("one_off_functions above 0 where a trouble is one_offs")
        return self
