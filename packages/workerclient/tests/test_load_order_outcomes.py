"""Load orders: each ends once, with an outcome that is true of the worker."""

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
    RespondingWorkerRig,
    delay_connects,
)
from walnutpost.workerclient import codec


def close_after_reading(stream: Stream) -> None:
    stream.recv()


def reset_after_reading(stream: Stream) -> None:
    stream.recv()
    stream.reset()


ORDER_ENDS: dict[str, tuple[bytes | Callable[[Stream], None], Outcome]] = {
    "the copies are loaded": (TWO_COPIES_LOADED, Outcome.OK),
    "no capacity": (encode_response(Response(503, {}, b'{"copies": 1}')), Outcome.FULL),
    "an infinite number of copies": (
        encode_response(Response(200, {}, b'{"copies": 1e999}')),
        Outcome.ERROR,
    ),
    "closed": (close_after_reading, Outcome.RESET),
    "reset": (reset_after_reading, Outcome.RESET),
    # None of these proves that the worker won't read it later.
    "silence": (b"", Outcome.TIMEOUT),
    "a partial response": (TWO_COPIES_LOADED[:-1], Outcome.TIMEOUT),
    "no HTTP": (b"\x00\x01 what\r\n\r\n", Outcome.TIMEOUT),
}


@pytest.mark.parametrize("name", ORDER_ENDS)
def test_the_outcome_of_an_order_is_true_and_reported_once(name: str) -> None:
    worker, wanted = ORDER_ENDS[name]
    rig = RespondingWorkerRig(worker if isinstance(worker, bytes) else b"")

    def script() -> None:
        ended = rig.order()
        assert ended.outcome is wanted
        assert ended.copies == {Outcome.OK: 2, Outcome.FULL: 1}.get(wanted, 0)

    if isinstance(worker, bytes):
        rig.run_script(script)
    else:
        rig.run(worker, script)


@pytest.mark.parametrize(
    ("error", "was_sent", "wanted"),
    [
        (ConnectionResetError(errno.ECONNRESET, "reset"), True, Outcome.RESET),
        (BrokenPipeError(errno.EPIPE, "broken"), True, Outcome.RESET),
        (BrokenPipeError(errno.EPIPE, "broken"), False, Outcome.CONNECT_FAILED),
        # The network broke; what the worker's machine holds can still be read.
        (OSError(errno.EHOSTUNREACH, "no route"), True, Outcome.TIMEOUT),
        (TimeoutError(errno.ETIMEDOUT, "gave up"), True, Outcome.TIMEOUT),
        (HttpMessageError(400, "no HTTP"), True, Outcome.TIMEOUT),
    ],
)
def test_an_order_that_met_an_error_is_reported_as_what_the_error_proves(
    error: Exception, was_sent: bool, wanted: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = RespondingWorkerRig()

    def fail(connection: Connection, data: bytes) -> Response:
        connection.stream.has_sent = was_sent
        raise error

    monkeypatch.setattr(Connection, "exchange", fail)
    rig.run_script(lambda: expect_order_outcome(rig, wanted))


def expect_order_outcome(rig: RespondingWorkerRig, wanted: Outcome) -> None:
    assert rig.order().outcome is wanted


def test_an_order_without_a_connection_in_time_is_connect_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = RespondingWorkerRig()
    delay_connects(monkeypatch, rig, US_PER_S)
    rig.run_script(lambda: expect_order_outcome(rig, Outcome.CONNECT_FAILED))
    assert not rig.received


@pytest.mark.parametrize(
    ("function", "wanted"), [("encode_load_order", Outcome.MOOT), ("decode_load_response", Outcome.TIMEOUT)]
)
def test_an_order_whose_task_raises_ends_once(
    function: str, wanted: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = RespondingWorkerRig(TWO_COPIES_LOADED)
    fault = RuntimeError("a fault of ours")

    def fail(*args: object) -> bytes:
        raise fault

    monkeypatch.setattr(codec, function, fail)

    def script() -> None:
        assert rig.order().outcome is wanted
        assert rig.errors == [fault]
        rig.errors.clear()

    rig.run_script(script)
