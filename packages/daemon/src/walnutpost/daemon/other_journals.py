"""The front ends of other sites, which can be asked for journal entries."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OtherJournals:
    """The addresses of the other front ends by name, and the timeout for each answer."""

    addresses: dict[str, Callable[[], tuple[str, int]]]
    timeout_us: int
