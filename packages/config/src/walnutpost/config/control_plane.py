"""The file of a fleet: its control plane, relays, agents and budgets, and the times that all go by."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints, field_validator, model_validator

from walnutpost.config.base import Milliseconds, Ratio, StrictModel, find_duplicates, parse_address

MAX_REPLICAS = 9
MAX_RELAYS = 100
MIN_ELECTION_HEARTBEATS = 3  # heartbeats in an election timeout, so that a lost one ends no term

ReplicaName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_.-]{1,60}$")]


class ReplicaConfig(StrictModel):
    """A replica of the control plane.

    `address` is where the others reach it; `listen` where it accepts connections, if that is another.
    """

    name: ReplicaName
    address: str
    listen: str | None = None

    @field_validator("address", "listen")
    @classmethod
    def _check_address(cls, address: str | None) -> str | None:
        if address is not None:
            parse_address(address)
        return address


class RelayConfig(ReplicaConfig):
    """A relay, which serves the agreed settings to their members; `zone` is where it runs."""

    zone: ReplicaName | None = None


class AgentConfig(StrictModel):
    """One process of the fleet.

    `command` starts it, with `{config}` for the file of its version; it is ready once `ready_text` is in its
    output. `first_version_file` is used until a version is released. `reports_itself`: a front end whose
    configuration has an `agreement`, which reports to the control plane.
    """

    member: ReplicaName
    kind: Literal["front_end", "worker"] = "front_end"
    zone: ReplicaName = "all"
    command: list[str] = Field(min_length=1)
    ready_text: str = Field("listening", alias="ready", min_length=1)
    first_version_file: str = Field(alias="first")
    ready_within_ms: Milliseconds = 30_000
    reports_itself: bool = Field(False, alias="follows")


class DisruptionBudgetConfig(StrictModel):
    """How many members of a kind may be unavailable at once, as a number or as a ratio of them.

    In all, in `zone`, or in each zone by itself where that is `*`.
    """

    kind: Literal["front_end", "worker"]
    zone: str = ""
    max_unavailable: int | None = Field(None, alias="most", ge=0)
    max_unavailable_ratio: Ratio | None = Field(None, alias="share")

    @model_validator(mode="after")
    def _check_one_limit(self) -> DisruptionBudgetConfig:
        if (self.max_unavailable is None) == (self.max_unavailable_ratio is None):
            raise ValueError("either most or share")
        return self


class AnalysisConfig(StrictModel):
    """When a step of a release counts as good.

    `min_calls` on either side, and a ratio of failed, rejected or late ones at most `max_regression` above
    the old version's, by `confidence` standard deviations.
    """

    min_calls: int = Field(200, alias="calls", ge=1)
    max_regression: Ratio = Field(0.02, alias="worse")
    confidence: float = Field(2.0, alias="sure", ge=0, le=10)


class ControlPlaneConfig(StrictModel):
    """The file itself.

    `lease_ms`: a member not heard of for so long is unavailable. `begin_within_ms`: in which the holder of a
    permit may begin, from when it asked; a halt has taken effect after it.
    """

    keepers: list[ReplicaConfig] = Field(min_length=1, max_length=MAX_REPLICAS)
    relays: list[RelayConfig] = Field(default_factory=list, max_length=MAX_RELAYS)
    agents: list[AgentConfig] = Field(default_factory=list)
    budgets: list[DisruptionBudgetConfig] = Field(default_factory=list)
    analysis: AnalysisConfig = Field(AnalysisConfig(), alias="judge")
    folder: str = "keepers"
    election_ms: Milliseconds = 1000
    heartbeat_ms: Milliseconds = 150
    lease_ms: Milliseconds = 5000
    begin_within_ms: Milliseconds = 5000
    max_log_entries: int = Field(5000, alias="log_most", ge=10)
    max_history_entries: int = Field(100_000, alias="history_most", ge=0)

    @model_validator(mode="after")
    def _check(self) -> ControlPlaneConfig:
        duplicates = find_duplicates([each.name for each in (*self.keepers, *self.relays)])
        if duplicates:
            raise ValueError(
                f"keepers and relays with names of their own; found {', '.join(duplicates)} twice"
            )
        if not 0 < self.heartbeat_ms * MIN_ELECTION_HEARTBEATS <= self.election_ms:
            raise ValueError("heartbeat_ms above 0 and at most a third of election_ms")
        return self
