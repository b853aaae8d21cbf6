"""Requests of a watcher: acknowledgement, waits, counts, and errors of the application."""

from __future__ import annotations

from walnutpost.configstore import (
    ApplyOutcome,
    encode,
)
from walnutpost.eventloop import Loop
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    FakeServer,
    Member,
    filled,
    play,
    put_keys,
    until,
)
from walnutpost.testsupport.watch.servers import address_getter


def test_an_applied_revision_is_acknowledged_by_the_next_request() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3), batch_interval_us=0)
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(server.table))
        for n in range(5):
            until(loop, lambda: server.watch.waiting)
            revision = server.change(put_keys(n, 3))
            changed_us = loop.now()
            until(loop, lambda r=revision: server.requests[-1].applied_revision == r)  # type: ignore[misc]
            assert loop.now() - changed_us < SECOND
        assert member.has_content_of(server.table)
        assert member.applied_revisions == sorted(set(member.applied_revisions))
        assert len(server.server.streams) == 1
        assert member.watcher.counts.server_changes == 0

    play(script)


def test_without_changes_there_is_one_request_each_wait_timeout() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        requests_before, bytes_before = member.watcher.counts.requests, member.watcher.counts.bytes_in
        loop.sleep(30 * WAIT_TIMEOUT_US)
        assert 28 <= member.watcher.counts.requests - requests_before <= 31
        assert member.watcher.counts.bytes_in - bytes_before < 31 * 200
        assert server.watch.waiting <= 1
        assert not member.log.count("watch_disconnected")

    play(script)


def test_counted_bytes_are_those_on_the_wire() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(server.table))
        counts = member.watcher.counts
        assert counts.bytes_in > server.watch.counts.response_bytes
        assert counts.bytes_in < server.watch.counts.response_bytes + 300 * counts.requests
        assert counts.bytes_out > sum(len(encode(request)) for request in server.requests)

    play(script)


class FailingMember(Member):
    def on_outcome(self, outcome: ApplyOutcome) -> None:
        raise ValueError(f"no such class: {outcome}")


def test_an_error_in_on_outcome_does_not_end_the_watch() -> None:
    errors: list[BaseException] = []

    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = FailingMember(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        server.change(put_keys(1))
        until(loop, lambda: member.has_content_of(server.table))
        loop.sleep(2 * WAIT_TIMEOUT_US)
        assert server.watch.waiting
        assert server.requests[-1].applied_revision == 0

    play(script, errors)
    assert errors
    assert all(isinstance(e, ValueError) for e in errors)
