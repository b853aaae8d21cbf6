"""State that all client connections of a node share."""

from __future__ import annotations

from typing import Protocol

from walnutpost.dispatch import Dispatcher
from walnutpost.eventloop import Logger, Loop
from walnutpost.node.client_turns import ClientTurns
from walnutpost.node.memory_budget import MemoryBudget
from walnutpost.node.open_requests import OpenRequests

MAX_OPEN_REQUESTS = 32  # on one client connection


class ClientContext(Protocol):
    """What one client connection needs from `Clients`, which owns all of them."""

    loop: Loop
    dispatcher: Dispatcher
    log: Logger
    class_indices: dict[str, int]
    class_deadlines_us: dict[str, int]
    tenants: tuple[str, ...]
    requests: OpenRequests
    turns: ClientTurns
    request_memory: MemoryBudget  # of open requests
    buffer_memory: MemoryBudget  # of unprocessed input and unsent answers
    is_shutting_down: bool  # still accepts requests, but reports that it is not ready for more
    is_draining: bool  # accepts no new requests
    invalid_requests: int
    malformed_connections: int  # connections on which unreadable bytes arrived
    overflowed_connections: int  # ended because more input was waiting than one may have
    repeated_ids: int  # requests with the id of an earlier one
    rejected_for_memory: int  # requests for which there was no memory, or that were too many

    @property
    def may_open_request(self) -> bool:
        """Whether the node may have another request open."""

    def reclaim_memory(self) -> None:
        """End connections that hold memory of which their clients make no use, until enough is free."""
