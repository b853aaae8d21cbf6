"""Shutdown by signal: what was received is answered, nothing new is accepted, the process ends."""

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
from walnutpost.testsupport.eventloop.scripted_sockets import FOREVER, SocketFaults, at
from walnutpost.testsupport.node.client_fixtures import (
    encode_request,
    only_client_connection,
    run_scenario_with_timeout,
    silence_workers,
)
from walnutpost.testsupport.node.fault_injection import play_with_faults
from walnutpost.testsupport.node.harness import (
    CONFIG,
    FAILED,
    MS,
    REFUSED,
    Worker,
    World,
    config_text,
    play,
    reply,
    settings,
    warm,
)


def test_shutdown_takes_no_answer_from_a_slow_client_that_still_sends() -> None:
    """A close resets the connection when more comes, and drops what the kernel has not sent by then."""
    large = bytes(100_000)

    def scenario(harness: World) -> None:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(harness.node.listener.address)
        caller.sendall(encode_request(1))
        silence_workers(harness)
        worker = harness.workers[0]
        worker.answer = lambda command: Worker.good(command) if command[0] != b"FN" else None
        harness.until(worker.calls)
        ending = harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(750 * MS)
        worker.streams[0].send_all(reply(worker.calls()[0][1], b"OK", b"-", large))
        harness.until(lambda: only_client_connection(harness).is_idle)
        caller.sendall(encode_request(2))  # crosses the end of the connection
        caller.setblocking(False)
        got = b""

        def fetched() -> bool:
            nonlocal got
            with suppress(BlockingIOError, ConnectionResetError):
                got += caller.recv(65536)
            return len(got) >= len(large)

        harness.until(fetched, step=MS)
        assert msgpack.unpackb(got) == [1, 1, None, [large, {}]]
        caller.close()
        ending.join()

    run_scenario_with_timeout(scenario, workers=1)


def test_request_partly_received_at_shutdown_is_answered_once_complete() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        warm(harness, client)
        ending = harness.loop.spawn(harness.node.shut_down)
        whole = encode_request(2)
        client.raw(whole[:20])
        harness.loop.sleep(750 * MS)
        client.raw(whole[20:])
        assert client.next() == [1, 2, REFUSED, None]
        assert client.next() is None
        client.stream.close()
        ending.join()

    run_scenario_with_timeout(scenario)


def test_request_in_the_backlog_when_the_listener_closes_gets_its_answer() -> None:
    def scenario(harness: World) -> None:
        warm(harness, harness.client())
        harness.node._accepting.cancel()
        late = harness.client()
        late.send()
        ending = harness.loop.spawn(harness.node.shut_down)
        assert late.next()[2] is None
        assert late.next() is None
        ending.join()

    play(scenario)


def test_check_after_the_signal_says_not_ready() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(10 * MS)
        client.raw(msgpack.packb([0, 1, "check", [{}]]))
        assert client.next() == [1, 1, None, [False, {}]]

    play(scenario)


def test_client_that_always_has_a_request_open_does_not_keep_the_process() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        worker.answer = lambda command: None
        ending = harness.loop.spawn(harness.node.shut_down)
        open_one = client.send(budget="1000")
        harness.loop.sleep(750 * MS)
        late = client.send(budget="1000")
        assert client.next() == [1, late, REFUSED, None]
        assert client.next()[1] == open_one
        assert client.next() is None
        ending.join()

    play(scenario, workers=1)


@pytest.mark.parametrize(("method", "answer"), [("valuation", REFUSED), ("reservation", FAILED)])
def test_open_requests_get_their_answers_before_the_process_may_be_killed(method: str, answer: Any) -> None:
    """SIGKILL comes as early as 3.7 s after SIGTERM, where deadlines are longer than that."""
    profiles = [{**p, "HardLimit": 9_000_000} for p in CONFIG["settings"]["Profiles"]]

    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        worker.answer = lambda command: None
        client.send(method=method, budget="9000")
        harness.until(lambda: len(worker.calls()) == 2)
        at = harness.loop.now()
        ending = harness.loop.spawn(harness.node.shut_down)
        assert client.next()[2] == answer
        assert harness.loop.now() - at < 3_700_000
        ending.join()

    play(scenario, workers=1, settings=settings(Profiles=profiles))


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_while_the_node_is_being_made_is_handled(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, number: signal.Signals
) -> None:
    config = tmp_path / "config.json"
    known = {"offset": 1, "batch": [{"offset": 1, "topology": {"all": True, "targets": []}}]}
    config.write_bytes(config_text(known=known))
    monkeypatch.setenv("NODE_CONFIG", str(config))
    lines: list[str] = []

    def note(log: log_module.Log, event: str, fields: dict[str, object]) -> None:
        lines.append(event)
        if event == "config_file_reloaded":
            os.kill(os.getpid(), signal.SIGTERM)

    def listen(*args: Any, **more: Any) -> Listener:
        os.kill(os.getpid(), number)
        return Listener(*args, **more)

    monkeypatch.setattr(log_module.Log, "write", note)
    monkeypatch.setattr(node_module, "Listener", listen)
    monkeypatch.setattr(node_module, "DRAIN_PERIOD_US", 1000)
    before = [signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGHUP)]
    try:
        assert run.main() == 0
    finally:
        for n, handler in zip((signal.SIGTERM, signal.SIGHUP), before, strict=True):
            signal.signal(n, handler)
    assert lines[-2:] == ["stopping", "stopped"]


def test_shutdown_waits_for_open_requests_and_accepts_nothing_after() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        ending = harness.loop.spawn(harness.node.shut_down)
        # For 0.4 s connections come, for 0.2 s more requests do, on those that are open and on new ones.
        harness.loop.sleep(390_000)
        late = harness.client()
        harness.loop.sleep(260_000)
        for each in (late, client, harness.client()):
            each.send()
            assert each.next()[2] is None
        worker.answer = lambda command: None
        number = client.send(budget="1000")
        assert client.next()[1] == number
        assert client.next() is None
        ending.join()
        with pytest.raises(OSError):
            harness.client()

    play(scenario, workers=1)


def test_shutdown_while_accept_fails_accepts_what_it_can_and_answers_open_requests() -> None:
    def scenario(harness: World, faults: SocketFaults) -> None:
        client = harness.client()
        warm(harness, client)
        for worker in harness.workers:
            worker.answer = lambda command: None
        client.send(method="reservation")
        harness.until(lambda: harness.node.clients.requests)
        ending = harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(DRAIN_PERIOD_US - MS)
        faults.fail("accept", errno.EPERM, FOREVER, when=at(harness.node.listener.address))
        harness.client()
        assert client.next()[2] == FAILED  # its deadline, as ever
        client.stream.close()
        ending.join()
        assert harness.node.listener.closed

    play_with_faults(scenario)
