"""The wire to a worker: what outcomes prove, which bytes may still leave, whose answers an end takes.

Each crossing is forced: `Held` keeps a connection from coming up until it is told to, `Throttle` says how
many bytes the kernel takes, and the stand-in worker's own record is the witness of what has arrived.
"""

from __future__ import annotations

import ast
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from itertools import chain
from pathlib import Path
from typing import Any

import msgpack
import pytest
from hypothesis import HealthCheck, example, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from node_rig import SECOND, Words, Worker, World, play, reply
from test_crossings import FUNCTION, MS, Held, call_that_waits
from test_node import FAILED, warm
from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Send
from walnutpost.interface import Outcome
from walnutpost.node import connection as connection_module
from walnutpost.node import resp
from walnutpost.node.connection import WorkerConnection

ORDER_TIMEOUT_US = 200 * MS
PART = 20  # bytes: some of any command, all of none
PLENTY = 1 << 20
ORDERED = "00000000000000ff"  # the function of the tests' own orders
LATE_US = 5 * MS  # within which the stand-in has read what has left
NEVER_ARRIVED = (Outcome.MOOT, Outcome.CONNECT_FAILED)


class Throttle:
    """The kernel takes `room` bytes on the connection, and more once `open` is called."""

    def __init__(self, patch: pytest.MonkeyPatch, connection: WorkerConnection, room: int) -> None:
        self.room = room
        self._connection = connection
        self._send = connection.stream.send_now
        patch.setattr(connection.stream, "send_now", self._take)
        patch.setattr(connection.stream, "on_writable", lambda callback: None)

    def _take(self, data: bytes) -> bytes:
        count = min(self.room, len(data))
        self.room -= count
        return (self._send(data[:count]) if count else b"") + data[count:]

    def open(self) -> None:
        self.room = PLENTY
        self._connection._flush()


def spawns(worker: Worker) -> list[Words]:
    """The tests' own orders that have arrived."""
    return [words for words in worker.got if words[0] == b"SPAWN" and ORDERED.encode() in words[2]]


def one_connection(world: World, worker: Worker, **limits: Any) -> WorkerConnection:
    """The connection to a warm worker, with no room for a second one."""
    told = {"connections": 1, "order_timeout_us": ORDER_TIMEOUT_US, **limits}
    world.node.workers.limits = replace(world.node.workers.limits, **told)
    (connection,) = world.node.workers._connections[worker.name]
    return connection


def order(world: World, worker: str, latest: int = 0) -> list[LoadOrderEnded]:
    """Orders one copy; where its outcomes will stand."""
    told: list[LoadOrderEnded] = []
    world.node.workers.order(LoadOrder(worker, ORDERED, 1, latest), told.append)
    return told


def outcomes(told: list[LoadOrderEnded]) -> list[Outcome]:
    return [done.outcome for done in told]


def silent(words: Words) -> bytes | None:
    return None


def call_without_answer(world: World, worker: Worker, client: Any) -> Words:
    """A call that has arrived at the worker and isn't answered."""
    worker.answer, before = silent, len(worker.calls())
    client.send(method="reservation")
    world.until(lambda: len(worker.calls()) > before)
    return worker.calls()[-1]


# What an order's outcome proves


def test_an_order_of_which_no_byte_left_in_time_is_told_as_never_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), 0)
        told = order(world, worker.name)
        world.until(lambda: told)
        throttle.open()
        world.loop.sleep(SECOND)
        assert outcomes(told) == [Outcome.MOOT] and not spawns(worker)

    play(script, workers=1)


def test_an_order_that_left_in_part_never_arrives_once_it_was_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        told = order(world, worker.name)
        world.until(lambda: told)
        with suppress(OSError):  # closed by now
            throttle.open()
        world.loop.sleep(SECOND)
        assert outcomes(told) == [Outcome.MOOT] and not spawns(worker) and worker.ends == ["reset"]

    play(script, workers=1)


