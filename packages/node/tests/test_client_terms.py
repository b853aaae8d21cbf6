"""What a client is owed: time counted from its own last byte, an answer to all that was read, and nothing
begun after it has left. Stalls of the process are played by moving the clock while nothing else runs."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgpack
import pytest

from node_rig import SECOND, Client, Words, Worker, World, play, reply
from test_crossings import LEAVE, MS
from test_node import FAILED, REFUSED, warm
from walnutpost.eventloop import VirtualClock, scheduler
from walnutpost.eventloop.sockets import ACCEPT_BACKOFF_US, ACCEPT_TRIES
from walnutpost.gateway import CallArrived, Served
from walnutpost.node import rpc
from walnutpost.node.client_connection import (
    READ_PAUSE_US,
    REJECTED_BEFORE_PAUSE,
    REJECTED_MOST,
    Connection,
)
from walnutpost.node.client_output import OUT_HIGH_WATER, OUT_MOST

FUNCTION = "7f3a9c21e0b4d655"
LARGE = bytes(rpc.BODY_MOST)  # two such requests are more than one read


def run(script: Callable[[World], None], workers: int = 2) -> None:
    """Plays it for a minute at the most: what never comes is a failure, not a wait without end."""

    def bounded(world: World) -> None:
        with world.loop.timeout(60 * SECOND):
            script(world)

    play(bounded, workers)


def request(number: int, body: bytes = b"", rid: str | None = None, budget: str = "1000") -> bytes:
    fields = {"rid": rid or f"{number:016x}", "budget": budget, "obj": FUNCTION}
    return msgpack.packb([0, number, "valuation", [fields, body]])  # type: ignore[no-any-return]


def stall(world: World, time: int) -> None:
    """The process is stopped for so long: no round of the loop passes meanwhile."""
    assert isinstance(world.loop.clock, VirtualClock)
    world.loop.clock.jump(world.loop.now() + time)


def arrivals(
    world: World, patch: pytest.MonkeyPatch, during: Callable[[], None] = lambda: None
) -> list[CallArrived]:
    """What the gateway is told from now on; `during` runs just before each of them."""
    core, told = world.node.core, list[CallArrived]()
    arrive = core.arrive

    def noting(call: CallArrived, done: Any) -> None:
        told.append(call)
        during()
        arrive(call, done)

    patch.setattr(core, "arrive", noting)
    return told


def crowd(world: World, count: int) -> list[socket.socket]:
    """Connections with a request each, in the listener's queue: the loop has no turn meanwhile."""
    callers = [socket.create_connection(world.node.listener.address) for _ in range(count)]
    for position, caller in enumerate(callers):
        caller.sendall(request(1, rid=f"{position + 1000:016x}"))
    return callers


def silence(world: World) -> None:
    for worker in world.workers:
        worker.answer = lambda words: None


def calls(world: World) -> list[Words]:
    return [words for worker in world.workers for words in worker.calls()]


def only_connection(world: World) -> Connection:
    (connection,) = world.node.clients.connections
    return connection


