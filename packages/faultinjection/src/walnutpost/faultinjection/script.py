"""What a trial's script says: a fleet, its traffic, and what goes wrong when."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from walnutpost.config.base import Name, Ratio, StrictModel

Seconds = Annotated[float, Field(ge=0, le=3600)]


class Trouble(StrictModel):
    """`at_s` after the start. `workers` and `fronts` are numbers of machines, taken from the seed, or
    their places in `on`."""

    at_s: Seconds
    on: list[int] | None = None


class Burst(Trouble):
    """Traffic comes at `factor` times the rate."""

    what: Literal["burst"]
    for_s: Seconds
    factor: float = Field(gt=0, le=100)


class Released(Trouble):
    """A share of the functions is released anew: all their idle copies are worth nothing."""

    what: Literal["released"]
    share: Ratio


class Silent(Trouble):
    """Workers say nothing, without a reset, then are back cold."""

    what: Literal["silent"]
    for_s: Seconds
    workers: int = 1


class Restart(Trouble):
    """Workers are killed within `for_s` and come back cold at once."""

    what: Literal["restart"]
    for_s: Seconds = 0.0
    workers: int = 1


class Slow(Trouble):
    """Workers run `factor` times slower; with `every_s` on and off."""

    what: Literal["slow"]
    for_s: Seconds
    factor: float = Field(gt=0, le=1000)
    workers: int = 1
    every_s: Seconds = 0.0


class Ageing(Trouble):
    """Workers grow slower up to `factor`, then die and come back cold."""

    what: Literal["ageing"]
    for_s: Seconds
    factor: float = Field(gt=1, le=1000)
    workers: int = 1


class StoreSlow(Trouble):
    """The package store takes `factor` times as long."""

    what: Literal["store_slow"]
    for_s: Seconds
    factor: float = Field(gt=0, le=1000)


class ReportsLate(Trouble):
    """Load reports tell how things stood `by_s` ago."""

    what: Literal["reports_late"]
    for_s: Seconds
    by_s: Seconds
    workers: int = 1


class Heavy(Trouble):
    """A share of the calls costs `factor` times the usual work."""

    what: Literal["heavy"]
    for_s: Seconds
    factor: float = Field(gt=0, le=1000)
    share: Ratio


class OneOffs(Trouble):
    """A share of the safe calls is for functions that are asked for once only."""

    what: Literal["one_offs"]
    for_s: Seconds
    share: Ratio


class Drain(Trouble):
    """Workers are listed as draining, leave after `for_s`, and are back cold after as long again."""

    what: Literal["drain"]
    for_s: Seconds
    workers: int = 1


class KillFront(Trouble):
    """Front ends are killed outright and come back after `for_s`."""

    what: Literal["kill_front"]
    for_s: Seconds
    fronts: int = 1


AnyTrouble = Annotated[
    Burst
    | Released
    | Silent
    | Restart
    | Slow
    | Ageing
    | StoreSlow
    | ReportsLate
    | Heavy
    | OneOffs
    | Drain
    | KillFront,
    Field(discriminator="what"),
]


class Traffic(StrictModel):
    """Calls arrive at random at `rate_per_s`; weights say how often which function and tenant. `retries`
    are a client's own, after what its class lets it ask again for."""

    rate_per_s: float = Field(gt=0, le=10_000)
    functions: dict[Name, float] = Field(min_length=1)
    tenants: dict[Name, float] = Field(default_factory=dict)
    deferred_share: Ratio = 0.0
    retries: int = Field(1, ge=0, le=10)
    retry_wait_ms: float = Field(100.0, ge=0)
    try_share: float = Field(1.0, gt=0, le=1)


class Script(StrictModel):
    """`config` is a configuration file with a fleet, relative to the script."""

    config: str
    seed: int = 1
    duration_s: Seconds
    front_ends: int = Field(1, ge=1, le=100)
    list_delay_s: Seconds = 1.0
    traffic: Traffic
    troubles: list[AnyTrouble] = Field(default_factory=list)
    no_counterpart: list[str] = Field(default_factory=list)
    one_off_functions: int = Field(0, ge=0, le=100_000)

    @model_validator(mode="after")
    def _one_offs(self) -> Script:
        if any(isinstance(t, OneOffs) for t in self.troubles) and not self.one_off_functions:
            raise ValueError("one_off_functions above 0 where a trouble is one_offs")
        return self
