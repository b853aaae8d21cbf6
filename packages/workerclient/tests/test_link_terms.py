"""Links: what was decided is asked again at the first byte, and every end told of an order is true."""

from __future__ import annotations

import errno
import ssl
from collections.abc import Callable

import pytest

from test_links import LOCAL, OK, SECOND, Rig
from walnutpost.eventloop import Event, Listener, Stream
from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Send
from walnutpost.http import BadMessage, Connection, Limits, Response, encode_response
from walnutpost.http.messages import RequestReader
from walnutpost.interface import Outcome
from walnutpost.workerclient import Links, LinkSettings, codec

MS = 1_000
STOOD = encode_response(Response(200, {}, b'{"copies": 2}'))


class Scripted(Rig):
    """Keeps what the worker read, and answers each part with `data` after `delay_us`."""

    def __init__(self, data: bytes = OK, delay_us: int = 0) -> None:
        super().__init__()
        self.data = data
        self.delay_us = delay_us
        self.heard: list[bytes] = []
        self.ended_by_reset = 0

    def serve(self, stream: Stream) -> None:
        try:
            while part := stream.recv():
                self.heard.append(part)
                self.loop.sleep(self.delay_us)
                stream.send_all(self.data)
        except (ConnectionResetError, BrokenPipeError):
            self.ended_by_reset += 1

    def play(self, script: Callable[[], None]) -> None:
        self.run(self.serve, script)

    def call(
        self, timeout: int = SECOND, latest: int = 0, before: Callable[[], None] | None = None
    ) -> AttemptEnded:
        self.begin_call(timeout, latest, before)
        return self.outcome()

    def begin_call(
        self, timeout: int = SECOND, latest: int = 0, before: Callable[[], None] | None = None
    ) -> Send:
        self.calls += 1
        start = Send(self.calls, 0, "w", "f", None, b"1", timeout, 1, False, latest)
        self.links.start(start, self.done.append, before)
        return start

    def order(self, latest: int = 0) -> LoadOrderEnded:
        self.links.order(LoadOrder("w", "f", 2, latest), self.done.append)
        self.wait_for(lambda: bool(self.done))
        self.loop.sleep(20 * SECOND)  # nothing else is told of it later
        (done,) = self.done
        self.done.clear()
        assert isinstance(done, LoadOrderEnded) and done.ordered_copies == 2
        return done

    def wait_for(self, condition: Callable[[], bool]) -> None:
        end = self.loop.now() + 15 * SECOND
        while not condition():
            assert self.loop.now() < end, "it never came"
            self.loop.sleep(10 * MS)

    def outcome(self) -> AttemptEnded:
        self.wait_for(lambda: bool(self.done))
        return super().outcome()


def slow_dial(monkeypatch: pytest.MonkeyPatch, rig: Rig, delay_us: int) -> None:
    dial = Connection.open

    def slow(*args: object, **kwargs: object) -> Connection:
        connection = dial(*args, **kwargs)  # type: ignore[arg-type]
        rig.loop.sleep(delay_us)
        return connection

    monkeypatch.setattr(Connection, "open", slow)


# Whether it may begin


def test_a_call_whose_decision_has_lapsed_does_not_begin() -> None:
    rig = Scripted()

    def script() -> None:
        for latest, wanted in ((100 * MS, Outcome.MOOT), (0, Outcome.OK), (150 * MS, Outcome.OK)):
            heard = len(rig.heard)
            done = rig.call(latest=latest, before=lambda: rig.loop.sleep(150 * MS))
            assert done.outcome is wanted
            assert (len(rig.heard) > heard) is (wanted is Outcome.OK)

    rig.play(script)


def test_calls_and_orders_that_waited_too_long_for_a_connection_do_not_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = Scripted(STOOD)
    slow_dial(monkeypatch, rig, 150 * MS)

    def script() -> None:
        assert rig.order(latest=100 * MS).outcome is Outcome.MOOT
        rig.links.close_idle("w")
        assert rig.call(latest=100 * MS).outcome is Outcome.MOOT
        assert not rig.heard
        rig.links.close_idle("w")
        assert rig.order(latest=150 * MS).outcome is Outcome.OK

    rig.play(script)


