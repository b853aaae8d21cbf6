"""Effects of the Gateway: what its caller carries out.

Where a name is that of an action of `walnutpost.interface`, it is the same thing with names of workers and
functions in place of numbers.
"""

from __future__ import annotations

from walnutpost.gateway.messages import Final, Message


class Answered(Message, frozen=True):
    """The one final answer for a caller."""

    caller_id: int
    final: Final


class Send(Message, frozen=True):
    """Send the call to the worker; give up after `timeout_us`.

    Where `must_persist_intent`, the store must have on disk that it is being sent before the first byte
    leaves. Where that has not left within `begin_within_us` (0: at any time), it must not begin any more, and
    the attempt ends as MOOT.
    """

    call: int
    attempt: int
    worker: str
    function: str
    tenant: str | None
    payload: bytes
    timeout_us: int
    caller_id: int
    must_persist_intent: bool
    begin_within_us: int = 0


class Cancel(Message, frozen=True):
    """Wait no longer for the attempt.

    Its AttemptEnded is CANCELLED, unless another outcome is on its way.
    """

    call: int
    attempt: int


class LoadOrder(Message, frozen=True):
    """Have the worker load at least so many copies; with none, ask how many there are.

    `begin_within_us` as in Send.
    """

    worker: str
    function: str
    copies: int
    begin_within_us: int = 0


class Unload(Message, frozen=True):
    """Have the worker drop its idle copies of the function."""

    worker: str
    function: str


class Probe(Message, frozen=True):
    """Check the worker's health."""

    worker: str


class CloseIdleConnections(Message, frozen=True):
    """Close the connections to the worker that are not in use."""

    worker: str


class SetTimer(Message, frozen=True):
    """A TimerDue with this token is wanted after `delay_us`; it can't be cancelled."""

    delay_us: int
    token: int


class WatchEndpoints(Message, frozen=True):
    """Watch the endpoint list, stop watching it, or (None) ask for it once."""

    is_on: bool | None = None


class Log(Message, frozen=True):
    """A line for the log."""

    text: str


Effect = (
    Answered
    | Send
    | Cancel
    | LoadOrder
    | Unload
    | Probe
    | CloseIdleConnections
    | SetTimer
    | WatchEndpoints
    | Log
)
