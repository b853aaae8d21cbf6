"""Links: what each way for an exchange to end is taken for, and what it proves."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import pytest

from walnutpost.eventloop import Listener, Loop, Stream, VirtualClock
from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Send
from walnutpost.http import Response, encode_response
from walnutpost.interface import Outcome, Warmth
from walnutpost.workerclient import Links, LinkSettings, codec, orca

SECOND = 1_000_000
LOCAL = ("127.0.0.1", 0)
OK = encode_response(
    Response(200, {"endpoint-load-metrics": "TEXT cpu_utilization=0.5, named_metrics.warmth=1"}, b"a")
)


def typed(status: int, kind: str) -> bytes:
    return encode_response(Response(status, {"x-amzn-errortype": kind} if kind else {}, b"{}"))


def answer(data: bytes) -> Callable[[Stream], None]:
    def serve(stream: Stream) -> None:
        stream.recv()
        stream.send_all(data)

    return serve


def reset_at_once(stream: Stream) -> None:
    stream.reset()


def reset_after_reading(stream: Stream) -> None:
    stream.recv()
    stream.reset()


def silent(stream: Stream) -> None:
    stream.recv()
    with suppress(ConnectionResetError):  # a connection given up with something unanswered ends by a reset
        stream.recv()


ENDS: dict[str, tuple[Callable[[Stream], None], Outcome]] = {
    "served": (answer(OK), Outcome.OK),
    "reset at once": (reset_at_once, Outcome.RESET),
    "reset while running": (reset_after_reading, Outcome.RESET),
    "closed without a word": (answer(b""), Outcome.RESET),
    "half an answer": (answer(OK[:-1]), Outcome.RESET),
    "no HTTP": (answer(b"\x00\x01 what\r\n\r\n"), Outcome.ERROR),
    "a worker's full": (answer(typed(503, "TooManyRequestsException")), Outcome.FULL),
    "a worker's miss": (answer(typed(404, "ResourceNotFoundException")), Outcome.MISS),
    "a load that failed": (answer(typed(404, "ModelLoadException")), Outcome.MISS),
    # What another than the worker may have said proves nothing.
    "somebody's 503": (answer(typed(503, "")), Outcome.ERROR),
    "somebody's 404": (answer(typed(404, "")), Outcome.ERROR),
    "a 500": (answer(typed(500, "ServiceException")), Outcome.ERROR),
    "silence": (silent, Outcome.TIMEOUT),
}


class Rig:
    def __init__(self) -> None:
        self.errors: list[BaseException] = []
        self.loop = Loop(VirtualClock(), lambda name, error: self.errors.append(error))
        self.links = Links(self.loop, LinkSettings(report_fields=("busy",)), "p")
        self.streams: list[Stream] = []
        self.done: list[Any] = []
        self.calls = 0

    def run(self, serve: Callable[[Stream], None], script: Callable[[], None]) -> None:
        def main() -> None:
            listener = Listener(self.loop, LOCAL)

            def one(stream: Stream) -> None:
                self.streams.append(stream)
                try:
                    serve(stream)
                finally:
                    stream.close()

            def accept() -> None:
                while True:
                    self.loop.spawn(one, listener.accept())

            self.loop.spawn(accept)
            self.links.told({"w": listener.address}, set())
            script()

        self.loop.run(main)
        assert not self.errors, self.errors

    def start(self, timeout: int = SECOND, before: Callable[[], None] | None = None) -> Send:
        self.calls += 1
        start = Send(self.calls, 0, "w", "f", None, b"1", timeout, 1, False)
        self.links.start(start, self.done.append, before)
        return start

    def outcome(self) -> AttemptEnded:
        while not self.done:
            self.loop.sleep(1000)
        done = self.done.pop()
        assert isinstance(done, AttemptEnded) and self.links.out == 0
        return done


@pytest.mark.parametrize("name", ENDS)
def test_how_an_exchange_ends(name: str) -> None:
    serve, wanted = ENDS[name]
    rig = Rig()

    def script() -> None:
        rig.start()
        done = rig.outcome()
        assert done.outcome is wanted
        if wanted is Outcome.OK:
            assert (done.payload, done.report, done.warmth) == (b"a", (0.5,), Warmth.WARM)
        if name == "a load that failed":
            assert done.warmth is Warmth.LOAD_FAILED

    rig.run(serve, script)


def test_no_connection_proves_that_nothing_ran() -> None:
    rig = Rig()

    def script() -> None:
        closed = Listener(rig.loop, LOCAL)
        closed.close()
        for addresses in ({"w": closed.address}, {}):
            rig.links.told(addresses, set())
            rig.start()
            assert rig.outcome().outcome is Outcome.CONNECT_FAILED

    rig.run(silent, script)


def test_an_idle_connection_that_the_worker_closed_is_not_used_again() -> None:
    """Sent on it, the call would look as if it may have run."""
    rig = Rig()

    def script() -> None:
        for _ in range(2):
            rig.start()
            assert rig.outcome().outcome is Outcome.OK
        assert len(rig.streams) == 2

    rig.run(answer(OK), script)


def test_a_drain_told_while_the_connection_is_made_stops_the_send() -> None:
    rig = Rig()
    heard: list[bytes] = []

    def script() -> None:
        addresses = dict(rig.links._addresses)
        rig.start(before=lambda: rig.links.told(addresses, {"w"}))
        assert rig.outcome().outcome is Outcome.MOOT
        rig.links.order(LoadOrder("w", "f", 1), rig.done.append)
        while not rig.done:
            rig.loop.sleep(1000)
        held = rig.done.pop()
        assert isinstance(held, LoadOrderEnded) and held.outcome is Outcome.CONNECT_FAILED
        assert heard in ([], [b""], [b"", b""])

    rig.run(lambda stream: heard.append(stream.recv()), script)


def test_without_an_intent_on_disk_nothing_is_sent() -> None:
    rig = Rig()

    def fails() -> None:
        raise LookupError("disk full")

    def script() -> None:
        rig.start(before=fails)
        assert rig.outcome().outcome is Outcome.MOOT
        assert not rig.streams

    rig.run(silent, script)


def test_an_abandoned_attempt_ends_whenever_it_is_abandoned() -> None:
    rig = Rig()

    def script() -> None:
        start = rig.start()
        rig.links.abandon(start.call, start.attempt)  # before its task has begun
        assert rig.outcome().outcome is Outcome.MOOT
        start = rig.start()
        while not rig.streams:
            rig.loop.sleep(1000)
        rig.links.abandon(start.call, start.attempt)
        assert rig.outcome().outcome is Outcome.CANCELLED

    rig.run(silent, script)


REPORT = {"cpu_utilization": 0.25, "mem_utilization": 0.5, "queue": 3.0}


@pytest.mark.parametrize("form", ["text", "json", "binary"])
def test_a_report_reads_as_it_was_written(form: str) -> None:
    name, value = orca.write(REPORT, form)
    told = orca.read({name: value})
    assert {k: told[k] for k in REPORT} == REPORT
    assert codec.report_of(told, ("busy", "memory_tied", "queue")) == (0.25, 0.5, 3.0)
    assert codec.report_of(told, ("busy", "loads")) == ()


@pytest.mark.parametrize(
    "value",
    [
        "",
        "TEXT",
        "TEXT =,=1,a",
        "JSON {",
        "JSON [1]",
        "JSON " + "[" * 100_000,
        "BIN !",
        "TEXT a=nan, b=inf",
        "x",
    ],
)
def test_a_broken_report_is_no_report(value: str) -> None:
    assert orca.read({orca.HEADER: value}) == {}
    assert orca.read({orca.HEADER_BIN: value.encode().hex()}).get("a") is None
