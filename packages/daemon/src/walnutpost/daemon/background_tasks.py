"""Background tasks, which run until the front end stops."""

from __future__ import annotations

from collections.abc import Callable

from walnutpost.eventloop import Loop, Task


class BackgroundTasks:
    """Spawns tasks that run until `cancel_all`."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._tasks: list[Task[None]] = []

    def spawn(self, function: Callable[[], None], name: str) -> None:
        """Run a function in a new task; `name` identifies it in logs."""
        self._tasks.append(self._loop.spawn(function, name=name))

    def cancel_all(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
