"""Scenarios of a fleet: a control plane, agents, front ends, workers and clients, and the steps taken.

Field names are the keys of the file.
"""

from __future__ import annotations

from random import Random
from typing import Annotated, Literal

from pydantic import Field, model_validator

from walnutpost.config.base import Milliseconds, StrictModel
from walnutpost.config.control_plane import AnalysisConfig, DisruptionBudgetConfig
from walnutpost.faultinjection.scenario import Seconds, Traffic

FAULTS = ("kill", "pause", "cut", "mute", "deaf", "slow", "reset", "tear")
RANDOM_DELAYS_MS = (40.0, 150.0, 300.0)


class _Step(StrictModel):
    """Taken `at_s` after the start, or once `when` is so, and `at_s` after that. `on`: names of processes."""

    at_s: Seconds = 0.0
    when: Literal["", "permit", "begun", "cleared", "plan open", "halted", "ended", "leader"] = ""
    of: str = ""  # the plan, member or replica that `when` is about; any where empty


class ProcessFault(_Step):
    """A fault of processes, or of their links to the control plane; after `for_s` all of it is healed.

    `kill` ends a process, `kill child` the one in an agent's care; `pause` stops it; `cut` blocks its links
    to the control plane, `mute` what it sends, `deaf` what it receives; `slow` delays them by `by_ms`;
    `reset` resets open connections; `tear` resets within a message; `lose disk` kills a replica and empties
    its folder; `second` starts another agent under the same name. `on` `leader` is whoever leads then.
    """

    what: Literal[
        "kill", "kill child", "pause", "cut", "mute", "deaf", "slow", "reset", "tear", "lose disk", "second"
    ]
    on: list[str] = Field(min_length=1)
    for_s: Seconds = 1.0
    by_ms: Milliseconds = 300.0


class OperatorStep(_Step):
    """What an operator does. `content` names one of the scenario's versions."""

    what: Literal["release", "rollback", "drain", "cycle", "return", "halt", "resume", "judge"]
    on: list[str] = Field(default_factory=list)
    plan: str = ""
    content: str = ""
    good: bool = True


AnyStep = Annotated[ProcessFault | OperatorStep, Field(discriminator="what")]


class FleetScenario(StrictModel):
    """A scenario; `config` is a configuration with fake workers, beside it, and `over` is laid over that.

    `versions` has what each version lays over the configuration.
    """

    config: str
    over: dict[str, object] = Field(default_factory=dict)
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
    acts: list[AnyStep] = Field(default_factory=list)

    @model_validator(mode="after")
    def _check_versions(self) -> FleetScenario:
        for step in self.acts:
            if not isinstance(step, OperatorStep) or step.what != "release":
                continue
            if step.content not in self.versions:
                raise ValueError(f"content of a known version, not {step.content!r}")
        return self


def random_faults(
    seed: int, replicas: int, members: list[str], duration_s: float, count: int
) -> list[AnyStep]:
    """Draw faults, one after the other, so that a quorum of the control plane is left.

    Some wait for an event, others for the clock.
    """
    rng = Random(seed)
    faults: list[AnyStep] = []
    at_s = 1.0
    for _ in range(count):
        faults.append(_random_fault(rng, at_s, duration_s / count, replicas, members))
        at_s += duration_s / count
    return faults


def _random_fault(
    rng: Random, at_s: float, interval_s: float, replicas: int, members: list[str]
) -> ProcessFault:
    hits_replica = rng.random() < 0.5
    what = rng.choice(FAULTS if hits_replica else (*FAULTS, "kill child"))
    names = ["leader", *(f"k{number + 1}" for number in range(replicas))] if hits_replica else members
    name = rng.choice(names)
    for_s = rng.uniform(0.3, 1.5) * interval_s
    when = rng.choice(["", "permit", "begun"])
    return ProcessFault(
        what=what,  # type: ignore[arg-type]
        on=[name],
        for_s=round(for_s, 2),
        at_s=round(rng.uniform(0, 0.1) if when else at_s, 2),
        when=when,  # type: ignore[arg-type]
        by_ms=rng.choice(RANDOM_DELAYS_MS),
    )
