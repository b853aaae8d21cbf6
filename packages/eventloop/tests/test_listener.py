"""Failing accepts: a listener keeps accepting until it is closed, and backs off from repeated errors."""

from __future__ import annotations

import errno
import os
import resource
import socket
from typing import Any

import pytest

from walnutpost.eventloop import AcceptErrorLog, Listener, Loop, Stream, connect
from walnutpost.eventloop.accept_errors import (
    ACCEPT_LOG_INTERVAL_US,
    MAX_ACCEPT_BACKOFF_US,
    MAX_CONSECUTIVE_ACCEPT_ERRORS,
    MIN_ACCEPT_BACKOFF_US,
)
from walnutpost.eventloop.listener import MAX_ACCEPT_NOW_PAUSES
from walnutpost.testsupport.eventloop.fixtures import (
    LOCAL,
    PENDING_NETWORK_ERRORS,
    RESOURCE_EXHAUSTION_ERRORS,
    close_all,
    run_with_faults,
    start_accepting,
    wait_until,
)
from walnutpost.testsupport.eventloop.scripted_sockets import UNLIMITED, SocketFaults, bound_to

ACCEPT_ERROR_PARAMETERS = [
    pytest.param(error_number, id=errno.errorcode[error_number])
    for error_number in (*PENDING_NETWORK_ERRORS, *RESOURCE_EXHAUSTION_ERRORS)
]


@pytest.mark.parametrize(
    ("error_number", "drops"),
    [
        pytest.param(error_number, drops, id=f"{errno.errorcode[error_number]}-{'gone' if drops else 'left'}")
        for drops, error_numbers in (
            (False, (*PENDING_NETWORK_ERRORS, *RESOURCE_EXHAUSTION_ERRORS)),
            (True, PENDING_NETWORK_ERRORS),
        )
        for error_number in error_numbers
    ],
)
def test_listener_keeps_accepting_after_any_accept_error(error_number: int, drops: bool) -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        streams = start_accepting(loop, listener)
        clients: list[Stream] = []
        for failed in range(1, 4):
            faults.fail("accept", error_number, when=bound_to(listener.address), drops=drops)
            clients += [connect(loop, listener.address) for _ in range(4)]
            wait_until(loop, lambda: faults.failed["accept"] == failed)  # noqa: B023
        lost_connections = (3 if drops else 0) + listener.rejected_connections
        wait_until(loop, lambda: len(streams) + lost_connections == len(clients))
        assert listener.accept_errors == 3
        assert listener.rejected_connections == (3 if error_number in RESOURCE_EXHAUSTION_ERRORS else 0)
        close_all(listener, *streams, *clients)

    run_with_faults(script)


