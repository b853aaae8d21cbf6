"""Validation of watch requests, which may come from any process that reaches a watch server. No I/O."""

from __future__ import annotations

from walnutpost.configstore import DIGEST_BUCKETS, InvalidMessageError, WatchRequest

MAX_NAME_CHARS = 200
"""Length of a member's name, and of an incarnation."""


def validate_request(request: WatchRequest) -> None:
    """Raise InvalidMessageError for a request that no watcher sends."""
    numbers = {
        "session": request.session,
        "revision": request.revision,
        "applied_revision": request.applied_revision,
        "wait_timeout_us": request.wait_timeout_us,
        "base_revision": request.base_revision,
    }
    for name, value in numbers.items():
        if value < 0:
            raise InvalidMessageError(f"WatchRequest: {name}: found {value}, wanted 0 or more")
    for name, text in (("member", request.member), ("incarnation", request.incarnation)):
        if len(text) > MAX_NAME_CHARS:
            raise InvalidMessageError(
                f"WatchRequest: {name}: found {len(text)} characters, wanted {MAX_NAME_CHARS} at most"
            )
    wanted = request.wanted_buckets
    if len(wanted) > DIGEST_BUCKETS or any(not 0 <= bucket < DIGEST_BUCKETS for bucket in wanted):
        raise InvalidMessageError(
            f"WatchRequest: wanted_buckets: found {wanted[:10]}, wanted 0 to {DIGEST_BUCKETS - 1}"
        )
