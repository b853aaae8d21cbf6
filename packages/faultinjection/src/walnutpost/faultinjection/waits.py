"""Waits for a cluster: each ends by itself, and its error has the reason."""

from __future__ import annotations

import subprocess
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TypeVar

from walnutpost.controlplane import ControlPlaneUnavailableError
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.errors import WaitError

START_TIMEOUT_US = 60_000_000
POLL_INTERVAL_US = 30_000
MAX_LOG_TAIL_BYTES = 2_000  # of an ended process, in the reason of a wait that ended in vain
T = TypeVar("T")


def wait_until(
    loop: Loop,
    condition: Callable[[], object],
    what: str,
    folder: Path,
    timeout_us: int = START_TIMEOUT_US,
    reason: Callable[[], str] = str,
) -> None:
    """Wait for a condition; raises WaitError, which names the folder with the logs and the `reason`."""
    end_us = loop.now() + timeout_us
    while not condition():
        if loop.now() > end_us:
            raise WaitError(what, reason(), folder)
        loop.sleep(POLL_INTERVAL_US)


def wait_for_quorum(
    loop: Loop,
    ask: Callable[[], T],
    folder: Path,
    ended: Callable[[], str] = str,
    timeout_us: int = START_TIMEOUT_US,
) -> T:
    """Return the answer of a quorum, which may be lost for a while.

    `ask` raises ControlPlaneUnavailableError until then. Raises WaitError with the last of them and the
    processes that `ended` names.
    """
    answers: list[T] = []
    last_error = ""

    def has_answered() -> bool:
        nonlocal last_error
        try:
            answers.append(ask())
        except ControlPlaneUnavailableError as error:
            last_error = str(error)
        return bool(answers)

    def reason() -> str:
        return "; ".join(filter(None, [last_error, ended()]))

    wait_until(loop, has_answered, "a quorum's answer", folder, timeout_us, reason)
    return answers[0]


def describe_ended(
    processes: Mapping[str, subprocess.Popen[bytes]], log_of: Callable[[str], Path] | None = None
) -> str:
    """Name the processes that have ended though they should run, each with its exit code.

    The end of its log comes with it, since the folder of a run that failed elsewhere is often gone.
    """
    ended = []
    for name, process in processes.items():
        code = process.poll()
        if code is None:
            continue
        tail = _log_tail(log_of(name)) if log_of is not None else ""
        ended.append(f"{name} ended with {code}{f' ({tail})' if tail else ''}")
    return ", ".join(ended)


def _log_tail(log: Path) -> str:
    try:
        return log.read_bytes()[-MAX_LOG_TAIL_BYTES:].decode(errors="replace").strip()
    except OSError:
        return ""
