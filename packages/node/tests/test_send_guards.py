"""No byte of a call leaves once its client has left or its decision is out of date."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import msgpack
import pytest

from walnutpost.interface import Outcome
from walnutpost.testsupport.node.harness import (
    LEAVE,
    MS,
    REFUSED,
    SECOND,
    Client,
    HeldConnections,
    World,
    call_that_waits,
    play,
    reply,
    settings,
    warm,
)
from walnutpost.testsupport.node.worker_fixtures import (
    PART,
    Throttle,
    attempt,
    call_without_answer,
    one_connection,
    silent,
)


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("leave", LEAVE)
def test_no_attempt_begins_for_a_client_that_left_during_the_connect(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None], cancel: bool
) -> None:
    held = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held)
        leave(client)
        world.until(lambda: not world.node.clients.requests.request_ids)
        held.come_up()
        world.loop.sleep(SECOND)
        assert len(world.workers[0].calls()) == 1
        assert world.node.dispatcher.open_calls == 0
        assert not [words for words in world.workers[0].got if words[0] == b"KILL"]

    play(script, workers=1, settings=settings(PolicyLimits={"Cancel": cancel}))


def test_request_answered_during_the_connect_does_not_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held, budget="100")
        assert client.next()[2] == REFUSED
        held.come_up()
        world.loop.sleep(SECOND)
        assert len(world.workers[0].calls()) == 1

    play(script, workers=1)


@pytest.mark.parametrize(("late_ms", "begins"), [(80, True), (120, False)])
def test_call_that_waited_past_the_drain_grace_does_not_begin_at_that_worker(
    monkeypatch: pytest.MonkeyPatch, late_ms: int, begins: bool
) -> None:
    """Its worker may have been told to drain the moment after it was chosen."""
    held = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, held, method="reservation")
        world.loop.sleep(late_ms * MS)
        held.come_up()
        world.loop.sleep(10 * MS)
        assert len(world.workers[0].calls()) == 1 + begins
        assert client.next()[2] == (None if begins else REFUSED)

    play(script, workers=1, settings=settings(Guarantees={"DrainGrace": 100_000}))


def test_call_to_a_gone_worker_does_not_go_to_the_new_one_at_its_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client, node = call_that_waits(world, held, method="reservation"), world.node
        successor = {**world.workers[0].target, "uid": "s-new"}
        told = {"offset": 2, "topology": {"all": True, "targets": [successor]}}
        node._apply_endpoints(node.directory.apply_known_events({"offset": 2, "batch": [told]}))
        held.waiting.pop(0)()
        world.loop.sleep(10 * MS)
        assert len(world.workers[0].calls()) == 1
        held.come_up()  # the new one's own connection, for the order that the call waits for now
        assert client.next()[2] is None
        assert len(world.workers[0].calls()) == 2

    play(script, workers=1)


def test_no_byte_of_a_call_behind_a_full_send_buffer_leaves_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel takes part of the first command; the second waits whole, and is taken back."""

    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.node.pool.limits = replace(world.node.pool.limits, max_connections=1)
        (connection,) = world.node.pool._connections[worker.name]
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
        assert len(connection._outbox) == 1
        other.stream.close()
        world.until(lambda: len(world.node.clients.requests.request_ids) == 1)
        assert not connection._outbox
        room[0] = 1 << 20
        connection._flush()
        assert client.next()[2] is None
        world.loop.sleep(100 * MS)
        assert [words[3] for words in worker.calls()] == [b"body 1", b"body 2"]
        assert len(worker.streams) == 1

    play(script, workers=1)


def test_abandoned_call_without_cancel_in_the_settings_is_not_cancelled_at_its_worker() -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        worker.answer = lambda words: None
        client.send(budget="100")
        assert client.next()[2] == REFUSED
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 2
        assert not [words for words in worker.got if words[0] == b"KILL"]

    play(script, workers=1, settings=settings(PolicyLimits={"Cancel": False}))


@pytest.mark.parametrize("end", ["close", "reset", "interrupt"])
def test_no_attempt_begins_for_a_client_that_left_while_other_work_filled_the_round(end: str) -> None:
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
        world.loop.clock.advance_to(world.loop.now() + 150 * MS)  # the round's other work
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 1

    play(script, workers=1)


def test_no_further_byte_of_a_call_leaves_after_its_client_left(monkeypatch: pytest.MonkeyPatch) -> None:
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
        assert len(worker.calls()) == 2
        assert worker.ends == ["reset"]

    play(script, workers=1)


def test_call_moved_to_another_connection_does_not_begin_once_its_client_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        held.is_holding = True
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


def test_attempt_abandoned_while_its_connection_breaks_is_not_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the one before it gives it up, as when that was the call's last chance."""

    def script(world: World) -> None:
        worker = warm(world, world.client())
        connection = one_connection(world, worker)
        worker.answer, pool, sent = silent, world.node.workers, len(worker.calls())
        first = attempt(world, worker, SECOND, SECOND, 1_000_000, lambda: pool.cancel(1_000_001, 0))
        world.until(lambda: len(worker.calls()) > sent)
        Throttle(monkeypatch, connection, 0)
        second = attempt(world, worker, SECOND, SECOND, 1_000_001)
        world.until(lambda: connection._outbox)
        worker.streams[0].reset()
        world.until(lambda: second)
        world.loop.sleep(SECOND)
        assert [done.outcome for done in first + second] == [Outcome.RESET, Outcome.CANCELLED]
        assert len(worker.calls()) == sent + 1

    play(script, workers=1)
