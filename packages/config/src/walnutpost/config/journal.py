"""The `journal` section: deferred calls that are replicated to other sites.

Durations end in `_ms` and are milliseconds; memory is in MB.
"""

from __future__ import annotations

from typing import Literal

from pydantic import Field, field_validator, model_validator

from walnutpost.config.base import Milliseconds, Name, StrictModel, is_loopback, parse_address

MAX_REPLICAS = 2


class JournalHostConfig(StrictModel):
    """A front end that holds replicas of others' journals; this one may be among them."""

    name: Name
    address: str
    region: Name
    zone: Name

    @field_validator("address")
    @classmethod
    def _check_address(cls, address: str) -> str:
        parse_address(address)
        return address


class ReplicationConfig(StrictModel):
    """How calls of a class are replicated.

    A deferred call is accepted once it has `replicas`; `on_shortage` is what becomes of one while fewer
    hosts can be reached: rejected, or accepted with fewer.
    """

    replicas: int = Field(1, alias="copies", ge=0, le=MAX_REPLICAS)
    on_shortage: Literal["refuse", "less"] = Field("refuse", alias="without")


class JournalConfig(StrictModel):
    """Deferred calls are replicated to front ends of other sites before their clients are answered.

    `name`: this front end among the hosts; `listen`: where it serves as a replica.
    """

    name: Name
    listen: str
    hosts: list[JournalHostConfig] = Field(alias="holders", min_length=1, max_length=1000)
    classes: dict[Name, ReplicationConfig] = {}
    quorum_timeout_ms: Milliseconds = Field(2000.0, alias="copy_wait_ms")
    answer_timeout_ms: float = Field(1000.0, alias="answer_ms", ge=10, le=60_000)
    lost_after_ms: float = Field(2000.0, ge=10, le=600_000)
    replace_after_ms: float = Field(10_000.0, ge=10, le=3_600_000)
    retry_delay_ms: float = Field(200.0, alias="pause_ms", ge=1, le=60_000)
    max_backlog_mb: float = Field(16.0, alias="backlog_mb", gt=0, le=4096)

    @model_validator(mode="after")
    def _check(self) -> JournalConfig:
        names = [host.name for host in self.hosts]
        if len(set(names)) < len(names):
            raise ValueError("holders with names of their own")
        if self.name not in names:
            raise ValueError(f"a name that is one of the holders, not {self.name!r}")
        if not is_loopback(self.listen):
            raise ValueError("a listen address of 127.0.0.0/8: holders are not verified")
        return self
