"""What a client asks for with one request, synchronous or deferred."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A client's request for a call of a function.

    `tenant` is None if the client names none. `time_left_us` counts from when the request is passed on;
    `request_id` is the text under which the client finds the request in logs.
    """

    function: str
    tenant: str | None
    payload: bytes
    time_left_us: int
    request_id: str
