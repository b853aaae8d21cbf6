"""The base class of the Gateway's inputs and effects, and the final answers of calls."""

from __future__ import annotations

from enum import Enum

import msgspec


class Message(msgspec.Struct, frozen=True):
    """An immutable value.

    Each call creates a dozen of them, and a frozen dataclass takes five times as long to create.
    """


class Failure(Enum):
    """Why a call failed. Only FUNCTION means that the function itself reported an error."""

    FUNCTION = "function"  # the function ran and raised an error
    DEADLINE = "deadline"  # no answer before the call's deadline
    WORKER = "worker"  # a worker or the connection to it failed, and the call may have run
    STOPPED = "stopped"  # the call's owner stopped it
    RESTART = "restart"  # the front end restarted while a call that is not safe may have been running


class Served(Message, frozen=True):
    """The function answered. `worker` ran the call, and `version` is the function's version."""

    payload: bytes
    worker: str
    version: str


class Rejected(Message, frozen=True):
    """The call was rejected and had no effect that a retry would repeat.

    The client should wait `retry_after_us` before it retries; 0 gives no advice.
    """

    reason: str
    retry_after_us: int = 0


class Failed(Message, frozen=True):
    """The call failed, and may have taken effect.

    `payload` is the function's own error, None if it reported none.
    """

    failure: Failure
    message: str
    payload: bytes | None = None


FinalAnswer = Served | Rejected | Failed
