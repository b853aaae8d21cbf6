"""The workers that the endpoint list names now."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Address = tuple[str, int]
"""Host and port."""


@dataclass(slots=True)
class WorkerDirectory:
    """Addresses of the listed workers, and which of them are draining; replaced by each list."""

    addresses: Mapping[str, Address] = field(default_factory=dict)
    draining: frozenset[str] = frozenset()
