"""Connection handlers for a scripted worker."""

from __future__ import annotations

from contextlib import suppress

from walnutpost.eventloop import Stream


def never_respond(stream: Stream) -> None:
    """Read a request and send no response until the client closes or resets the connection."""
    stream.recv()
    with suppress(ConnectionResetError):  # the client resets a connection whose request has no response
        stream.recv()
