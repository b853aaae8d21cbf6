"""How long a request has waited before it is read: counted from the last byte that its client wrote.

Stalls of the process are played by moving the clock while nothing else runs.
"""

from __future__ import annotations

import errno

import pytest

from walnutpost.eventloop import tasks
from walnutpost.eventloop.accept_errors import MAX_ACCEPT_ERRORS_IN_ROW, MIN_ACCEPT_BACKOFF_US
from walnutpost.node import rpc
from walnutpost.node.client_connection import MAX_REJECTED_BEFORE_PAUSE, READ_PAUSE_US
from walnutpost.testsupport.node.client_fixtures import (
    FailingSocket,
    arrivals,
    calls,
    crowd,
    play_bounded,
    request,
    stall,
)
from walnutpost.testsupport.node.harness import MS, REFUSED, World, warm


def test_request_read_at_once_has_not_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        arrived = arrivals(world, monkeypatch)
        client = world.client()
        for pause in (0, 30 * MS, 1_500 * MS):
            world.loop.sleep(pause)
            client.send()
            assert client.next()[2] is None
        whole = request(4)
        client.raw(whole[:20])
        world.loop.sleep(300 * MS)  # counts from its last byte
        client.raw(whole[20:])
        assert client.next()[2] is None
        assert [call.waited_us for call in arrived] == [0, 0, 0, 0]
        assert {call.time_left_us for call in arrived} == {1_000 * MS}

    play_bounded(script)


def test_request_received_during_a_stall_counts_from_its_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        arrived = arrivals(world, monkeypatch)
        client.send()
        stall(world, 300 * MS)
        assert client.next()[2] is None
        assert [(call.waited_us, call.time_left_us) for call in arrived] == [(300 * MS, 700 * MS)]
        fields = dict(part.split(b"=") for part in worker.calls()[-1][2].split(b","))
        assert int(fields[b"budget"]) <= 700

    play_bounded(script, workers=1)


def test_request_expired_before_it_is_read_is_answered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        arrived = arrivals(world, monkeypatch)
        late = client.send(budget="200")
        stall(world, 500 * MS)
        assert client.next() == [1, late, REFUSED, None]
        assert [(call.waited_us, call.time_left_us) for call in arrived] == [(500 * MS, 0)]
        following = client.send()
        assert client.next()[:3] == [1, following, None]
        assert len(calls(world)) == 2

    play_bounded(script)


def test_requests_in_the_backlog_after_accepting_yields_count_since_it_was_seen_empty(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        warm(world, world.client())
        arrived = arrivals(world, monkeypatch)
        monkeypatch.setattr(tasks, "EXTRA_TURNS", 0)
        callers = crowd(world, 80)  # takes three turns, with a poll before each
        stall(world, 400 * MS)
        world.until(lambda: len(arrived) == 80)
        assert {call.waited_us for call in arrived} == {400 * MS}
        late = world.client()
        late.send()
        world.until(lambda: len(arrived) == 81)
        assert arrived[-1].waited_us == 0
        for caller in callers:
            caller.close()

    play_bounded(script)


def test_requests_that_wait_for_the_process_to_start_count_since_it_listens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        arrived = arrivals(world, monkeypatch)
        world.node._accepting.cancel()  # before its first turn
        callers = crowd(world, 40)
        world.loop.sleep(400 * MS)
        world.loop.spawn(world.node.clients.accept, world.node.listener)
        world.until(lambda: len(arrived) == 40)
        assert {call.waited_us for call in arrived} == {400 * MS}
        for caller in callers:
            caller.close()

    play_bounded(script)


def test_connection_queued_while_accept_fails_has_waited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        world.loop.sleep(MS)
        listener = world.node.listener
        failing, sock = [OSError(errno.EPROTO, "cut off")] * 3 * MAX_ACCEPT_ERRORS_IN_ROW, listener._sock
        monkeypatch.setattr(listener, "_sock", FailingSocket(sock, failing))
        arrived = arrivals(world, monkeypatch)
        (caller,) = crowd(world, 1)
        world.until(lambda: arrived)
        assert not failing
        assert arrived[0].waited_us == MIN_ACCEPT_BACKOFF_US * (1 + 2 + 4)
        caller.close()

    play_bounded(script)


def test_connection_queued_without_a_descriptor_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        world.loop.sleep(MS)
        listener = world.node.listener
        failing, sock = [OSError(errno.EMFILE, "no descriptor left")], listener._sock
        monkeypatch.setattr(listener, "_sock", FailingSocket(sock, failing))
        listener._spare.release()  # so it waits, and rejects nobody
        arrived = arrivals(world, monkeypatch)
        (caller,) = crowd(world, 1)
        world.until(lambda: arrived)
        assert not failing
        assert arrived[0].waited_us == 50 * MS
        caller.close()

    play_bounded(script)


def test_request_received_while_reading_is_paused_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        arrived = arrivals(world, monkeypatch)
        client = world.client()
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        client.send()
        assert client.next()[2] is None
        assert arrived[0].waited_us == READ_PAUSE_US
        world.loop.sleep(2 * READ_PAUSE_US)
        client.send()
        assert client.next()[2] is None
        assert arrived[1].waited_us == 0

    play_bounded(script)


def test_request_after_a_pause_and_an_idle_time_has_not_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        arrived = arrivals(world, monkeypatch)
        client = world.client()
        for _ in range(MAX_REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        world.loop.sleep(1_000 * MS)
        client.send()
        assert client.next()[2] is None
        assert arrived[0].waited_us == 0

    play_bounded(script)


def test_bytes_left_by_one_read_count_from_before_that_read(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        monkeypatch.setattr(rpc, "MAX_READ_BYTES", 1024)
        arrived = arrivals(world, monkeypatch, during=lambda: stall(world, 3 * MS))  # each takes so long
        client.raw(b"".join(request(number, bytes(900)) for number in range(2, 8)))
        world.until(lambda: len(arrived) == 6)
        assert [call.waited_us for call in arrived] == [number * 3 * MS for number in range(6)]

    play_bounded(script, workers=1)