def test_giving_up_an_order_that_left_in_part_takes_no_answer_from_a_call_beside_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        throttle = Throttle(monkeypatch, connection, PART)
        told = order(world, worker.name)
        world.until(lambda: told)
        throttle.open()
        world.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next()[2:] == [None, [b"mine", {}]]
        world.until(lambda: worker.ends)
        assert outcomes(told) == [Outcome.MOOT] and not spawns(worker) and worker.ends == ["reset"]

    play(script, workers=1)


def test_what_waits_behind_an_order_that_left_in_part_goes_out_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        Throttle(monkeypatch, one_connection(world, worker), PART)
        told = order(world, worker.name)
        client.send(method="reservation")
        world.until(lambda: told)
        assert client.next()[2] is None and outcomes(told) == [Outcome.MOOT] and not spawns(worker)

    play(script, workers=1)


def test_an_answer_to_an_order_that_has_not_left_whole_does_not_end_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        throttle = Throttle(monkeypatch, connection, PART)
        told = order(world, worker.name)
        world.until(lambda: not throttle.room)
        (tag,) = connection.open
        worker.streams[0].send_all(reply(tag, b"BUSY"))
        world.loop.sleep(10 * MS)
        assert not told
        throttle.open()
        world.until(lambda: told)
        assert outcomes(told) == [Outcome.OK] and len(spawns(worker)) == 1

    play(script, workers=1)


def test_an_order_that_left_in_part_when_its_connection_broke_arrives_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        told = order(world, worker.name)
        world.until(lambda: not throttle.room)
        worker.streams[0].reset()
        world.until(lambda: told)
        world.loop.sleep(SECOND)
        assert outcomes(told) == [Outcome.OK] and len(spawns(worker)) == 1 and len(worker.streams) == 2

    play(script, workers=1)


@pytest.mark.parametrize("end", ["close", "reset"])
def test_an_order_that_left_whole_when_its_connection_broke_is_not_sent_again(end: str) -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        worker.answer = silent
        told = order(world, worker.name)
        world.until(lambda: spawns(worker))
        getattr(worker.streams[0], end)()
        world.until(lambda: told)
        world.loop.sleep(5 * SECOND)
        assert outcomes(told) == [Outcome.RESET] and len(spawns(worker)) == 1

    play(script, workers=1)


def test_malformed_bytes_do_not_count_as_an_answer_to_an_order() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        worker.answer = lambda words: b"noise\r\n"
        told = order(world, worker.name)
        world.until(lambda: told)
        world.until(lambda: worker.ends)
        assert outcomes(told) == [Outcome.RESET] and worker.ends == ["reset"]

    play(script, workers=1)


def test_an_order_to_a_worker_that_has_gone_ends_as_it_went() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        worker.answer = silent
        sent = order(world, worker.name)
        world.until(lambda: spawns(worker))
        waiting = order(world, worker.name)
        world.node.workers.update({})
        late = order(world, worker.name)
        world.node.workers.close_idle(worker.name)
        world.until(lambda: waiting and late)
        assert outcomes(waiting) == [Outcome.MOOT] and outcomes(late) == [Outcome.CONNECT_FAILED]
        assert not sent and not connection.closed
        worker.streams[0].send_all(reply(spawns(worker)[0][1], b"OK", b"slots_up=1"))
        world.until(lambda: sent)
        world.loop.sleep(SECOND)
        assert outcomes(sent) == [Outcome.OK] and len(spawns(worker)) == 1 and connection.closed
        assert len(waiting) == len(late) == 1

    play(script, workers=1)


def test_an_order_to_a_worker_that_has_gone_and_does_not_answer_is_dropped_at_its_time() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        one_connection(world, worker)
        worker.answer = silent
        told = order(world, worker.name)
        world.until(lambda: spawns(worker))
        world.node.workers.update({})
        world.until(lambda: told)
        world.until(lambda: worker.ends)
        assert outcomes(told) == [Outcome.TIMEOUT] and worker.ends == ["reset"]

    play(script, workers=1)


