"""The following side on sockets that fail: it goes on, at another server or the same one."""

from __future__ import annotations

import errno
from typing import Any

import pytest

from scripted_sockets import CONNECTION_FAULTS, at, scripted_sockets, to
from test_client import both, homed, where
from walnutpost.eventloop import Loop
from watch_rig import Member, Served, filled, ops, play, until


@pytest.mark.parametrize(("operation", "number"), CONNECTION_FAULTS)
def test_a_watcher_continues_after_any_socket_error(operation: Any, number: int) -> None:
    def script(loop: Loop) -> None:
        first, second = (
            Served(loop, filled(3), batch_interval_us=0),
            Served(loop, filled(3), batch_interval_us=0),
        )
        if operation == "socket":
            faults.fail(operation, number, times=3)
        else:
            faults.fail(operation, number, times=3, when=to(first.address))
        member = Member(loop, both(first, second), name=homed("a", 1)[0])
        until(loop, lambda: member.same(first.table) and faults.failed[operation])
        for served in (first, second):
            served.change(ops(7))
        until(loop, lambda: member.same(first.table))

    with scripted_sockets() as faults:
        play(script)


def test_members_are_served_while_accepts_fail() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3), batch_interval_us=0)
        for after in range(0, 10, 2):
            faults.fail("accept", errno.EPROTO, after=after, when=at(served.address))
        members = [Member(loop, {"a": where(served)}) for _ in range(5)]
        until(loop, lambda: all(member.same(served.table) for member in members))
        assert faults.failed["accept"] >= 4

    with scripted_sockets() as faults:
        play(script)


def test_pages_that_arrive_byte_by_byte_are_complete() -> None:
    def script(loop: Loop) -> None:
        served = Served(loop, filled(3), batch_interval_us=0)
        faults.shorten("recv", 1)
        faults.shorten("send", 7)
        member = Member(loop, {"a": where(served)})
        until(loop, lambda: member.same(served.table))
        assert member.watcher.counts.server_changes == 0

    with scripted_sockets() as faults:
        play(script)
