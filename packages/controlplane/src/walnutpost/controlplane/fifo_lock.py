"""A lock between tasks that is granted in the order of asking."""

from __future__ import annotations

from collections import deque

from walnutpost.eventloop import Loop, Task


class FifoLock:
    """Held by one task at a time; a task that is cancelled while it waits is passed over."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._is_locked = False
        self._waiting: deque[tuple[Task[object], int]] = deque()

    def acquire(self) -> None:
        """Wait for the lock."""
        if not self._is_locked:
            self._is_locked = True
            return
        self._waiting.append(self._loop.begin_wait())
        self._loop.park()  # `release` hands the lock over without freeing it

    def release(self) -> None:
        """Hand the lock to the next waiting task, or free it."""
        while self._waiting:
            task, token = self._waiting.popleft()
            if self._loop.wake(task, token):
                return
        self._is_locked = False
