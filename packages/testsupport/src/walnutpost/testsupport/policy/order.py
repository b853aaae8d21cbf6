"""The order in which the policy prefers workers."""

from __future__ import annotations

from walnutpost.policy import hash_rank


def first_in_order(function: int = 7, workers: int = 4) -> list[int]:
    """Return the workers 1 to `workers`, the one that the policy prefers for the function first."""
    return sorted(range(1, workers + 1), key=lambda w: -hash_rank(function, w, 1.0))
