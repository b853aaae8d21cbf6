"""The end of a watcher, announced to its server."""

from __future__ import annotations

from walnutpost.configstore import (
    WatchRequest,
)
from walnutpost.eventloop import Loop
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    FakeServer,
    Member,
    ScriptedServer,
    filled,
    play,
    until,
)
from walnutpost.testsupport.watch.servers import address_getter


def test_stop_announces_the_end_to_the_server() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        member.watcher.stop()
        assert server.requests[-1].is_leaving
        assert server.requests[-1].applied_revision == 3
        requests_before = len(server.requests)
        until(loop, lambda: not server.server.streams)
        loop.sleep(10 * WAIT_TIMEOUT_US)
        assert member.task.is_done
        assert len(server.requests) == requests_before
        assert not server.watch.waiting

    play(script)


def test_stop_without_a_response_ends_within_its_timeout() -> None:
    def script(loop: Loop) -> None:
        def silent(_request: WatchRequest) -> None:
            loop.sleep(3600 * SECOND)

        for address in (ScriptedServer(loop, silent).address, ("127.0.0.1", 1)):
            member = Member(loop, {"a": lambda a=address: a})  # type: ignore[misc]
            loop.sleep(SECOND)
            began_us = loop.now()
            member.watcher.stop()
            assert loop.now() - began_us <= SECOND
            loop.sleep(SECOND)
            assert member.task.is_done

    play(script)
