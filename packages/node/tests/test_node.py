"""The node on loopback sockets: what clients, workers and the name server may do to it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

import msgpack
import pytest

from node_rig import SECOND, Words, Worker, World, listing, play, reply
from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.interface import Outcome, WorkerState
from walnutpost.node.client_connection import MESSAGE_TIMEOUT_US
from walnutpost.node.client_context import OPEN_MOST

REFUSED, FAILED = ["Overloaded", {}], ["Internal", {}]


def test_a_call_passes_through_unchanged() -> None:
    def script(world: World) -> None:
        client = world.client()
        number = client.send(rid="9b1f03aa5c7e2d41", attrs="memory_mb:512;lanes:2")
        assert client.next() == [1, number, None, [b"did body 1", {}]]
        (call,) = [words for worker in world.workers for words in worker.calls()]
        assert call[1] == b"9b1f03aa5c7e2d41" and call[3] == b"body 1"
        assert call[2].startswith(b"queue=valuation,path=7f3a9c21e0b4d655,budget=")

    play(script)


def warm(world: World, client: Any) -> Worker:
    """One call served; the worker that did it."""
    client.send()
    client.next()
    return next(worker for worker in world.workers if worker.calls())


def after(first: bytes | None) -> Callable[[Words], bytes | None]:
    """Answers the next call with `first`, and all else well."""
    left = [first]

    def answer(words: Words) -> bytes | None:
        if words[0] == b"FN" and left:
            spoilt = left.pop()
            return spoilt if spoilt is None else spoilt.replace(b"ID", words[1])
        return Worker.good(words)

    return answer


@pytest.mark.parametrize("spoilt", [b"noise\r\n", b"*4\r\n$2\r\nID\r\n$3000000000\r\n", b""])
@pytest.mark.parametrize(("method", "again"), [("valuation", True), ("reservation", False)])
def test_after_a_spoilt_or_broken_answer_only_what_is_safe_runs_again(
    spoilt: bytes, method: str, again: bool
) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = after(spoilt)
        number = client.send(method=method)
        answer = client.next()
        ran = [words for w in world.workers for words in w.calls() if words[3] == b"body 2"]
        if again:
            assert answer == [1, number, None, [b"did body 2", {}]] and len(ran) == 2
        else:
            assert answer == [1, number, FAILED, None] and len(ran) == 1

    play(script)


def test_a_worker_that_spoils_an_answer_is_not_taken_for_dead() -> None:
    def script(world: World) -> None:
        client = world.client()
        warm(world, client).answer = after(b"noise\r\n")
        client.send(method="reservation")
        assert client.next()[2] == FAILED
        assert not [line for line in world.log.lines if "set aside" in line]
        client.send(method="reservation")
        assert client.next()[2] is None

    play(script, workers=1)


def test_a_second_copy_and_an_answer_nobody_asked_for_change_nothing() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        extra = reply(b"0" * 16, b"OK", b"-", b"somebody's")
        good = reply(b"ID", b"OK", b"-", b"mine").replace(b"$2\r\nID", b"$16\r\nID")
        worker.answer = after(extra + good + good)
        for _ in range(2):
            number = client.send()
            assert client.next()[1:3] == [number, None]

    play(script, workers=1)


def test_a_connection_closed_while_idle_costs_no_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        for stream in worker.streams:
            stream.reset()
        number = client.send(method="reservation")
        assert client.next() == [1, number, None, [b"did body 2", {}]]

    play(script, workers=1)


@pytest.mark.parametrize("resets", [1, 2])
def test_a_question_whose_connection_breaks_is_asked_again_on_a_new_one(resets: int) -> None:
    def script(world: World) -> None:
        client, left = world.client(), [resets]

        def answer(words: Words) -> bytes | None:
            if words[0] == b"SPAWN" and words[2].endswith(b"=0") and left[0]:
                left[0] -= 1
                return b""
            return Worker.good(words)

        worker = warm(world, client)
        told: list[LoadOrderEnded] = []
        worker.answer = answer
        for copies in (0, 1):
            world.node.workers.order(LoadOrder(worker.name, "7f3a9c21e0b4d655", copies), told.append)
        world.until(lambda: len(told) == 2)
        assert {t.outcome for t in told} == {Outcome.OK} and not left[0]
        worker.answer = after(b"")
        client.send(method="reservation")
        assert client.next()[2] == FAILED  # but a call that may have run is not sent again

    play(script, workers=1)


def test_a_connection_takes_no_more_than_its_streams() -> None:
    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.node.workers.limits = replace(world.node.workers.limits, connections=1, streams=4)
        worker.answer = lambda words: None
        for asking in (client, other):
            for _ in range(5):
                asking.send()
        world.until(lambda: len(worker.calls()) == 11)
        assert len(worker.streams) == 3

    play(script, workers=1)


def test_a_moved_question_keeps_its_time_limit() -> None:
    def script(world: World) -> None:
        worker = warm(world, world.client())
        told, answers = list[LoadOrderEnded](), [b""]
        worker.answer = lambda words: answers.pop() if answers else None
        world.node.workers.order(LoadOrder(worker.name, "7f3a9c21e0b4d655", 0), told.append)
        world.until(lambda: told, step=SECOND // 2)
        assert [t.outcome for t in told] == [Outcome.TIMEOUT]

    play(script, workers=1)


def test_an_interrupt_takes_the_call_back_at_its_worker() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = after(None)
        number = client.send(method="reservation")
        world.until(lambda: len(worker.calls()) == 2)
        client.raw(msgpack.packb([2, "interrupt", [number]]))
        world.until(lambda: worker.got[-1] == [b"KILL", worker.calls()[1][1]])
        assert world.node.core.open_calls == 0 and not world.node.clients.requests.request_ids

    play(script, workers=1)


def test_a_call_taken_back_with_its_own_bytes_never_reaches_the_gateway() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        fields = {"rid": "00000000000000aa", "budget": "1000", "obj": "7f3a9c21e0b4d655"}
        call = msgpack.packb([0, 7, "valuation", [fields, b""]])
        client.raw(call + msgpack.packb([2, "interrupt", [7]]) + msgpack.packb([0, 8, "check", [{}]]))
        assert client.next() == [1, 8, None, [True, {}]] and len(worker.calls()) == 1
        assert world.node.core.answers["left"] == 0

    play(script, workers=1)


def test_what_no_worker_ever_answers_is_refused_or_failed_in_time() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        began = world.loop.now()
        client.send(method="reservation", budget="300")
        assert client.next()[2] == FAILED and world.loop.now() - began <= 300_000

    play(script, workers=1)


def test_a_client_that_breaks_the_protocol_gets_an_error_or_a_close() -> None:
    def script(world: World) -> None:
        silent, half, crowd = world.client(), world.client(), world.client()
        half.raw(b"\x94\x00")
        for worker in world.workers:
            worker.answer = lambda words: None
        for _ in range(OPEN_MOST + 1):
            crowd.send()
        assert crowd.next() == [1, OPEN_MOST + 1, REFUSED, None]
        twice = world.client()
        twice.send(rid="00000000000000aa")
        again = world.client()
        again.send(rid="00000000000000aa")
        assert again.next()[2][0] == "Internal"
        twice.raw(msgpack.packb([0, 1, "valuation", [{}, b""]]))  # a second request under one number
        answer = twice.next()
        assert (answer[1], answer[2][0]) == (1, FAILED[0]) and twice.next() is None
        began = world.loop.now()
        assert silent.next() is None and half.next() is None
        assert world.loop.now() - began < MESSAGE_TIMEOUT_US + SECOND

    play(script)


def test_a_connection_whose_requests_dont_start_at_the_first_id_gets_an_error_at_once() -> None:
    """Somebody else's request, copied with its ids: workers answer errors, and nothing else came of it
    until its deadline, later than a bad client is owed a word."""

    def script(world: World) -> None:
        client = world.client()
        client._number = 995
        assert client.send() == 996
        kind, number, error, _ = client.next()
        assert (kind, number) == (1, 996) and error[1]["reason"].startswith("message id")
        assert not any(worker.calls() for worker in world.workers)
        assert client.send() == 997 and client.next()[:3] == [1, 997, None], "ids go up from there"
        checked = world.client()
        checked._number = 8
        checked.raw(msgpack.packb([0, 8, "check", [{}]]))
        assert checked.next()[1:] == [8, None, [True, {}]]
        assert checked.send() == 9 and checked.next()[:3] == [1, 9, None], "a check has an id, too"

    play(script)


def test_connections_without_end_leave_room_for_one_that_asks() -> None:
    def script(world: World) -> None:
        warm(world, world.client())
        crowd = [world.client() for _ in range(200)]
        late = world.client()
        assert len(world.node.clients.connections) <= 128
        late.send()
        assert late.next()[2] is None and crowd

    play(script)


def test_room_is_made_on_no_request_that_has_come_and_no_answer_that_waits_to_leave() -> None:
    def script(world: World) -> None:
        client, clients = world.client(), world.node.clients
        warm(world, client)
        (connection,) = clients.connections
        client.send()  # the kernel has it, the node hasn't read it
        clients.make_room()
        assert client.next()[2] is None
        connection.write(msgpack.packb(7))  # leaves at the end of the round
        clients.make_room()
        assert client.next() == 7
        clients.make_room()
        assert client.next() is None

    play(script)


def test_a_new_configuration_moves_the_questions_to_another_name_server() -> None:
    def script(world: World) -> None:
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        other.setblocking(False)
        other.bind(("127.0.0.1", 0))
        world.loop.wait_readable(world.name_server.fileno())
        world.node.discovery.move(other.getsockname())
        world.loop.wait_readable(other.fileno())
        world.loop.forget(other.fileno())
        world.loop.forget(world.name_server.fileno())
        other.close()

    play(script)


def test_a_drain_is_acted_on_before_it_counts_as_told_by_itself() -> None:
    """A change counts as told 1.5 s after it happened, and no call begins at the worker from then on."""

    def script(world: World) -> None:
        client = world.client()
        (worker,) = world.workers
        warm(world, client)
        with suppress(BlockingIOError):
            while world.name_server.recv(512):
                pass  # asked before the change
        changed = world.loop.now()
        while worker.state is WorkerState.READY:  # the server answers what it was asked after the change
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            if len(query) >= 12:
                worker.state = WorkerState.DRAINING
                world.name_server.sendto(listing(query, 2, world.workers), address)
        world.until(lambda: any("draining" in line for line in world.log.lines))
        assert world.loop.now() - changed < 1_500_000
        seen = len(worker.got)
        client.send(budget="400")
        assert client.next()[2] == REFUSED and len(worker.got) == seen

    play(script, workers=1)


def test_the_end_waits_for_what_is_open_and_takes_nothing_after() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        ending = world.loop.spawn(world.node.shut_down)
        # For 0.4 s connections come, for 0.2 s more requests do, on those that are open and on new ones.
        world.loop.sleep(390_000)
        late = world.client()
        world.loop.sleep(260_000)
        for each in (late, client, world.client()):
            each.send()
            assert each.next()[2] is None
        worker.answer = lambda words: None
        number = client.send(budget="1000")
        assert client.next()[1] == number and client.next() is None
        ending.join()
        with pytest.raises(OSError):
            world.client()

    play(script, workers=1)