@contextmanager
def slow_reader(world: World) -> Iterator[tuple[str, socket.socket]]:
    """A worker that takes one connection and reads nothing, so that the kernel keeps what it is sent."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        world.node.workers.update({"slow": listener.getsockname()})
        yield "slow", listener


def received(listener: socket.socket) -> bytes:
    """All that still comes on the connection, from the kernel of either side."""
    sock, _ = listener.accept()
    data = b""
    with sock, suppress(ConnectionResetError):
        while more := sock.recv(PLENTY):
            data += more
    return data


def test_what_the_kernel_holds_of_an_order_given_up_is_not_delivered() -> None:
    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            world.node.workers.limits = replace(world.node.workers.limits, order_timeout_us=ORDER_TIMEOUT_US)
            told = order(world, name)
            (connection,) = world.node.workers._connections[name]
            connection._out._waiting.appendleft(
                bytes(64 << 10)
            )  # fills the reader's side, ahead of the order
            world.until(lambda: told)
            assert outcomes(told) == [Outcome.TIMEOUT] and not connection._out, "the kernel took it whole"
            assert b"SPAWN" not in received(listener)

    play(script)


def test_what_the_kernel_holds_is_not_delivered_once_the_process_has_ended() -> None:
    """A killed process's sockets are closed by the kernel; its successor begins a ration of its own."""

    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            order(world, name)
            (connection,) = world.node.workers._connections[name]
            connection._out._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: connection.connected and not connection._out)
            connection.stream.on_readable(None)
            world.loop.forget(connection.stream.fd)
            connection._sock.close()  # as the kernel does
            assert b"SPAWN" not in received(listener)

    play(script)


def test_an_idle_connection_is_closed_in_the_usual_way() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        world.node.workers.close_idle(worker.name)
        world.until(lambda: worker.ends)
        assert worker.ends == ["closed"]

    play(script, workers=1)


def test_a_connection_that_ended_on_the_other_side_delivers_no_order_any_more() -> None:
    """The worker ends its sending side alone: it could still read what the kernel holds."""

    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            told = order(world, name)
            (connection,) = world.node.workers._connections[name]
            connection._out._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: connection.connected and not connection._out)
            sock, _ = listener.accept()
            sock.shutdown(socket.SHUT_WR)
            world.until(lambda: told)
            data = b""
            with sock, suppress(ConnectionResetError):
                while more := sock.recv(PLENTY):
                    data += more
            assert outcomes(told) == [Outcome.RESET] and b"SPAWN" not in data

    play(script)


def test_a_connection_with_an_order_given_up_takes_nothing_new_and_ends_by_reset() -> None:
    """Also where the worker has spoken since, and without taking the answer of a call beside it."""

    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        told = order(world, worker.name)
        world.until(lambda: spawns(worker))
        worker.streams[0].send_all(reply(b"0" * 16, b"OK"))
        world.until(lambda: told)
        assert outcomes(told) == [Outcome.TIMEOUT] and not connection.closed
        world.node.workers.limits = replace(world.node.workers.limits, connections=2)
        worker.answer = Worker.good
        other.send()
        assert other.next()[2] is None and len(worker.streams) == 2
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next()[2:] == [None, [b"mine", {}]]
        world.until(lambda: worker.ends)
        assert worker.ends == ["reset"]

    play(script, workers=1)


# The time told to a worker


def budget_of(call: Words) -> int:
    fields = dict(pair.split(b"=") for pair in call[2].split(b","))
    return int(fields[b"budget"])


def test_the_time_told_is_what_is_left_when_a_slow_connection_has_come_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held)
        world.loop.sleep(180 * MS)
        held.come_up()
        assert client.next()[2] is None
        assert 800 <= budget_of(world.workers[0].calls()[-1]) <= 820

    play(script, workers=1)


