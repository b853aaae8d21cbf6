"""Calls: the outcome reported for each end of an exchange, and what it proves."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from walnutpost.eventloop import Listener, Stream
from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.http import Response, encode_response
from walnutpost.http.messages import Limits
from walnutpost.http.parsing import RequestParser
from walnutpost.interface import Outcome, Warmth
from walnutpost.testsupport.workerclient.exchanges import stay_silent
from walnutpost.testsupport.workerclient.harness import (
    CALL_SUCCEEDED,
    LOCAL_ADDRESS,
    US_PER_MS,
    US_PER_S,
    RespondingWorkerRig,
    WorkerRig,
)
from walnutpost.workerclient import WorkerClient, WorkerClientSettings, codec


def error_response(status: int, error_type: str) -> bytes:
    headers = {"x-amzn-errortype": error_type} if error_type else {}
    return encode_response(Response(status, headers, b"{}"))


def respond(data: bytes) -> Callable[[Stream], None]:
    def serve(stream: Stream) -> None:
        stream.recv()
        stream.send_all(data)

    return serve


def reset_at_once(stream: Stream) -> None:
    stream.reset()


def reset_after_reading(stream: Stream) -> None:
    stream.recv()
    stream.reset()


EXCHANGES: dict[str, tuple[Callable[[Stream], None], Outcome]] = {
    "a success": (respond(CALL_SUCCEEDED), Outcome.OK),
    "a reset at once": (reset_at_once, Outcome.RESET),
    "a reset while running": (reset_after_reading, Outcome.RESET),
    "closed without a response": (respond(b""), Outcome.RESET),
    "a partial response": (respond(CALL_SUCCEEDED[:-1]), Outcome.RESET),
    "no HTTP": (respond(b"\x00\x01 what\r\n\r\n"), Outcome.ERROR),
    "the worker is full": (respond(error_response(503, "TooManyRequestsException")), Outcome.FULL),
    "a miss": (respond(error_response(404, "ResourceNotFoundException")), Outcome.MISS),
    "a failed load": (respond(error_response(404, "ModelLoadException")), Outcome.MISS),
    # Others than the worker may have sent these, so they prove nothing.
    "a 503 without a type": (respond(error_response(503, "")), Outcome.ERROR),
    "a 404 without a type": (respond(error_response(404, "")), Outcome.ERROR),
    "a 500": (respond(error_response(500, "ServiceException")), Outcome.ERROR),
    "silence": (stay_silent, Outcome.TIMEOUT),
}


@pytest.mark.parametrize("name", EXCHANGES)
def test_each_end_of_an_exchange_is_reported_as_what_it_proves(name: str) -> None:
    serve, wanted = EXCHANGES[name]
    rig = WorkerRig()

    def script() -> None:
        ended = rig.call()
        assert ended.outcome is wanted
        if wanted is Outcome.OK:
            assert (ended.payload, ended.report, ended.warmth) == (b"a", (0.5,), Warmth.WARM)
        if name == "a failed load":
            assert ended.warmth is Warmth.LOAD_FAILED

    rig.run(serve, script)


def test_a_call_without_a_connection_or_an_address_is_connect_failed() -> None:
    rig = WorkerRig()

    def script() -> None:
        closed = Listener(rig.loop, LOCAL_ADDRESS)
        closed.close()
        for addresses in ({"w": closed.address}, {}):
            rig.client.update_workers(addresses, set())
            assert rig.call().outcome is Outcome.CONNECT_FAILED

    rig.run(stay_silent, script)


def test_an_idle_connection_that_the_worker_closed_is_not_used_again() -> None:
    """Sent on it, the call would look as if it may have run."""
    rig = WorkerRig()

    def script() -> None:
        for _ in range(2):
            assert rig.call().outcome is Outcome.OK
        assert len(rig.streams) == 2

    rig.run(respond(CALL_SUCCEEDED), script)


def test_a_worker_that_drains_while_the_call_prepares_gets_neither_call_nor_order() -> None:
    rig = WorkerRig()
    received: list[bytes] = []

    def script() -> None:
        addresses = dict(rig.client.addresses)
        ended = rig.call(before=lambda: rig.client.update_workers(addresses, {"w"}))
        assert ended.outcome is Outcome.MOOT
        rig.client.order_load(LoadOrder("w", "f", 1), rig.ended.append)
        rig.wait_for(lambda: bool(rig.ended))
        order_ended = rig.ended.pop()
        assert isinstance(order_ended, LoadOrderEnded)
        assert order_ended.outcome is Outcome.CONNECT_FAILED
        assert received in ([], [b""], [b"", b""])

    rig.run(lambda stream: received.append(stream.recv()), script)


def test_a_call_whose_intent_can_not_be_persisted_is_not_sent() -> None:
    rig = WorkerRig()

    def fail() -> None:
        raise LookupError("disk full")

    def script() -> None:
        assert rig.call(before=fail).outcome is Outcome.MOOT
        assert not rig.streams

    rig.run(stay_silent, script)


def test_the_deadline_sent_is_the_time_left_at_the_first_byte_by_the_time_of_day() -> None:
    rig = RespondingWorkerRig()
    correction_us = 7 * US_PER_S  # by which the clock of the machine was set since the loop began
    rig.client = WorkerClient(
        rig.loop, WorkerClientSettings("p"), wall_clock=lambda: rig.loop.now() + correction_us
    )

    def script() -> None:
        decided_us = rig.loop.now()
        rig.start_call(2 * US_PER_S, before=lambda: rig.loop.sleep(500 * US_PER_MS))
        rig.loop.clock.advance_to(rig.loop.now() + 300 * US_PER_MS)  # other work keeps the loop busy
        assert rig.wait_for_attempt_end().outcome is Outcome.OK
        wanted_ms = (decided_us + 2 * US_PER_S + correction_us) // US_PER_MS
        assert read_deadline_ms(rig.received[0]) == wanted_ms

    rig.run_script(script)


def read_deadline_ms(request: bytes) -> int:
    reader = RequestParser(Limits())
    reader.feed(request)
    return int(reader.ready.popleft().headers[codec.DEADLINE_MS_HEADER])


@pytest.mark.parametrize("has_begun", [False, True])
def test_an_attempt_whose_task_raises_ends_once(has_begun: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    rig = RespondingWorkerRig()
    fault = RuntimeError("a fault of ours")

    def fail(*args: object) -> None:
        raise fault

    if has_begun:
        monkeypatch.setattr(codec, "decode_call_response", fail)

    def script() -> None:
        ended = rig.call(before=None if has_begun else fail)
        assert ended.outcome is (Outcome.ERROR if has_begun else Outcome.MOOT)
        assert rig.errors == [fault]
        assert not rig.ended
        rig.errors.clear()

    rig.run_script(script)


def test_a_metric_too_large_for_a_float_costs_neither_the_response_nor_its_end() -> None:
    headers = {"endpoint-load-metrics": 'JSON {"named_metrics": {"warmth": 1%s}}' % ("0" * 400)}
    rig = RespondingWorkerRig(encode_response(Response(200, headers, b"a")))

    def script() -> None:
        ended = rig.call()
        assert (ended.outcome, ended.payload) == (Outcome.OK, b"a")

    rig.run_script(script)
