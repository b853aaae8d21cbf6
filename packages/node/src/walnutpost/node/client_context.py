"""What all client connections of a node share."""

from __future__ import annotations

from typing import Any, Protocol

from walnutpost.dispatch import Core
from walnutpost.eventloop import Loop
from walnutpost.node.open_requests import OpenRequests

OPEN_MOST = 32  # requests on one connection


class ClientContext(Protocol):
    """The listener's side as one connection sees it."""

    loop: Loop
    core: Core
    log: Any
    class_indices: dict[str, int]
    class_deadlines_us: dict[str, int]
    tenants: tuple[str, ...]
    requests: OpenRequests
    draining: bool  # told to end: serves on, but is not ready for more
    ending: bool  # takes nothing new
    bad: int  # requests that could not be used
    unreadable: int  # connections whose bytes were no message
