"""The file of a fleet's agreement: its keepers, and the times that they and the members go by."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints, field_validator, model_validator

from walnutpost.config.base import Ms, Share, Strict, address_of

KeeperName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_.-]{1,60}$")]


class KeeperLine(Strict):
    """`listen` is where this keeper takes connections, if not at the address that the others use."""

    name: KeeperName
    address: str
    listen: str | None = None

    @field_validator("address", "listen")
    @classmethod
    def _readable(cls, value: str | None) -> str | None:
        if value is not None:
            address_of(value)
        return value


class RelayLine(KeeperLine):
    """One that carries the agreed table from the keepers to their members. `zone`: where it stands."""

    zone: KeeperName | None = None


class AgentLine(Strict):
    """One process of the fleet. `command` starts it, `{config}` standing for its version's file; it is ready
    once `ready` stands in its output. `first`: the file of its version until one is released. `follows`: a
    front end whose configuration has an `agreement`, which speaks for itself."""

    member: KeeperName
    kind: Literal["front_end", "worker"] = "front_end"
    zone: KeeperName = "all"
    command: list[str] = Field(min_length=1)
    ready: str = Field("listening", min_length=1)
    first: str
    ready_within_ms: Ms = 30_000
    follows: bool = False


class BudgetOut(Strict):
    """At most `most` members of a kind are out at once, or `share` of them; in all, in `zone`, or in each
    zone by itself where that is `*`."""

    kind: Literal["front_end", "worker"]
    zone: str = ""
    most: int | None = Field(None, ge=0)
    share: Share | None = None

    @model_validator(mode="after")
    def _one(self) -> BudgetOut:
        if (self.most is None) == (self.share is None):
            raise ValueError("either most or share")
        return self


class JudgeLine(Strict):
    """When a step of a release counts as good: so many calls on either side, a share of failed, refused or
    late ones at most `worse` above the old version's, by `sure` deviations."""

    calls: int = Field(200, ge=1)
    worse: Share = 0.02
    sure: float = Field(2.0, ge=0, le=10)


class Keepers(Strict):
    """`lease_ms`: a member not heard of for so long is out. `begin_within_ms`: in which the holder of a
    permit may begin, from when it asked; a halt has taken effect after it."""

    keepers: list[KeeperLine] = Field(min_length=1, max_length=9)
    relays: list[RelayLine] = Field(default_factory=list, max_length=100)
    agents: list[AgentLine] = Field(default_factory=list)
    budgets: list[BudgetOut] = Field(default_factory=list)
    judge: JudgeLine = JudgeLine()
    folder: str = "keepers"
    election_ms: Ms = 1000
    heartbeat_ms: Ms = 150
    lease_ms: Ms = 5000
    begin_within_ms: Ms = 5000
    log_most: int = Field(5000, ge=10)
    history_most: int = Field(100_000, ge=0)

    @model_validator(mode="after")
    def _fits(self) -> Keepers:
        names = [line.name for line in (*self.keepers, *self.relays)]
        if twice := sorted({name for name in names if names.count(name) > 1}):
            raise ValueError(f"keepers and relays with names of their own; found {', '.join(twice)} twice")
        if not 0 < self.heartbeat_ms * 3 <= self.election_ms:
            raise ValueError("heartbeat_ms above 0 and at most a third of election_ms")
        return self
