"""Calls through a node on loopback sockets."""

from __future__ import annotations

from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults
from walnutpost.testsupport.node.fault_injection import run_scenario_with_faults
from walnutpost.testsupport.node.harness import INTERNAL_ERROR, NodeHarness, run_scenario, warm_up_worker


def test_call_passes_through_unchanged() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        message_id = client.send(rid="9b1f03aa5c7e2d41", attrs="memory_mb:512;lanes:2")
        assert client.next_answer() == [1, message_id, None, [b"did body 1", {}]]
        (call,) = [command for worker in harness.workers for command in worker.calls()]
        assert call[1] == b"9b1f03aa5c7e2d41"
        assert call[3] == b"body 1"
        assert call[2].startswith(b"queue=valuation,path=7f3a9c21e0b4d655,budget=")

    run_scenario(scenario)


def test_unanswered_request_fails_within_its_budget() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        sent_at = harness.loop.now()
        client.send(method="reservation", budget="300")
        assert client.next_answer()[2] == INTERNAL_ERROR
        assert harness.loop.now() - sent_at <= 300_000

    run_scenario(scenario, workers=1)


def test_calls_succeed_when_sockets_transfer_one_byte_at_a_time() -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        faults.shorten("recv", 1)
        faults.shorten("send", 1)
        client = harness.client()
        for _ in range(2):
            message_id = client.send()
            assert client.next_answer()[:3] == [1, message_id, None]

    run_scenario_with_faults(scenario)
