"""The `journal` section: deferred calls that stand in more than one site."""

from __future__ import annotations

import ipaddress
from typing import Literal

from pydantic import Field, field_validator, model_validator

from walnutpost.config.base import Ms, Name, Strict, address_of


class HolderLine(Strict):
    """A front end that keeps copies of others' journals, this one perhaps among them."""

    name: Name
    address: str
    region: Name
    zone: Name

    @field_validator("address")
    @classmethod
    def _address(cls, value: str) -> str:
        address_of(value)
        return value


class CopiesLine(Strict):
    """`copies`: how many holders have a deferred call of this class before its client is told; `without`:
    what becomes of a call while fewer can be reached."""

    copies: int = Field(1, ge=0, le=2)
    without: Literal["refuse", "less"] = "refuse"


class Journal(Strict):
    """Deferred calls are copied to front ends of other sites before their clients are told. `name`: this
    front end among the holders; `listen`: where it takes copies."""

    name: Name
    listen: str
    holders: list[HolderLine] = Field(min_length=1, max_length=1000)
    classes: dict[Name, CopiesLine] = {}
    copy_wait_ms: Ms = 2000.0
    answer_ms: float = Field(1000.0, ge=10, le=60_000)
    lost_after_ms: float = Field(2000.0, ge=10, le=600_000)
    replace_after_ms: float = Field(10_000.0, ge=10, le=3_600_000)
    pause_ms: float = Field(200.0, ge=1, le=60_000)
    backlog_mb: float = Field(16.0, gt=0, le=4096)

    @model_validator(mode="after")
    def _names(self) -> Journal:
        names = [line.name for line in self.holders]
        if len(set(names)) < len(names):
            raise ValueError("holders with names of their own")
        if self.name not in names:
            raise ValueError(f"a name that is one of the holders, not {self.name!r}")
        if not ipaddress.IPv4Address(address_of(self.listen)[0]).is_loopback:
            raise ValueError("a listen address of 127.0.0.0/8: holders are not verified")
        return self