def test_latest_counts_from_the_effect_and_not_from_when_its_task_runs() -> None:
    rig = Scripted(STOOD)

    def script() -> None:
        rig.links.order(LoadOrder("w", "f", 2, 100 * MS), rig.done.append)
        rig.loop.clock.advance_to(rig.loop.now() + 150 * MS)  # other work keeps the loop
        rig.wait_for(lambda: bool(rig.done))
        assert rig.done.pop().outcome is Outcome.MOOT
        rig.begin_call(latest=100 * MS)
        rig.loop.clock.advance_to(rig.loop.now() + 150 * MS)
        assert rig.outcome().outcome is Outcome.MOOT
        assert not rig.heard

    rig.play(script)


def test_a_call_whose_whole_time_is_over_does_not_begin() -> None:
    rig = Scripted()

    def script() -> None:
        assert rig.call().outcome is Outcome.OK
        heard = len(rig.heard)
        done = rig.call(before=lambda: rig.loop.clock.advance_to(rig.loop.now() + 2 * SECOND))
        assert done.outcome is Outcome.MOOT and len(rig.heard) == heard

    rig.play(script)


@pytest.mark.parametrize("gone", [False, True])
def test_nothing_begins_at_the_address_of_a_worker_that_moved_meanwhile(
    gone: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Scripted(STOOD)
    slow_dial(monkeypatch, rig, 100 * MS)

    def script() -> None:
        before = dict(rig.links._addresses)
        other = Listener(rig.loop, LOCAL)
        # The former address is another worker's now.
        after = {"new": before["w"]} if gone else {"new": before["w"], "w": other.address}
        rig.begin_call()
        rig.links.order(LoadOrder("w", "f", 2), rig.done.append)
        rig.loop.sleep(50 * MS)
        rig.links.told(after, set())
        rig.wait_for(lambda: len(rig.done) == 2)
        assert [done.outcome for done in rig.done] == [Outcome.MOOT, Outcome.MOOT]
        assert len(rig.streams) == 2 and not rig.heard and other.accept_now() is None
        rig.done.clear()

    rig.play(script)


def test_a_drain_told_meanwhile_stops_an_order_as_moot(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Scripted(STOOD)
    slow_dial(monkeypatch, rig, 100 * MS)

    def script() -> None:
        rig.links.order(LoadOrder("w", "f", 2), rig.done.append)
        rig.loop.sleep(50 * MS)
        rig.links.told(dict(rig.links._addresses), {"w"})
        rig.wait_for(lambda: bool(rig.done))
        assert rig.done.pop().outcome is Outcome.MOOT and not rig.heard

    rig.play(script)


def test_a_failed_dial_to_a_former_address_says_nothing_of_the_worker() -> None:
    rig = Scripted()

    def script() -> None:
        present = dict(rig.links._addresses)
        closed = Listener(rig.loop, LOCAL)
        closed.close()
        rig.links.told({"w": closed.address}, set())
        assert rig.call(before=lambda: rig.links.told(present, set())).outcome is Outcome.MOOT

    rig.play(script)


def test_a_connection_that_was_busy_when_its_worker_moved_is_not_used_again() -> None:
    rig = Scripted(delay_us=100 * MS)

    def script() -> None:
        other = Listener(rig.loop, LOCAL)
        rig.begin_call()
        rig.wait_for(lambda: bool(rig.heard))
        rig.links.told({"w": other.address}, set())
        assert rig.outcome().outcome is Outcome.OK
        rig.begin_call()
        rig.wait_for(lambda: other.accept_now() is not None)
        assert len(rig.heard) == 1

    rig.play(script)


# The deadline


def told_deadline(request: bytes) -> int:
    reader = RequestReader(Limits())
    reader.feed(request)
    return int(reader.ready.popleft().headers[codec.DEADLINE_MS])


def test_the_deadline_told_is_what_is_left_by_the_time_of_day() -> None:
    rig = Scripted()
    corrected = 7 * SECOND  # by which the clock of the machine was set since the loop began
    rig.links = Links(rig.loop, LinkSettings(), "p", time_of_day=lambda: rig.loop.now() + corrected)

    def script() -> None:
        decided = rig.loop.now()
        rig.begin_call(2 * SECOND, before=lambda: rig.loop.sleep(500 * MS))
        rig.loop.clock.advance_to(rig.loop.now() + 300 * MS)  # other work keeps the loop
        assert rig.outcome().outcome is Outcome.OK
        assert told_deadline(rig.heard[0]) == (decided + 2 * SECOND + corrected) // MS

    rig.play(script)


# Nobody waits any more


def test_an_attempt_abandoned_before_its_first_byte_never_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Scripted()
    slow_dial(monkeypatch, rig, 100 * MS)

    def script() -> None:
        for before in (lambda: rig.loop.sleep(100 * MS), None):  # it waits for the disk, or for the dial
            start = rig.begin_call(before=before)
            rig.loop.sleep(50 * MS)
            rig.links.abandon(start.call, start.attempt)
            assert rig.outcome().outcome is Outcome.MOOT
        rig.loop.sleep(SECOND)
        assert not rig.heard

    rig.play(script)


def test_an_attempt_abandoned_while_it_is_ready_to_run_never_writes() -> None:
    rig = Scripted()

    def script() -> None:
        assert rig.call().outcome is Outcome.OK  # leaves a connection, so that nothing is waited for
        written = Event(rig.loop)
        start = rig.begin_call(before=written.wait)
        rig.loop.sleep(MS)
        written.set()
        rig.links.abandon(start.call, start.attempt)
        assert rig.outcome().outcome is Outcome.MOOT
        rig.loop.sleep(SECOND)
        assert len(rig.heard) == 1

    rig.play(script)


def test_an_attempt_abandoned_before_its_handshakes_turn_makes_no_connection() -> None:
    rig = Scripted()
    rig.links = Links(rig.loop, LinkSettings(), "p", context=ssl.create_default_context())
    handshakes = rig.links._dialer._handshakes

    def script() -> None:
        while handshakes.take(rig.loop.now(), "w"):
            pass
        start = rig.begin_call()
        rig.loop.sleep(50 * MS)
        rig.links.abandon(start.call, start.attempt)
        assert rig.outcome().outcome is Outcome.MOOT
        handshakes.made("w")
        rig.loop.sleep(SECOND)
        assert not rig.streams

    rig.play(script)


def test_a_handshake_cut_short_by_the_calls_own_time_is_no_failure_of_the_worker() -> None:
    rig = Scripted(data=b"")
    rig.links = Links(rig.loop, LinkSettings(), "p", context=ssl.create_default_context())

    def script() -> None:
        assert rig.call(timeout=20 * MS).outcome is Outcome.MOOT
        assert len(rig.streams) == 1
        assert rig.links._dialer._handshakes.take(rig.loop.now(), "w")

    rig.play(script)


@pytest.mark.parametrize("how", ["call in time", "call abandoned", "order in time"])
def test_what_is_given_up_unanswered_is_ended_by_a_reset(how: str) -> None:
    rig = Scripted(data=b"")
    rig.links = Links(rig.loop, LinkSettings(order_timeout=SECOND), "p")

    def script() -> None:
        if how == "order in time":
            assert rig.order().outcome is Outcome.TIMEOUT
        elif how == "call in time":
            assert rig.call().outcome is Outcome.TIMEOUT
        else:
            start = rig.begin_call()
            rig.wait_for(lambda: bool(rig.heard))
            rig.links.abandon(start.call, start.attempt)
            assert rig.outcome().outcome is Outcome.CANCELLED
        rig.loop.sleep(SECOND)
        assert rig.ended_by_reset == 1

    rig.play(script)


# How an order ended


def close_unread(rig: Scripted, stream: Stream) -> None:
    stream.recv()


def reset_unread(rig: Scripted, stream: Stream) -> None:
    stream.recv()
    stream.reset()


ORDER_ENDS: dict[str, tuple[bytes | Callable[[Scripted, Stream], None], Outcome]] = {
    "the copies stand": (STOOD, Outcome.OK),
    "no room": (encode_response(Response(503, {}, b'{"copies": 1}')), Outcome.FULL),
    "copies without end": (encode_response(Response(200, {}, b'{"copies": 1e999}')), Outcome.ERROR),
    "closed": (close_unread, Outcome.RESET),
    "reset": (reset_unread, Outcome.RESET),
    # None of these proves that the worker won't read it later.
    "silence": (b"", Outcome.TIMEOUT),
    "half an answer": (STOOD[:-1], Outcome.TIMEOUT),
    "no HTTP": (b"\x00\x01 what\r\n\r\n", Outcome.TIMEOUT),
}


@pytest.mark.parametrize("name", ORDER_ENDS)
def test_the_end_told_of_an_order_is_true_and_told_once(name: str) -> None:
    worker, wanted = ORDER_ENDS[name]
    rig = Scripted(worker if isinstance(worker, bytes) else b"")

    def script() -> None:
        done = rig.order()
        assert done.outcome is wanted
        assert done.copies == {Outcome.OK: 2, Outcome.FULL: 1}.get(wanted, 0)

    if isinstance(worker, bytes):
        rig.play(script)
    else:
        rig.run(lambda stream: worker(rig, stream), script)


@pytest.mark.parametrize(
    ("error", "sent", "wanted"),
    [
        (ConnectionResetError(errno.ECONNRESET, "reset"), True, Outcome.RESET),
        (BrokenPipeError(errno.EPIPE, "broken"), True, Outcome.RESET),
        (BrokenPipeError(errno.EPIPE, "broken"), False, Outcome.CONNECT_FAILED),
        # The way broke; what the worker's machine holds can still be read.
        (OSError(errno.EHOSTUNREACH, "no route"), True, Outcome.TIMEOUT),
        (TimeoutError(errno.ETIMEDOUT, "gave up"), True, Outcome.TIMEOUT),
        (BadMessage(400, "no HTTP"), True, Outcome.TIMEOUT),
    ],
)
def test_an_order_that_met_an_error_is_told_by_what_the_error_proves(
    error: Exception, sent: bool, wanted: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Scripted()

    def breaks(connection: Connection, data: bytes) -> Response:
        connection.stream.has_sent = sent
        raise error

    monkeypatch.setattr(Connection, "exchange", breaks)
    rig.play(lambda: _expect_order(rig, wanted))


def _expect_order(rig: Scripted, wanted: Outcome) -> None:
    assert rig.order().outcome is wanted


def test_an_order_without_a_connection_in_time_never_reached_its_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = Scripted()
    slow_dial(monkeypatch, rig, SECOND)
    rig.play(lambda: _expect_order(rig, Outcome.CONNECT_FAILED))
    assert not rig.heard


@pytest.mark.parametrize(("where", "wanted"), [("load", Outcome.MOOT), ("read_load", Outcome.TIMEOUT)])
def test_an_order_ends_once_also_when_its_task_raises(
    where: str, wanted: Outcome, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Scripted(STOOD)
    fault = RuntimeError("a fault of ours")

    def fails(*args: object) -> bytes:
        raise fault

    monkeypatch.setattr(codec, where, fails)

    def script() -> None:
        assert rig.order().outcome is wanted
        assert rig.errors == [fault]
        rig.errors.clear()

    rig.play(script)


@pytest.mark.parametrize("begun", [False, True])
def test_an_attempt_ends_once_also_when_its_task_raises(begun: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    rig = Scripted()
    fault = RuntimeError("a fault of ours")

    def fails(*args: object) -> None:
        raise fault

    if begun:
        monkeypatch.setattr(codec, "read_call", fails)

    def script() -> None:
        done = rig.call(before=None if begun else fails)
        assert done.outcome is (Outcome.ERROR if begun else Outcome.MOOT)
        assert rig.errors == [fault] and not rig.done
        rig.errors.clear()

    rig.play(script)


def test_a_figure_beyond_any_number_costs_neither_the_answer_nor_its_end() -> None:
    headers = {"endpoint-load-metrics": 'JSON {"named_metrics": {"warmth": 1%s}}' % ("0" * 400)}
    rig = Scripted(encode_response(Response(200, headers, b"a")))

    def script() -> None:
        done = rig.call()
        assert (done.outcome, done.payload) == (Outcome.OK, b"a")

    rig.play(script)
