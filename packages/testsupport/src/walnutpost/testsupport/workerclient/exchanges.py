"""What a scripted worker does with a connection."""

from __future__ import annotations

from contextlib import suppress

from walnutpost.eventloop import Stream


def stay_silent(stream: Stream) -> None:
    stream.recv()
    with suppress(ConnectionResetError):  # a connection given up with something unanswered ends by a reset
        stream.recv()
