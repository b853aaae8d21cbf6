"""Snapshot loads over the network, the rate of received bytes, and repairs."""

from __future__ import annotations

import pytest

from walnutpost.configstore import (
    Entry,
    Mutation,
)
from walnutpost.eventloop import Loop
from walnutpost.testsupport.watch.harness import (
    SECOND,
    FakeServer,
    Member,
    copy,
    filled,
    large,
    play,
    put_keys,
    until,
)
from walnutpost.testsupport.watch.servers import address_getter
from walnutpost.watch.connection import (
    RECEIVE_BURST_BYTES,
    RECEIVE_RATE_BYTES_PER_S,
    ServerConnection,
)


def test_a_snapshot_load_is_paced() -> None:
    def script(loop: Loop) -> None:
        table = large(3000)  # some 700 KB
        server = FakeServer(loop, table)
        member = Member(loop, {"a": address_getter(server)})
        began_us, counts = loop.now(), member.watcher.counts
        while not member.has_content_of(table):
            passed_us = loop.now() - began_us
            assert (
                counts.bytes_in
                <= RECEIVE_BURST_BYTES + RECEIVE_RATE_BYTES_PER_S * passed_us // SECOND + 2 * 65_536
            ), (counts, passed_us)
            assert passed_us < 120 * SECOND
            loop.sleep(50_000)
        assert counts.bytes_in > 600_000
        load_us = loop.now() - began_us
        assert (
            load_us
            > (counts.bytes_in - RECEIVE_BURST_BYTES - 2 * 65_536) * SECOND // RECEIVE_RATE_BYTES_PER_S
        )
        # The snapshot is applied once, when it is complete.
        assert member.applied_revisions == [table.revision]

    play(script)


def test_the_receive_burst_is_available_once() -> None:
    def script(loop: Loop) -> None:
        bucket = ServerConnection(loop, {}, RECEIVE_RATE_BYTES_PER_S).bucket
        bucket.consume(loop.now(), RECEIVE_BURST_BYTES)
        assert bucket.wait_us(loop.now()) == 0
        bucket.consume(loop.now(), RECEIVE_RATE_BYTES_PER_S)
        assert bucket.wait_us(loop.now()) == SECOND
        loop.sleep(60 * SECOND)  # the burst does not grow again while idle
        bucket.consume(loop.now(), RECEIVE_RATE_BYTES_PER_S)
        assert bucket.wait_us(loop.now()) == SECOND

    play(script)


def test_a_change_set_is_acknowledged_at_once_whatever_the_byte_debt() -> None:
    def script(loop: Loop) -> None:
        server = FakeServer(loop, filled(3))
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: server.watch.waiting)
        for n in range(5):  # much more than 22 KB/s
            changed = loop.now()
            revision = server.change(put_keys(n * 100, 100, 1000))
            until(loop, lambda r=revision: server.requests[-1].applied_revision == r)  # type: ignore[misc]
            assert loop.now() - changed < SECOND
        assert member.has_content_of(server.table)

    play(script)


def test_a_watcher_far_behind_catches_up_at_its_rate() -> None:
    def script(loop: Loop) -> None:
        table = filled(3)
        server = FakeServer(loop, copy(table))
        for n in range(100):
            server.change(put_keys(n * 10, 10, 600))
        member = Member(loop, {"a": address_getter(server)})
        member.state.store = table
        began_us, counts = loop.now(), member.watcher.counts
        while not member.has_content_of(server.table):
            passed_us = loop.now() - began_us
            assert (
                counts.bytes_in
                <= RECEIVE_BURST_BYTES + RECEIVE_RATE_BYTES_PER_S * passed_us // SECOND + 2 * 65_536
            ), (counts, passed_us)
            assert passed_us < 120 * SECOND
            loop.sleep(50_000)
        assert not [request for request in server.requests if request.after_key is not None]
        assert counts.bytes_in > 600_000
        assert (
            loop.now() - began_us
            > (counts.bytes_in - RECEIVE_BURST_BYTES - 2 * 65_536) * SECOND // RECEIVE_RATE_BYTES_PER_S
        )

    play(script)


@pytest.mark.parametrize("changing", [False, True])
def test_a_snapshot_load_over_several_servers_ends_with_the_committed_store(changing: bool) -> None:
    """Two relays, each reset in turn while the snapshot loads, with changes meanwhile."""

    def script(loop: Loop) -> None:
        table = large(2000)
        a, b = FakeServer(loop, table), FakeServer(loop, copy(table))
        places = {"a": a.address, "b": b.address}
        member = Member(loop, {"a": lambda: places["a"], "b": lambda: places["b"]})
        pages = 0
        for n in range(200):
            before = member.watcher.counts.requests
            until(loop, lambda k=before: member.watcher.counts.requests > k)  # type: ignore[misc]
            if member.table.revision:
                break
            pages += 1
            if changing:
                for server in (a, b):
                    server.change(
                        [
                            Mutation(f"function/f{2 * n:05}", None),
                            *put_keys(2 * n + 1, salt=n),
                            *put_keys(1999 - 2 * n),
                        ]
                    )
            here = member.watcher.server
            for stream in list((a if here == "a" else b).server.streams):
                stream.reset()
        until(loop, lambda: member.has_content_of(a.table))
        loop.sleep(10 * SECOND)
        assert member.has_content_of(a.table)
        assert member.has_content_of(b.table)
        assert pages > 5
        assert member.table.compute_bucket_digests() == a.table.compute_bucket_digests() if a.table else False
        assert member.watcher.counts.server_changes > 5
        after_keys = [
            request.after_key for request in (*a.requests, *b.requests) if request.after_key is not None
        ]
        assert len(set(after_keys)) > 5
        assert {request.member for request in a.requests} == {request.member for request in b.requests}
        # Resumed by key at the other server: the first page is requested only a few times.
        assert after_keys.count("") <= 4

    play(script)


def test_a_corrupted_entry_is_found_at_the_next_change_and_repaired() -> None:
    def script(loop: Loop) -> None:
        table = large(500)
        server = FakeServer(loop, table)
        member = Member(loop, {"a": address_getter(server)})
        until(loop, lambda: member.has_content_of(table))
        loop.sleep(10 * SECOND)
        store = member.state.store
        entry = store.entries["function/f00077"]
        store.entries = store.entries.set(entry.key, Entry(entry.key, b"flipped", entry.revision))
        server.change(put_keys(3))
        until(loop, lambda: any(t.repaired_keys == ("function/f00077",) for t in member.outcomes))
        until(loop, lambda: member.has_content_of(table))
        assert member.table.entries == table.entries
        assert member.log.count("config_diverged") >= 1
        assert not [request for request in server.requests[5:] if request.after_key is not None]

    play(script)
