"""What every process of this program needs: its event loop, its signals, enough descriptors."""

from __future__ import annotations

import resource
import signal
from collections.abc import Callable

from walnutpost.eventloop import Event, Logger, Loop


def make_loop(log: Logger) -> Loop:
    """Return an event loop that logs what ends a task by an exception."""

    def log_task_failure(name: str, error: BaseException) -> None:
        log.error("task_failed", task=name, error=repr(error), exc_info=error)

    return Loop(on_error=log_task_failure)


def raise_descriptor_limit() -> None:
    """Raise the limit of open descriptors to the hard limit: each of hundreds of members has a connection."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def stop_event(loop: Loop, log: Logger) -> Event:
    """Return an event that SIGINT and SIGTERM set."""
    event = Event(loop)

    def handler(name: str) -> Callable[[], None]:
        def stop() -> None:
            log.info("stopping", signal=name)
            event.set()

        return stop

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.on_signal(number, handler(number.name))
    return event
