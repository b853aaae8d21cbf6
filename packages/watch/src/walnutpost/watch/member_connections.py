"""The members behind a watch server's connections, for a relay that reports their progress."""

from __future__ import annotations

from functools import partial
from typing import Protocol

from walnutpost.configstore import WatchRequest
from walnutpost.eventloop import Loop, Task


class MemberObserver(Protocol):
    """Is notified of members' requests and of the ends of their connections."""

    def member_requested(self, request: WatchRequest) -> None:
        """Handle a member's request, as it arrives."""

    def member_disconnected(self, last_request: WatchRequest) -> None:
        """Handle the end of a connection; `last_request`: the object given to `member_requested` last."""


class MemberConnections:
    """Remembers the last request of each connection until it ends. Each connection has a task."""

    def __init__(self, loop: Loop, observer: MemberObserver) -> None:
        self._loop = loop
        self._observer = observer
        self._last_requests: dict[Task[object], WatchRequest] = {}

    def __len__(self) -> int:
        """Return the number of connections that members have sent requests on."""
        return len(self._last_requests)

    def record(self, request: WatchRequest) -> None:
        """Record a member's request, in the task of its connection."""
        self._observer.member_requested(request)
        task = self._loop.current_task()
        if task not in self._last_requests:
            task.done_callbacks.append(partial(self._connection_ended, task))
        self._last_requests[task] = request

    def _connection_ended(self, task: Task[object]) -> None:
        self._observer.member_disconnected(self._last_requests.pop(task))
