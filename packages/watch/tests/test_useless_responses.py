"""Servers whose responses bring no progress: they are asked with a backoff."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

import pytest
from msgspec.structs import replace

from walnutpost.configstore import (
    ChangeSet,
    Entry,
    Mutation,
    WatchRequest,
    WatchResponse,
    encode,
    respond,
)
from walnutpost.eventloop import Loop
from walnutpost.http import Response
from walnutpost.testsupport.watch.harness import (
    SECOND,
    Member,
    ScriptedServer,
    filled,
    play,
)
from walnutpost.testsupport.watch.servers import HEADERS, address_getter


def _same_change_set(_request: WatchRequest) -> Response:
    """Return the same change set for each request."""
    page = respond(filled(1), WatchRequest("", "", 0, 0, 0, 0, 0))
    assert page is not None
    return Response(200, HEADERS, encode(page))


def _change_of_another_store(request: WatchRequest) -> Response:
    table = filled(3, size=21)
    page = respond(table, replace(request, revision=3, digest=1))
    assert page is not None
    return Response(200, HEADERS, encode(page))


def _endless_snapshot(request: WatchRequest) -> Response:
    """Return a page of a snapshot without end, one small entry at a time."""
    after = request.after_key or ""
    entry = Entry(after[:20] + "a" * (len(after) - len(after[:20]) + 1), b"", 1)
    return Response(
        200, HEADERS, encode(WatchResponse(9, 9, 9, is_snapshot=True, entries=(entry,), after_key=after))
    )


def _rising_compaction(request: WatchRequest) -> Response:
    """Return a page whose compacted revision overtakes the load each time."""
    n = next(_rising_revisions)
    entry = Entry("a/b", b"", n)
    return Response(
        200,
        HEADERS,
        encode(WatchResponse(n, 9, n, is_snapshot=True, entries=(entry,), after_key=request.after_key or "")),
    )


_rising_revisions = count(10)


def _wrong_digest_in_change_set(request: WatchRequest) -> Response:
    """Return a change set whose digest does not match the store with it."""
    after = request.revision
    change = ChangeSet(after + 1, (Mutation("function/x", b"1"),), 77)
    page = WatchResponse(after + 1, 77, 0, (change,), since_revision=after)
    return Response(200, HEADERS, encode(page))


USELESS_RESPONSES: dict[str, Callable[[WatchRequest], Response | None]] = {
    "nothing at once": lambda _: Response(204, HEADERS),
    "nothing without a head": lambda _: Response(204),
    "an empty page": lambda _: Response(200, HEADERS, encode(WatchResponse(3, 0, 0))),
    "an old page": _same_change_set,
    "no page": lambda _: Response(200, HEADERS, b"<html>"),
    "a page without a head": lambda _: Response(200, {}, encode(WatchResponse(3, 0, 0))),
    "bad text": lambda _: Response(
        200, HEADERS, encode(WatchResponse(3, 0, 0, after_key="\x01x")).replace(b"\x01x", b"\xffx")
    ),
    "nested": lambda _: Response(
        200, HEADERS, b"\xdc\0\x20" + encode(WatchResponse(3, 0, 0))[1:] + b"\x91" * 99_999
    ),
    "another digest": _change_of_another_store,
    "a snapshot without end": _endless_snapshot,
    "a compacted revision that runs away": _rising_compaction,
    "change sets with a wrong digest": _wrong_digest_in_change_set,
    "its end": lambda _: None,
    "busy": lambda _: Response(503),
}


@pytest.mark.parametrize("name", USELESS_RESPONSES)
def test_a_server_with_useless_responses_is_not_asked_in_a_tight_loop(name: str) -> None:
    def script(loop: Loop) -> None:
        bad = ScriptedServer(loop, USELESS_RESPONSES[name])
        member = Member(loop, {"a": address_getter(bad)})
        member.state.store = filled(3)
        loop.sleep(60 * SECOND)
        assert 5 < len(bad.requests) < 60 * 25, len(bad.requests)
        assert not member.task.is_done
        assert len(member.log.lines) < 60 * 6
        assert all(n >= 3 for n in member.applied_revisions)

    play(script)
