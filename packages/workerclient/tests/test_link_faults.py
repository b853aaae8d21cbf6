"""Links on sockets that fail: what never left counts as nothing ran, what was written may have run."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import Any

import pytest

from scripted_sockets import ScriptedSocket, SocketFaults, scripted_sockets
from test_link_terms import STOOD, Scripted
from walnutpost.interface import Outcome


def run(rig_data: bytes, script: Callable[[Scripted, SocketFaults], None]) -> None:
    with scripted_sockets() as faults:
        rig = Scripted(rig_data)
        rig.play(lambda: script(rig, faults))


def of_worker(sock: ScriptedSocket) -> bool:
    """Picks sockets that were connected to the rig's one worker."""
    return sock.target is not None


CANNOT_BE_MADE = [
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


@pytest.mark.parametrize(("operation", "number"), CANNOT_BE_MADE)
def test_a_connection_that_cannot_be_made_counts_as_nothing_ran(operation: Any, number: int) -> None:
    def script(rig: Scripted, faults: SocketFaults) -> None:
        faults.fail(operation, number, times=2)
        assert rig.call().outcome is Outcome.CONNECT_FAILED
        assert rig.order().outcome is Outcome.CONNECT_FAILED
        assert not rig.heard and faults.failed[operation] == 2
        assert rig.call().outcome is Outcome.OK

    run(STOOD, script)


ON_ITS_WAY = [
    pytest.param(number, id=errno.errorcode[number])
    for number in (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ENOBUFS, errno.EPERM)
]


@pytest.mark.parametrize("number", ON_ITS_WAY)
def test_a_call_that_was_written_may_have_run_whatever_ends_its_connection(number: int) -> None:
    def script(rig: Scripted, faults: SocketFaults) -> None:
        faults.fail("recv", number, when=of_worker)
        assert rig.call().outcome is Outcome.RESET
        assert rig.heard and faults.failed["recv"] == 1
        assert rig.call().outcome is Outcome.OK

    run(STOOD, script)


@pytest.mark.parametrize("number", ON_ITS_WAY)
@pytest.mark.parametrize(("part", "wanted"), [(0, Outcome.CONNECT_FAILED), (9, Outcome.RESET)])
def test_a_call_of_which_a_byte_was_written_may_have_run(number: int, part: int, wanted: Outcome) -> None:
    def script(rig: Scripted, faults: SocketFaults) -> None:
        if part:
            faults.shorten("send", part, when=of_worker)
        faults.fail("send", number, after=part > 0, when=of_worker)
        assert rig.call().outcome is wanted
        assert faults.failed["send"] == 1
        faults.heal()
        assert rig.call().outcome is Outcome.OK

    run(STOOD, script)


def test_a_call_and_its_answer_may_come_in_any_parts() -> None:
    def script(rig: Scripted, faults: SocketFaults) -> None:
        faults.shorten("recv", 1, when=of_worker)
        faults.shorten("send", 1, when=of_worker)
        assert rig.call().outcome is Outcome.OK

    with scripted_sockets() as faults:
        rig = Scripted()

        def serve(stream: Any) -> None:
            got = b""
            while part := stream.recv():
                got += part
                if got.endswith(b"\r\n\r\n1"):
                    stream.send_all(STOOD)
                    got = b""

        rig.run(serve, lambda: script(rig, faults))
