"""What comes between two lines: an answer, an end or a signal at the very moment that hurts, on sockets.

Each crossing is forced: `Held` keeps a connection from coming up until it is told to, `stuffed` keeps bytes
from leaving, and the other side acts between two rounds of the loop.
"""

from __future__ import annotations

import errno
import os
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import msgpack
import pytest

from node_rig import CONFIG, PROFILE, SECOND, Client, World, config_text, listing, play, reply
from test_node import FAILED, REFUSED, warm
from walnutpost.eventloop import Listener, Loop, VirtualClock
from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.interface import Outcome
from walnutpost.node import run
from walnutpost.node.client_connection import REJECTED_BEFORE_PAUSE
from walnutpost.node.config import parse
from walnutpost.node.connection import WorkerConnection
from walnutpost.node.run import Node

MS = 1000
FUNCTION = "7f3a9c21e0b4d655"


def settings(**changes: Any) -> dict[str, Any]:
    """The rig's settings with parts of them changed."""
    told = CONFIG["settings"]
    return {
        **told,
        **{key: {**told[key], **value} if type(value) is dict else value for key, value in changes.items()},
    }


class Held:
    """Connections to workers come up for the kernel, but the node hears of it when it is told to."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.waiting: list[Callable[[], None]] = []
        self.shut = False
        dialled = WorkerConnection._dialled

        def hold(connection: WorkerConnection) -> None:
            self.waiting.append(partial(dialled, connection)) if self.shut else dialled(connection)

        patch.setattr(WorkerConnection, "_dialled", hold)

    def come_up(self) -> None:
        self.shut = False
        while self.waiting:
            self.waiting.pop(0)()


def leave_by_interrupt(client: Client) -> None:
    client.raw(msgpack.packb([2, "interrupt", [1]]))


def leave_by_close(client: Client) -> None:
    client.stream.close()


def leave_by_reset(client: Client) -> None:
    client.stream.reset()


LEAVE = [leave_by_interrupt, leave_by_close, leave_by_reset]


def call_that_waits(world: World, held: Held, **fields: str) -> Client:
    """A client whose second call is on its way to a warm worker, on a connection that is coming up."""
    client = world.client()
    worker = warm(world, client)
    world.node.workers.close_idle(worker.name)
    held.shut = True
    client.send(**fields)
    world.until(lambda: held.waiting)
    return client


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("leave", LEAVE)
def test_nothing_begins_for_a_client_that_left_while_the_connection_came_up(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None], cancel: bool
) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held)
        leave(client)
        world.until(lambda: not world.node.clients.requests.request_ids)
        held.come_up()
        world.loop.sleep(SECOND)
        assert len(world.workers[0].calls()) == 1 and world.node.core.open_calls == 0
        assert not [words for words in world.workers[0].got if words[0] == b"KILL"]

    play(script, workers=1, settings=settings(PolicyLimits={"Cancel": cancel}))


def test_what_is_answered_while_its_connection_comes_up_does_not_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held, budget="100")
        assert client.next()[2] == REFUSED
        held.come_up()
        world.loop.sleep(SECOND)
        assert len(world.workers[0].calls()) == 1

    play(script, workers=1)


@pytest.mark.parametrize(("late_ms", "begins"), [(80, True), (120, False)])
def test_a_call_that_waited_past_the_drain_grace_does_not_begin_at_that_worker(
    monkeypatch: pytest.MonkeyPatch, late_ms: int, begins: bool
) -> None:
    """Its worker may have been told to drain the moment after it was chosen."""
    held = Held(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held, method="reservation")
        world.loop.sleep(late_ms * MS)
        held.come_up()
        world.loop.sleep(10 * MS)
        assert len(world.workers[0].calls()) == 1 + begins
        assert client.next()[2] == (None if begins else REFUSED)

    play(script, workers=1, settings=settings(Guarantees={"DrainGrace": 100_000}))


def test_a_call_to_a_gone_worker_does_not_go_to_the_one_that_has_its_address_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = Held(monkeypatch)

    def script(world: World) -> None:
        client, node = call_that_waits(world, held, method="reservation"), world.node
        successor = {**world.workers[0].target, "uid": "s-new"}
        told = {"offset": 2, "topology": {"all": True, "targets": [successor]}}
        node._listed(node.directory.known({"offset": 2, "batch": [told]}))
        held.waiting.pop(0)()
        world.loop.sleep(10 * MS)
        assert len(world.workers[0].calls()) == 1
        held.come_up()  # the new one's own connection, for the order that the call waits for now
        assert client.next()[2] is None and len(world.workers[0].calls()) == 2

    play(script, workers=1)


def test_an_order_that_left_too_late_for_its_ration_does_not_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    held, told = Held(monkeypatch), list[LoadOrderEnded]()

    def script(world: World) -> None:
        held.shut = True
        world.node.workers.order(LoadOrder(world.workers[0].name, FUNCTION, 1, 50 * MS), told.append)
        world.loop.sleep(60 * MS)
        held.come_up()
        world.until(lambda: told)
        assert [t.outcome for t in told] == [Outcome.MOOT] and not world.workers[0].got

    play(script, workers=1)


def test_no_byte_of_a_call_leaves_after_its_client_has_while_others_fill_the_way(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel takes part of the first command; the second waits whole, and is taken back."""

    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.node.workers.limits = replace(world.node.workers.limits, connections=1)
        (connection,) = world.node.workers._connections[worker.name]
        send, room = connection.stream.send_now, [20]

        def stuffed(data: bytes) -> bytes:
            n = min(room[0], len(data))
            room[0] -= n
            return (send(data[:n]) if n else b"") + data[n:]

        blocked: list[Callable[[], object] | None] = []
        monkeypatch.setattr(connection.stream, "send_now", stuffed)
        monkeypatch.setattr(connection.stream, "on_writable", blocked.append)
        client.send()
        other.send()  # read in the same round, so that both are offered to the kernel at once
        world.until(lambda: not room[0])
        assert len(connection._out) == 1
        other.stream.close()
        world.until(lambda: len(world.node.clients.requests.request_ids) == 1)
        assert not connection._out
        room[0] = 1 << 20
        connection._flush()
        assert client.next()[2] is None
        world.loop.sleep(100 * MS)
        assert [words[3] for words in worker.calls()] == [b"body 1", b"body 2"] and len(worker.streams) == 1

    play(script, workers=1)


