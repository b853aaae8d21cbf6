"""Which of the connections to a worker may carry another command."""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.node.worker_connection import WorkerConnection


def rank_candidates(
    connections: Iterable[WorkerConnection], id: bytes, max_streams: int
) -> list[WorkerConnection]:
    """Return the connections with room for the command, the best first.

    Idle ones come first, then those with the fewest commands, as a reset then affects few others; those with
    a partial response come last. A connection that has carried this id before is no candidate: a late
    response to the earlier command could be taken for one to this.
    """
    usable = [
        connection
        for connection in connections
        if not connection.is_draining
        and len(connection.open) < max_streams
        and not connection.has_carried(id)
    ]
    usable.sort(key=_load)
    return usable


def _load(connection: WorkerConnection) -> tuple[bool, int]:
    return connection.has_partial_response, len(connection.open)
