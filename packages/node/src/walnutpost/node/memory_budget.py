"""The memory that a node may hold for its clients, and each connection's share of it."""

from __future__ import annotations

BYTES_PER_MB = 1_000_000
PROCESS_MEMORY_MB = 36  # of a serving process without its clients' data
# Of the rest of the memory limit; the other part is for workers, functions and the allocator's losses.
CLIENT_MEMORY_RATIO = 0.3
MIN_CLIENT_MEMORY_MB = 2


def client_memory_bytes(memory_limit_mb: int) -> int:
    """Return how much a process with this limit may hold for its clients."""
    client_mb = (memory_limit_mb - PROCESS_MEMORY_MB) * CLIENT_MEMORY_RATIO
    return int(max(MIN_CLIENT_MEMORY_MB, client_mb) * BYTES_PER_MB)


class MemoryBudget:
    """The bytes that all client connections together hold for one purpose."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.used_bytes = 0

    @property
    def free_bytes(self) -> int:
        """What is left of the limit; negative if it is exceeded."""
        return self._limit_bytes - self.used_bytes

    @property
    def is_short(self) -> bool:
        """Whether less than an eighth of the limit is left."""
        return 8 * self.free_bytes < self._limit_bytes


class MemoryShare:
    """What one connection holds of a `MemoryBudget`.

    A connection may grow as long as it holds no more than what is still free for all (dynamic thresholds:
    Choudhury and Hahne, 1998). One connection alone may thus use half of the limit, and n greedy ones leave
    a part of 1 / (n + 1) to the others.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.used_bytes = 0

    def may_grow(self, size: int) -> bool:
        """Return whether the connection may hold `size` bytes more."""
        return self.used_bytes + size <= self._budget.free_bytes - size

    def change(self, difference: int) -> None:
        """Record that the connection holds `difference` bytes more, or less if it is negative."""
        self.used_bytes += difference
        self._budget.used_bytes += difference
