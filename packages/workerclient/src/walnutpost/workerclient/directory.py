"""The workers in the current endpoint list."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Address = tuple[str, int]
"""Host and port."""


@dataclass(slots=True)
class WorkerDirectory:
    """Addresses of the workers and the set of draining ones; both are replaced by each endpoint list."""

    addresses: Mapping[str, Address] = field(default_factory=dict)
    draining: frozenset[str] = frozenset()
