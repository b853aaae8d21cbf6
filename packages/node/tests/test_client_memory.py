"""What a node holds for its clients stays within its part of the memory limit, however many there are."""

from __future__ import annotations

import pytest

from walnutpost.node.client_requests import REQUEST_OVERHEAD_BYTES
from walnutpost.node.clients import MIN_RECLAIM_AGE_US
from walnutpost.node.memory_budget import BYTES_PER_MB, MemoryBudget, MemoryShare, client_memory_bytes
from walnutpost.testsupport.node.client_fixtures import (
    LARGE_BODY,
    FullReceiveWindow,
    encode_request,
    only_client_connection,
    silence_workers,
)
from walnutpost.testsupport.node.harness import (
    MILLISECOND_US,
    OVERLOADED_ERROR,
    NodeHarness,
    run_scenario,
    settings,
    warm_up_worker,
)

SMALL_LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}
SMALL_BUDGET_BYTES = client_memory_bytes(32) // 2


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 192, 2048])
def test_clients_get_a_part_of_the_memory_limit(memory_mb: int) -> None:
    assert 2 * BYTES_PER_MB <= client_memory_bytes(memory_mb) < memory_mb * BYTES_PER_MB / 2


@pytest.mark.parametrize("greedy_count", [1, 10, 500])
def test_greedy_connections_leave_an_equal_share_to_another_one(greedy_count: int) -> None:
    limit_bytes, step_bytes = 1_000_000, 10
    budget = MemoryBudget(limit_bytes)
    shares = [MemoryShare(budget) for _ in range(greedy_count)]
    while any(share.may_grow(step_bytes) for share in shares):
        for share in shares:
            if share.may_grow(step_bytes):
                share.change(step_bytes)
    assert budget.free_bytes >= limit_bytes / (greedy_count + 1)
    assert MemoryShare(budget).may_grow(budget.free_bytes // 2)


def test_requests_beyond_the_memory_are_rejected_and_small_ones_of_others_accepted() -> None:
    def scenario(harness: NodeHarness) -> None:
        usual = harness.client()
        warm_up_worker(harness, usual)
        silence_workers(harness)
        greedy = [harness.client() for _ in range(40)]
        for position, client in enumerate(greedy, start=1):
            requests = (encode_request(n, LARGE_BODY, f"{position:08x}{n:08x}") for n in (1, 2, 3))
            client.send_raw(b"".join(requests))
        harness.loop.sleep(100 * MILLISECOND_US)
        clients = harness.node.clients
        assert clients.request_memory.used_bytes <= SMALL_BUDGET_BYTES
        assert clients.rejected_for_memory > 0
        open_before = len(clients.requests)
        assert open_before * (REQUEST_OVERHEAD_BYTES + len(LARGE_BODY)) == clients.request_memory.used_bytes
        usual.send()
        harness.wait_until(lambda: len(clients.requests) == open_before + 1)
        for client in greedy:
            client.stream.close()
        usual.stream.close()
        harness.wait_until(lambda: not clients.connections)
        assert clients.request_memory.used_bytes == clients.buffer_memory.used_bytes == 0

    run_scenario(scenario, limits=SMALL_LIMITS)


def test_no_more_requests_are_open_than_the_settings_allow() -> None:
    def scenario(harness: NodeHarness) -> None:
        client, other = harness.client(), harness.client()
        warm_up_worker(harness, client)
        silence_workers(harness)
        for _ in range(3):
            client.send()
        harness.wait_until(lambda: len(harness.node.clients.requests) == 3)
        message_id = other.send()
        assert other.next_answer() == [1, message_id, OVERLOADED_ERROR, None]

    run_scenario(scenario, settings=settings(PolicyLimits={"MaxOpen": 3}))


def test_oldest_incomplete_messages_are_discarded_if_they_fill_the_memory() -> None:
    def scenario(harness: NodeHarness) -> None:
        usual = harness.client()
        warm_up_worker(harness, usual)
        slow = []
        for _ in range(100):
            slow.append(harness.client())
            slow[-1].send_raw(encode_request(1, LARGE_BODY)[:-100])
            harness.loop.sleep(MIN_RECLAIM_AGE_US // 50)
        clients = harness.node.clients
        assert clients.buffer_memory.used_bytes <= SMALL_BUDGET_BYTES
        assert clients.reclaimed_connections > 0
        assert slow[0].next_answer() is None
        slow[-1].send_raw(encode_request(1, LARGE_BODY)[-100:])
        assert slow[-1].next_answer()[:3] == [1, 1, None]
        usual.send()
        assert usual.next_answer()[2] is None

    run_scenario(scenario, limits=SMALL_LIMITS)


def test_answers_that_a_client_does_not_read_make_room_for_other_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        idle = harness.client()
        warm_up_worker(harness, idle)
        connection = only_client_connection(harness)
        FullReceiveWindow(monkeypatch, connection)
        connection.write(bytes(SMALL_BUDGET_BYTES))
        harness.loop.sleep(2 * MIN_RECLAIM_AGE_US)
        partial = harness.client()
        partial.send_raw(encode_request(1, LARGE_BODY)[:-100])
        harness.wait_until(lambda: connection not in harness.node.clients.connections)
        partial.send_raw(encode_request(1, LARGE_BODY)[-100:])
        assert partial.next_answer()[:3] == [1, 1, None]

    run_scenario(scenario, limits=SMALL_LIMITS)
