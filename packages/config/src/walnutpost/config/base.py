"""Base model and value types of all sections of configuration files."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

MAX_MS = 86_400_000  # a day
MAX_PORT = 65_535

Milliseconds = Annotated[float, Field(ge=0, le=MAX_MS)]
Ratio = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_.-]{1,140}$")]
WorkerName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9_.:-]{1,140}$")]


class StrictModel(BaseModel):
    """A section of a file. Unknown keys and values of another type are errors.

    A field whose name differs from its key has the key as its alias; it is read and dumped by the key alone.
    """

    model_config = ConfigDict(
        extra="forbid",
        frozen=True,
        strict=True,
        allow_inf_nan=False,
        serialize_by_alias=True,
    )


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port` with a numeric host. Raises ValueError that says what is wanted."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("an address as 127.0.0.1:8400")
    ipaddress.IPv4Address(host)
    return host, int(port)


def is_loopback(address: str) -> bool:
    """Whether the host of an address is of 127.0.0.0/8. Raises ValueError if it is no address."""
    host, _ = parse_address(address)
    return ipaddress.IPv4Address(host).is_loopback


def find_duplicates(names: list[str]) -> list[str]:
    """Return the names that occur more than once, sorted."""
    if len(set(names)) == len(names):
        return []
    return sorted({name for name in names if names.count(name) > 1})
