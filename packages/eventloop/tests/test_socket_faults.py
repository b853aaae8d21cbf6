"""Sockets that fail: a listener serves until it is closed, and a step that failed leaves nothing open."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any

import pytest

from scripted_sockets import FOREVER, SocketFaults, at, scripted_sockets, to
from walnutpost.eventloop import AcceptErrorLog, Listener, Loop, Stream, VirtualClock, connect
from walnutpost.eventloop.sockets import (
    ACCEPT_BACKOFF_US,
    ACCEPT_LOG_INTERVAL_US,
    ACCEPT_NOW_PAUSES,
    ACCEPT_TRIES,
    MAX_ACCEPT_BACKOFF_US,
)

LOCAL = ("127.0.0.1", 0)
SECOND = 1_000_000
PENDING_ERRORS = (  # of the network, as accept(2) names them, and of rules for sockets
    errno.ECONNABORTED,
    errno.EHOSTDOWN,
    errno.EHOSTUNREACH,
    errno.EINTR,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENONET,
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EPERM,
    errno.EPROTO,
    errno.ETIMEDOUT,
    errno.EINVAL,
)
WANT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
named = [pytest.param(number, id=errno.errorcode[number]) for number in (*PENDING_ERRORS, *WANT)]


def run(script: Callable[[Loop, SocketFaults], Any]) -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))

    def bounded() -> None:
        with loop.timeout(10 * SECOND):
            script(loop, faults)

    with scripted_sockets() as faults:
        loop.run(bounded)
    assert not errors, errors


def until(loop: Loop, condition: Callable[[], Any]) -> None:
    while not condition():
        loop.sleep(10_000)


def accepting(loop: Loop, listener: Listener) -> list[Stream]:
    """What a task has accepted; closed listeners end it."""
    streams: list[Stream] = []

    def accept() -> None:
        try:
            while True:
                streams.append(listener.accept())
        except OSError:
            if not listener.closed:
                raise

    loop.spawn(accept, name="accept")
    return streams


def close(*ends: Any) -> None:
    for end in ends:
        end.close()


@pytest.mark.parametrize(
    ("number", "drops"),
    [
        pytest.param(number, drops, id=f"{errno.errorcode[number]}-{'gone' if drops else 'left'}")
        for drops, numbers in ((False, (*PENDING_ERRORS, *WANT)), (True, PENDING_ERRORS))
        for number in numbers
    ],
)
def test_a_listener_serves_on_after_any_error_of_accept(number: int, drops: bool) -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        streams = accepting(loop, listener)
        clients: list[Stream] = []
        for failed in range(1, 4):
            faults.fail("accept", number, when=at(listener.address), drops=drops)
            clients += [connect(loop, listener.address) for _ in range(4)]
            until(loop, lambda: faults.failed["accept"] == failed)  # noqa: B023
        lost = (3 if drops else 0) + listener.turned_away
        until(loop, lambda: len(streams) + lost == len(clients))
        assert listener.accept_errors == 3
        assert listener.turned_away == (3 if number in WANT else 0)
        close(listener, *streams, *clients)

    run(script)


@pytest.mark.parametrize("number", named)
def test_accepts_that_fail_over_and_over_are_paced_and_then_served(number: int) -> None:
    rounds = 60

    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        streams, began = accepting(loop, listener), loop.now()
        faults.fail("accept", number, rounds * ACCEPT_TRIES, when=at(listener.address))
        client = connect(loop, listener.address)
        until(loop, lambda: streams or listener.turned_away)
        passed = loop.now() - began
        assert listener.accept_errors >= rounds * ACCEPT_TRIES // 2
        assert passed >= (rounds // 2 - 6) * MAX_ACCEPT_BACKOFF_US
        close(listener, client, *streams)

    run(script)


def test_few_errors_in_a_row_cost_no_time() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.fail("accept", errno.EPROTO, ACCEPT_TRIES - 1, when=at(listener.address))
        client, began = connect(loop, listener.address), loop.now()
        stream = listener.accept()
        assert loop.now() == began
        close(listener, client, stream)

    run(script)


def test_the_pause_is_short_again_after_a_success() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        ends: list[Any] = [listener]
        for _ in range(3):
            faults.fail("accept", errno.EPROTO, ACCEPT_TRIES, when=at(listener.address))
            ends.append(connect(loop, listener.address))
            began = loop.now()
            ends.append(listener.accept())
            assert ACCEPT_BACKOFF_US <= loop.now() - began <= 2 * ACCEPT_BACKOFF_US
        close(*ends)

    run(script)


def test_a_close_ends_the_pause_and_with_it_the_accepting() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        ends: list[OSError] = []

        def accept() -> None:
            try:
                listener.accept()
            except OSError as error:
                ends.append(error)

        task = loop.spawn(accept)
        faults.fail("accept", errno.EPERM, FOREVER, when=at(listener.address))
        client = connect(loop, listener.address)
        until(loop, lambda: listener.accept_errors >= 10 * ACCEPT_TRIES)
        closed_us = loop.now()
        listener.close()
        task.join()
        assert loop.now() == closed_us and [error.errno for error in ends] == [errno.EBADF]
        client.close()

    run(script)


def test_what_the_kernel_has_taken_is_had_before_the_close_whatever_accept_raises_between() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        clients = [connect(loop, listener.address) for _ in range(20)]
        for after in range(0, 20, 2):
            faults.fail("accept", errno.ENETDOWN, after=after, when=at(listener.address))
        streams: list[Stream] = []
        while (stream := listener.accept_now()) is not None:
            streams.append(stream)
        assert len(streams) == 20 and faults.failed["accept"] == 10
        close(listener, *clients, *streams)

    run(script)


def test_accept_now_says_so_where_nothing_can_be_had() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.fail("accept", errno.EPERM, FOREVER, when=at(listener.address))
        client = connect(loop, listener.address)
        with pytest.raises(PermissionError):
            listener.accept_now()
        assert listener.accept_errors == (ACCEPT_NOW_PAUSES + 1) * ACCEPT_TRIES
        close(listener, client)

    run(script)


def test_who_is_cancelled_while_accepting_leaves_each_connection_to_the_next() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        clients = [connect(loop, listener.address) for _ in range(100)]
        streams: list[Stream] = []

        def accept() -> None:
            while True:
                streams.append(listener.accept())

        task = loop.spawn(accept)
        loop.breathe()
        assert 0 < len(streams) < 50  # it has given way
        task.cancel()
        while not task.done:
            loop.breathe()
        while (stream := listener.accept_now()) is not None:
            streams.append(stream)
        assert len(streams) == 100
        close(listener, *clients, *streams)

    run(script)


def test_failed_accepts_are_logged_once_a_second_with_their_count() -> None:
    lines: list[tuple[str, dict[str, Any]]] = []

    class Log:
        def warning(self, event: str, **fields: Any) -> None:
            lines.append((event, fields))

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

    run(script)


REFUSALS = [
    pytest.param(operation, number, id=f"{operation}-{errno.errorcode[number]}")
    for operation, number in (
        ("socket", errno.EMFILE),
        ("socket", errno.ENFILE),
        ("socket", errno.ENOBUFS),
        ("bind", errno.EADDRINUSE),
        ("bind", errno.EADDRNOTAVAIL),
        ("bind", errno.EPERM),
        ("connect", errno.EAGAIN),
        ("connect", errno.EADDRNOTAVAIL),
        ("connect", errno.ENETUNREACH),
        ("connect", errno.EPERM),
    )
]


@pytest.mark.parametrize(("operation", "number"), REFUSALS)
def test_a_socket_that_cannot_be_set_up_is_an_error_and_leaves_no_descriptor(
    operation: Any, number: int
) -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        open_before = len(os.listdir("/proc/self/fd"))
        faults.fail(operation, number)
        with pytest.raises(OSError) as raised:
            Listener(loop, LOCAL) if operation == "bind" else connect(loop, listener.address)
        assert raised.value.errno == number
        assert len(os.listdir("/proc/self/fd")) == open_before
        client = connect(loop, listener.address)
        close(client, listener.accept(), listener)

    run(script)


def test_short_reads_and_writes_change_no_byte() -> None:
    def script(loop: Loop, faults: SocketFaults) -> None:
        listener = Listener(loop, LOCAL)
        faults.shorten("recv", 1, when=at(listener.address))
        faults.shorten("send", 3, when=to(listener.address))
        client = connect(loop, listener.address)
        stream, data = listener.accept(), os.urandom(1000)
        client.send_all(data)
        rest = client.send_now(data)
        assert rest == data[3:] and client.sent_any
        client.send_all(rest)
        client.end_writing()
        got = list(iter(stream.recv, b""))
        assert b"".join(got) == data * 2 and {len(part) for part in got} == {1}
        close(listener, client, stream)

    run(script)


def test_what_is_not_scripted_is_a_real_socket() -> None:
    with scripted_sockets() as faults:
        faults.fail("connect", errno.EPERM, when=to(("127.0.0.1", 1)))
        near, far = socket.socketpair()
        near.send(b"as ever")
        assert far.recv(10) == b"as ever" and not faults.failed
        close(near, far)
