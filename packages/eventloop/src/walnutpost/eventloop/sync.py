"""Events, bounded queues and groups of tasks."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any, Generic, TypeVar

from walnutpost.eventloop.errors import QueueFullError
from walnutpost.eventloop.tasks import Task, TaskScheduler

T = TypeVar("T")
_Waiter = tuple[Task[Any], int]  # a task, and the token of its wait


class Event:
    """Set once; every wait ends then."""

    def __init__(self, loop: TaskScheduler) -> None:
        self._loop = loop
        self._waiters: list[_Waiter] = []
        self.is_set = False

    def set(self) -> None:
        """End all waits, present and later; may be called from callbacks."""
        self.is_set = True
        waiters, self._waiters = self._waiters, []
        for task, token in waiters:
            self._loop.wake(task, token)

    def wait(self) -> None:
        """Wait until it is set."""
        if not self.is_set:
            self._waiters.append(self._loop.begin_wait())
            self._loop.park()


class Queue(Generic[T]):
    """A bounded queue: first in, first out."""

    def __init__(self, loop: TaskScheduler, max_items: int) -> None:
        self._loop = loop
        self._max_items = max_items
        self._items: deque[T] = deque()
        self._getters: deque[_Waiter] = deque()
        self._putters: deque[_Waiter] = deque()

    def __len__(self) -> int:
        """Return how many items are queued."""
        return len(self._items)

    def put_nowait(self, item: T) -> None:
        """Append an item; may be called from callbacks. Raises QueueFullError instead of waiting."""
        if len(self._items) >= self._max_items:
            raise QueueFullError(self._max_items)
        self._items.append(item)
        self._wake_one(self._getters)

    def put(self, item: T) -> None:
        """Append an item, once there is capacity for it."""
        while len(self._items) >= self._max_items:
            self._putters.append(self._loop.begin_wait())
            self._loop.park()
        self._items.append(item)
        self._wake_one(self._getters)

    def get(self) -> T:
        """Remove and return the first item, once there is one."""
        while not self._items:
            self._getters.append(self._loop.begin_wait())
            self._loop.park()
        item = self._items.popleft()
        self._wake_one(self._putters)
        return item

    def _wake_one(self, waiters: deque[_Waiter]) -> None:
        """Wake the first whose wait nothing else has ended."""
        while waiters and not self._loop.wake(*waiters.popleft()):
            pass


class TaskGroup:
    """Tasks that end together: leaving the block waits for all, or cancels all when an error leaves it."""

    def __init__(self, loop: TaskScheduler) -> None:
        self._loop = loop
        self._tasks: dict[Task[Any], None] = {}

    def spawn(self, call: Callable[..., T], *args: Any, name: str = "") -> Task[T]:
        """Start a task of this group."""
        task = self._loop.spawn(call, *args, name=name)
        self._tasks[task] = None
        task.done_callbacks.append(lambda: self._tasks.pop(task, None))
        return task

    def cancel(self) -> None:
        """End all tasks at their present or next wait."""
        for task in list(self._tasks):
            task.cancel()

    def __len__(self) -> int:
        """Return how many tasks have not ended."""
        return len(self._tasks)

    def __enter__(self) -> TaskGroup:
        """Begin the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Wait for all tasks; raise the first error of one, which cancels the others."""
        if error is not None:
            self.cancel()
        task_error = self._join_all()
        if error is None and task_error is not None:
            raise task_error

    def _join_all(self) -> Exception | None:
        first_error: Exception | None = None
        for task in list(self._tasks):
            try:
                task.join()
            except Exception as error:
                if first_error is None:
                    first_error = error
                    self.cancel()
            except BaseException:
                if not task.is_done:  # this very task is being ended: the others with it
                    self.cancel()
                    raise
        return first_error
