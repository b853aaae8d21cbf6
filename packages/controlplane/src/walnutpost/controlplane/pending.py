"""Requests that wait for consensus: the tasks that wait for the reply to each id."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.controlplane import wire
from walnutpost.eventloop import Loop, Task


class PendingReplies:
    """Tasks that wait for replies, by the id of their command or read."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waiting: dict[str, list[tuple[Task[object], int]]] = {}

    def wait(
        self, request_id: str, timeout_us: int, on_timeout: wire.CommandReply, start: Callable[[], None]
    ) -> wire.CommandReply:
        """Call `start`, then wait for the reply to `request_id`; return `on_timeout` after `timeout_us`."""
        task, token = self._loop.begin_wait()
        self._waiting.setdefault(request_id, []).append((task, token))
        timer = self._loop.call_later(timeout_us, lambda: self._loop.wake(task, token, on_timeout))
        start()
        try:
            reply: wire.CommandReply = self._loop.park()
        finally:
            timer.cancel()
            self._forget(request_id, task, token)
        return reply

    def _forget(self, request_id: str, task: Task[object], token: int) -> None:
        waiting = self._waiting.get(request_id, [])
        if (task, token) in waiting:
            waiting.remove((task, token))
        if not waiting:
            self._waiting.pop(request_id, None)

    def complete(self, request_id: str, reply: wire.CommandReply) -> None:
        """Give all that wait for `request_id` this reply."""
        for task, token in self._waiting.pop(request_id, ()):
            self._loop.wake(task, token, reply)

    def complete_all(self, reply: wire.CommandReply) -> None:
        """Give all that wait, for any id, this reply."""
        for request_id in list(self._waiting):
            self.complete(request_id, reply)
