"""The watching side on sockets that fail: it continues, at another server or the same one."""

from __future__ import annotations

import errno

import pytest

from walnutpost.eventloop import Loop
from walnutpost.testsupport.eventloop.scripted_sockets import (
    CONNECTION_FAULTS,
    Operation,
    bound_to,
    connected_to,
    scripted_sockets,
)
from walnutpost.testsupport.watch.harness import FakeServer, Member, filled, play, put_keys, until
from walnutpost.testsupport.watch.servers import address_getter, names_preferring, two_servers


@pytest.mark.parametrize(("operation", "number"), CONNECTION_FAULTS)
def test_a_watcher_continues_after_any_socket_error(operation: Operation, number: int) -> None:
    def script(loop: Loop) -> None:
        first, second = (
            FakeServer(loop, filled(3), batch_interval_us=0),
            FakeServer(loop, filled(3), batch_interval_us=0),
        )
        if operation == "socket":
            faults.fail(operation, number, times=3)
        else:
            faults.fail(operation, number, times=3, when=connected_to(first.address))
        member = Member(loop, two_servers(first, second), name=names_preferring("a", 1)[0])
        until(loop, lambda: member.has_content_of(first.table) and faults.failed[operation])
        for server in (first, second):
            server.change(put_keys(7))
        until(loop, lambda: member.has_content_of(first.table))

    with scripted_sockets() as faults:
        play(script)


def test_members_are_served_while_accepts_fail() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3), batch_interval_us=0)
        for after in range(0, 10, 2):
            faults.fail("accept", errno.EPROTO, after=after, when=bound_to(server.address))
        members = [Member(loop, {"a": address_getter(server)}) for _ in range(5)]
        until(loop, lambda: all(member.has_content_of(server.table) for member in members))
        assert faults.failed["accept"] >= 4

    with scripted_sockets() as faults:
        play(script)


def test_pages_that_arrive_byte_by_byte_are_complete() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3), batch_interval_us=0)
        faults.shorten("recv", 1)
        faults.shorten("send", 7)
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(server.table))
        assert member.watcher.counts.server_changes == 0

    with scripted_sockets() as faults:
        play(script)
