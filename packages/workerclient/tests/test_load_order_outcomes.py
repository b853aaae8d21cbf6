"""Each load order reports exactly one outcome, which is true of the worker."""

from __future__ import annotations

import errno
from collections.abc import Callable

import pytest

from walnutpost.eventloop import Stream
from walnutpost.http import Connection, HttpMessageError, Response, encode_response
from walnutpost.interface import Outcome
from walnutpost.testsupport.workerclient.harness import (
    TWO_COPIES_LOADED,
    US_PER_S,
    RespondingWorkerHarness,
    delay_connects,
)
from walnutpost.workerclient import codec


def close_after_reading(stream: Stream) -> None:
    stream.recv()


def reset_after_reading(stream: Stream) -> None:
    stream.recv()
    stream.reset()


ORDER_EXCHANGES: dict[str, tuple[bytes | Callable[[Stream], None], Outcome]] = {
    "the copies are loaded": (TWO_COPIES_LOADED, Outcome.OK),
    "no capacity": (encode_response(Response(503, {}, b'{"copies": 1}')), Outcome.FULL),
    "an infinite number of copies": (
        encode_response(Response(200, {}, b'{"copies": 1e999}')),
        Outcome.ERROR,
    ),
    "closed": (close_after_reading, Outcome.RESET),
    "reset": (reset_after_reading, Outcome.RESET),
    # After these, the worker may still read the order.
    "silence": (b"", Outcome.TIMEOUT),
    "a partial response": (TWO_COPIES_LOADED[:-1], Outcome.TIMEOUT),
    "not HTTP": (b"\x00\x01 what\r\n\r\n", Outcome.TIMEOUT),
}


@pytest.mark.parametrize("name", ORDER_EXCHANGES)
def test_a_load_order_reports_one_outcome_that_matches_how_the_exchange_ended(name: str) -> None:
    worker, expected = ORDER_EXCHANGES[name]
    harness = RespondingWorkerHarness(worker if isinstance(worker, bytes) else b"")

    def script() -> None:
        ended = harness.order_load()
        assert ended.outcome is expected
        assert ended.copies == {Outcome.OK: 2, Outcome.FULL: 1}.get(expected, 0)

    if isinstance(worker, bytes):
        harness.run_script(script)
    else:
        harness.run(worker, script)


@pytest.mark.parametrize(
    ("error", "has_sent_bytes", "expected"),
    [
        (ConnectionResetError(errno.ECONNRESET, "reset"), True, Outcome.RESET),
        (BrokenPipeError(errno.EPIPE, "broken"), True, Outcome.RESET),
        (BrokenPipeError(errno.EPIPE, "broken"), False, Outcome.CONNECT_FAILED),
        # After a network failure, the worker may still read the bytes in its kernel.
        (OSError(errno.EHOSTUNREACH, "no route"), True, Outcome.TIMEOUT),
        (TimeoutError(errno.ETIMEDOUT, "gave up"), True, Outcome.TIMEOUT),
        (HttpMessageError(400, "not HTTP"), True, Outcome.TIMEOUT),
    ],
)
def test_the_outcome_of_a_load_order_depends_on_the_connection_error(
    error: Exception, has_sent_bytes: bool, expected: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = RespondingWorkerHarness()

    def fail(connection: Connection, data: bytes) -> Response:
        connection.stream.has_sent = has_sent_bytes
        raise error

    monkeypatch.setattr(Connection, "exchange", fail)
    harness.run_script(lambda: assert_load_order_outcome(harness, expected))


def assert_load_order_outcome(harness: RespondingWorkerHarness, expected: Outcome) -> None:
    assert harness.order_load().outcome is expected


def test_a_load_order_whose_connect_times_out_ends_as_connect_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = RespondingWorkerHarness()
    delay_connects(monkeypatch, harness, US_PER_S)
    harness.run_script(lambda: assert_load_order_outcome(harness, Outcome.CONNECT_FAILED))
    assert not harness.received


@pytest.mark.parametrize(
    ("function", "expected"),
    [("encode_load_order", Outcome.EXPIRED), ("decode_load_response", Outcome.TIMEOUT)],
)
def test_a_load_order_whose_task_raises_reports_one_end(
    function: str, expected: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = RespondingWorkerHarness(TWO_COPIES_LOADED)
    error = RuntimeError("bug in the client")

    def fail(*args: object) -> bytes:
        raise error

    monkeypatch.setattr(codec, function, fail)

    def script() -> None:
        assert harness.order_load().outcome is expected
        assert harness.loop_errors == [error]
        harness.loop_errors.clear()

    harness.run_script(script)
