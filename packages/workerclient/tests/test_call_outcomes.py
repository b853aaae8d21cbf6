"""The outcome that is reported for each way in which a call can end."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from walnutpost.eventloop import Listener, Stream
from walnutpost.gateway import LoadOrder, LoadOrderEnded
from walnutpost.http import Response, encode_response
from walnutpost.http.messages import Limits
from walnutpost.http.parsing import RequestParser
from walnutpost.interface import Outcome, Warmth
from walnutpost.testsupport.workerclient.exchanges import never_respond
from walnutpost.testsupport.workerclient.harness import (
    CALL_SUCCEEDED,
    LOCAL_ADDRESS,
    US_PER_MS,
    US_PER_S,
    RespondingWorkerHarness,
    WorkerClientHarness,
)
from walnutpost.workerclient import WorkerClient, WorkerClientSettings, codec


def error_response(status: int, error_type: str) -> bytes:
    headers = {"x-amzn-errortype": error_type} if error_type else {}
    return encode_response(Response(status, headers, b"{}"))


def respond_with(data: bytes) -> Callable[[Stream], None]:
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
    "a success": (respond_with(CALL_SUCCEEDED), Outcome.OK),
    "a reset at once": (reset_at_once, Outcome.RESET),
    "a reset while running": (reset_after_reading, Outcome.RESET),
    "closed without a response": (respond_with(b""), Outcome.RESET),
    "a partial response": (respond_with(CALL_SUCCEEDED[:-1]), Outcome.RESET),
    "not HTTP": (respond_with(b"\x00\x01 what\r\n\r\n"), Outcome.ERROR),
    "the worker is full": (respond_with(error_response(503, "TooManyRequestsException")), Outcome.FULL),
    "a miss": (respond_with(error_response(404, "ResourceNotFoundException")), Outcome.MISS),
    "a failed load": (respond_with(error_response(404, "ModelLoadException")), Outcome.MISS),
    # A proxy or another server may have sent these, so they don't prove that the call never ran.
    "a 503 without a type": (respond_with(error_response(503, "")), Outcome.ERROR),
    "a 404 without a type": (respond_with(error_response(404, "")), Outcome.ERROR),
    "a 500": (respond_with(error_response(500, "ServiceException")), Outcome.ERROR),
    "silence": (never_respond, Outcome.TIMEOUT),
}


@pytest.mark.parametrize("name", EXCHANGES)
def test_the_outcome_of_a_call_matches_how_the_exchange_ended(name: str) -> None:
    serve, expected = EXCHANGES[name]
    harness = WorkerClientHarness()

    def script() -> None:
        ended = harness.call()
        assert ended.outcome is expected
        if expected is Outcome.OK:
            assert (ended.payload, ended.report, ended.warmth) == (b"a", (0.5,), Warmth.WARM)
        if name == "a failed load":
            assert ended.warmth is Warmth.LOAD_FAILED

    harness.run(serve, script)


def test_a_call_without_a_connection_or_an_address_ends_as_connect_failed() -> None:
    harness = WorkerClientHarness()

    def script() -> None:
        closed_listener = Listener(harness.loop, LOCAL_ADDRESS)
        closed_listener.close()
        for addresses in ({"w": closed_listener.address}, {}):
            harness.client.update_workers(addresses, set())
            assert harness.call().outcome is Outcome.CONNECT_FAILED

    harness.run(never_respond, script)


def test_an_idle_connection_that_the_worker_closed_is_not_reused() -> None:
    """A call sent on a closed connection would end as RESET, as if it may have run."""
    harness = WorkerClientHarness()

    def script() -> None:
        for _ in range(2):
            assert harness.call().outcome is Outcome.OK
        assert len(harness.worker_streams) == 2

    harness.run(respond_with(CALL_SUCCEEDED), script)


def test_a_worker_that_starts_draining_before_the_first_byte_gets_no_call_and_no_load_order() -> None:
    harness = WorkerClientHarness()
    received: list[bytes] = []

    def script() -> None:
        addresses = dict(harness.client.addresses)
        ended = harness.call(before_send=lambda: harness.client.update_workers(addresses, {"w"}))
        assert ended.outcome is Outcome.EXPIRED
        harness.client.order_load(LoadOrder("w", "f", 1), harness.reported_events.append)
        harness.wait_until(lambda: bool(harness.reported_events))
        order_ended = harness.reported_events.pop()
        assert isinstance(order_ended, LoadOrderEnded)
        assert order_ended.outcome is Outcome.CONNECT_FAILED
        assert received in ([], [b""], [b"", b""])

    harness.run(lambda stream: received.append(stream.recv()), script)


def test_a_call_whose_intent_cannot_be_persisted_is_not_sent() -> None:
    harness = WorkerClientHarness()

    def fail() -> None:
        raise LookupError("disk full")

    def script() -> None:
        assert harness.call(before_send=fail).outcome is Outcome.EXPIRED
        assert not harness.worker_streams

    harness.run(never_respond, script)


def test_the_deadline_header_is_in_wall_clock_time_and_accounts_for_the_wait_before_sending() -> None:
    harness = RespondingWorkerHarness()
    clock_correction_us = 7 * US_PER_S  # the change of the system clock since the loop started
    harness.client = WorkerClient(
        harness.loop, WorkerClientSettings("p"), wall_clock=lambda: harness.loop.now() + clock_correction_us
    )

    def script() -> None:
        decided_at_us = harness.loop.now()
        harness.start_call(2 * US_PER_S, before_send=lambda: harness.loop.sleep(500 * US_PER_MS))
        harness.loop.clock.advance_to(harness.loop.now() + 300 * US_PER_MS)  # other work keeps the loop busy
        assert harness.wait_for_attempt_end().outcome is Outcome.OK
        expected_ms = (decided_at_us + 2 * US_PER_S + clock_correction_us) // US_PER_MS
        assert read_deadline_ms(harness.received[0]) == expected_ms

    harness.run_script(script)


def read_deadline_ms(request: bytes) -> int:
    parser = RequestParser(Limits())
    parser.feed(request)
    return int(parser.ready.popleft().headers[codec.DEADLINE_MS_HEADER])


@pytest.mark.parametrize("has_begun", [False, True])
def test_an_attempt_whose_task_raises_reports_one_end(
    has_begun: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = RespondingWorkerHarness()
    error = RuntimeError("bug in the client")

    def fail(*args: object) -> None:
        raise error

    if has_begun:
        monkeypatch.setattr(codec, "decode_call_response", fail)

    def script() -> None:
        ended = harness.call(before_send=None if has_begun else fail)
        assert ended.outcome is (Outcome.ERROR if has_begun else Outcome.EXPIRED)
        assert harness.loop_errors == [error]
        assert not harness.reported_events
        harness.loop_errors.clear()

    harness.run_script(script)


def test_a_call_succeeds_if_its_response_has_a_metric_too_large_for_a_float() -> None:
    headers = {"endpoint-load-metrics": 'JSON {"named_metrics": {"warmth": 1%s}}' % ("0" * 400)}
    harness = RespondingWorkerHarness(encode_response(Response(200, headers, b"a")))

    def script() -> None:
        ended = harness.call()
        assert (ended.outcome, ended.payload) == (Outcome.OK, b"a")

    harness.run_script(script)
