"""Graceful shutdown: received requests are answered, nothing new is accepted, and the process exits."""

from __future__ import annotations

import errno
import os
import signal
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgpack
import pytest

from walnutpost.eventloop import Listener
from walnutpost.node import log as log_module
from walnutpost.node import node as node_module
from walnutpost.node import run
from walnutpost.node.node import DRAIN_PERIOD_US
from walnutpost.testsupport.eventloop.scripted_sockets import UNLIMITED, SocketFaults, bound_to
from walnutpost.testsupport.node.client_fixtures import (
    encode_request,
    only_client_connection,
    run_scenario_with_timeout,
    silence_workers,
)
from walnutpost.testsupport.node.fault_injection import run_scenario_with_faults
from walnutpost.testsupport.node.harness import (
    CONFIG,
    INTERNAL_ERROR,
    MILLISECOND_US,
    OVERLOADED_ERROR,
    FakeWorker,
    NodeHarness,
    encode_config,
    reply,
    run_scenario,
    settings,
    warm_up_worker,
)


def test_slow_client_that_still_sends_gets_its_answer_during_shutdown() -> None:
    """A close resets the connection if more bytes arrive, and so drops what the kernel has not sent yet."""
    large = bytes(100_000)

    def scenario(harness: NodeHarness) -> None:
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.connect(harness.node.listener.address)
        client.sendall(encode_request(1))
        silence_workers(harness)
        worker = harness.workers[0]
        worker.answer = lambda command: FakeWorker.default_answer(command) if command[0] != b"FN" else None
        harness.wait_until(worker.calls)
        shutdown = harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(750 * MILLISECOND_US)
        worker.streams[0].send_all(reply(worker.calls()[0][1], b"OK", b"-", large))
        harness.wait_until(lambda: only_client_connection(harness).is_idle)
        client.sendall(encode_request(2))  # arrives after the node has ended its sending side
        client.setblocking(False)
        received = b""

        def has_read_all() -> bool:
            nonlocal received
            with suppress(BlockingIOError, ConnectionResetError):
                received += client.recv(65536)
            return len(received) >= len(large)

        harness.wait_until(has_read_all, step=MILLISECOND_US)
        assert msgpack.unpackb(received) == [1, 1, None, [large, {}]]
        client.close()
        shutdown.join()

    run_scenario_with_timeout(scenario, workers=1)


def test_request_partly_received_when_draining_starts_is_rejected_once_complete() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        shutdown = harness.loop.spawn(harness.node.shut_down)
        message = encode_request(2)
        client.send_raw(message[:20])
        harness.loop.sleep(750 * MILLISECOND_US)
        client.send_raw(message[20:])
        assert client.next_answer() == [1, 2, OVERLOADED_ERROR, None]
        assert client.next_answer() is None
        client.stream.close()
        shutdown.join()

    run_scenario_with_timeout(scenario)


def test_request_in_the_backlog_is_answered_when_the_listener_closes() -> None:
    def scenario(harness: NodeHarness) -> None:
        warm_up_worker(harness, harness.client())
        harness.node._accepting.cancel()
        new_client = harness.client()
        new_client.send()
        shutdown = harness.loop.spawn(harness.node.shut_down)
        assert new_client.next_answer()[2] is None
        assert new_client.next_answer() is None
        shutdown.join()

    run_scenario(scenario)


def test_check_during_shutdown_reports_not_ready() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(10 * MILLISECOND_US)
        client.send_raw(msgpack.packb([0, 1, "check", [{}]]))
        assert client.next_answer() == [1, 1, None, [False, {}]]

    run_scenario(scenario)


def test_client_that_keeps_sending_requests_does_not_block_shutdown() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        shutdown = harness.loop.spawn(harness.node.shut_down)
        open_id = client.send(budget="1000")
        harness.loop.sleep(750 * MILLISECOND_US)
        rejected_id = client.send(budget="1000")
        assert client.next_answer() == [1, rejected_id, OVERLOADED_ERROR, None]
        assert client.next_answer()[1] == open_id
        assert client.next_answer() is None
        shutdown.join()

    run_scenario(scenario, workers=1)


@pytest.mark.parametrize(
    ("method", "answer"), [("valuation", OVERLOADED_ERROR), ("reservation", INTERNAL_ERROR)]
)
def test_open_requests_are_answered_before_sigkill(method: str, answer: Any) -> None:
    """SIGKILL follows 3.7 s after SIGTERM at the earliest, even if deadlines are longer than that."""
    profiles = [{**p, "HardLimit": 9_000_000} for p in CONFIG["settings"]["Profiles"]]

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        client.send(method=method, budget="9000")
        harness.wait_until(lambda: len(worker.calls()) == 2)
        signalled_us = harness.loop.now()
        shutdown = harness.loop.spawn(harness.node.shut_down)
        assert client.next_answer()[2] == answer
        assert harness.loop.now() - signalled_us < 3_700_000
        shutdown.join()

    run_scenario(scenario, workers=1, settings=settings(Profiles=profiles))


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_during_startup_is_handled(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, signal_number: signal.Signals
) -> None:
    config = tmp_path / "config.json"
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
    config.write_bytes(encode_config(known=known))
    monkeypatch.setenv("NODE_CONFIG", str(config))
    lines: list[str] = []

    def record_event(log: log_module.Log, event: str, fields: dict[str, object]) -> None:
        lines.append(event)
        if event == "config_file_reloaded":
            os.kill(os.getpid(), signal.SIGTERM)

    def send_signal_and_listen(*args: Any, **more: Any) -> Listener:
        os.kill(os.getpid(), signal_number)
        return Listener(*args, **more)

    monkeypatch.setattr(log_module.Log, "write", record_event)
    monkeypatch.setattr(node_module, "Listener", send_signal_and_listen)
    monkeypatch.setattr(node_module, "DRAIN_PERIOD_US", 1000)
    old_handlers = [signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGHUP)]
    try:
        assert run.main() == 0
    finally:
        for n, handler in zip((signal.SIGTERM, signal.SIGHUP), old_handlers, strict=True):
            signal.signal(n, handler)
    assert lines[-2:] == ["stopping", "stopped"]


def test_shutdown_waits_for_open_requests_and_then_refuses_connections() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        shutdown = harness.loop.spawn(harness.node.shut_down)
        # Clients connect for 0.4 s, and send requests on open and new connections for another 0.2 s.
        harness.loop.sleep(390_000)
        new_client = harness.client()
        harness.loop.sleep(260_000)
        for sender in (new_client, client, harness.client()):
            sender.send()
            assert sender.next_answer()[2] is None
        worker.answer = lambda command: None
        message_id = client.send(budget="1000")
        assert client.next_answer()[1] == message_id
        assert client.next_answer() is None
        shutdown.join()
        with pytest.raises(OSError):
            harness.client()

    run_scenario(scenario, workers=1)


def test_shutdown_answers_open_requests_while_accept_fails() -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        for worker in harness.workers:
            worker.answer = lambda command: None
        client.send(method="reservation")
        harness.wait_until(lambda: harness.node.clients.requests)
        shutdown = harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(DRAIN_PERIOD_US - MILLISECOND_US)
        faults.fail("accept", errno.EPERM, UNLIMITED, when=bound_to(harness.node.listener.address))
        harness.client()
        assert client.next_answer()[2] == INTERNAL_ERROR  # at its deadline
        client.stream.close()
        shutdown.join()
        assert harness.node.listener.closed

    run_scenario_with_faults(scenario)
