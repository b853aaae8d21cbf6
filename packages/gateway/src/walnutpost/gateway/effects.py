"""Effects: the outputs of the Gateway, which the embedder carries out.

An effect with the name of an action of `walnutpost.interface` has the same meaning, with the names of workers
and functions in place of their numbers. Times are in microseconds.
"""

from __future__ import annotations

from walnutpost.gateway.messages import FinalAnswer, Message


class AnswerCaller(Message, frozen=True):
    """Give the caller its only final answer."""

    caller_id: int
    final: FinalAnswer


class Send(Message, frozen=True):
    """Send the call to the worker as a new attempt, and input an AttemptEnded when the attempt ends.

    `call` and `attempt` identify the attempt; attempts of a call are numbered from 0. `tenant` is None if the
    call belongs to no tenant. `caller_id` is the first caller that waits for the call, 0 if none does.

    Cancel the attempt after `timeout_us`. If its first byte has not been sent within `begin_within_us` (0: no
    limit), the attempt must not begin any more and ends as EXPIRED. If `must_persist_intent`, the intent to
    send must be durable before the first byte is sent.
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
    """Cancel the attempt.

    It ends as CANCELLED, unless it has already ended with another outcome.
    """

    call: int
    attempt: int


class LoadOrder(Message, frozen=True):
    """Order the worker to load copies until it has at least `copies`, and input a LoadOrderEnded.

    With `copies` 0 the worker only reports how many copies it has. `begin_within_us` as in Send.
    """

    worker: str
    function: str
    copies: int
    begin_within_us: int = 0


class Unload(Message, frozen=True):
    """Order the worker to unload its idle copies of the function. No input reports the result."""

    worker: str
    function: str


class Probe(Message, frozen=True):
    """Check the worker's health, and input a ProbeEnded."""

    worker: str


class CloseIdleConnections(Message, frozen=True):
    """Close the connections to the worker that no attempt uses."""

    worker: str


class SetTimer(Message, frozen=True):
    """Input a TimerDue with `token` after `delay_us`. A timer cannot be cancelled."""

    delay_us: int
    token: int


class Log(Message, frozen=True):
    """Write `text` to the log as one line."""

    text: str


Effect = AnswerCaller | Send | Cancel | LoadOrder | Unload | Probe | CloseIdleConnections | SetTimer | Log
