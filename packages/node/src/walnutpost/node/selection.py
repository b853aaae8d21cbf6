"""Which of the connections to a worker may carry another command."""

from __future__ import annotations

from collections.abc import Iterable

from walnutpost.node.connection import WorkerConnection


def candidates(connections: Iterable[WorkerConnection], id: bytes, streams: int) -> list[WorkerConnection]:
    """Those with room for the command, the best first: idle ones, then those with the least on them, as what
    breaks one off then takes little else with it; those that have half an answer come last. A connection
    that has carried this id before is none: an answer to that could be taken for one to this."""
    usable = [
        connection
        for connection in connections
        if not connection.retired and len(connection.open) < streams and not connection.has_carried(id)
    ]
    usable.sort(key=lambda connection: (connection.mid_answer, len(connection.open)))
    return usable
