"""No byte of a call is sent once its client has left or the choice of its worker is out of date."""

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
def test_no_attempt_starts_for_a_client_that_left_during_the_connect(
    monkeypatch: pytest.MonkeyPatch, leave: Callable[[Client], None], cancel: bool
) -> None:
    delayed = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, delayed)
        leave(client)
        world.until(lambda: not world.node.clients.requests.request_ids)
        delayed.come_up()
        world.loop.sleep(SECOND)
        assert len(world.workers[0].calls()) == 1
        assert world.node.dispatcher.open_calls == 0
        assert not [words for words in world.workers[0].got if words[0] == b"KILL"]

    play(script, workers=1, settings=settings(PolicyLimits={"Cancel": cancel}))


def test_request_rejected_during_the_connect_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, delayed, budget="100")
        assert client.next()[2] == REFUSED
        delayed.come_up()
        world.loop.sleep(SECOND)
        assert len(world.workers[0].calls()) == 1

    play(script, workers=1)


@pytest.mark.parametrize(("connect_delay_ms", "is_sent"), [(80, True), (120, False)])
def test_call_delayed_past_the_drain_grace_is_not_sent_to_that_worker(
    monkeypatch: pytest.MonkeyPatch, connect_delay_ms: int, is_sent: bool
) -> None:
    """The worker may have been told to drain right after it was chosen."""
    delayed = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = call_that_waits(world, delayed, method="reservation")
        world.loop.sleep(connect_delay_ms * MS)
        delayed.come_up()
        world.loop.sleep(10 * MS)
        assert len(world.workers[0].calls()) == 1 + is_sent
        assert client.next()[2] == (None if is_sent else REFUSED)

    play(script, workers=1, settings=settings(Guarantees={"DrainGrace": 100_000}))


def test_call_to_a_removed_worker_is_not_sent_to_its_successor_at_the_same_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client, node = call_that_waits(world, delayed, method="reservation"), world.node
        successor = {**world.workers[0].target, "uid": "s-new"}
        event = {"offset": 2, "topology": {"all": True, "targets": [successor]}}
        node._apply_endpoints(node.directory.apply_known_events({"offset": 2, "batch": [event]}))
        delayed.waiting.pop(0)()
        world.loop.sleep(10 * MS)
        assert len(world.workers[0].calls()) == 1
        delayed.come_up()  # the successor's connection, for the load order that the call now waits for
        assert client.next()[2] is None
        assert len(world.workers[0].calls()) == 2

    play(script, workers=1)


def test_call_queued_behind_a_full_send_buffer_is_not_sent_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The kernel accepts part of the first command; the second is queued whole and is withdrawn."""

    def script(world: World) -> None:
        client, other = world.client(), world.client()
        worker = warm(world, client)
        world.node.pool.limits = replace(world.node.pool.limits, max_connections=1)
        (connection,) = world.node.pool._connections[worker.name]
        send_now, capacity = connection.stream.send_now, [20]

        def send_throttled(data: bytes) -> bytes:
            accepted = min(capacity[0], len(data))
            capacity[0] -= accepted
            return (send_now(data[:accepted]) if accepted else b"") + data[accepted:]

        writable_callbacks: list[Callable[[], object] | None] = []
        monkeypatch.setattr(connection.stream, "send_now", send_throttled)
        monkeypatch.setattr(connection.stream, "on_writable", writable_callbacks.append)
        client.send()
        other.send()  # read in the same loop iteration, so that both are offered to the kernel at once
        world.until(lambda: not capacity[0])
        assert len(connection._outbox) == 1
        other.stream.close()
        world.until(lambda: len(world.node.clients.requests.request_ids) == 1)
        assert not connection._outbox
        capacity[0] = 1 << 20
        connection._flush()
        assert client.next()[2] is None
        world.loop.sleep(100 * MS)
        assert [words[3] for words in worker.calls()] == [b"body 1", b"body 2"]
        assert len(worker.streams) == 1

    play(script, workers=1)


def test_abandoned_call_is_not_cancelled_at_its_worker_if_cancel_is_off() -> None:
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


@pytest.mark.parametrize("departure", ["close", "reset", "interrupt"])
def test_no_attempt_starts_for_a_client_that_left_during_a_long_loop_iteration(departure: str) -> None:
    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        message_id = client.send(method="reservation")
        (connection,) = world.node.clients.connections
        connection.read()  # a worker is chosen; the call is sent at the end of this loop iteration
        if departure == "interrupt":
            client.raw(msgpack.packb([2, "interrupt", [message_id]]))
        else:
            getattr(client.stream, departure)()
        world.loop.clock.advance_to(world.loop.now() + 150 * MS)  # other work of this loop iteration
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 1

    play(script, workers=1)


def test_rest_of_a_partly_sent_call_is_not_sent_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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


def test_call_moved_to_another_connection_is_not_sent_after_its_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed = HeldConnections(monkeypatch)

    def script(world: World) -> None:
        client = world.client()
        worker = warm(world, client)
        throttle = Throttle(monkeypatch, one_connection(world, worker), PART)
        delayed.is_holding = True
        client.send()
        world.until(lambda: not throttle.room)
        worker.streams[0].reset()
        world.until(lambda: delayed.waiting)
        client.stream.close()
        world.until(lambda: not world.node.clients.requests.request_ids)
        delayed.come_up()
        world.loop.sleep(SECOND)
        assert len(worker.calls()) == 1

    play(script, workers=1)


def test_attempt_cancelled_while_its_connection_breaks_is_not_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the first attempt cancels the second one, as if the call could no longer succeed."""

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
        assert [result.outcome for result in first + second] == [
            Outcome.RESET,
            Outcome.CANCELLED,
        ]
        assert len(worker.calls()) == sent + 1

    play(script, workers=1)
