"""What the sections of a configuration file are made of."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

Ms = Annotated[float, Field(ge=0, le=86_400_000)]
Share = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_.-]{1,140}$")]
WorkerName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_.:-]{1,140}$")]


def address_of(text: str) -> tuple[str, int]:
    """`host:port` with a numeric host; ValueError says what is wrong."""
    host, sep, port = text.rpartition(":")
    if not sep or not port.isdigit() or int(port) > 65535:
        raise ValueError("an address as 127.0.0.1:8400")
    ipaddress.IPv4Address(host)
    return host, int(port)


class Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True, allow_inf_nan=False)
