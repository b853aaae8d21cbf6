"""Actions: the decisions of the policy, which its caller carries out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Begin an attempt of the request at the worker; cancel it after `timeout_us`.

    `begin_within_us`: how long the decision is valid (0: no limit). If the first byte has not been sent by
    then, the attempt must not begin any more and ends as MOOT.
    """

    request: int
    worker: int
    timeout_us: int
    begin_within_us: int = 0


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer that the request was rejected: trying again is harmless, after `retry_after_us` if not 0."""

    request: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the request failed; it may have run."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send a `TimerDue` with the token after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order the worker to load at least so many copies; zero copies only asks how many there are.

    `begin_within_us` as in `Send`.
    """

    worker: int
    function: int
    copies: int
    begin_within_us: int = 0


@dataclass(frozen=True, slots=True)
class Unload:
    """Order the worker to unload its idle copies of the function."""

    worker: int
    function: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check the worker's health."""

    worker: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the connections to the worker that are not in use."""

    worker: int


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Watch the endpoint list, or stop watching it."""

    is_on: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the endpoint list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log. The text is on the simulator's wire."""

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
