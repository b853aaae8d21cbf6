"""What a scripted worker does with a connection."""

from __future__ import annotations

from contextlib import suppress

from walnutpost.eventloop import Stream


def stay_silent(stream: Stream) -> None:
    """Read a request and answer nothing until the client gives the connection up."""
    stream.recv()
    with suppress(ConnectionResetError):  # a connection given up with something unanswered ends by a reset
        stream.recv()
