"""The hash order of workers: the order in which the policy prefers them for a function."""

from __future__ import annotations

from walnutpost.policy import hash_rank


def workers_in_hash_order(function: int = 7, workers: int = 4) -> list[int]:
    """Return the IDs 1 to `workers`, the most preferred worker first."""
    return sorted(range(1, workers + 1), key=lambda worker_id: -hash_rank(function, worker_id, 1.0))