def test_a_worker_is_not_told_of_a_call_given_up_where_the_settings_allow_no_cancel() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        client.send(budget="100")
        assert client.next()[2] == REFUSED
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 2 and not [words for words in worker.got if words[0] == b"KILL"]

    play(script, workers=1, settings=settings(PolicyLimits={"Cancel": False}))


@pytest.mark.parametrize("end", ["close", "reset"])
def test_an_idle_connection_whose_end_has_come_unread_carries_no_call(end: str) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        client.send(method="reservation")  # the node reads this before it learns of the worker's close
        (connection,) = world.node.clients.connections
        getattr(worker.streams[0], end)()
        connection.read()
        assert client.next() == [1, 2, None, [b"did body 2", {}]]
        assert len(worker.calls()) == 2

    play(script, workers=1)


def test_a_connection_idle_for_most_of_a_short_told_time_carries_no_call() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        world.loop.sleep(75 * MS)
        client.send()
        assert client.next()[2] is None and len(worker.streams) == 2

    play(script, workers=1, settings=settings(PolicyLimits={"ConnIdle": 100_000}))


def test_what_waits_behind_a_spoilt_answer_was_never_written_and_goes_out_elsewhere() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        (connection,) = world.node.workers._connections[worker.name]
        client.send(method="reservation")
        (mine,) = world.node.clients.connections
        mine.read()  # chosen, to leave at the end of this round
        world.node.workers.spoilt(connection)
        assert client.next()[2] is None and len(worker.calls()) == 2

    play(script, workers=1)


# Clients


