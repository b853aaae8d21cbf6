"""A worker client in virtual time, with one worker on a real socket whose behaviour a test scripts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from walnutpost.eventloop import Listener, Loop, Stream, VirtualClock
from walnutpost.gateway import AttemptEnded, LoadOrder, LoadOrderEnded, Send
from walnutpost.http import Connection, Response, encode_response
from walnutpost.workerclient import WorkerClient, WorkerClientSettings

US_PER_MS = 1_000
US_PER_S = 1_000_000
LOCAL_ADDRESS = ("127.0.0.1", 0)
WORKER = "w"
CALL_SUCCEEDED = encode_response(
    Response(200, {"endpoint-load-metrics": "TEXT cpu_utilization=0.5, named_metrics.warmth=1"}, b"a")
)
TWO_COPIES_LOADED = encode_response(Response(200, {}, b'{"copies": 2}'))


class WorkerClientHarness:
    """A worker client with one worker, and the events that the client has reported."""

    def __init__(self) -> None:
        self.loop_errors: list[BaseException] = []
        self.loop = Loop(VirtualClock(), lambda name, error: self.loop_errors.append(error))
        settings = WorkerClientSettings("p", report_fields=("busy",))
        self.client = WorkerClient(self.loop, settings)
        self.worker_streams: list[Stream] = []
        self.reported_events: list[Any] = []
        self.call_count = 0

    def run(self, serve: Callable[[Stream], None], script: Callable[[], None]) -> None:
        """Run `script` with a worker that calls `serve` for each connection."""

        def main() -> None:
            listener = Listener(self.loop, LOCAL_ADDRESS)

            def serve_and_close(stream: Stream) -> None:
                self.worker_streams.append(stream)
                try:
                    serve(stream)
                finally:
                    stream.close()

            def accept() -> None:
                while True:
                    self.loop.spawn(serve_and_close, listener.accept())

            self.loop.spawn(accept)
            self.client.update_workers({WORKER: listener.address}, set())
            script()

        self.loop.run(main)
        assert not self.loop_errors, self.loop_errors

    def start_call(
        self,
        timeout_us: int = US_PER_S,
        begin_within_us: int = 0,
        before_send: Callable[[], None] | None = None,
    ) -> Send:
        """Start an attempt and return its effect."""
        self.call_count += 1
        send = Send(self.call_count, 0, WORKER, "f", None, b"1", timeout_us, 1, False, begin_within_us)
        self.client.send(send, self.reported_events.append, before_send)
        return send

    def wait_until(self, condition: Callable[[], bool]) -> None:
        """Sleep until the condition holds, for at most 15 seconds."""
        deadline_us = self.loop.now() + 15 * US_PER_S
        while not condition():
            assert self.loop.now() < deadline_us, "the condition did not hold within 15 seconds"
            self.loop.sleep(US_PER_MS)

    def wait_for_attempt_end(self) -> AttemptEnded:
        """Wait for the end of the only attempt in flight and return its event."""
        self.wait_until(lambda: bool(self.reported_events))
        ended = self.reported_events.pop()
        assert isinstance(ended, AttemptEnded)
        assert self.client.in_flight == 0
        return ended

    def call(
        self,
        timeout_us: int = US_PER_S,
        begin_within_us: int = 0,
        before_send: Callable[[], None] | None = None,
    ) -> AttemptEnded:
        """Start an attempt, wait for its end and return its event."""
        self.start_call(timeout_us, begin_within_us, before_send)
        return self.wait_for_attempt_end()

    def order_load(self, begin_within_us: int = 0) -> LoadOrderEnded:
        """Send a load order and return its event; check that no other event follows within 20 seconds."""
        self.client.order_load(LoadOrder(WORKER, "f", 2, begin_within_us), self.reported_events.append)
        self.wait_until(lambda: bool(self.reported_events))
        self.loop.sleep(20 * US_PER_S)
        (ended,) = self.reported_events
        self.reported_events.clear()
        assert isinstance(ended, LoadOrderEnded)
        assert ended.ordered_copies == 2
        return ended


class RespondingWorkerHarness(WorkerClientHarness):
    """A worker that records the data it receives and answers each piece with `response` after `delay_us`."""

    def __init__(self, response: bytes = CALL_SUCCEEDED, delay_us: int = 0) -> None:
        super().__init__()
        self.response = response
        self.delay_us = delay_us
        self.received: list[bytes] = []
        self.resets = 0

    def run_script(self, script: Callable[[], None]) -> None:
        """Run `script` with a worker that answers every request with `response`."""
        self.run(self._serve, script)

    def _serve(self, stream: Stream) -> None:
        try:
            while data := stream.recv():
                self.received.append(data)
                self.loop.sleep(self.delay_us)
                stream.send_all(self.response)
        except (ConnectionResetError, BrokenPipeError):
            self.resets += 1


def delay_connects(monkeypatch: pytest.MonkeyPatch, harness: WorkerClientHarness, delay_us: int) -> None:
    """Delay the opening of each connection by `delay_us`."""
    original_open = Connection.open

    def open_with_delay(*args: object, **kwargs: object) -> Connection:
        connection = original_open(*args, **kwargs)  # type: ignore[arg-type]
        harness.loop.sleep(delay_us)
        return connection

    monkeypatch.setattr(Connection, "open", open_with_delay)
