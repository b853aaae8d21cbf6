"""Effects of the Gateway, which its embedder carries out.

Where a name is that of an action of `walnutpost.interface`, it is the same thing with names of workers and
functions in place of numbers.
"""

from __future__ import annotations

from walnutpost.gateway.messages import Final, Message


class AnswerCaller(Message, frozen=True):
    """The one final answer for a caller."""

    caller_id: int
    final: Final


class Send(Message, frozen=True):
    """Send the call to the worker; cancel the attempt after `timeout_us`.

    `caller_id` is the first caller that waits for the call, 0 if there is none.

    If `must_persist_intent`, the intent to send must be durable before the first byte leaves. If that byte
    has not left within `begin_within_us` (0: no limit), the attempt must not begin any more and ends as MOOT.
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
    """Stop waiting for the attempt.

    Its AttemptEnded is CANCELLED, unless another outcome has come before.
    """

    call: int
    attempt: int


class LoadOrder(Message, frozen=True):
    """Order the worker to load at least so many copies; zero copies only asks how many there are.

    `begin_within_us` as in Send.
    """

    worker: str
    function: str
    copies: int
    begin_within_us: int = 0


class Unload(Message, frozen=True):
    """Order the worker to unload its idle copies of the function."""

    worker: str
    function: str


class Probe(Message, frozen=True):
    """Check the worker's health."""

    worker: str


class CloseIdleConnections(Message, frozen=True):
    """Close the connections to the worker that are not in use."""

    worker: str


class SetTimer(Message, frozen=True):
    """Input a TimerDue with this token after `delay_us`; it cannot be cancelled."""

    delay_us: int
    token: int


class Log(Message, frozen=True):
    """Write a line to the log."""

    text: str


Effect = AnswerCaller | Send | Cancel | LoadOrder | Unload | Probe | CloseIdleConnections | SetTimer | Log
