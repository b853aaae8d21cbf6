"""Tasks: greenlets that take turns, their waits, and what ends a wait.

Each wait has a token. Whoever is to end it gets the token and calls `wake`; only the first call with a token
has an effect, so several may race for the same wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from greenlet import getcurrent, greenlet

from walnutpost.eventloop.errors import Cancelled, NotInTaskError

T = TypeVar("T")
MAX_OPERATIONS_PER_TURN = (
    32  # socket calls that a task may make without waiting, before others get their turn
)
EXTRA_TURNS = 64  # of tasks that others of the same round made ready, before the sockets are polled again


class Task(Generic[T]):
    """A greenlet and its outcome: once `is_done`, `result` or `error` is set."""

    __slots__ = (
        "_greenlet",
        "_scheduler",
        "done_callbacks",
        "error",
        "has_joiner",
        "is_done",
        "name",
        "operations",
        "pending_errors",
        "result",
        "wait_token",
    )

    def __init__(self, scheduler: TaskScheduler, name: str, call: Callable[[], T]) -> None:
        """Prepare the task; `TaskScheduler.spawn` makes it ready."""
        self.name = name
        self.is_done = False
        self.has_joiner = False  # somebody will see its error
        self.result: T | None = None
        self.error: BaseException | None = None
        self.wait_token = 0  # of the present wait; odd while waiting
        self.operations = 0  # socket calls since the last wait
        self.pending_errors: list[
            BaseException
        ] = []  # came while it was not waiting; thrown at the next wait
        self.done_callbacks: list[Callable[[], object]] = []
        self._scheduler = scheduler
        self._greenlet = greenlet(lambda _: scheduler._run_body(self, call), parent=scheduler._hub)

    def cancel(self) -> None:
        """End the task at its present or next wait; without effect if it has ended."""
        if not self.is_done:
            self._scheduler.interrupt(self, Cancelled())

    def join(self) -> T:
        """Wait for the end; raise what the task raised."""
        if not self.is_done:
            scheduler = self._scheduler
            self.has_joiner = True
            joiner, token = scheduler.begin_wait()
            self.done_callbacks.append(lambda: scheduler.wake(joiner, token))
            scheduler.park()
        if self.error is not None:
            raise self.error
        return self.result  # type: ignore[return-value]


class TaskScheduler:
    """The tasks of one thread, and the queue of those that are ready to go on."""

    def __init__(self, on_error: Callable[[str, BaseException], None] | None = None) -> None:
        """`on_error` gets the name and error of each task and callback whose error nobody else sees."""
        self._hub: Any = getcurrent()  # the greenlet that tasks switch back to
        self._on_error = on_error or (lambda name, error: None)
        self._ready: deque[tuple[Task[Any], Any, BaseException | None]] = deque()
        self._current: Task[Any] | None = None
        self._tasks: dict[Task[Any], None] = {}

    @property
    def has_ready_tasks(self) -> bool:
        """Whether any task can go on now."""
        return bool(self._ready)

    @property
    def has_tasks(self) -> bool:
        """Whether any task has not ended yet."""
        return bool(self._tasks)

    def spawn(self, call: Callable[..., T], *args: Any, name: str = "") -> Task[T]:
        """Start a task that runs `call`; it gets its first turn after the present ones."""
        task: Task[T] = Task(self, name or getattr(call, "__name__", "task"), lambda: call(*args))
        self._tasks[task] = None
        task.wait_token += 1
        self.wake(task, task.wait_token)
        return task

    def current_task(self) -> Task[Any]:
        """Return the task that runs now. Raises NotInTaskError."""
        if self._current is None:
            raise NotInTaskError
        return self._current

    def begin_wait(self) -> tuple[Task[Any], int]:
        """Announce a wait of the current task: `wake` with this token ends it, once. Then call `park`."""
        task = self.current_task()
        task.wait_token += 1
        return task, task.wait_token

    def park(self) -> Any:
        """Wait until woken; return the value given to `wake`, or raise the error that interrupts the wait."""
        task = self.current_task()
        task.operations = 0
        if task.pending_errors:
            task.wait_token += 1
            raise task.pending_errors.pop(0)
        return self._hub.switch()

    def wake(
        self, task: Task[Any], token: int, value: Any = None, error: BaseException | None = None
    ) -> bool:
        """End the wait announced with `token`; return False if something else ended it before."""
        if task.wait_token != token or task.is_done:
            return False
        task.wait_token += 1
        self._ready.append((task, value, error))
        return True

    def interrupt(self, task: Task[Any], error: BaseException) -> None:
        """Throw `error` into the task's present wait, or its next one."""
        is_waiting = task.wait_token & 1 and task is not self._current
        if not (is_waiting and self.wake(task, task.wait_token, error=error)):
            task.pending_errors.append(error)

    def yield_now(self) -> None:
        """Give every other ready task and the sockets their turn."""
        task, token = self.begin_wait()
        self.wake(task, token)
        self.park()

    def count_operation(self) -> None:
        """Count a socket call that did not wait; after MAX_OPERATIONS_PER_TURN of them, yield."""
        task = self._current
        if task is not None:
            task.operations += 1
            if task.operations >= MAX_OPERATIONS_PER_TURN:
                self.yield_now()

    def run_guarded(self, name: str, callback: Callable[[], object]) -> bool:
        """Run a callback; return False if it raised, which is reported under `name`.

        One callback's error must not end the loop, and with it everything else.
        """
        try:
            callback()
        except Exception as error:
            self._on_error(name, error)
            return False
        return True

    def _adopt_current_greenlet(self) -> None:
        """Let tasks switch back to the caller, which may not be the one that made the scheduler."""
        self._hub = getcurrent()

    def _run_ready_tasks(self) -> None:
        """Give a turn to each task that is ready, and EXTRA_TURNS to those that become ready meanwhile."""
        ready = self._ready
        for _ in range(len(ready) + EXTRA_TURNS):
            if not ready:
                break
            task, value, error = ready.popleft()
            self._current = task
            if error is None:
                task._greenlet.switch(value)
            elif not task._greenlet:  # ended before it began
                task.error = error
                self._finish(task)
            else:
                task._greenlet.throw(error)
            self._current = None

    def _cancel_all(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    def _run_body(self, task: Task[T], call: Callable[[], T]) -> None:
        """Run all of a task, on its own greenlet."""
        try:
            if task.pending_errors:  # ended before it began
                raise task.pending_errors.pop(0)
            task.result = call()
        except Cancelled as error:
            task.error = error
        except Exception as error:
            task.error = error
            if not task.has_joiner:  # the error ends this task alone, and is reported
                self._on_error(task.name, error)
        self._finish(task)

    def _finish(self, task: Task[Any]) -> None:
        task.is_done = True
        self._tasks.pop(task, None)
        for callback in task.done_callbacks:
            callback()
