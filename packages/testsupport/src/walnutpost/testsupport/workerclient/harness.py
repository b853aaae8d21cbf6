"""A worker client in virtual time, with one worker on a socket, whose behaviour a test scripts."""

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


class WorkerRig:
    """The client, its one worker, and the ends that the client reported."""

    def __init__(self) -> None:
        self.errors: list[BaseException] = []
        self.loop = Loop(VirtualClock(), lambda name, error: self.errors.append(error))
        settings = WorkerClientSettings("p", report_fields=("busy",))
        self.client = WorkerClient(self.loop, settings)
        self.streams: list[Stream] = []
        self.ended: list[Any] = []
        self.call_count = 0

    def run(self, serve: Callable[[Stream], None], script: Callable[[], None]) -> None:
        """Run `script` against a worker that runs `serve` on each connection."""

        def main() -> None:
            listener = Listener(self.loop, LOCAL_ADDRESS)

            def serve_and_close(stream: Stream) -> None:
                self.streams.append(stream)
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
        assert not self.errors, self.errors

    def start_call(
        self,
        timeout_us: int = US_PER_S,
        begin_within_us: int = 0,
        before: Callable[[], None] | None = None,
    ) -> Send:
        """Begin an attempt; return what was sent."""
        self.call_count += 1
        send = Send(self.call_count, 0, WORKER, "f", None, b"1", timeout_us, 1, False, begin_within_us)
        self.client.send(send, self.ended.append, before)
        return send

    def wait_for(self, condition: Callable[[], bool]) -> None:
        """Sleep until the condition holds, for 15 seconds at most."""
        deadline_us = self.loop.now() + 15 * US_PER_S
        while not condition():
            assert self.loop.now() < deadline_us, "the condition never held"
            self.loop.sleep(US_PER_MS)

    def wait_for_attempt_end(self) -> AttemptEnded:
        """Return the end of the only attempt in flight."""
        self.wait_for(lambda: bool(self.ended))
        ended = self.ended.pop()
        assert isinstance(ended, AttemptEnded)
        assert self.client.in_flight == 0
        return ended

    def call(
        self,
        timeout_us: int = US_PER_S,
        begin_within_us: int = 0,
        before: Callable[[], None] | None = None,
    ) -> AttemptEnded:
        """Begin an attempt and return its end."""
        self.start_call(timeout_us, begin_within_us, before)
        return self.wait_for_attempt_end()

    def order(self, begin_within_us: int = 0) -> LoadOrderEnded:
        """Send a load order; return its end, after a time in which no other may be reported."""
        self.client.order_load(LoadOrder(WORKER, "f", 2, begin_within_us), self.ended.append)
        self.wait_for(lambda: bool(self.ended))
        self.loop.sleep(20 * US_PER_S)
        (ended,) = self.ended
        self.ended.clear()
        assert isinstance(ended, LoadOrderEnded)
        assert ended.ordered_copies == 2
        return ended


class RespondingWorkerRig(WorkerRig):
    """Records what the worker receives, and responds to each part with `response` after `delay_us`."""

    def __init__(self, response: bytes = CALL_SUCCEEDED, delay_us: int = 0) -> None:
        super().__init__()
        self.response = response
        self.delay_us = delay_us
        self.received: list[bytes] = []
        self.resets = 0

    def run_script(self, script: Callable[[], None]) -> None:
        """Run `script` beside a worker that answers every request in the same way."""
        self.run(self._serve, script)

    def _serve(self, stream: Stream) -> None:
        try:
            while part := stream.recv():
                self.received.append(part)
                self.loop.sleep(self.delay_us)
                stream.send_all(self.response)
        except (ConnectionResetError, BrokenPipeError):
            self.resets += 1


def delay_connects(monkeypatch: pytest.MonkeyPatch, rig: WorkerRig, delay_us: int) -> None:
    """Have each connection take `delay_us`."""
    open_connection = Connection.open

    def open_late(*args: object, **kwargs: object) -> Connection:
        connection = open_connection(*args, **kwargs)  # type: ignore[arg-type]
        rig.loop.sleep(delay_us)
        return connection

    monkeypatch.setattr(Connection, "open", open_late)
