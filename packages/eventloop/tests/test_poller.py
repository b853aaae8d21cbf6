"""Delivery of events when descriptor numbers are reused and when callbacks set new callbacks."""

from __future__ import annotations

import socket

from walnutpost.testsupport.eventloop.fixtures import virtual_loop


def test_event_of_a_closed_socket_is_not_delivered_to_a_new_socket_with_its_number() -> None:
    """Both sockets are ready in one round; the callback of the first closes and reopens the second."""
    loop, received = virtual_loop(), list[str]()

    def main() -> None:
        pairs = [socket.socketpair() for _ in range(2)]
        new_pair: list[socket.socket] = []

        def reopen_second() -> None:
            fd = pairs[1][0].fileno()
            loop.stop_watching(fd)
            pairs[1][0].close()
            new_pair.extend(socket.socketpair())
            assert new_pair[0].fileno() == fd
            loop.on_readable(fd, lambda: received.append(new_pair[0].recv(9).decode()))

        for local, peer in pairs:
            local.setblocking(False)
            peer.send(b"old")
        loop.on_readable(pairs[0][0].fileno(), reopen_second)
        loop.on_readable(pairs[1][0].fileno(), lambda: None)
        loop.sleep(1000)
        assert received == []
        new_pair[1].send(b"new")
        loop.sleep(1000)
        for sock in (*pairs[0], pairs[1][1], *new_pair):
            loop.stop_watching(sock.fileno())
            sock.close()

    loop.run(main)
    assert received == ["new"]


def test_reader_set_in_the_writer_callback_of_a_failed_socket_is_called() -> None:
    loop, called = virtual_loop(), list[str]()

    def main() -> None:
        local, peer = socket.socketpair()
        local.setblocking(False)
        peer.close()
        fd = local.fileno()
        loop.on_writable(fd, lambda: loop.on_readable(fd, lambda: called.append("reader")))
        loop.sleep(10_000)
        loop.stop_watching(fd)
        local.close()

    loop.run(main)
    assert called == ["reader"]
