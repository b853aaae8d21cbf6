"""Socket failures: a call of which nothing was sent never ran, a call that was sent may have run."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.interface import Outcome
from walnutpost.testsupport.eventloop.scripted_sockets import ScriptedSocket, SocketFaults, scripted_sockets
from walnutpost.testsupport.workerclient.harness import TWO_COPIES_LOADED, RespondingWorkerHarness


def run_with_faults(response: bytes, script: Callable[[RespondingWorkerHarness, SocketFaults], None]) -> None:
    with scripted_sockets() as faults:
        harness = RespondingWorkerHarness(response)
        harness.run_script(lambda: script(harness, faults))


def is_to_worker(sock: ScriptedSocket) -> bool:
    """Whether a socket is a connection to the only worker."""
    return sock.target is not None


CONNECT_ERRORS = [
    pytest.param(operation, error_number, id=f"{operation}-{errno.errorcode[error_number]}")
    for operation, error_number in (
        ("socket", errno.EMFILE),
        ("socket", errno.ENFILE),
        ("socket", errno.ENOBUFS),
        ("connect", errno.EADDRNOTAVAIL),
        ("connect", errno.EAGAIN),
        ("connect", errno.ENETUNREACH),
        ("connect", errno.EPERM),
        ("connect", errno.ENOBUFS),
    )
]


@pytest.mark.parametrize(("operation", "error_number"), CONNECT_ERRORS)
def test_calls_and_load_orders_end_as_connect_failed_if_no_connection_can_be_made(
    operation: Any, error_number: int
) -> None:
    def script(harness: RespondingWorkerHarness, faults: SocketFaults) -> None:
        faults.fail(operation, error_number, times=2)
        assert harness.call().outcome is Outcome.CONNECT_FAILED
        assert harness.order_load().outcome is Outcome.CONNECT_FAILED
        assert not harness.received
        assert faults.failed[operation] == 2
        assert harness.call().outcome is Outcome.OK

    run_with_faults(TWO_COPIES_LOADED, script)


NETWORK_ERRORS = [
    pytest.param(error_number, id=errno.errorcode[error_number])
    for error_number in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.EPERM)
]


@pytest.mark.parametrize("error_number", NETWORK_ERRORS)
def test_a_call_ends_as_reset_if_its_connection_fails_after_the_call_was_sent(error_number: int) -> None:
    def script(harness: RespondingWorkerHarness, faults: SocketFaults) -> None:
        faults.fail("recv", error_number, when=is_to_worker)
        assert harness.call().outcome is Outcome.RESET
        assert harness.received
        assert faults.failed["recv"] == 1
        assert harness.call().outcome is Outcome.OK

    run_with_faults(TWO_COPIES_LOADED, script)


@pytest.mark.parametrize("error_number", NETWORK_ERRORS)
@pytest.mark.parametrize(("sent_bytes", "expected"), [(0, Outcome.CONNECT_FAILED), (9, Outcome.RESET)])
def test_a_call_ends_as_reset_if_a_byte_was_sent_and_as_connect_failed_otherwise(
    error_number: int, sent_bytes: int, expected: Outcome
) -> None:
    def script(harness: RespondingWorkerHarness, faults: SocketFaults) -> None:
        if sent_bytes:
            faults.shorten("send", sent_bytes, when=is_to_worker)
        faults.fail("send", error_number, after=sent_bytes > 0, when=is_to_worker)
        assert harness.call().outcome is expected
        assert faults.failed["send"] == 1
        faults.heal()
        assert harness.call().outcome is Outcome.OK

    run_with_faults(TWO_COPIES_LOADED, script)


def test_a_call_succeeds_if_request_and_response_arrive_one_byte_at_a_time() -> None:
    def script(harness: RespondingWorkerHarness, faults: SocketFaults) -> None:
        faults.shorten("recv", 1, when=is_to_worker)
        faults.shorten("send", 1, when=is_to_worker)
        assert harness.call().outcome is Outcome.OK

    with scripted_sockets() as faults:
        harness = RespondingWorkerHarness()

        def serve(stream: Any) -> None:
            received_bytes = b""
            while part := stream.recv():
                received_bytes += part
                if received_bytes.endswith(b"\r\n\r\n1"):
                    stream.send_all(TWO_COPIES_LOADED)
                    received_bytes = b""

        harness.run(serve, lambda: script(harness, faults))