class Unfetched:
    """A client whose receive window is full until `fetch`."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: Connection) -> None:
        self._connection = connection
        patch.setattr(connection._stream, "send_now", lambda data: data)
        patch.setattr(connection._stream, "on_writable", lambda callback: None)

    def fetch(self) -> None:
        del self._connection._stream.send_now, self._connection._stream.on_writable
        self._connection._output.flush()


# How long a request waited before it was read


def test_a_request_that_is_read_at_once_has_not_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        told = arrivals(world, monkeypatch)
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
        assert [call.waited_us for call in told] == [0, 0, 0, 0]
        assert {call.time_left_us for call in told} == {1_000 * MS}

    run(script)


def test_a_request_that_came_in_a_stall_counts_from_its_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        told = arrivals(world, monkeypatch)
        client.send()
        stall(world, 300 * MS)
        assert client.next()[2] is None
        assert [(call.waited_us, call.time_left_us) for call in told] == [(300 * MS, 700 * MS)]
        fields = dict(part.split(b"=") for part in worker.calls()[-1][2].split(b","))
        assert int(fields[b"budget"]) <= 700

    run(script, workers=1)


def test_a_request_whose_time_was_over_when_it_was_read_is_answered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        told = arrivals(world, monkeypatch)
        late = client.send(budget="200")
        stall(world, 500 * MS)
        assert client.next() == [1, late, REFUSED, None]
        assert [(call.waited_us, call.time_left_us) for call in told] == [(500 * MS, 0)]
        following = client.send()
        assert client.next()[:3] == [1, following, None] and len(calls(world)) == 2

    run(script)


def test_requests_in_the_backlog_count_since_it_was_seen_empty_also_after_accepting_gave_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        warm(world, world.client())
        told = arrivals(world, monkeypatch)
        monkeypatch.setattr(scheduler, "EXTRA_TURNS", 0)
        callers = crowd(world, 80)  # takes three turns, with a poll before each
        stall(world, 400 * MS)
        world.until(lambda: len(told) == 80)
        assert {call.waited_us for call in told} == {400 * MS}
        late = world.client()
        late.send()
        world.until(lambda: len(told) == 81)
        assert told[-1].waited_us == 0
        for caller in callers:
            caller.close()

    run(script)


def test_a_crowd_that_waits_for_a_process_to_start_counts_since_it_listens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        told = arrivals(world, monkeypatch)
        world.node._accepting.cancel()  # before its first turn
        callers = crowd(world, 40)
        world.loop.sleep(400 * MS)
        world.loop.spawn(world.node.clients.accept, world.node.listener)
        world.until(lambda: len(told) == 40)
        assert {call.waited_us for call in told} == {400 * MS}
        for caller in callers:
            caller.close()

    run(script)


def test_a_connection_that_waited_for_an_error_of_the_listener_to_pass_has_waited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        world.loop.sleep(MS)
        listener = world.node.listener
        failing, sock = [OSError(errno.EPROTO, "cut off")] * 3 * ACCEPT_TRIES, listener._sock
        monkeypatch.setattr(listener, "_sock", FailingSocket(sock, failing))
        told = arrivals(world, monkeypatch)
        (caller,) = crowd(world, 1)
        world.until(lambda: told)
        assert not failing and told[0].waited_us == ACCEPT_BACKOFF_US * (1 + 2 + 4)
        caller.close()

    run(script)


def test_a_connection_that_waited_for_a_descriptor_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        world.loop.sleep(MS)
        listener = world.node.listener
        failing, sock = [OSError(errno.EMFILE, "no descriptor left")], listener._sock
        monkeypatch.setattr(listener, "_sock", FailingSocket(sock, failing))
        monkeypatch.setattr(listener, "_spare", None)  # so it waits, and turns nobody away
        told = arrivals(world, monkeypatch)
        (caller,) = crowd(world, 1)
        world.until(lambda: told)
        assert not failing and told[0].waited_us == 50 * MS
        caller.close()

    run(script)


class FailingSocket:
    """A listening socket whose `accept` raises `errors`, then goes on."""

    def __init__(self, sock: socket.socket, errors: list[OSError]) -> None:
        self._sock = sock
        self._errors = errors

    def accept(self) -> Any:
        if self._errors:
            raise self._errors.pop()
        return self._sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def test_a_request_that_came_while_reading_was_paused_has_waited(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        told = arrivals(world, monkeypatch)
        client = world.client()
        for _ in range(REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        client.send()
        assert client.next()[2] is None and told[0].waited_us == READ_PAUSE_US
        world.loop.sleep(2 * READ_PAUSE_US)
        client.send()
        assert client.next()[2] is None and told[1].waited_us == 0

    run(script)


def test_an_idle_time_after_a_pause_is_none_of_the_next_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        told = arrivals(world, monkeypatch)
        client = world.client()
        for _ in range(REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        world.loop.sleep(1_000 * MS)
        client.send()
        assert client.next()[2] is None and told[0].waited_us == 0

    run(script)


def test_what_one_read_left_behind_counts_from_before_that_read(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        monkeypatch.setattr(rpc, "READ_MOST", 1024)
        told = arrivals(world, monkeypatch, during=lambda: stall(world, 3 * MS))  # each takes so long
        client.raw(b"".join(request(number, bytes(900)) for number in range(2, 8)))
        world.until(lambda: len(told) == 6)
        assert [call.waited_us for call in told] == [number * 3 * MS for number in range(6)]

    run(script, workers=1)


# An answer to all that was read


def test_a_client_that_ends_only_its_sending_side_gets_an_answer_to_what_is_open() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        number = client.send()
        world.until(lambda: len(worker.calls()) == 2)
        client.stream.end_writing()
        assert client.next() == [1, number, FAILED, None] and client.next() is None
        assert world.node.core.open_calls == 0 and not world.node.clients.connections

    run(script, workers=1)


def test_requests_with_their_clients_end_behind_them_are_refused_and_not_begun() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        client.raw(request(2) + request(3) + msgpack.packb([2, "interrupt", [3]]) + request(4))
        client.stream.end_writing()
        assert [client.next(), client.next()] == [[1, 2, REFUSED, None], [1, 4, REFUSED, None]]
        assert client.next() is None and len(calls(world)) == 1

    run(script)


def test_a_request_that_waits_for_a_copy_when_its_client_ends_its_side_is_refused() -> None:
    def script(world: World) -> None:
        client = world.client()
        number = client.send()
        world.until(lambda: only_connection(world).open)
        client.stream.end_writing()
        assert client.next() == [1, number, REFUSED, None] and client.next() is None
        assert world.node.core.open_calls == 0

    run(script, workers=0)


def test_a_client_that_ended_its_side_and_fetches_nothing_is_closed_in_the_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        client.send()
        world.until(lambda: len(worker.calls()) == 2)
        Unfetched(monkeypatch, only_connection(world))
        client.stream.end_writing()
        world.until(lambda: not world.node.clients.requests.request_ids)
        assert world.node.clients.connections
        world.until(lambda: not world.node.clients.connections)

    run(script, workers=1)


def test_an_error_that_nobody_expected_in_taking_a_request_costs_that_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        failing = [ZeroDivisionError()]

        def fails() -> None:
            if failing:
                raise failing.pop()

        arrivals(world, monkeypatch, during=fails)
        client.raw(request(2) + request(3))
        answers = sorted([client.next(), client.next()], key=lambda answer: int(answer[1]))
        assert answers[0] == [1, 2, FAILED, None] and answers[1][1:3] == [3, None]
        assert not world.node.clients.requests.request_ids and not only_connection(world).open

    with pytest.raises(ZeroDivisionError):  # told by the loop
        run(script)


def test_an_error_that_nobody_expected_in_reading_leaves_what_is_open_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        number = client.send()
        world.until(lambda: len(worker.calls()) == 2)
        monkeypatch.setattr(only_connection(world)._input._reader, "feed", lambda data: 1 / 0)
        client.send()
        world.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"late"))
        assert client.next() == [1, number, None, [b"late", {}]] and client.next() is None

    with pytest.raises(ZeroDivisionError):
        run(script, workers=1)


def test_what_was_read_behind_a_message_that_ends_the_reading_gets_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        silence(world)
        client.raw(request(2) + request(2) + request(3) + msgpack.packb([2, "interrupt", [4]]) + request(4))
        told = []
        while (answer := client.next()) is not None:
            told.append(answer)
        assert [answer[2][0] for answer in told if answer[1] == 3] == ["Internal"]
        assert 4 not in [answer[1] for answer in told]

    run(script)


@pytest.mark.parametrize("where", ["end", "sweep", "make_room"])
def test_an_error_with_one_connection_keeps_nothing_from_the_others(
    monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    def script(world: World) -> None:
        clients = world.node.clients
        broken, sound = world.client(), world.client()
        world.until(lambda: len(clients.connections) == 2)
        first, second = clients.connections
        monkeypatch.setattr(first, "_read" if where != "sweep" else "check_timeouts", lambda *_: 1 / 0)
        if where == "end":
            ending = world.loop.spawn(world.node.shut_down)
            world.loop.sleep(690 * MS)
            sound.send()
            assert sound.next()[2] is None and sound.next() is None
            broken.stream.close()
            ending.join()
        elif where == "sweep":
            sound.raw(b"\x94")
            world.until(lambda: second not in clients.connections)
        else:
            monkeypatch.setattr(clients, "_connections_most", 2)
            first._stream.on_readable(None)
            broken.raw(request(1))  # unread when room is made
            late = world.client()
            late.send()
            assert late.next()[2] is None
        assert world.node._accepting.done == (where == "end")

    with pytest.raises(ZeroDivisionError):
        run(script)


def test_a_client_that_fetches_too_little_gets_errors_for_bodies_and_no_close(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        number = client.send()
        world.until(lambda: len(worker.calls()) == 2)
        connection = only_connection(world)
        window = Unfetched(monkeypatch, connection)
        before = bytes(OUT_MOST)
        connection.write(msgpack.packb(before))
        world.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"body"))
        world.until(lambda: not connection.open)
        window.fetch()
        assert client.next() == before
        kind, answered, error, _ = client.next()
        assert (kind, answered) == (1, number) and error[1]["reason"].startswith("too many")
        following = client.send()
        worker.answer = Worker.good
        assert client.next()[:3] == [1, following, None]

    run(script, workers=1)


def test_many_large_answers_at_once_are_passed_on_while_they_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        for _ in range(12):
            client.send()
        world.until(lambda: len(worker.calls()) == 13)
        connection, left = only_connection(world), list[bytes]()

        def leaves(data: bytes) -> bytes:
            left.append(data)
            return b""

        monkeypatch.setattr(connection._stream, "send_now", leaves)
        large = bytes(120_000)
        for ticket in list(connection.open.values()):
            world.node.core._waiting[ticket](Served(large, worker.name, ""))
        world.until(lambda: connection.idle)
        unpacker = msgpack.Unpacker()
        unpacker.feed(b"".join(left))
        assert [answer[3][0] for answer in unpacker] == [large] * 12

    run(script, workers=1)


def test_what_a_client_asks_beyond_what_it_fetches_is_read_when_it_fetches(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        connection = only_connection(world)
        window = Unfetched(monkeypatch, connection)
        connection.write(msgpack.packb(bytes(OUT_HIGH_WATER)))
        checks = [msgpack.packb([0, number, "check", [{}]]) for number in range(2, 20_002)]
        sending = world.loop.spawn(client.raw, b"".join(checks))
        world.loop.sleep(2_000 * MS)
        kept = connection._output.size
        assert kept < OUT_HIGH_WATER + 3 * rpc.READ_MOST
        window.fetch()
        began = world.loop.now()
        assert len(client.next()) == OUT_HIGH_WATER
        assert [client.next()[1] for _ in range(6_000)] == list(range(2, 6_002))
        assert world.loop.now() - began < 100 * MS
        assert [client.next()[1] for _ in checks[6_000:]] == list(range(6_002, 20_002))
        sending.join()

    run(script)


def test_a_flood_beside_an_open_request_ends_that_with_an_answer_at_once() -> None:
    """What would take it back is not looked at any more."""

    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        number = client.send()
        world.until(lambda: len(worker.calls()) == 2)
        began = world.loop.now()
        flood = [
            msgpack.packb([0, n, "no such class", [{}, b""]]) for n in range(number + 1, REJECTED_MOST + 9)
        ]
        client.raw(b"".join(flood))
        told = []
        while (answer := client.next()) is not None:
            told.append(answer)
        assert [answer for answer in told if answer[1] == number] == [[1, number, FAILED, None]]
        assert len(told) == len(flood) + 1 and world.loop.now() - began < 50 * MS
        assert world.node.core.open_calls == 0

    run(script, workers=1)


def test_room_is_made_last_on_a_client_that_may_still_be_fetching() -> None:
    def script(world: World) -> None:
        fetching, idle = world.client(), world.client()
        for client in (fetching, idle):
            client.send()
            assert client.next()[2] is None
        fetching.raw(b"\xc1")
        clients = world.node.clients
        world.until(lambda: any(connection.lingers for connection in clients.connections))
        clients.make_room()
        assert [connection.lingers for connection in clients.connections] == [True]

    run(script)


def test_of_two_requests_under_one_number_the_open_one_gets_an_error_and_the_second_nothing() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        good, twice = client.send(), client.send()
        world.until(lambda: len(worker.calls()) == 3)
        client.raw(request(twice, b"second"))
        world.loop.sleep(10 * MS)
        for words in worker.calls()[1:]:
            for stream in worker.streams:
                with suppress(OSError):
                    stream.send_all(reply(words[1], b"OK", b"-", words[3]))
        answers = [client.next() for _ in range(2)]
        assert [(number, error and error[0]) for _, number, error, _ in answers] == [
            (twice, "Internal"),
            (good, None),
        ]
        assert client.next() is None and len(worker.calls()) == 3

    run(script, workers=1)


# Shutdown


def test_the_end_takes_no_answer_from_a_client_that_fetches_slowly_and_still_sends() -> None:
    """A close resets the connection when more comes, and drops what the kernel has not sent by then."""
    large = bytes(100_000)

    def script(world: World) -> None:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(world.node.listener.address)
        caller.sendall(request(1))
        silence(world)
        worker = world.workers[0]
        worker.answer = lambda words: Worker.good(words) if words[0] != b"FN" else None
        world.until(worker.calls)
        ending = world.loop.spawn(world.node.shut_down)
        world.loop.sleep(750 * MS)
        worker.streams[0].send_all(reply(worker.calls()[0][1], b"OK", b"-", large))
        world.until(lambda: only_connection(world).idle)
        caller.sendall(request(2))  # crosses the end of the connection
        caller.setblocking(False)
        got = b""

        def fetched() -> bool:
            nonlocal got
            with suppress(BlockingIOError, ConnectionResetError):
                got += caller.recv(65536)
            return len(got) >= len(large)

        world.until(fetched, step=MS)
        assert msgpack.unpackb(got) == [1, 1, None, [large, {}]]
        caller.close()
        ending.join()

    run(script, workers=1)


def test_a_request_that_has_partly_come_at_the_end_is_answered_once_it_has_whole() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        ending = world.loop.spawn(world.node.shut_down)
        whole = request(2)
        client.raw(whole[:20])
        world.loop.sleep(750 * MS)
        client.raw(whole[20:])
        assert client.next() == [1, 2, REFUSED, None] and client.next() is None
        client.stream.close()
        ending.join()

    run(script)


# Nothing begins for a client that has left


def test_nothing_begins_for_a_client_whose_end_lies_far_behind_its_requests() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        client.raw(b"".join(request(number, LARGE) for number in (2, 3, 4)))
        client.stream.close()
        world.until(lambda: not world.node.clients.connections)
        world.loop.sleep(100 * MS)
        assert len(calls(world)) == 1

    run(script)


def test_all_requests_with_an_end_far_behind_them_are_answered() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        client.raw(b"".join(request(number, LARGE) for number in (2, 3, 4)))
        client.stream.end_writing()
        assert [client.next() for _ in range(3)] == [[1, number, REFUSED, None] for number in (2, 3, 4)]
        assert client.next() is None and len(calls(world)) == 1

    run(script)


def test_requests_with_an_end_behind_them_are_answered_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        monkeypatch.setattr(rpc, "READ_MOST", 1024)
        numbers = range(2, 2 * REJECTED_BEFORE_PAUSE)
        client.raw(b"".join(request(number, bytes(900)) for number in numbers))
        client.stream.end_writing()
        began = world.loop.now()
        assert [client.next() for _ in numbers] == [[1, number, REFUSED, None] for number in numbers]
        assert world.loop.now() - began < READ_PAUSE_US

    run(script)


def test_the_end_of_a_client_that_is_not_listened_to_is_seen_behind_what_it_sends() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        client.send()
        world.until(lambda: len(worker.calls()) == 2)
        connection = only_connection(world)
        connection._input.discarding = True
        client.raw(bytes(2 * rpc.READ_MOST))
        client.stream.end_writing()
        connection.read()
        assert not connection.open and client.next()[2] == FAILED

    run(script, workers=1)


def test_nothing_begins_where_what_takes_it_back_came_in_a_stall_far_behind_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        told = arrivals(world, monkeypatch)
        client.raw(b"".join(request(number, LARGE) for number in (2, 3, 4)))
        client.raw(msgpack.packb([2, "interrupt", [2, 3, 4]]))
        stall(world, 150 * MS)
        world.loop.sleep(100 * MS)
        assert len(calls(world)) == 1 and not told

    run(script)


def interrupt_second(client: Client) -> None:
    client.raw(msgpack.packb([2, "interrupt", [2]]))


@pytest.mark.parametrize("leave", [*LEAVE[1:], interrupt_second])
def test_nothing_begins_after_a_stall_between_reading_and_sending(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None]
) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)

        def meanwhile() -> None:
            leave(client)
            stall(world, 150 * MS)

        told = arrivals(world, monkeypatch, during=meanwhile)
        client.send()
        world.until(lambda: told and not world.node.clients.requests.request_ids)
        world.loop.sleep(100 * MS)
        assert len(calls(world)) == 1 and world.node.core.open_calls == 0

    run(script)


def test_what_may_have_run_is_not_refused_after_an_end_that_was_seen_ahead_of_its_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        silence(world)
        client.send(method="reservation")
        world.until(lambda: len(worker.calls()) == 2)

        def meanwhile() -> None:
            client.stream.end_writing()
            stall(world, 150 * MS)

        arrivals(world, monkeypatch, during=meanwhile)
        client.send(method="reservation")
        answers = {answer[1]: answer[2] for answer in (client.next(), client.next())}
        assert answers == {2: FAILED, 3: REFUSED} and len(worker.calls()) == 2

    run(script, workers=1)


def test_what_was_read_ahead_of_its_turn_is_taken_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        more = [request(3) + request(4)[:20]]

        def meanwhile() -> None:
            if more:
                client.raw(more.pop())
                stall(world, 150 * MS)

        told = arrivals(world, monkeypatch, during=meanwhile)
        client.send()
        world.until(lambda: len(told) == 2)
        client.raw(request(4)[20:])
        assert sorted(client.next()[1] for _ in range(3)) == [2, 3, 4]
        assert [call.waited_us for call in told] == [0, 150 * MS, 0]

    run(script, workers=1)


def test_a_stall_alone_keeps_no_request_from_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client)
        arrivals(world, monkeypatch, during=lambda: stall(world, 150 * MS))
        number = client.send(method="reservation")
        assert client.next()[:3] == [1, number, None] and len(calls(world)) == 2

    run(script)
