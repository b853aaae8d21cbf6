"""The requests that wait at a watch server, and when a change wakes them."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from walnutpost.eventloop import Loop, Stream, Task
from walnutpost.eventloop.timers import Timer


class WaitingRequests:
    """Tasks of requests, woken together, at most once in `batch_interval_us`.

    `revision`: returns the revision of the store, None while there is none.
    """

    def __init__(self, loop: Loop, revision: Callable[[], int | None], batch_interval_us: int) -> None:
        self._loop = loop
        self._revision = revision
        self._batch_interval_us = batch_interval_us
        self._waiting: dict[Task[object], int] = {}
        self._woken_revision = 0  # the store's at the last wake
        self._woken_at_us = loop.now() - batch_interval_us
        self._wake_timer: Timer | None = None

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def wake(self) -> None:
        """Wake all requests, at once or at the end of the batch interval."""
        if self._wake_timer is not None:
            return
        wait_us = self._woken_at_us + self._batch_interval_us - self._loop.now()
        if wait_us <= 0:
            self._wake_all()
        else:
            self._wake_timer = self._loop.call_later(wait_us, self._wake_all)

    def is_wake_due_after(self, revision: int) -> bool:
        """Whether another wake is due, and the last one brought no more than `revision`."""
        return self._wake_timer is not None and self._woken_revision <= revision

    def wait(self, timeout_us: int, stream: Stream | None) -> bool:
        """Wait for the next wake or the timeout; return whether the watcher has closed its connection."""
        task, token = self._loop.begin_wait()
        timer = self._loop.call_later(timeout_us, partial(self._loop.wake, task, token))
        if stream is not None:
            stream.on_readable(lambda: stream.has_ended() and self._loop.wake(task, token, True))
        self._waiting[task] = token
        try:
            return self._loop.park() is True
        finally:
            timer.cancel()
            self._waiting.pop(task, None)
            if stream is not None:
                stream.on_readable(None)

    def _wake_all(self) -> None:
        self._wake_timer = None
        self._woken_at_us = self._loop.now()
        revision = self._revision()
        if revision is not None:
            self._woken_revision = revision
        waiting, self._waiting = self._waiting, {}
        for task, token in waiting.items():
            self._loop.wake(task, token)