@pytest.mark.parametrize("end", ["close", "reset"])
def test_a_request_with_its_clients_end_behind_it_is_not_begun(end: str) -> None:
    def script(world: World) -> None:
        first, client = world.client(), world.client()
        warm(world, first)
        world.until(lambda: len(world.node.clients.connections) == 2)
        client.send()
        getattr(client.stream, end)()
        world.until(lambda: len(world.node.clients.connections) == 1)
        world.loop.sleep(100 * MS)
        assert sum(len(worker.calls()) for worker in world.workers) == 1

    play(script)


def test_an_interrupt_that_comes_before_its_request_takes_that_back() -> None:
    def script(world: World) -> None:
        first, client = world.client(), world.client()
        worker = warm(world, first)
        client.raw(msgpack.packb([2, "interrupt", [1]]))
        world.loop.sleep(10 * MS)
        client.send()
        world.loop.sleep(10 * MS)
        client.raw(msgpack.packb([2, "interrupt", [1, 1]]))
        client.raw(msgpack.packb([0, 2, "check", [{}]]))
        assert client.next() == [1, 2, None, [True, {}]] and len(worker.calls()) == 1

    play(script, workers=1)


@pytest.mark.parametrize("leave", LEAVE)
def test_a_client_with_useless_requests_is_seen_to_leave_at_once(leave: Callable[[Client], None]) -> None:
    def script(world: World) -> None:
        for worker in world.workers:
            worker.answer = lambda words: None
        client = world.client()
        client.send(budget="1000")
        for _ in range(REJECTED_BEFORE_PAUSE + 1):
            client.send(method="no such class")
            client.next()
        at = world.loop.now()
        leave(client)
        world.until(lambda: not world.node.clients.requests.request_ids, step=MS)
        assert world.loop.now() - at <= 5 * MS

    play(script)


def test_a_client_that_fetches_no_answers_is_seen_to_leave_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        (connection,) = world.node.clients.connections
        worker.answer = lambda words: None
        client.send()
        world.until(lambda: len(worker.calls()) == 2)
        monkeypatch.setattr(connection._stream, "send_now", lambda data: data)
        monkeypatch.setattr(connection._stream, "on_writable", lambda callback: None)
        connection.write(bytes(300 << 10))
        world.loop.sleep(10 * MS)
        client.raw(msgpack.packb([2, "interrupt", [2]]))
        world.until(lambda: not connection.open)

    play(script, workers=1)


def test_what_was_asked_before_unreadable_bytes_is_answered_and_then_the_connection_ends() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        number = client.send()
        world.until(lambda: len(worker.calls()) == 2)
        client.raw(b"\xc1" * 1000)
        world.loop.sleep(50 * MS)
        client.raw(bytes(256 << 10))  # comes still, and is thrown away: most of it after the answer has left
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"late"))
        assert client.next() == [1, number, None, [b"late", {}]] and client.next() is None
        client.stream.close()
        world.until(lambda: not world.node.clients.connections)

    play(script, workers=1)


def test_two_requests_under_one_number_take_no_answer_away_and_get_one_error() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        good, twice = client.send(), client.send()
        world.until(lambda: len(worker.calls()) == 3)
        client.raw(msgpack.packb([0, twice, "valuation", [{}, b""]]))
        world.loop.sleep(10 * MS)
        for words in worker.calls()[1:]:
            for stream in worker.streams:
                with suppress(OSError):  # that of the call given up has ended
                    stream.send_all(reply(words[1], b"OK", b"-", words[3]))
        error, answer = client.next(), client.next()
        assert (error[1], error[2][0], answer[1]) == (twice, FAILED[0], good) and client.next() is None

    play(script, workers=1)


def test_an_error_of_the_listener_costs_one_connection_and_not_those_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        errors = [OSError(errno.EPROTO, "cut off"), OSError(errno.ENOMEM, "no memory")]
        accept = world.node.listener.accept
        monkeypatch.setattr(
            world.node.listener, "accept", lambda: (_ for _ in ()).throw(errors.pop()) if errors else accept()
        )
        client = world.client()
        world.until(lambda: not errors)
        client.send()
        assert client.next()[2] is None

    play(script)


