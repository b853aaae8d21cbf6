"""Errors: one base class, and the builtin classes that callers catch."""

from __future__ import annotations

import errno
import socket

import pytest

from walnutpost.eventloop import (
    Cancelled,
    ClockNotVirtualError,
    EventLoopError,
    NotInTaskError,
    QueueFullError,
    RealClock,
    Stream,
    StreamClosedError,
    TlsTruncatedError,
    WaitTimeoutError,
)
from walnutpost.testsupport.eventloop.fixtures import SECOND, virtual_loop

ERRORS = [
    (ClockNotVirtualError(SECOND), RuntimeError, "cannot advance a real clock"),
    (
        NotInTaskError(),
        RuntimeError,
        "only a task of this loop can wait, not a callback or another thread",
    ),
    (QueueFullError(3), Exception, "queue is full (3 items)"),
    (StreamClosedError(), ConnectionAbortedError, "[Errno 103] stream was closed locally"),
    (TlsTruncatedError(), ConnectionResetError, "[Errno 104] cut off without TLS's farewell"),
    (WaitTimeoutError(SECOND), Exception, "timed out"),
]


@pytest.mark.parametrize(("error", "builtin", "text"), ERRORS)
def test_error_has_the_common_base_its_builtin_class_and_its_text(
    error: Exception, builtin: type[Exception], text: str
) -> None:
    assert isinstance(error, EventLoopError)
    assert isinstance(error, builtin)
    assert str(error) == text


def test_timeout_is_not_taken_for_a_broken_connection() -> None:
    assert not issubclass(WaitTimeoutError, OSError)


def test_cancellation_is_not_caught_as_an_exception() -> None:
    assert not issubclass(Cancelled, Exception)


def test_wait_in_a_callback_raises_and_is_reported() -> None:
    errors: list[tuple[str, BaseException]] = []
    loop = virtual_loop(errors)

    def main() -> None:
        loop.call_later(0, lambda: loop.sleep(SECOND))
        loop.sleep(SECOND)

    loop.run(main)
    assert [(name, type(error)) for name, error in errors] == [("timer", NotInTaskError)]


def test_real_clock_is_not_moved() -> None:
    with pytest.raises(ClockNotVirtualError) as raised:
        RealClock().advance_to(SECOND)
    assert raised.value.time_us == SECOND


def test_closed_stream_raises_with_the_systems_number() -> None:
    loop = virtual_loop()

    def main() -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        stream = Stream(loop, near)
        stream.close()
        far.close()
        for use in (stream.recv, stream.recv_now, lambda: stream.send_all(b"x"), stream.end_writing):
            with pytest.raises(StreamClosedError) as raised:
                use()
            assert raised.value.errno == errno.ECONNABORTED

    loop.run(main)
