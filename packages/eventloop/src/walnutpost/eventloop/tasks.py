"""Tasks, which are cooperatively scheduled greenlets, and their waits.

Each wait has a token, and is ended by a call of `wake` with this token. Only the first call has an effect, so
several events may compete to end the same wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from greenlet import getcurrent, greenlet

from walnutpost.eventloop.errors import Cancelled, NotInTaskError

T = TypeVar("T")
MAX_OPERATIONS_PER_TURN = 32  # socket calls that a task may make without waiting before it yields
EXTRA_TURNS = 64  # turns per round for tasks that became ready during it, before the sockets are polled again


class Task(Generic[T]):
    """A greenlet and its outcome: when `is_done` is true, either `result` or `error` is set."""

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
        """Create the task; `TaskScheduler.spawn` schedules its first turn."""
        self.name = name
        self.is_done = False
        self.has_joiner = False  # another task receives its error from `join`
        self.result: T | None = None
        self.error: BaseException | None = None
        self.wait_token = 0  # token of the current wait; odd while waiting
        self.operations = 0  # socket calls since the last wait
        # Errors of interruptions while the task was not waiting; raised at its next wait.
        self.pending_errors: list[BaseException] = []
        self.done_callbacks: list[Callable[[], object]] = []
        self._scheduler = scheduler
        self._greenlet = greenlet(lambda _: scheduler._run_body(self, call), parent=scheduler._hub)

    def cancel(self) -> None:
        """Raise Cancelled in the task at its current or next wait; do nothing if it has ended."""
        if not self.is_done:
            self._scheduler.interrupt(self, Cancelled())

    def join(self) -> T:
        """Wait until the task ends; return its result or raise its error."""
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
    """Runs the tasks of one thread from a queue of ready tasks."""

    def __init__(self, on_error: Callable[[str, BaseException], None] | None = None) -> None:
        """`on_error` receives the name and error of each task or callback whose error nobody handles."""
        self._hub: Any = getcurrent()  # the greenlet that tasks switch back to
        self._on_error = on_error or (lambda name, error: None)
        self._ready: deque[tuple[Task[Any], Any, BaseException | None]] = deque()
        self._current: Task[Any] | None = None
        self._tasks: dict[Task[Any], None] = {}

    @property
    def has_ready_tasks(self) -> bool:
        """Whether any task is ready to run."""
        return bool(self._ready)

    @property
    def has_tasks(self) -> bool:
        """Whether any task has not ended yet."""
        return bool(self._tasks)

    def spawn(self, call: Callable[..., T], *args: Any, name: str = "") -> Task[T]:
        """Start a task that runs `call`; its first turn comes after those of the tasks that are ready now."""
        task: Task[T] = Task(self, name or getattr(call, "__name__", "task"), lambda: call(*args))
        self._tasks[task] = None
        task.wait_token += 1
        self.wake(task, task.wait_token)
        return task

    def current_task(self) -> Task[Any]:
        """Return the running task. Raises NotInTaskError if there is none."""
        if self._current is None:
            raise NotInTaskError
        return self._current

    def begin_wait(self) -> tuple[Task[Any], int]:
        """Begin a wait of the current task, which `wake` ends with the returned token. Then call `park`."""
        task = self.current_task()
        task.wait_token += 1
        return task, task.wait_token

    def park(self) -> Any:
        """Suspend the current task until it is woken; return the value or raise the error given to `wake`."""
        task = self.current_task()
        task.operations = 0
        if task.pending_errors:
            task.wait_token += 1
            raise task.pending_errors.pop(0)
        return self._hub.switch()

    def wake(
        self, task: Task[Any], token: int, value: Any = None, error: BaseException | None = None
    ) -> bool:
        """End the wait that has this token; return False if it had already ended."""
        if task.wait_token != token or task.is_done:
            return False
        task.wait_token += 1
        self._ready.append((task, value, error))
        return True

    def interrupt(self, task: Task[Any], error: BaseException) -> None:
        """Raise `error` from the current wait of the task, or from its next one."""
        is_waiting = task.wait_token & 1 and task is not self._current
        if not (is_waiting and self.wake(task, task.wait_token, error=error)):
            task.pending_errors.append(error)

    def yield_now(self) -> None:
        """Let the other ready tasks and the sockets have a turn."""
        task, token = self.begin_wait()
        self.wake(task, token)
        self.park()

    def count_operation(self) -> None:
        """Count a socket call that did not wait; yield after MAX_OPERATIONS_PER_TURN calls."""
        task = self._current
        if task is not None:
            task.operations += 1
            if task.operations >= MAX_OPERATIONS_PER_TURN:
                self.yield_now()

    def run_guarded(self, name: str, callback: Callable[[], object]) -> bool:
        """Run a callback; if it raises, report the error under `name` and return False.

        An error in one callback must not end the whole loop.
        """
        try:
            callback()
        except Exception as error:
            self._on_error(name, error)
            return False
        return True

    def _use_current_greenlet_as_hub(self) -> None:
        """Make the calling greenlet the hub; it may differ from the one that created the scheduler."""
        self._hub = getcurrent()

    def _run_ready_tasks(self) -> None:
        """Give each ready task a turn, and up to EXTRA_TURNS to tasks that become ready meanwhile."""
        ready = self._ready
        for _ in range(len(ready) + EXTRA_TURNS):
            if not ready:
                break
            task, value, error = ready.popleft()
            self._current = task
            if error is None:
                task._greenlet.switch(value)
            elif not task._greenlet:  # interrupted before its first turn
                task.error = error
                self._finish(task)
            else:
                task._greenlet.throw(error)
            self._current = None

    def _cancel_all(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    def _run_body(self, task: Task[T], call: Callable[[], T]) -> None:
        """Run the task from start to end, on its own greenlet."""
        try:
            if task.pending_errors:  # interrupted before its first turn
                raise task.pending_errors.pop(0)
            task.result = call()
        except Cancelled as error:
            task.error = error
        except Exception as error:
            task.error = error
            if not task.has_joiner:  # nobody else receives the error, so report it
                self._on_error(task.name, error)
        self._finish(task)

    def _finish(self, task: Task[Any]) -> None:
        task.is_done = True
        self._tasks.pop(task, None)
        for callback in task.done_callbacks:
            callback()