def test_an_error_that_nobody_expected_costs_the_connection_it_came_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        first, second = world.client(), world.client()
        world.until(lambda: len(world.node.clients.connections) == 2)
        connection = next(iter(world.node.clients.connections))
        monkeypatch.setattr(connection._requests, "_take", lambda message: 1 / 0)
        first.send()
        assert first.next() is None
        second.send()
        assert second.next()[2] is None

    with pytest.raises(ZeroDivisionError):  # told by the loop
        play(script)


# Shutdown


def test_a_request_in_the_backlog_when_the_listener_closes_gets_its_answer() -> None:
    def script(world: World) -> None:
        warm(world, world.client())
        world.node._accepting.cancel()
        late = world.client()
        late.send()
        ending = world.loop.spawn(world.node.shut_down)
        assert late.next()[2] is None and late.next() is None
        ending.join()

    play(script)


def test_from_the_signal_on_the_front_is_told_that_this_front_end_is_not_ready() -> None:
    def script(world: World) -> None:
        client = world.client()
        world.loop.spawn(world.node.shut_down)
        world.loop.sleep(10 * MS)
        client.raw(msgpack.packb([0, 1, "check", [{}]]))
        assert client.next() == [1, 1, None, [False, {}]]

    play(script)


def test_a_client_that_always_has_a_request_open_does_not_keep_the_process() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        ending = world.loop.spawn(world.node.shut_down)
        open_one = client.send(budget="1000")
        world.loop.sleep(750 * MS)
        late = client.send(budget="1000")
        assert client.next() == [1, late, REFUSED, None]
        assert client.next()[1] == open_one and client.next() is None
        ending.join()

    play(script, workers=1)


@pytest.mark.parametrize(("method", "answer"), [("valuation", REFUSED), ("reservation", FAILED)])
def test_what_is_open_gets_its_answer_before_the_process_may_be_killed(method: str, answer: Any) -> None:
    """SIGKILL comes as early as 3.7 s after SIGTERM, where deadlines are longer than that."""
    profiles = [{**p, "HardLimit": 9_000_000} for p in CONFIG["settings"]["Profiles"]]

    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        client.send(method=method, budget="9000")
        world.until(lambda: len(worker.calls()) == 2)
        at = world.loop.now()
        ending = world.loop.spawn(world.node.shut_down)
        assert client.next()[2] == answer and world.loop.now() - at < 3_700_000
        ending.join()

    play(script, workers=1, settings=settings(Profiles=profiles))


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_while_the_node_is_being_made_is_heard(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, number: signal.Signals
) -> None:
    config = tmp_path / "config.json"
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
    config.write_bytes(config_text(known=known))
    monkeypatch.setenv("NODE_CONFIG", str(config))
    lines: list[str] = []

    def note(log: run.Log, event: str, **fields: object) -> None:
        lines.append(event)
        if event == "configuration":
            os.kill(os.getpid(), signal.SIGTERM)

    def listen(*args: Any, **more: Any) -> Listener:
        os.kill(os.getpid(), number)
        return Listener(*args, **more)

    monkeypatch.setattr(run.Log, "info", note)
    monkeypatch.setattr(run, "Listener", listen)
    monkeypatch.setattr(run, "DRAIN_PERIOD_US", 1000)
    before = [signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGHUP)]
    try:
        assert run.main() == 0
    finally:
        for n, handler in zip((signal.SIGTERM, signal.SIGHUP), before, strict=True):
            signal.signal(n, handler)
    assert lines[-2:] == ["ending", "ended"]


# The list


def test_without_a_descriptor_the_questions_still_move_to_the_new_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        other.setblocking(False)
        other.bind(("127.0.0.1", 0))

        def none_left(*args: Any) -> socket.socket:
            raise OSError(errno.EMFILE, "no descriptor left")

        with monkeypatch.context() as patch:
            patch.setattr("walnutpost.node.discovery.socket.socket", none_left)
            world.node.discovery.move(other.getsockname())
        world.loop.wait_readable(other.fileno())
        query, address = other.recvfrom(512)
        other.sendto(listing(query, 7, world.workers), address)
        world.until(lambda: world.node.directory.serial == 7)
        world.loop.forget(other.fileno())
        other.close()

    play(script)


