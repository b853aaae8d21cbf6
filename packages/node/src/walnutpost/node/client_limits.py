"""Limits from the configuration on client connections."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on all client connections together."""

    max_connections: int
    max_open_requests: int
    memory_bytes: int  # of input, open requests and unsent answers
