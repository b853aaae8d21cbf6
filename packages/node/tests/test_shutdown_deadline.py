"""SIGKILL at the longest deadline (3 s at the most) plus 0.7 s after SIGTERM, while clients go on sending.

On virtual time the moment of the kill is exact; with a whole process it is a real SIGKILL. What was sent in
the first 0.7 s has its answer by then, whether workers answer or not.
"""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from walnutpost.eventloop import Loop
from walnutpost.testsupport.node.harness import (
    CONFIG,
    MS,
    SECOND,
    Client,
    Worker,
    World,
    config_text,
    play,
    settings,
)

TAKEN_FOR = 700 * MS  # from SIGTERM: what comes until then is answered
KILL_COUNTS_AT_MOST = 3 * SECOND  # of the longest deadline
SEND_EVERY = 40 * MS  # so that no connection comes to its limit of open or rejected requests
CONNECTIONS = 6
START_TIMEOUT = 30 * SECOND
DEADLINES = [200 * MS, 500 * MS, 3 * SECOND, 9 * SECOND]
LISTENING = re.compile(r"listening role='node' address=\('127\.0\.0\.1', (\d+)\)")
STOPPING = re.compile(r"^stopping", re.MULTILINE)


def site(deadline: int) -> dict[str, Any]:
    """Both classes with that deadline."""
    profiles = CONFIG["settings"]["Profiles"]
    return settings(Profiles=[{**p, "HardLimit": deadline, "Aim": deadline // 2} for p in profiles])


def answers_every_other(command: list[bytes]) -> bytes | None:
    """A worker that answers half of its calls, and loads and questions at once."""
    if command[0] == b"FN" and int(command[3].split()[-1]) % 2:
        return None
    return Worker.good(command)


@dataclass(eq=False)
class Sender:
    """A client that asks on one connection at a steady pace until the node ends it, and notes the answers."""

    loop: Loop
    client: Client
    budget_ms: int
    closes: bool = True  # once the node has ended its side
    sent_at: dict[int, int] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    ended: bool = False

    def start(self) -> None:
        self.loop.spawn(self._send)
        self.loop.spawn(self._read)

    def _send(self) -> None:
        while not self.ended:
            method = ("valuation", "reservation")[len(self.sent_at) % 2]
            try:
                number = self.client.send(method=method, budget=str(self.budget_ms))
            except OSError:
                return
            self.sent_at[number] = self.loop.now()
            self.loop.sleep(SEND_EVERY)

    def _read(self) -> None:
        while (answer := self.client.next()) is not None:
            self.answered.add(answer[1])
        self.ended = True
        if self.closes:
            self.client.stream.close()

    def unanswered(self, until: int) -> list[int]:
        """Requests sent until then that have no answer."""
        return [n for n, at in self.sent_at.items() if at <= until and n not in self.answered]


def send_on(loop: Loop, address: tuple[str, int], deadline: int, closes: bool = True) -> Sender:
    sender = Sender(loop, Client(loop, address), deadline // MS, closes)
    sender.start()
    return sender


@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("deadline", DEADLINES)
def test_requests_received_in_time_are_answered_when_the_kill_may_come(deadline: int, closes: bool) -> None:
    def scenario(harness: World) -> None:
        for worker in harness.workers:
            worker.answer = answers_every_other
        address = harness.node.listener.address
        senders = [send_on(harness.loop, address, deadline, closes) for _ in range(CONNECTIONS)]
        harness.until(lambda: all(sender.answered for sender in senders))
        signalled_at = harness.loop.now()
        ending = harness.loop.spawn(harness.node.shut_down)
        harness.loop.sleep(395 * MS)
        senders.append(send_on(harness.loop, address, deadline, closes))  # the last new connection
        killed_at = signalled_at + TAKEN_FOR + min(deadline, KILL_COUNTS_AT_MOST)
        harness.loop.sleep(killed_at - harness.loop.now())
        assert [sender.unanswered(signalled_at + TAKEN_FOR) for sender in senders] == [[]] * len(senders)
        assert ending.is_done, "the process would still run"
        went_on = signalled_at + TAKEN_FOR - SEND_EVERY
        assert all(max(sender.sent_at.values()) >= went_on for sender in senders)

    play(scenario, settings=site(deadline))


class Process:
    """A node's process beside workers of the test's own loop."""

    def __init__(self, loop: Loop, folder: Path, workers: list[Worker], deadline: int) -> None:
        self._loop = loop
        self._said = folder / "node.log"
        topology = {"all": True, "rev": 0, "targets": [worker.target for worker in workers]}
        known = {"offset": 1, "batch": [{"offset": 1, "topology": topology}]}
        config = folder / "node.json"
        config.write_bytes(config_text(known=known, settings=site(deadline)))
        with self._said.open("wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "walnutpost.node"],
                env={**os.environ, "NODE_CONFIG": str(config)},
                stdout=out,
                stderr=out,
            )

    def until_it_says(self, wanted: re.Pattern[str]) -> re.Match[str]:
        with self._loop.timeout(START_TIMEOUT):
            while (found := wanted.search(self._said.read_text())) is None:
                assert self.process.poll() is None, self._said.read_text()
                self._loop.sleep(2 * MS)
        return found

    def until_it_ends(self) -> int:
        while (code := self.process.poll()) is None:
            self._loop.sleep(2 * MS)
        return code


@pytest.mark.parametrize("deadline", DEADLINES[:3])
def test_process_ends_before_the_kill_with_every_request_answered(tmp_path: Path, deadline: int) -> None:
    """The kill is real, and comes no earlier than it may: counted from when the process has heard SIGTERM."""
    errors: list[BaseException] = []
    loop = Loop(on_error=lambda name, error: errors.append(error))
    running: list[Process] = []
    senders: list[Sender] = []
    codes: list[int] = []
    last: list[int] = []

    def whole() -> None:
        workers = [Worker(loop, f"s-{n}") for n in range(2)]
        for worker in workers:
            worker.answer = answers_every_other
        node = Process(loop, tmp_path, workers, deadline)
        running.append(node)
        address = ("127.0.0.1", int(node.until_it_says(LISTENING)[1]))
        senders.extend(send_on(loop, address, deadline) for _ in range(CONNECTIONS))
        with loop.timeout(START_TIMEOUT):
            while not all(sender.answered for sender in senders):
                loop.sleep(SEND_EVERY)
        last.append(loop.now() + TAKEN_FOR)  # before the signal: what came by then came in time
        node.process.send_signal(signal.SIGTERM)
        node.until_it_says(STOPPING)
        kill_after = TAKEN_FOR + min(deadline, KILL_COUNTS_AT_MOST)
        loop.call_later(kill_after, node.process.kill)
        codes.append(node.until_it_ends())
        with loop.timeout(START_TIMEOUT):
            while not all(sender.ended for sender in senders):
                loop.sleep(SEND_EVERY)

    try:
        loop.run(whole)
    finally:
        for node in running:
            node.process.kill()
            node.process.wait()
    assert not errors, errors
    assert [sender.unanswered(last[0]) for sender in senders] == [[]] * len(senders)
    assert codes == [0], "it was killed"
