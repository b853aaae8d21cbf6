"""Synchronization of tasks: events, bounded queues and task groups."""

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
    """A flag that tasks wait for. It is set once and never cleared."""

    def __init__(self, loop: TaskScheduler) -> None:
        self._loop = loop
        self._waiters: list[_Waiter] = []
        self.is_set = False

    def set(self) -> None:
        """Wake all waiting tasks, and let later waits return at once. Callbacks may call this."""
        self.is_set = True
        waiters, self._waiters = self._waiters, []
        for task, token in waiters:
            self._loop.wake(task, token)

    def wait(self) -> None:
        """Wait until the event is set."""
        if not self.is_set:
            self._waiters.append(self._loop.begin_wait())
            self._loop.park()


class Queue(Generic[T]):
    """A bounded first-in, first-out queue."""

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
        """Append an item. Raises QueueFullError instead of waiting. Callbacks may call this."""
        if len(self._items) >= self._max_items:
            raise QueueFullError(self._max_items)
        self._items.append(item)
        self._wake_one(self._getters)

    def put(self, item: T) -> None:
        """Wait until the queue is not full, and append an item."""
        while len(self._items) >= self._max_items:
            self._putters.append(self._loop.begin_wait())
            self._loop.park()
        self._items.append(item)
        self._wake_one(self._getters)

    def get(self) -> T:
        """Wait until the queue is not empty; remove and return the first item."""
        while not self._items:
            self._getters.append(self._loop.begin_wait())
            self._loop.park()
        item = self._items.popleft()
        self._wake_one(self._putters)
        return item

    def _wake_one(self, waiters: deque[_Waiter]) -> None:
        """Wake the first waiter whose wait has not ended otherwise, such as by a timeout."""
        while waiters and not self._loop.wake(*waiters.popleft()):
            pass


class TaskGroup:
    """A group of tasks. Leaving the `with` block waits for all; an error in the block cancels them."""

    def __init__(self, loop: TaskScheduler) -> None:
        self._loop = loop
        self._tasks: dict[Task[Any], None] = {}

    def spawn(self, call: Callable[..., T], *args: Any, name: str = "") -> Task[T]:
        """Start a task in this group."""
        task = self._loop.spawn(call, *args, name=name)
        self._tasks[task] = None
        task.done_callbacks.append(lambda: self._tasks.pop(task, None))
        return task

    def cancel(self) -> None:
        """Cancel all tasks, each at its current or next wait."""
        for task in list(self._tasks):
            task.cancel()

    def __len__(self) -> int:
        """Return how many tasks have not ended."""
        return len(self._tasks)

    def __enter__(self) -> TaskGroup:
        """Enter the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Wait for all tasks. The first error of a task cancels the others and is raised."""
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
                if not task.is_done:  # the joining task itself is cancelled, so cancel the group
                    self.cancel()
                    raise
        return first_error
