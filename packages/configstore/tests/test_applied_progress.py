"""A member's progress in its requests, and when its content is stale."""

from __future__ import annotations

import pytest

from walnutpost.configstore import (
    STALE_AFTER_US,
    WatchRequest,
    WatchState,
)
from walnutpost.testsupport.configstore.following import (
    SECOND,
    follow,
)
from walnutpost.testsupport.configstore.stores import filled


def test_applied_revision_is_what_was_marked_and_never_decreases() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.1")
    follow(watcher, store)
    assert watcher.next_request(7).applied_revision == 0
    assert watcher.next_request(7).revision == 10
    watcher.mark_applied(8)
    watcher.mark_applied(6)
    assert watcher.next_request(7).applied_revision == 8
    with pytest.raises(ValueError, match="applied revision 11, the store is at 10"):
        watcher.mark_applied(11)
    watcher.mark_blocked(10, "function/f: class fast, wanted one of small, large")
    watcher.mark_blocked(8, "late")
    request = watcher.next_request(7)
    assert (request.applied_revision, request.blocked_reason) == (
        8,
        "function/f: class fast, wanted one of small, large",
    )
    watcher.mark_applied(8)
    assert watcher.blocked_reason
    watcher.mark_applied(10)
    assert watcher.next_request(7).applied_revision == 10
    assert watcher.next_request(7).blocked_reason == ""


def test_next_request_has_member_position_and_session() -> None:
    store, watcher = filled(5), WatchState("fe1", "fe1.7")
    follow(watcher, store)
    watcher.server_changed()
    watcher.server_changed()
    assert watcher.next_request(3 * SECOND) == WatchRequest(
        "fe1", "fe1.7", 2, 10, 0, store.digest, 3 * SECOND
    )


def test_a_watcher_is_stale_after_9_seconds_without_confirmation() -> None:
    now = 100 * SECOND
    watcher = WatchState("fe1", "fe1.1", now)
    assert not watcher.is_stale(now + STALE_AFTER_US)
    assert watcher.is_stale(now + STALE_AFTER_US + 1)
    now += 20 * SECOND
    watcher.handle_response(now, None, None)  # a server that has heard of no leader itself
    watcher.handle_response(now, None, 12 * SECOND)
    assert watcher.is_stale(now)
    watcher.handle_response(now, None, 2 * SECOND)
    assert not watcher.is_stale(now + 7 * SECOND)
    assert watcher.is_stale(now + 7 * SECOND + 1)
    watcher.handle_response(now + SECOND, None, 8 * SECOND)  # another server, which knows less
    assert not watcher.is_stale(now + 7 * SECOND)
