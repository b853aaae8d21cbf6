"""The base of the Gateway's messages, and the final answers of calls. Times are in microseconds."""

from __future__ import annotations

from enum import Enum

import msgspec


class Message(msgspec.Struct, frozen=True):
    """A frozen value. A frozen dataclass takes five times as long to build, and each call builds a dozen."""


class Failure(Enum):
    """Why a call failed. Only FUNCTION is the function's own answer."""

    FUNCTION = "function"  # the function ran and raised
    DEADLINE = "deadline"  # no answer in the time that its caller allowed
    WORKER = "worker"  # a worker or the connection to it failed, and the call may have run
    STOPPED = "stopped"  # its owner stopped it
    RESTART = "restart"  # the front end restarted while an unsafe call may have been running


class Served(Message, frozen=True):
    """The function's answer, with the worker that gave it and the function's version."""

    payload: bytes
    worker: str
    version: str


class Rejected(Message, frozen=True):
    """A retry is harmless, after `retry_after_us` if that is above zero."""

    reason: str
    retry_after_us: int = 0


class Failed(Message, frozen=True):
    """The call may have taken effect; `payload` is the function's own error, if it gave one."""

    failure: Failure
    message: str
    payload: bytes | None = None


Final = Served | Rejected | Failed
