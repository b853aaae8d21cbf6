"""A callback at the end of a task."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from walnutpost.eventloop import Loop, Task


def call_when_ended(loop: Loop, task: Task[Any], callback: Callable[[], None]) -> None:
    """Call `callback` once, also where the task raises, or is cancelled before it begins."""
    task.done_callbacks.append(lambda: loop.run_guarded(task.name, callback))
