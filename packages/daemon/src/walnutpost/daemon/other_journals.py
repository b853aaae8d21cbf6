"""The front ends of other sites, which are asked for entries of journals."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OtherJournals:
    """Addresses of the other front ends by name, and how long each has to answer a message."""

    addresses: dict[str, Callable[[], tuple[str, int]]]
    timeout_us: int