def test_the_time_told_is_what_is_left_when_the_send_buffer_has_room(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        throttle = Throttle(monkeypatch, one_connection(world, worker), 0)
        client.send()
        world.loop.sleep(300 * MS)
        throttle.open()
        assert client.next()[2] is None
        assert 680 <= budget_of(worker.calls()[-1]) <= 700

    play(script, workers=1)


def test_a_call_is_encoded_once_where_the_kernel_takes_it_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    encoded: list[bytes] = []
    encode = resp.call

    def counted(id: bytes, *args: Any) -> bytes:
        encoded.append(id)
        return encode(id, *args)

    monkeypatch.setattr(resp, "call", counted)

    def script(world: World) -> None:
        client = world.client()
        for _ in range(5):
            client.send()
            assert client.next()[2] is None
        assert len(encoded) == sum(len(worker.calls()) for worker in world.workers)

    play(script)


def attempt(
    world: World,
    worker: Worker,
    timeout: int,
    latest: int,
    call: int = 1_000_000,
    then: Callable[[], None] = lambda: None,
) -> list[AttemptEnded]:
    """An attempt straight from the gateway, for a client that waits; `then` runs when it has ended."""
    told: list[AttemptEnded] = []

    def done(ended: AttemptEnded) -> None:
        told.append(ended)
        then()

    world.node.clients.requests.identities[call] = (b"%016x" % call, "valuation", "")
    start = Send(call, 0, worker.name, FUNCTION, None, b"body", timeout, call, False, latest)
    world.node.workers.start(start, done)
    return told


def test_a_call_whose_time_is_over_when_it_would_leave_is_not_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        held.shut, worker = True, world.workers[0]
        told = attempt(world, worker, 50 * MS, 10 * SECOND)
        world.until(lambda: held.waiting)
        world.loop.clock.jump(world.loop.now() + 60 * MS)  # its timer is due, and has not run
        held.come_up()
        world.until(lambda: told)
        world.loop.sleep(SECOND)
        assert [done.outcome for done in told] == [Outcome.MOOT] and not worker.calls()

    monkeypatch.setattr(connection_module, "RECHECK_AFTER_US", SECOND)
    play(script, workers=1)


def test_a_call_that_has_not_left_when_its_time_ends_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        held.shut, worker = True, world.workers[0]
        told = attempt(world, worker, 50 * MS, 10 * SECOND)
        world.until(lambda: told)
        held.come_up()
        world.loop.sleep(SECOND)
        assert [done.outcome for done in told] == [Outcome.MOOT] and not worker.calls()

    play(script, workers=1)


def test_a_start_that_names_no_latest_time_may_begin_until_its_time_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        held.shut, worker = True, world.workers[0]
        told = attempt(world, worker, SECOND, 0)
        world.loop.sleep(150 * MS)
        held.come_up()
        world.until(lambda: told)
        assert [done.outcome for done in told] == [Outcome.OK] and len(worker.calls()) == 1

    play(script, workers=1)


# Nothing begins for a client that has left


@pytest.mark.parametrize("end", ["close", "reset", "interrupt"])
def test_nothing_begins_for_a_client_that_left_while_other_work_filled_the_round(end: str) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        number = client.send(method="reservation")
        (mine,) = world.node.clients.connections
        mine.read()  # chosen, to leave at the end of this round
        if end == "interrupt":
            client.raw(msgpack.packb([2, "interrupt", [number]]))
        else:
            getattr(client.stream, end)()
        world.loop.clock.jump(world.loop.now() + 150 * MS)  # the round's other work
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 1

    play(script, workers=1)


def test_no_further_byte_of_a_call_leaves_after_its_client_has(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        throttle = Throttle(monkeypatch, connection, PART)
        other.send()
        world.until(lambda: not throttle.room)
        other.stream.close()
        world.until(lambda: len(world.node.clients.requests.request_ids) == 1)
        throttle.open()
        world.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))
        assert client.next()[2:] == [None, [b"mine", {}]]
        world.until(lambda: worker.ends)
        assert len(worker.calls()) == 2 and worker.ends == ["reset"]

    play(script, workers=1)


def test_what_the_kernel_holds_of_a_call_given_up_is_not_delivered() -> None:
    def script(world: World) -> None:
        with slow_reader(world) as (name, listener):
            slow = world.workers[0]
            slow.name = name
            told = attempt(world, slow, 300 * MS, 300 * MS)
            (connection,) = world.node.workers._connections[name]
            connection._out._waiting.appendleft(bytes(64 << 10))
            world.until(lambda: connection.connected and not connection._out)
            world.loop.sleep(10 * MS)
            world.node.workers.abandon(1_000_000, 0)
            world.until(lambda: told)
            assert [done.outcome for done in told] == [Outcome.CANCELLED]
            assert b"FN" not in received(listener)

    play(script)


