"""Selects the connections to a worker that can carry another command."""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.node.worker_connection import WorkerConnection


def rank_candidates(
    connections: Iterable[WorkerConnection], id: bytes, max_streams: int
) -> list[WorkerConnection]:
    """Return the connections with capacity for the command, best first.

    Connections with fewer open commands come first, starting with idle ones, so that a reset affects few
    other commands. Connections with a partial response come last. A connection that recently carried a
    command with the same id is excluded, because a late response to that command could be mistaken for the
    response to this one.
    """
    usable = [
        connection
        for connection in connections
        if connection.accepts_commands
        and len(connection.open) < max_streams
        and not connection.has_used_id(id)
    ]
    usable.sort(key=_selection_order)
    return usable


def _selection_order(connection: WorkerConnection) -> tuple[bool, int]:
    return connection.has_partial_response, len(connection.open)