@pytest.mark.parametrize("error_number", ACCEPT_ERROR_PARAMETERS)
def test_repeated_accept_errors_cause_pauses_until_accept_succeeds(error_number: int) -> None:
    rounds = 60

    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        streams, start_us = start_accepting(loop, listener), loop.now()
        faults.fail(
            "accept", error_number, rounds * MAX_CONSECUTIVE_ACCEPT_ERRORS, when=bound_to(listener.address)
        )
        client = connect(loop, listener.address)
        wait_until(loop, lambda: streams or listener.rejected_connections)
        elapsed_us = loop.now() - start_us
        assert listener.accept_errors >= rounds * MAX_CONSECUTIVE_ACCEPT_ERRORS // 2
        assert elapsed_us >= (rounds // 2 - 6) * MAX_ACCEPT_BACKOFF_US
        close_all(listener, client, *streams)

    run_with_faults(script)


def test_fewer_consecutive_accept_errors_than_the_limit_cause_no_pause() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.fail(
            "accept", errno.EPROTO, MAX_CONSECUTIVE_ACCEPT_ERRORS - 1, when=bound_to(listener.address)
        )
        client, start_us = connect(loop, listener.address), loop.now()
        stream = listener.accept()
        assert loop.now() == start_us
        close_all(listener, client, stream)

    run_with_faults(script)


def test_successful_accept_resets_the_backoff() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        closables: list[Any] = [listener]
        for _ in range(3):
            faults.fail(
                "accept", errno.EPROTO, MAX_CONSECUTIVE_ACCEPT_ERRORS, when=bound_to(listener.address)
            )
            closables.append(connect(loop, listener.address))
            start_us = loop.now()
            closables.append(listener.accept())
            assert MIN_ACCEPT_BACKOFF_US <= loop.now() - start_us <= 2 * MIN_ACCEPT_BACKOFF_US
        close_all(*closables)

    run_with_faults(script)


def test_close_during_a_pause_ends_accepting_at_once() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        errors: list[OSError] = []

        def accept() -> None:
            try:
                listener.accept()
            except OSError as error:
                errors.append(error)

        task = loop.spawn(accept)
        faults.fail("accept", errno.EPERM, UNLIMITED, when=bound_to(listener.address))
        client = connect(loop, listener.address)
        wait_until(loop, lambda: listener.accept_errors >= 10 * MAX_CONSECUTIVE_ACCEPT_ERRORS)
        closed_us = loop.now()
        listener.close()
        task.join()
        assert loop.now() == closed_us
        assert [error.errno for error in errors] == [errno.EBADF]
        client.close()

    run_with_faults(script)


def test_accept_now_returns_every_queued_connection_despite_accept_errors() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        clients = [connect(loop, listener.address) for _ in range(20)]
        for after in range(0, 20, 2):
            faults.fail("accept", errno.ENETDOWN, after=after, when=bound_to(listener.address))
        streams: list[Stream] = []
        while (stream := listener.accept_now()) is not None:
            streams.append(stream)
        assert len(streams) == 20
        assert faults.failed["accept"] == 10
        close_all(listener, *clients, *streams)

    run_with_faults(script)


def test_accept_now_raises_if_every_accept_fails() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.fail("accept", errno.EPERM, UNLIMITED, when=bound_to(listener.address))
        client = connect(loop, listener.address)
        with pytest.raises(PermissionError):
            listener.accept_now()
        assert listener.accept_errors == (MAX_ACCEPT_NOW_PAUSES + 1) * MAX_CONSECUTIVE_ACCEPT_ERRORS
        close_all(listener, client)

    run_with_faults(script)


def test_cancelling_an_accepting_task_loses_no_connection() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        clients = [connect(loop, listener.address) for _ in range(100)]
        streams: list[Stream] = []

        def accept() -> None:
            while True:
                streams.append(listener.accept())

        task = loop.spawn(accept)
        loop.yield_now()
        assert 0 < len(streams) < 50  # the accepting task has yielded
        task.cancel()
        while not task.is_done:
            loop.yield_now()
        while (stream := listener.accept_now()) is not None:
            streams.append(stream)
        assert len(streams) == 100
        close_all(listener, *clients, *streams)

    run_with_faults(script)


def test_failed_accepts_are_logged_at_most_once_a_second_with_their_count() -> None:
    lines: list[tuple[str, dict[str, Any]]] = []

    class Log:
        def warning(self, event: str, **fields: Any) -> None:
            lines.append((event, fields))

        info = error = warning

    def script(loop: Loop, faults: SocketFaults) -> None:
        log = AcceptErrorLog(loop, Log())
        for _ in range(5):
            log(OSError(errno.EPROTO, "cut off"))
        loop.sleep(ACCEPT_LOG_INTERVAL_US)
        log(PermissionError(errno.EPERM, "not allowed"))
        assert [(event, fields["count"]) for event, fields in lines] == [
            ("accept_failed", 1),
            ("accept_failed", 5),
        ]
        assert "not allowed" in lines[1][1]["why"]

    run_with_faults(script)


def test_connection_is_rejected_if_no_descriptor_is_free_and_the_next_one_is_served() -> None:
    loop = Loop()

    def main() -> None:
        listener = Listener(loop, LOCAL)
        served: list[Stream] = []

        def accept() -> None:
            while True:
                served.append(listener.accept(b"rejected"))

        loop.spawn(accept)
        # Connect the first client before the descriptors are used up.
        first_client = socket.create_connection(listener.address)
        while not served:
            loop.sleep(1000)
        rejected_client = socket.socket()
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        filler_fds: list[int] = []
        try:
            highest_fd = max(int(fd) for fd in os.listdir("/proc/self/fd"))
            resource.setrlimit(resource.RLIMIT_NOFILE, (highest_fd + 1, hard))
            with pytest.raises(OSError):
                while True:
                    filler_fds.append(os.dup(0))
            rejected_client.connect(listener.address)
            while not listener.rejected_connections:
                loop.sleep(1000)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for fd in filler_fds:
                os.close(fd)
        assert rejected_client.recv(10) == b"rejected"
        assert rejected_client.recv(10) == b""
        next_client = socket.create_connection(listener.address)
        while len(served) < 2:
            loop.sleep(1000)
        for sock in (first_client, rejected_client, next_client):
            sock.close()

    loop.run(main)