def test_a_call_moved_to_another_connection_does_not_begin_once_its_client_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        held.shut = True
        client.send()
        world.until(lambda: not throttle.room)
        worker.streams[0].reset()
        world.until(lambda: held.waiting)
        client.stream.close()
        world.until(lambda: not world.node.clients.requests.request_ids)
        held.come_up()
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 1

    play(script, workers=1)


def test_an_attempt_given_up_while_its_connection_breaks_is_not_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the one before it gives it up, as when that was the call's last chance."""

    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        worker.answer, pool, sent = silent, world.node.workers, len(worker.calls())
        first = attempt(world, worker, SECOND, SECOND, 1_000_000, lambda: pool.abandon(1_000_001, 0))
        world.until(lambda: len(worker.calls()) > sent)
        Throttle(monkeypatch, connection, 0)
        second = attempt(world, worker, SECOND, SECOND, 1_000_001)
        world.until(lambda: connection._out)
        worker.streams[0].reset()
        world.until(lambda: second)
        world.loop.sleep(SECOND)
        assert [done.outcome for done in first + second] == [Outcome.RESET, Outcome.CANCELLED]
        assert len(worker.calls()) == sent + 1

    play(script, workers=1)


# No other request's answer is taken away


def test_half_an_answer_to_a_call_given_up_spoils_no_later_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: reply(words[1], b"OK", b"-", b"half")[:20]
        client.send(method="reservation", budget="100")
        assert client.next()[2] == FAILED
        worker.answer = Worker.good
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_half_an_answer_to_a_call_given_up_beside_another_spoils_no_later_call() -> None:
    def script(world: World) -> None:
        first, second, third = world.client(), world.client(), world.client()
        worker = warm(world, first)
        one_connection(world, worker)
        first.send(method="reservation", budget="100")
        worker.answer = lambda words: reply(words[1], b"OK", b"-", b"half")[:20]
        world.until(lambda: len(worker.calls()) == 2)
        call_without_answer(world, worker, second)
        assert first.next()[2] == FAILED
        worker.answer = Worker.good
        third.send(method="reservation")
        assert third.next()[2] is None and len(worker.streams) == 2

    play(script, workers=1)


def test_half_an_answer_behind_a_whole_one_spoils_no_later_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: reply(words[1], b"OK") + reply(words[1], b"OK")[:20]
        client.send(method="reservation")
        assert client.next()[2] is None
        worker.answer = Worker.good
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_a_connection_with_half_an_answer_is_shared_last() -> None:
    def script(world: World) -> None:
        first, second, third = world.client(), world.client(), world.client()
        worker = warm(world, first)
        world.node.workers.limits = replace(world.node.workers.limits, connections=2)
        one = call_without_answer(world, worker, first)
        two = call_without_answer(world, worker, second)
        assert len(worker.streams) == 2
        worker.streams[0].send_all(reply(one[1], b"OK")[:20])
        world.loop.sleep(10 * MS)
        worker.answer = Worker.good
        third.send(method="reservation")
        assert third.next()[2] is None, "taken for the rest of the half"
        worker.streams[1].send_all(reply(two[1], b"OK"))
        assert second.next()[2] is None

    play(script, workers=1)


