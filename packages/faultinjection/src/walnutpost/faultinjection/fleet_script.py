"""A scripted day of a fleet: keepers, agents, front ends, workers and clients, and what befalls them."""

from __future__ import annotations

from random import Random
from typing import Annotated, Literal

from pydantic import Field, model_validator

from walnutpost.config.base import Milliseconds, StrictModel
from walnutpost.config.control_plane import AnalysisConfig, DisruptionBudgetConfig
from walnutpost.faultinjection.script import Traffic

Seconds = Annotated[float, Field(ge=0, le=3600)]


class _Act(StrictModel):
    """Done `at_s` after the start, or once `when` is so, and `at_s` after that. `on`: names of processes."""

    at_s: Seconds = 0.0
    when: Literal["", "permit", "begun", "cleared", "plan open", "halted", "ended", "leader"] = ""
    of: str = ""  # the plan, member or keeper that `when` speaks of; any where empty


class Break(_Act):
    """Between the processes. `kill` ends a process, `kill child` the one in an agent's care; `pause` stops
    it; `cut` silences its ways to the keepers, `mute` what it says, `deaf` what it hears; `slow` delays
    them by `by_ms`; `reset` breaks what is open; `tear` breaks within a message; `lose disk` kills a keeper
    and empties its folder. After `for_s` all of it is made good; `on` `leader` is whoever leads then."""

    what: Literal[
        "kill", "kill child", "pause", "cut", "mute", "deaf", "slow", "reset", "tear", "lose disk", "second"
    ]
    on: list[str] = Field(min_length=1)
    for_s: Seconds = 1.0
    by_ms: Milliseconds = 300.0


class Order(_Act):
    """What an operator does. `content` names one of the script's versions, laid over the site's
    configuration."""

    what: Literal["release", "rollback", "drain", "cycle", "return", "halt", "resume", "judge"]
    on: list[str] = Field(default_factory=list)
    plan: str = ""
    content: str = ""
    good: bool = True


AnyAct = Annotated[Break | Order, Field(discriminator="what")]


class FleetScript(StrictModel):
    """`config`: a configuration with stand-in workers, beside the script. `versions`: what each lays over
    it."""

    config: str
    over: dict[str, object] = Field(default_factory=dict)  # laid over the configuration
    seed: int = 1
    duration_s: Seconds
    keepers: int = Field(3, ge=1, le=7)
    front_ends: int = Field(3, ge=1, le=50)
    zones: list[str] = Field(default_factory=lambda: ["a", "b"], min_length=1)
    budgets: list[DisruptionBudgetConfig] = Field(min_length=1)
    judge: AnalysisConfig = AnalysisConfig()
    election_ms: Milliseconds = 400.0
    heartbeat_ms: Milliseconds = 60.0
    lease_ms: Milliseconds = 2500.0
    begin_within_ms: Milliseconds = 3000.0
    report_ms: float = Field(200.0, ge=10)
    patience_s: Seconds = 60.0
    traffic: Traffic
    versions: dict[str, dict[str, object]] = Field(default_factory=dict)
    acts: list[AnyAct] = Field(default_factory=list)

    @model_validator(mode="after")
    def _known(self) -> FleetScript:
        for act in self.acts:
            if isinstance(act, Order) and act.what == "release" and act.content not in self.versions:
                raise ValueError(f"content of a known version, not {act.content!r}")
        return self


FAULTS = ("kill", "pause", "cut", "mute", "deaf", "slow", "reset", "tear")


def random_acts(seed: int, keepers: int, members: list[str], duration: float, count: int) -> list[AnyAct]:
    """Faults drawn from the seed, one after the other, so that a quorum of keepers is left; some wait
    for what happens, others for the clock."""
    rng, acts, at = Random(seed), list[AnyAct](), 1.0
    for _ in range(count):
        keeper = rng.random() < 0.5
        what = rng.choice(FAULTS if keeper else (*FAULTS, "kill child"))
        names = ["leader", *(f"k{n + 1}" for n in range(keepers))] if keeper else members
        on = rng.choice(names)
        span = rng.uniform(0.3, 1.5) * duration / count
        when = rng.choice(["", "permit", "begun"])
        acts.append(
            Break(
                what=what,  # type: ignore[arg-type]
                on=[on],
                for_s=round(span, 2),
                at_s=round(at if not when else rng.uniform(0, 0.1), 2),
                when=when,  # type: ignore[arg-type]
                by_ms=rng.choice([40.0, 150.0, 300.0]),
            )
        )
        at += duration / count
    return acts
