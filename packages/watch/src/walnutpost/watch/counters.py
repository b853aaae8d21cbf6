"""Counts of a watch server."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ServingCounters:
    """Counts since the start.

    `pages_encoded`: response bodies made. `responses`: responses with a page. `response_bytes`: their bodies.
    `idle_timeouts`: waits that ended with nothing newer. `invalid_requests`: 400. `rejected`: 503.
    """

    pages_encoded: int = 0
    responses: int = 0
    response_bytes: int = 0
    idle_timeouts: int = 0
    invalid_requests: int = 0
    rejected: int = 0
