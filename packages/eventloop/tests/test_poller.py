"""Descriptors: whose events are delivered to whom, when numbers are used again and callbacks wait anew."""

from __future__ import annotations

import socket

from walnutpost.testsupport.eventloop.fixtures import virtual_loop


def test_event_of_a_closed_socket_is_not_delivered_to_the_next_one_with_its_number() -> None:
    """Two sockets fire in one round; the first one's callback closes the second, and opens another there."""
    loop, received = virtual_loop(), list[str]()

    def body() -> None:
        pairs = [socket.socketpair() for _ in range(2)]
        fresh: list[socket.socket] = []

        def first() -> None:
            number = pairs[1][0].fileno()
            loop.forget(number)
            pairs[1][0].close()
            fresh.extend(socket.socketpair())
            assert fresh[0].fileno() == number
            loop.on_readable(number, lambda: received.append(fresh[0].recv(9).decode()))

        for mine, other in pairs:
            mine.setblocking(False)
            other.send(b"old")
        loop.on_readable(pairs[0][0].fileno(), first)
        loop.on_readable(pairs[1][0].fileno(), lambda: None)
        loop.sleep(1000)
        assert received == []
        fresh[1].send(b"new")
        loop.sleep(1000)
        for sock in (*pairs[0], pairs[1][1], *fresh):
            loop.forget(sock.fileno())
            sock.close()

    loop.run(body)
    assert received == ["new"]


def test_wait_begun_in_the_callback_of_a_broken_socket_is_called_back() -> None:
    loop, called = virtual_loop(), list[str]()

    def body() -> None:
        mine, other = socket.socketpair()
        mine.setblocking(False)
        other.close()
        fd = mine.fileno()
        loop.on_writable(fd, lambda: loop.on_readable(fd, lambda: called.append("reader")))
        loop.sleep(10_000)
        loop.forget(fd)
        mine.close()

    loop.run(body)
    assert called == ["reader"]
