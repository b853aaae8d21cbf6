"""Periodic statistics events in the log, which operators and on-call pages read."""

from __future__ import annotations

from walnutpost.node.stats import STATS_INTERVAL_US
from walnutpost.testsupport.node.harness import SECOND_US, FakeWorker, NodeHarness, run_scenario

NODE_STATS_FIELDS = (
    "served",
    "rejected",
    "failed",
    "cancelled",
    "open_requests",
    "client_connections",
    "worker_connections",
    "connections_opened",
    "load_orders",
    "copy_queries",
    "discovery_queries",
    "malformed_responses",
    "invalid_requests",
    "malformed_connections",
    "evicted_connections",
    "discovery_responses_rejected",
    "cpu_seconds",
)


def lines_of_event(harness: NodeHarness, event: str) -> list[str]:
    return [line for line in harness.log.lines if line.startswith(f"{event} ")]


def test_node_stats_event_contains_every_counter() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        client.send()
        assert client.next_answer()[2] is None
        client.send_raw(b"\xc1")  # not a message of the protocol
        harness.loop.sleep(STATS_INTERVAL_US)
        line = lines_of_event(harness, "node_stats")[0]
        assert [f"'{name}'" in line for name in NODE_STATS_FIELDS] == [True] * len(NODE_STATS_FIELDS)
        assert "'served': 1," in line
        assert "'malformed_connections': 1," in line

    run_scenario(scenario, workers=1)


def test_attempt_stats_event_covers_only_the_last_interval() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        client.send()
        assert client.next_answer()[2] is None
        harness.loop.sleep(STATS_INTERVAL_US)
        assert "s-0:ok:1" in lines_of_event(harness, "attempt_stats")[0]
        harness.loop.sleep(STATS_INTERVAL_US + SECOND_US)
        assert "s-0:" not in lines_of_event(harness, "attempt_stats")[1]

    run_scenario(scenario, workers=1, make_worker=FakeWorker)
