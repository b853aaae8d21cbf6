"""A name server that answers late, out of order or not at all: when the node acts on a change of the list."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from functools import partial

import pytest

from walnutpost.interface import WorkerState
from walnutpost.node.directory import EndpointListError
from walnutpost.node.discovery import QUERY_INTERVAL_US
from walnutpost.node.open_queries import MAX_QUERIES, QUERY_TIMEOUT_US, OpenQueries
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    OVERLOADED_ERROR,
    SECOND_US,
    NodeHarness,
    encode_discovery_response,
    run_scenario,
    warm_up_worker,
)

LOGGER = logging.getLogger(__name__)
SOCKET_SLACK_US = 50 * MILLISECOND_US  # "every time limit is 50 ms longer" (PROTOCOL)
QUERY_BYTES = 512
NEW_SERIAL = 2


class SlowNameServer:
    """Answers each query after `delay_us()`, with the list as it is at that time; loses some answers.

    `first_sent_us` is when an answer with each serial was first sent and not lost.
    """

    def __init__(
        self, harness: NodeHarness, delay_us: Callable[[], int], is_lost: Callable[[], bool] = lambda: False
    ) -> None:
        self._harness = harness
        self._delay_us = delay_us
        self._is_lost = is_lost
        self.serial = 1
        self.first_sent_us: dict[int, int] = {}
        harness.loop.spawn(self._serve)

    def _serve(self) -> None:
        loop, sock = self._harness.loop, self._harness.name_server
        while sock.fileno() >= 0:
            loop.wait_readable(sock.fileno())
            try:
                query, address = sock.recvfrom(QUERY_BYTES)
            except BlockingIOError:
                continue
            loop.call_later(self._delay_us(), partial(self._answer, query, address))

    def _answer(self, query: bytes, address: tuple[str, int]) -> None:
        if self._harness.name_server.fileno() < 0 or self._is_lost():
            return
        self.first_sent_us.setdefault(self.serial, self._harness.loop.now())
        response = encode_discovery_response(query, self.serial, self._harness.workers)
        self._harness.name_server.sendto(response, address)


def constant(delay_ms: int) -> Callable[[], int]:
    return lambda: delay_ms * MILLISECOND_US


def jitter(low_ms: int, high_ms: int, seed: int = 7) -> Callable[[], int]:
    chance = random.Random(seed)
    return lambda: chance.randrange(low_ms, high_ms) * MILLISECOND_US


def half_lost(seed: int = 11) -> Callable[[], bool]:
    chance = random.Random(seed)
    return lambda: chance.random() < 0.5


@pytest.mark.parametrize("loses_half", [False, True])
@pytest.mark.parametrize(
    "delay_us",
    [
        pytest.param(constant(500), id="500ms"),
        pytest.param(constant(1000), id="1s"),
        pytest.param(constant(2000), id="2s"),
        pytest.param(constant(4000), id="4s"),
        pytest.param(jitter(500, 1500), id="500-1500ms"),
        pytest.param(jitter(100, 4000), id="100-4000ms"),
    ],
)
def test_change_in_a_late_answer_is_acted_on_when_the_answer_arrives(
    delay_us: Callable[[], int], loses_half: bool
) -> None:
    """Guards against review case 2: answers that took over 0.8 s were rejected, and the list stood still."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        (worker,) = harness.workers
        warm_up_worker(harness, client)
        name_server = SlowNameServer(harness, delay_us, half_lost() if loses_half else lambda: False)
        harness.loop.sleep(SECOND_US)
        worker.state = WorkerState.DRAINING
        name_server.serial = NEW_SERIAL
        harness.wait_until(lambda: harness.node.directory.serial == NEW_SERIAL, step=MILLISECOND_US * 5)
        applied_after_us = harness.loop.now() - name_server.first_sent_us[NEW_SERIAL]
        LOGGER.info("acted on %d ms after it was sent in an answer", applied_after_us // MILLISECOND_US)
        assert applied_after_us <= SOCKET_SLACK_US
        commands_before = len(worker.received_commands)
        client.send(budget="400")
        assert client.next_answer()[2] == OVERLOADED_ERROR
        assert len(worker.received_commands) == commands_before
        harness.loop.sleep(5 * SECOND_US)  # answers from before the change arrive behind it
        assert harness.node.directory.serial == NEW_SERIAL

    run_scenario(scenario, workers=1)


def test_late_answers_of_the_former_name_server_are_ignored() -> None:
    """The answers arrive at the socket that is still in use where no file descriptor is left for another."""

    def scenario(harness: NodeHarness) -> None:
        directory = harness.node.directory
        query = directory.new_query(9)
        response = encode_discovery_response(query, NEW_SERIAL, harness.workers)
        directory.forget_queries()
        assert not directory.may_use_id(9)
        with pytest.raises(EndpointListError, match="no open query"):
            directory.apply_response(response)
        assert directory.serial == 1

    run_scenario(scenario)


def test_query_is_answered_once_and_until_its_timeout() -> None:
    now_us = 0
    queries = OpenQueries(lambda: now_us)
    queries.add(1)
    queries.add(2)
    assert queries.is_open(1)
    queries.close(1)
    assert not queries.is_open(1)  # a duplicate response
    assert queries.is_recent(1)
    now_us = QUERY_TIMEOUT_US - 1
    assert queries.is_open(2)
    now_us = QUERY_TIMEOUT_US
    assert not queries.is_open(2)
    assert not queries.is_recent(2)


def test_queries_without_answers_take_bounded_memory() -> None:
    now_us = 0
    queries = OpenQueries(lambda: now_us)
    for number in range(10_000):
        id = number % (1 << 16)
        assert not queries.is_recent(id)
        queries.add(id)
        now_us += QUERY_INTERVAL_US
    assert len(queries) <= QUERY_TIMEOUT_US // QUERY_INTERVAL_US + 1
    for number in range(10_000):  # a name server whose address changes again and again
        queries.add(number)
        queries.close_all()
    assert len(queries) <= MAX_QUERIES


def test_id_of_a_recent_query_is_not_drawn_again(monkeypatch: pytest.MonkeyPatch) -> None:
    def scenario(harness: NodeHarness) -> None:
        discovery, directory = harness.node.discovery, harness.node.directory
        directory.new_query(21)
        drawn = [21, 21, 22]
        monkeypatch.setattr(discovery._random, "getrandbits", lambda bits: drawn.pop(0) if drawn else 23)
        directory.forget_queries()
        queries_before = discovery.queries
        harness.wait_until(lambda: discovery.queries > queries_before)
        assert not drawn
        assert directory._queries.is_open(22)
        assert not directory._queries.is_open(21)

    run_scenario(scenario)
