"""Errors of the event loop: their base class, messages, and the builtin classes that callers catch."""

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
def test_error_has_its_base_class_builtin_class_and_message(
    error: Exception, builtin: type[Exception], text: str
) -> None:
    assert isinstance(error, EventLoopError)
    assert isinstance(error, builtin)
    assert str(error) == text


def test_wait_timeout_error_is_not_an_os_error() -> None:
    assert not issubclass(WaitTimeoutError, OSError)


def test_cancelled_is_not_caught_by_except_exception() -> None:
    assert not issubclass(Cancelled, Exception)


def test_wait_in_a_callback_raises_an_error_that_is_reported() -> None:
    errors: list[tuple[str, BaseException]] = []
    loop = virtual_loop(errors)

    def main() -> None:
        loop.call_later(0, lambda: loop.sleep(SECOND))
        loop.sleep(SECOND)

    loop.run(main)
    assert [(name, type(error)) for name, error in errors] == [("timer", NotInTaskError)]


def test_real_clock_cannot_be_advanced() -> None:
    with pytest.raises(ClockNotVirtualError) as raised:
        RealClock().advance_to(SECOND)
    assert raised.value.time_us == SECOND


def test_closed_stream_raises_econnaborted() -> None:
    loop = virtual_loop()

    def main() -> None:
        local, peer = socket.socketpair()
        local.setblocking(False)
        stream = Stream(loop, local)
        stream.close()
        peer.close()
        for method in (stream.recv, stream.recv_nowait, lambda: stream.send_all(b"x"), stream.shutdown_write):
            with pytest.raises(StreamClosedError) as raised:
                method()
            assert raised.value.errno == errno.ECONNABORTED

    loop.run(main)
