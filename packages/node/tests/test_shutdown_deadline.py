"""Shutdown while clients keep sending and SIGKILL follows at its earliest time.

That is 0.7 s plus the longest deadline, but at most 3.7 s, after SIGTERM. Requests sent in the first 0.7 s
must be answered by then, whether workers answer or not. On virtual time the moment of the kill is exact; with
a separate process it is a real SIGKILL.
"""

from __future__ import annotations

import re
import signal
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from walnutpost.eventloop import Loop
from walnutpost.testsupport.node.harness import (
    CONFIG,
    MILLISECOND_US,
    SECOND_US,
    Client,
    FakeWorker,
    NodeHarness,
    run_scenario,
    settings,
)
from walnutpost.testsupport.node.node_process import NodeProcess, known_workers

ACCEPT_PERIOD_US = 700 * MILLISECOND_US  # from SIGTERM: requests received until then are answered
MAX_COUNTED_DEADLINE_US = 3 * SECOND_US  # longer deadlines do not delay SIGKILL any further
SEND_INTERVAL_US = 40 * MILLISECOND_US  # keeps each connection below its limits of open and rejected requests
CONNECTION_COUNT = 6
START_TIMEOUT_US = 30 * SECOND_US
DEADLINES_US = [200 * MILLISECOND_US, 500 * MILLISECOND_US, 3 * SECOND_US, 9 * SECOND_US]
STOPPING = re.compile(r"^stopping", re.MULTILINE)


def settings_with_deadline(deadline_us: int) -> dict[str, Any]:
    """Return the settings with this deadline for both classes."""
    profiles = CONFIG["settings"]["Profiles"]
    return settings(Profiles=[{**p, "HardLimit": deadline_us, "Aim": deadline_us // 2} for p in profiles])


def answer_every_second_call(command: list[bytes]) -> bytes | None:
    """Answer every second call of a client, and all other commands."""
    if command[0] == b"FN" and int(command[3].split()[-1]) % 2:
        return None
    return FakeWorker.default_answer(command)


@dataclass(eq=False)
class Sender:
    """A client that sends requests at a fixed interval and records which were answered.

    It stops when the node ends the connection.
    """

    loop: Loop
    client: Client
    budget_ms: int
    closes: bool = True  # whether the client closes its side after the node has
    sent_at_us: dict[int, int] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    ended: bool = False

    def start(self) -> None:
        self.loop.spawn(self._send)
        self.loop.spawn(self._read)

    def _send(self) -> None:
        while not self.ended:
            method = ("valuation", "reservation")[len(self.sent_at_us) % 2]
            try:
                message_id = self.client.send(method=method, budget=str(self.budget_ms))
            except OSError:
                return
            self.sent_at_us[message_id] = self.loop.now()
            self.loop.sleep(SEND_INTERVAL_US)

    def _read(self) -> None:
        while (answer := self.client.next_answer()) is not None:
            self.answered.add(answer[1])
        self.ended = True
        if self.closes:
            self.client.stream.close()

    def unanswered(self, until_us: int) -> list[int]:
        """Return the ids of requests sent up to `until_us` that have no answer."""
        return [n for n, at in self.sent_at_us.items() if at <= until_us and n not in self.answered]


def start_sender(loop: Loop, address: tuple[str, int], deadline_us: int, closes: bool = True) -> Sender:
    sender = Sender(loop, Client(loop, address), deadline_us // MILLISECOND_US, closes)
    sender.start()
    return sender


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("deadline_us", DEADLINES_US)
def test_accepted_requests_are_answered_before_the_earliest_sigkill(deadline_us: int, closes: bool) -> None:
    def scenario(harness: NodeHarness) -> None:
        for worker in harness.workers:
            worker.answer = answer_every_second_call
        address = harness.node.listener.address
        senders = [start_sender(harness.loop, address, deadline_us, closes) for _ in range(CONNECTION_COUNT)]
        harness.wait_until(lambda: all(sender.answered for sender in senders))
        signalled_us = harness.loop.now()
        shutdown = harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(395 * MILLISECOND_US)
        # Connects shortly before the node stops accepting connections.
        senders.append(start_sender(harness.loop, address, deadline_us, closes))
        kill_at_us = signalled_us + ACCEPT_PERIOD_US + min(deadline_us, MAX_COUNTED_DEADLINE_US)
        harness.loop.sleep(kill_at_us - harness.loop.now())
        assert [sender.unanswered(signalled_us + ACCEPT_PERIOD_US) for sender in senders] == [[]] * len(
            senders
        )
        assert shutdown.is_done, "the shutdown has not finished"
        last_send_us = signalled_us + ACCEPT_PERIOD_US - SEND_INTERVAL_US
        assert all(max(sender.sent_at_us.values()) >= last_send_us for sender in senders)

    run_scenario(scenario, settings=settings_with_deadline(deadline_us))


@pytest.mark.parametrize("deadline_us", DEADLINES_US[:3])
def test_process_answers_accepted_requests_and_exits_before_sigkill(tmp_path: Path, deadline_us: int) -> None:
    """SIGKILL follows at its earliest time, counted from when the process has logged SIGTERM."""
    errors: list[BaseException] = []
    loop = Loop(on_error=lambda name, error: errors.append(error))
    processes: list[NodeProcess] = []
    senders: list[Sender] = []
    exit_codes: list[int] = []
    accepted_until_us: list[int] = []

    def run_process() -> None:
        workers = [FakeWorker(loop, f"s-{n}") for n in range(2)]
        for worker in workers:
            worker.answer = answer_every_second_call
        known = known_workers([worker.target for worker in workers])
        node = NodeProcess(loop, tmp_path, known=known, settings=settings_with_deadline(deadline_us))
        processes.append(node)
        node.start()
        senders.extend(start_sender(loop, node.address, deadline_us) for _ in range(CONNECTION_COUNT))
        with loop.timeout(START_TIMEOUT_US):
            while not all(sender.answered for sender in senders):
                loop.sleep(SEND_INTERVAL_US)
        accepted_until_us.append(loop.now() + ACCEPT_PERIOD_US)  # taken before the signal, so never too late
        node.process.send_signal(signal.SIGTERM)
        node.wait_for_log_line(STOPPING)
        kill_after_us = ACCEPT_PERIOD_US + min(deadline_us, MAX_COUNTED_DEADLINE_US)
        loop.call_later(kill_after_us, node.process.kill)
        exit_codes.append(node.wait_for_exit())
        with loop.timeout(START_TIMEOUT_US):
            while not all(sender.ended for sender in senders):
                loop.sleep(SEND_INTERVAL_US)

    try:
        loop.run(run_process)
    finally:
        for node in processes:
            node.kill()
    assert not errors, errors
    assert [sender.unanswered(accepted_until_us[0]) for sender in senders] == [[]] * len(senders)
    assert exit_codes == [0], "the process was killed"
