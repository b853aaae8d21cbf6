"""Sockets that fail: what never left counts as nothing ran, what was written may have run."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.interface import Outcome
from walnutpost.testsupport.eventloop.scripted_sockets import ScriptedSocket, SocketFaults, scripted_sockets
from walnutpost.testsupport.workerclient.harness import TWO_COPIES_LOADED, RespondingWorkerRig


def run(response: bytes, script: Callable[[RespondingWorkerRig, SocketFaults], None]) -> None:
    with scripted_sockets() as faults:
        rig = RespondingWorkerRig(response)
        rig.run_script(lambda: script(rig, faults))


def is_to_worker(sock: ScriptedSocket) -> bool:
    """Whether a socket was connected to the rig's one worker."""
    return sock.target is not None


CONNECT_ERRORS = [
    pytest.param(operation, number, id=f"{operation}-{errno.errorcode[number]}")
    for operation, number in (
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


@pytest.mark.parametrize(("operation", "number"), CONNECT_ERRORS)
def test_a_connection_that_cannot_be_made_counts_as_nothing_ran(operation: Any, number: int) -> None:
    def script(rig: RespondingWorkerRig, faults: SocketFaults) -> None:
        faults.fail(operation, number, times=2)
        assert rig.call().outcome is Outcome.CONNECT_FAILED
        assert rig.order().outcome is Outcome.CONNECT_FAILED
        assert not rig.received
        assert faults.failed[operation] == 2
        assert rig.call().outcome is Outcome.OK

    run(TWO_COPIES_LOADED, script)


NETWORK_ERRORS = [
    pytest.param(number, id=errno.errorcode[number])
    for number in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.EPERM)
]


@pytest.mark.parametrize("number", NETWORK_ERRORS)
def test_a_call_that_was_written_may_have_run_whatever_ends_its_connection(number: int) -> None:
    def script(rig: RespondingWorkerRig, faults: SocketFaults) -> None:
        faults.fail("recv", number, when=is_to_worker)
        assert rig.call().outcome is Outcome.RESET
        assert rig.received
        assert faults.failed["recv"] == 1
        assert rig.call().outcome is Outcome.OK

    run(TWO_COPIES_LOADED, script)


@pytest.mark.parametrize("number", NETWORK_ERRORS)
@pytest.mark.parametrize(("sent_bytes", "wanted"), [(0, Outcome.CONNECT_FAILED), (9, Outcome.RESET)])
def test_a_call_of_which_a_byte_was_written_may_have_run(
    number: int, sent_bytes: int, wanted: Outcome
) -> None:
    def script(rig: RespondingWorkerRig, faults: SocketFaults) -> None:
        if sent_bytes:
            faults.shorten("send", sent_bytes, when=is_to_worker)
        faults.fail("send", number, after=sent_bytes > 0, when=is_to_worker)
        assert rig.call().outcome is wanted
        assert faults.failed["send"] == 1
        faults.heal()
        assert rig.call().outcome is Outcome.OK

    run(TWO_COPIES_LOADED, script)


def test_a_call_and_its_response_in_single_bytes_succeed() -> None:
    def script(rig: RespondingWorkerRig, faults: SocketFaults) -> None:
        faults.shorten("recv", 1, when=is_to_worker)
        faults.shorten("send", 1, when=is_to_worker)
        assert rig.call().outcome is Outcome.OK

    with scripted_sockets() as faults:
        rig = RespondingWorkerRig()

        def serve(stream: Any) -> None:
            got = b""
            while part := stream.recv():
                got += part
                if got.endswith(b"\r\n\r\n1"):
                    stream.send_all(TWO_COPIES_LOADED)
                    got = b""

        rig.run(serve, lambda: script(rig, faults))