def test_an_address_that_cannot_be_asked_leaves_the_old_one_asked() -> None:
    def script(world: World) -> None:
        with pytest.raises(OSError):
            world.node.discovery.move(("255.255.255.255", 9))
        seen = world.node.discovery.asked
        world.until(lambda: world.node.discovery.asked > seen + 3)
        query, address = world.name_server.recvfrom(512)
        world.name_server.sendto(listing(query, 7, world.workers), address)
        world.until(lambda: world.node.directory.serial == 7)

    play(script)


def test_an_answer_that_nobody_could_foresee_leaves_the_next_one_heard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def script(world: World) -> None:
        answer, left = world.node.directory.answer, [RuntimeError("no such case"), KeyError("nor this")]

        def odd(data: bytes) -> Any:
            if left:
                raise left.pop()
            return answer(data)

        monkeypatch.setattr(world.node.directory, "answer", odd)
        for serial in (5, 6, 7):
            world.loop.wait_readable(world.name_server.fileno())
            query, address = world.name_server.recvfrom(512)
            world.name_server.sendto(listing(query, serial, world.workers), address)
        world.loop.forget(world.name_server.fileno())
        world.until(lambda: world.node.directory.serial == 7)
        assert world.node.discovery.useless == 2

    play(script)


# Settings


def test_two_nodes_of_one_process_keep_their_settings_apart() -> None:
    tenants = [{"Name": "gutenberg", "Share": 0.6}, {"Name": "caxton", "Share": 0.4}]
    one = settings(Realms=tenants)
    two = settings(
        Profiles=[{**PROFILE, "Name": "stamp", "HardLimit": 5_000_000}], PolicyLimits={"Cancel": False}
    )

    def script(world: World) -> None:
        known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
        other = Node(world.loop, parse(config_text(known=known, settings=two)), world.log)
        mine, theirs = world.client(), Client(world.loop, other.listener.address)
        mine.send(acct="gutenberg", est="230.0")
        assert mine.next()[2] is None
        mine.send(acct="somebody")
        assert mine.next()[2] == ["Internal", {"reason": "acct: found 'somebody'"}]
        mine.send(method="stamp")
        assert mine.next()[2][1]["reason"].startswith("class:")
        theirs.send(method="stamp", acct="gutenberg", budget="5000")
        assert theirs.next()[2] == REFUSED
        theirs.send()
        assert theirs.next()[2][1]["reason"].startswith("class:")
        assert (world.node.workers.limits.cancel, other.workers.limits.cancel) == (True, False)
        other.listener.close()
        other.discovery.close()

    play(script, settings=one)


def test_a_repeat_key_reaches_the_worker_as_it_came() -> None:
    def script(world: World) -> None:
        client = world.client()
        client.send(token="3eda7d206dcdd5c71dcfa6b3467539cc")
        assert client.next()[2] is None
        assert world.workers[0].calls()[0][2].endswith(b",uniq=3eda7d206dcdd5c71dcfa6b3467539cc")
        client.send(token="a,path=0")
        assert client.next()[2][1]["reason"].startswith("token:")

    play(script, workers=1)


def test_a_worker_of_no_weight_is_one_of_little_weight() -> None:
    def script(world: World) -> None:
        world.loop.wait_readable(world.name_server.fileno())
        query, address = world.name_server.recvfrom(512)
        world.name_server.sendto(listing(query, 7, world.workers, weight=0), address)
        world.loop.forget(world.name_server.fileno())
        world.until(lambda: world.node.directory.serial == 7)
        client = world.client()
        client.send()
        assert client.next()[2] is None

    play(script, settings=settings(Weights="rough"))


def test_periodic_work_goes_on_after_an_error_and_counts_it() -> None:
    errors: list[BaseException] = []
    loop, runs = Loop(VirtualClock(), lambda name, error: errors.append(error)), list[int]()

    def work() -> None:
        runs.append(1)
        if len(runs) < 3:
            raise ValueError("odd")

    def body() -> int:
        periodic = loop.every(SECOND, work)
        loop.sleep(4 * SECOND + 1)
        return periodic.failures

    assert loop.run(body) == 2 and len(runs) == 4 and len(errors) == 2
