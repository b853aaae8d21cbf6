"""The age of a watcher's content, and when it is stale."""

from __future__ import annotations

from itertools import pairwise

from walnutpost.configstore import (
    AGE_HEADER,
    ApplyOutcome,
    ConfigStore,
    WatchRequest,
    WatchResponse,
)
from walnutpost.eventloop import Loop
from walnutpost.http import Response
from walnutpost.testsupport.watch.harness import (
    SECOND,
    WAIT_TIMEOUT_US,
    FakeServer,
    Member,
    Requester,
    ScriptedServer,
    copy,
    filled,
    large,
    play,
    put_keys,
    until,
)
from walnutpost.testsupport.watch.servers import address_getter
from walnutpost.watch import WAITED_HEADER


def test_age_grows_while_upstream_is_silent() -> None:
    """A relay's content is as old as its upstream confirmed it, plus the time since."""

    def script(loop: Loop) -> None:
        confirmed_us = loop.now()
        keeper = FakeServer(loop, filled(3), lambda: loop.now() - confirmed_us)
        upstream = Member(loop, {"k": address_getter(keeper)})
        relay = FakeServer(loop, None, upstream.watcher.age_us)
        assert Requester(loop, relay).ask(0, wait_timeout_us=0).status == 503  # no complete store yet
        until(loop, lambda: upstream.watcher.is_complete)
        relay.table = upstream.table
        requester = Requester(loop, relay)

        def age() -> int:
            return int(requester.ask(3, upstream.table.digest, wait_timeout_us=0).headers[AGE_HEADER.lower()])

        assert loop.now() - confirmed_us <= age() + SECOND
        confirmed_us = loop.now()
        loop.sleep(2 * WAIT_TIMEOUT_US)
        first = age()
        assert first <= loop.now() - confirmed_us + SECOND
        keeper.kill()
        cut = loop.now()
        loop.sleep(60 * SECOND)
        assert age() >= 60 * SECOND
        assert age() >= loop.now() - cut
        assert not requester.ask(3, upstream.table.digest, wait_timeout_us=WAIT_TIMEOUT_US).page

    play(script)


def test_a_delayed_response_is_as_old_as_its_delay() -> None:
    def script(loop: Loop) -> None:
        def late(request: WatchRequest) -> Response:
            if request.wait_timeout_us:
                loop.sleep(SECOND)
                loop.clock.advance_to(
                    loop.now() + SECOND
                )  # both are suspended while the response is under way
            return Response(
                204, {AGE_HEADER: "5", WAITED_HEADER: str(SECOND if request.wait_timeout_us else 0)}
            )

        raw = ScriptedServer(loop, late)
        member = Member(loop, {"a": address_getter(raw)})
        ages: list[int | None] = []
        answered = member.state.handle_response

        def noted(now: int, page: WatchResponse | None, age_us: int | None) -> ApplyOutcome:
            ages.append(age_us)
            return answered(now, page, age_us)

        member.state.handle_response = noted  # type: ignore[method-assign]
        until(loop, lambda: len(ages) >= 3)
        assert ages[0] is not None
        assert ages[0] < SECOND // 10
        # Requested two seconds ago and delayed for one at the server: the content may be a second old.
        assert all(age is not None and SECOND <= age < SECOND + SECOND // 10 for age in ages[1:])

    play(script)


def test_nothing_is_confirmed_before_the_store_is_complete() -> None:
    """A watcher in the middle of a snapshot load, and one that is catching up."""

    def script(loop: Loop) -> None:
        table = filled(3)
        behind = copy(table)
        for n in range(100):
            table.propose(table.revision + 1, put_keys(n * 10, 10, 600))
        for store, wanted in ((ConfigStore(), large(2000)), (behind, table)):
            server = FakeServer(loop, wanted)
            member = Member(loop, {"a": address_getter(server)})
            member.state.store = store
            pages = 0
            while not member.has_content_of(wanted):
                assert not member.watcher.is_complete
                pages += 1
                loop.sleep(SECOND)
            until(loop, lambda m=member: m.watcher.is_complete)  # type: ignore[misc]
            assert pages > 5

    play(script)


def test_a_server_behind_its_watcher_confirms_nothing() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        member.state.store = filled(5)
        loop.sleep(20 * SECOND)
        assert not member.watcher.is_complete
        assert member.log.count("config_stale") == 1
        assert member.table.revision == 5
        assert not member.outcomes

    play(script)


def test_staleness_is_logged_once_and_its_end_once() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        places = [server.address]
        member = Member(loop, {"a": lambda: places[0], "b": lambda: places[0]})
        until(loop, lambda: member.has_content_of(server.table))
        loop.sleep(60 * SECOND)
        assert not member.log.count("config_stale")
        for times in (1, 2):
            places[0] = ("127.0.0.1", 1)
            for stream in list(server.server.streams):
                stream.reset()
            loop.sleep(60 * SECOND)
            logged = [f for line, f in member.log.lines if line == "config_stale"]
            assert len(logged) == times
            assert logged[-1]["applied_revision"] == 3
            assert member.log.count("config_fresh") == times - 1
            assert member.log.count("watch_disconnected") == times
            places[0] = server.address
            until(loop, lambda: server.watch.waiting)
            loop.sleep(SECOND)
            assert member.log.count("config_fresh") == times

    play(script)


def test_after_a_long_outage_watchers_return_spread_out_and_in_time() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        places = [("127.0.0.1", 1)]
        members = [Member(loop, {"a": lambda: places[0]}, f"fe{n}", n) for n in range(50)]
        loop.sleep(60 * SECOND)
        assert sum(m.watcher.counts.server_changes for m in members) < 50 * 60 * 4
        places[0] = server.address
        began_us = loop.now()
        first: dict[int, int] = {}
        while not all(m.has_content_of(server.table) for m in members):
            first[loop.now()] = server.watch.counts.responses
            assert loop.now() - began_us < 4 * SECOND
            loop.sleep(100_000)
        steps = list(first.values())
        assert max(b - a for a, b in pairwise(steps)) < 25

    play(script)
