"""Responses that are reset, damaged, too large or slow: none corrupts the store."""

from __future__ import annotations

import tracemalloc
import zlib
from contextlib import suppress

import pytest

from walnutpost.configstore import (
    Mutation,
    WatchRequest,
    WatchResponse,
    encode,
    respond,
)
from walnutpost.eventloop import Listener, Loop, Stream
from walnutpost.http import Response, encode_response
from walnutpost.testsupport.watch.harness import (
    SECOND,
    FakeServer,
    Member,
    ScriptedServer,
    copy,
    filled,
    large,
    play,
    until,
)
from walnutpost.testsupport.watch.servers import HEADERS, address_getter, names_preferring, two_servers
from walnutpost.watch.connection import (
    MAX_BODY_BYTES,
)


class ResettingServer:
    """Resets its first connection after `size` bytes of the response, and completes it on all others."""

    def __init__(self, loop: Loop, response_bytes: bytes, size: int) -> None:
        self._loop, self._response_bytes, self._size = loop, response_bytes, size
        self.connections = 0
        self._listener = Listener(loop, ("127.0.0.1", 0))
        self.address = self._listener.address
        self._task = loop.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            stream = self._listener.accept()
            self.connections += 1
            size = self._size if self.connections == 1 else len(self._response_bytes)
            self._loop.spawn(self._respond, stream, size)

    def _respond(self, stream: Stream, size: int) -> None:
        stream.recv()
        stream.send_all(self._response_bytes[:size])
        if size < len(self._response_bytes):
            stream.reset()
        else:
            self._loop.sleep(3600 * SECOND)

    def close(self) -> None:
        self._task.cancel()
        self._listener.close()


def test_a_reset_at_any_byte_of_a_response_corrupts_nothing() -> None:
    """A server resets its response after N bytes, for each N; the next connection gets all of it."""
    table = filled(2, size=40)
    table.propose(
        50, [Mutation("function/f00000", None), Mutation("function/new", b"x"), Mutation("tenant/a", b"y")]
    )
    page = respond(table, WatchRequest("", "", 0, 2, 0, 0, 0))
    assert page is not None
    response_bytes = encode_response(Response(200, HEADERS, encode(page)))
    start = filled(2, size=40)

    def script(loop: Loop) -> None:
        for size in range(len(response_bytes) + 1):
            server = ResettingServer(loop, response_bytes, size)
            member = Member(loop, {"a": address_getter(server)})
            member.state.store = copy(start)
            member.state.mark_applied(2)
            until(loop, lambda m=member: m.has_content_of(table))  # type: ignore[misc]
            expected_connections = 1 + (size < len(response_bytes))
            assert member.applied_revisions == [50], size
            assert server.connections == expected_connections, size
            member.task.cancel()
            server.close()

    play(script)


def test_a_compressed_snapshot_is_paced_by_its_compressed_size() -> None:
    def script(loop: Loop) -> None:
        table = large(3000)
        server = FakeServer(loop, table)
        server.compresses = True
        member = Member(loop, {"a": address_getter(server)})
        began_us = loop.now()
        until(loop, lambda: member.has_content_of(table), timeout_us=600 * SECOND)
        assert member.watcher.counts.bytes_in < 200_000  # of some 700 KB
        assert loop.now() - began_us < 10 * SECOND

    play(script)


COMPRESSED_HEADERS = HEADERS | {"Content-Encoding": "deflate"}
DAMAGED_BODIES = {
    "a bomb": zlib.compress(bytes(64 * MAX_BODY_BYTES)),
    "cut": zlib.compress(encode(WatchResponse(3, 0, 0)))[:-5],
    "not coded": encode(WatchResponse(3, 0, 0)),
    "nothing": b"",
}


@pytest.mark.parametrize("name", DAMAGED_BODIES)
def test_a_response_with_a_damaged_body_is_rejected(name: str) -> None:
    def script(loop: Loop) -> None:
        bad, good = (
            ScriptedServer(loop, lambda _: Response(200, COMPRESSED_HEADERS, DAMAGED_BODIES[name])),
            FakeServer(loop, filled(3)),
        )
        member = Member(loop, two_servers(bad, good), names_preferring("a", 1)[0])
        tracemalloc.start()
        until(loop, lambda: member.has_content_of(good.table))
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert len(bad.requests) == 1
        assert member.watcher.counts.server_changes == 1
        assert peak_bytes < 8 * MAX_BODY_BYTES

    play(script)


def test_a_response_that_is_too_large_is_not_read_to_its_end() -> None:
    def script(loop: Loop) -> None:
        bad = ScriptedServer(loop, lambda _: Response(200, HEADERS, b"x" * (20 * MAX_BODY_BYTES)))
        good = FakeServer(loop, filled(3))
        members = [
            Member(loop, two_servers(bad, good), name, n) for n, name in enumerate(names_preferring("a", 6))
        ]
        until(loop, lambda: all(m.has_content_of(good.table) for m in members))
        assert {m.watcher.counts.server_changes for m in members} == {1}
        assert all(m.watcher.counts.bytes_in < 2 * MAX_BODY_BYTES for m in members)

    play(script)


def test_a_slow_response_is_awaited_and_an_endless_one_is_not() -> None:
    def script(loop: Loop) -> None:
        table = filled(3)

        def run(pause: int) -> tuple[Member, Listener]:
            page = respond(table, WatchRequest("", "", 0, 0, 0, 0, 0))
            assert page is not None
            data = encode_response(Response(200, HEADERS, encode(page)))
            listener = Listener(loop, ("127.0.0.1", 0))

            def serve() -> None:
                while True:
                    stream = listener.accept()
                    loop.spawn(one, stream)

            def one(stream: Stream) -> None:
                stream.recv()
                with suppress(OSError):
                    for at in range(0, len(data), 16):
                        stream.send_all(data[at : at + 16])
                        loop.sleep(pause)

            loop.spawn(serve)
            return Member(loop, {"a": lambda: listener.address}), listener

        member, _ = run(SECOND // 10)
        until(loop, lambda: member.has_content_of(table))
        assert member.watcher.counts.server_changes == 0
        member, _ = run(SECOND)
        loop.sleep(60 * SECOND)
        assert not member.has_content_of(table)
        assert member.watcher.counts.server_changes >= 4

    play(script)
