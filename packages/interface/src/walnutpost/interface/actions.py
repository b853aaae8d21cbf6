"""Actions: the decisions of the policy, which its caller carries out.

Fields named `request`, `function` and `worker` are numbers from `RequestArrived` and `Worker.id`.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt of the request at the worker."""

    request: int
    worker: int
    timeout_us: int
    """The time after which the attempt is cancelled."""
    begin_within_us: int = 0
    """How long the decision is valid; 0 means no limit.

    If the first byte has not been sent by then, the attempt must not begin any more and ends as EXPIRED.
    """


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the client that the request was rejected; a retry is harmless."""

    request: int
    retry_after_us: int
    """How long the client should wait before it retries; 0 gives no advice."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the client that the request failed; it may have run."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int
    """The index of the attempt among those of the request, in the order of their `Send` actions, from 0."""


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a `TimerDue` event with this token after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order the worker to load copies of the function until it has at least `copies` of them."""

    worker: int
    function: int
    copies: int
    """The minimum number of copies; 0 loads nothing and only queries how many there are."""
    begin_within_us: int = 0
    """How long the decision is valid, as in `Send`; 0 means no limit."""


@dataclass(frozen=True, slots=True)
class Unload:
    """Order the worker to unload its idle copies of the function."""

    worker: int
    function: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check the worker's health; the result is a `ProbeEnded` event."""

    worker: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the connections to the worker that are not in use."""

    worker: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list; each update is a `WorkersListed` event."""

    is_on: bool
    """True starts the watch, False stops it."""


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the endpoint list once; the result is a `WorkersListed` event."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log. The simulator's protocol transmits the text."""

    text: str


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | LoadOrder
    | Unload
    | Probe
    | CloseIdleConnections
    | WatchEndpoints
    | FetchEndpoints
    | Log
)
