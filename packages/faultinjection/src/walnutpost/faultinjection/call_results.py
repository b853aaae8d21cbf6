"""What became of clients' calls."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import StrEnum

from walnutpost.http import Response

ONE_OFF_PREFIX = "one-off-"
ANSWERED = (200, 202)
REJECTED = 429


class CallResultKind(StrEnum):
    """How a call ended for the client; the values are printed."""

    UNKNOWN = ""
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    NO_ANSWER = "no answer"
    UNREACHABLE = "unreachable"
    OTHER_STATUS = "error"


@dataclass(slots=True)
class CallResult:
    """What became of one call.

    `latency_us` counts from the time at which it was meant to be sent, so that a client who was delayed by
    others hides nothing. `status` is that of the last response, 0 where there was none.
    """

    call: str
    function: str
    is_deferred: bool
    kind: CallResultKind = CallResultKind.UNKNOWN
    latency_us: int = 0
    attempts: int = 0
    status: int = 0


def kind_of_response(response: Response) -> CallResultKind:
    """Return what a response is to the client."""
    if response.status in ANSWERED:
        has_failed = "x-amz-function-error" in response.headers
        return CallResultKind.FAILED if has_failed else CallResultKind.SERVED
    return CallResultKind.REJECTED if response.status == REJECTED else CallResultKind.OTHER_STATUS


def one_off_name(number: int) -> str:
    """Return the name of a function that is called once only."""
    return f"{ONE_OFF_PREFIX}{number:05d}"


def by_function(results: list[CallResult]) -> dict[str, list[CallResult]]:
    """TaskGroup results by function and by whether they were deferred; one-off functions are one group."""
    groups: defaultdict[str, list[CallResult]] = defaultdict(list)
    for result in results:
        name = "one-offs" if result.function.startswith(ONE_OFF_PREFIX) else result.function
        groups[f"{name} deferred" if result.is_deferred else name].append(result)
    return dict(sorted(groups.items()))
