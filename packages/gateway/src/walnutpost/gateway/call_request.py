"""A client's request for a synchronous or deferred call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A client's request to call a function.

    `tenant` is None if the client names none. `time_left_us` is the time until the call's deadline, counted
    from when the front end passes the request on. `request_id` identifies the request in logs.
    """

    function: str
    tenant: str | None
    payload: bytes
    time_left_us: int
    request_id: str
