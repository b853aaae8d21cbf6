"""Callbacks at the end of tasks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from walnutpost.eventloop import Loop, Task


def add_done_callback(loop: Loop, task: Task[Any], callback: Callable[[], None]) -> None:
    """Call `callback` once when the task ends, even if it raises or is cancelled before it starts."""
    task.done_callbacks.append(lambda: loop.run_guarded(task.name, callback))
