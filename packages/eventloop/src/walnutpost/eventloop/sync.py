"""Events, bounded queues and groups of tasks."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Generic, TypeVar

from walnutpost.eventloop.scheduler import Loop, Task

T = TypeVar("T")


class Full(Exception):
    """A bounded queue takes no more."""


class Event:
    """Set once; every wait ends then."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waits: list[tuple[Task[Any], int]] = []
        self.is_set = False

    def set(self) -> None:
        self.is_set = True
        waits, self._waits = self._waits, []
        for task, token in waits:
            self._loop.wake(task, token)

    def wait(self) -> None:
        if not self.is_set:
            self._waits.append(self._loop.waiting())
            self._loop.park()


class Queue(Generic[T]):
    """First in, first out, `most` items at the most."""

    def __init__(self, loop: Loop, most: int) -> None:
        self._loop = loop
        self._most = most
        self._items: deque[T] = deque()
        self._getters: deque[tuple[Task[Any], int]] = deque()
        self._putters: deque[tuple[Task[Any], int]] = deque()

    def __len__(self) -> int:
        return len(self._items)

    def put_now(self, item: T) -> None:
        """Raises Full instead of waiting; may be called from callbacks."""
        if len(self._items) >= self._most:
            raise Full(f"queue holds {self._most} items")
        self._items.append(item)
        self._wake(self._getters)

    def put(self, item: T) -> None:
        while len(self._items) >= self._most:
            self._putters.append(self._loop.waiting())
            self._loop.park()
        self._items.append(item)
        self._wake(self._getters)

    def get(self) -> T:
        while not self._items:
            self._getters.append(self._loop.waiting())
            self._loop.park()
        item = self._items.popleft()
        self._wake(self._putters)
        return item

    def _wake(self, waits: deque[tuple[Task[Any], int]]) -> None:
        while waits and not self._loop.wake(*waits.popleft()):
            pass


class Group:
    """Tasks that end together: leaving the block waits for all, or cancels all when an error leaves it."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._tasks: dict[Task[Any], None] = {}

    def spawn(self, call: Callable[..., T], *args: Any, name: str = "") -> Task[T]:
        task = self._loop.spawn(call, *args, name=name)
        self._tasks[task] = None
        task.watchers.append(lambda: self._tasks.pop(task, None))
        return task

    def cancel(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    def __len__(self) -> int:
        return len(self._tasks)

    def __enter__(self) -> Group:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if error is not None:
            self.cancel()
        first: Exception | None = None
        for task in list(self._tasks):
            try:
                task.join()
            except Exception as failure:
                if first is None:
                    first = failure
                    self.cancel()
            except BaseException:
                if not task.done:  # this very task is being ended: the others with it
                    self.cancel()
                    raise
        if error is None and first is not None:
            raise first