def test_an_error_that_nobody_expected_in_writing_costs_that_connection_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        (connection,) = world.node.workers._connections[worker.name]
        monkeypatch.setattr(connection._out, "chunk", lambda now: 1 // 0)
        client.send(method="reservation")
        assert client.next()[2] is None and connection.closed

    with pytest.raises(ZeroDivisionError):  # told by the loop
        play(script, workers=1)


def test_an_answer_that_came_before_the_connection_broke_under_another_command_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        worker.streams[0].send_all(reply(call[1], b"OK", b"-", b"mine"))  # here, and not read yet

        def broken(data: bytes) -> bytes:
            raise ConnectionResetError

        monkeypatch.setattr(connection.stream, "send_now", broken)
        connection.notify(b"*1\r\n$4\r\nNOOP\r\n")
        connection._flush()
        assert client.next()[2:] == [None, [b"mine", {}]]

    play(script, workers=1)


def test_a_request_under_an_id_given_up_gets_no_late_answer_of_the_former() -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.until(lambda: len(world.node.clients.connections) == 2)
        worker.answer = silent
        number = client.send(rid="00000000000000aa")
        world.until(lambda: len(worker.calls()) == 2)
        client.raw(msgpack.packb([2, "interrupt", [number]]))
        world.until(lambda: not world.node.clients.requests.request_ids)
        other.send(rid="00000000000000aa")
        world.until(lambda: len(worker.calls()) == 3)
        with suppress(OSError):
            worker.streams[0].send_all(reply(b"00000000000000aa", b"OK", b"-", b"the former's"))
        world.loop.sleep(10 * MS)
        worker.streams[-1].send_all(reply(b"00000000000000aa", b"OK", b"-", b"its own"))
        assert other.next()[2:] == [None, [b"its own", {}]]

    play(script, workers=1)


def test_a_worker_heard_before_a_call_left_is_not_taken_for_alive_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        connection = one_connection(world, worker)
        call = call_without_answer(world, worker, client)
        throttle = Throttle(monkeypatch, connection, 0)
        number = other.send(method="reservation")
        world.loop.sleep(20 * MS)
        worker.streams[0].send_all(reply(call[1], b"OK"))
        assert client.next()[2] is None
        world.loop.sleep(20 * MS)
        throttle.open()
        world.until(lambda: len(worker.calls()) == 3)
        other.raw(msgpack.packb([2, "interrupt", [number]]))
        world.loop.sleep(100 * MS)
        assert worker.ends == ["reset"]

    play(script, workers=1)


# Orders in any order of events

STEPS = st.one_of(
    st.tuples(st.just("order"), st.sampled_from((0, 0, 50 * MS))),
    st.tuples(st.just("room"), st.sampled_from((PART, PLENTY))),
    st.tuples(st.just("sleep"), st.sampled_from((250, 30, 1))),
    st.tuples(st.sampled_from(("speak", "call", "leave")), st.none()),
    st.tuples(st.just("way"), st.sampled_from(("good", "silent", "reset", "noise", "half", "twice"))),
    st.one_of(
        st.tuples(st.just("break"), st.sampled_from(("close", "reset"))),
        st.tuples(st.sampled_from(("hold", "list")), st.booleans()),
    ),
)
ORDER_IN_PART = (
    st.tuples(  # an order that the kernel takes a part of, and what comes before the rest could leave
        st.just(("room", PART)),
        st.tuples(st.just("order"), st.just(0)),
        STEPS,
        st.one_of(STEPS, st.just(("speak", None))),
        st.tuples(st.just("sleep"), st.sampled_from((1, 250))),
        st.just(("room", PLENTY)),
    )
)
EPISODES = st.lists(
    st.one_of(st.tuples(STEPS), st.tuples(STEPS, STEPS), ORDER_IN_PART), min_size=3, max_size=8
)
REST_LEAVES_LATE = (
    ("room", PART),
    ("order", 0),
    ("sleep", 30),
    ("speak", None),
    ("sleep", 250),
    ("room", PLENTY),
)


class OrderDay:
    """Plays steps, and keeps each order's outcomes and when the worker got it."""

    def __init__(self, world: World, patch: pytest.MonkeyPatch, held: Held) -> None:
        self.world, self.worker, self._held = world, world.workers[0], held
        self._way, self._room = "good", PLENTY
        self._address = dict(world.node.workers._addresses)
        self.outcomes: dict[bytes, list[tuple[int, Outcome]]] = {}
        self.arrivals: dict[bytes, list[int]] = {}
        self._clients: list[Any] = []
        self.worker.answer = self._answer
        self._throttle(patch)
        limits = replace(world.node.workers.limits, connections=1, order_timeout_us=ORDER_TIMEOUT_US)
        world.node.workers.limits = limits

    def _throttle(self, patch: pytest.MonkeyPatch) -> None:
        """All connections share the room; a blocked one looks again each 5 ms."""
        init, day = WorkerConnection.__init__, self

        def made(connection: WorkerConnection, *args: Any) -> None:
            init(connection, *args)
            send, watch = connection.stream.send_now, connection.stream.on_writable

            def take(data: bytes) -> bytes:
                count = min(day._room, len(data))
                if day._room < PLENTY:
                    day._room -= count
                return (send(data[:count]) if count else b"") + data[count:]

            def look_again(callback: Callable[[], object] | None) -> None:
                if connection.connected and callback is not None:
                    day.world.loop.call_later(5 * MS, callback)
                else:
                    watch(callback)

            connection.stream.send_now = take  # type: ignore[method-assign]
            connection.stream.on_writable = look_again  # type: ignore[method-assign]

        patch.setattr(WorkerConnection, "__init__", made)

    def _answer(self, words: Words) -> bytes | None:
        if words[0] == b"SPAWN" and ORDERED.encode() in words[2]:
            self.arrivals.setdefault(words[1], []).append(self.world.loop.now())
        good = Worker.good(words)
        ways = {"good": good, "silent": None, "reset": b"", "noise": b"noise\r\n"}
        ways |= {"half": (good or b"")[:15] or None, "twice": good and good + good}
        return ways[self._way]

    def _order(self, latest: int) -> None:
        pool = self.world.node.workers
        tag = b"t%d" % (pool._tags + 1)
        ends = self.outcomes.setdefault(tag, [])
        effect = LoadOrder(self.worker.name, ORDERED, 1, latest)
        pool.order(effect, lambda done: ends.append((self.world.loop.now(), done.outcome)))

    def step(self, what: str, how: Any) -> None:
        match what:
            case "order":
                self._order(how)
            case "call":
                self._clients.append(self.world.client())
                self._clients[-1].send()
            case "leave" if self._clients:
                self._clients.pop().stream.close()
            case "room":
                self._room = how
            case "way":
                self._way = how
            case "speak":
                for stream in self.worker.streams:
                    with suppress(OSError):
                        stream.send_all(reply(b"0" * 16, b"OK"))
            case "break":
                for stream in self.worker.streams:
                    getattr(stream, how)()
            case "hold":
                self._held.shut = how
                if not how:
                    self._held.come_up()
            case "list":
                self.world.node.workers.update(self._address if how else {})
            case "sleep":
                self.world.loop.sleep(how * MS)

    def check(self) -> None:
        self._room = PLENTY
        self._held.come_up()
        self.world.loop.sleep(3 * SECOND)
        for tag, ends in self.outcomes.items():
            assert len(ends) == 1, "one outcome for each order"
            (at, outcome), arrivals = ends[0], self.arrivals.get(tag, [])
            assert len(arrivals) <= 1, "an order is not sent twice"
            assert not arrivals or outcome not in NEVER_ARRIVED, "told as never arrived"
            if outcome in (Outcome.OK, Outcome.FULL, Outcome.ERROR):
                assert arrivals, "told as answered"
            # The stand-in reads at once: what arrives later has left this process later.
            assert all(arrival <= at + LATE_US for arrival in arrivals), "left after its outcome was told"


@hypothesis_settings(
    max_examples=120, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(episodes=EPISODES)
@example(episodes=[REST_LEAVES_LATE])
def test_an_orders_outcome_is_true_in_any_order_of_events(
    episodes: list[tuple[tuple[str, Any], ...]],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        held = Held(patch)

        def script(world: World) -> None:
            day = OrderDay(world, patch, held)
            for step in chain.from_iterable(episodes):
                day.step(*step)
            day.check()

        play(script, workers=1)


# The modules


def test_the_modules_of_the_wire_import_each_other_in_one_direction() -> None:
    folder = Path(connection_module.__file__).parent
    modules = ("limits", "exchange", "outbox", "connection", "selection", "pool")
    for place, module in enumerate(modules):
        tree = ast.parse((folder / f"{module}.py").read_text())
        imported = {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
        imported |= {
            f"{node.module}.{alias.name}"
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom)
            for alias in node.names
        }
        later = {f"walnutpost.node.{other}" for other in modules[place:]}
        assert not imported & later, f"{module} imports {imported & later}"
