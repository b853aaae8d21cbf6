"""A new process at the address of a worker that has gone is not taken for the former one."""

from __future__ import annotations

import pytest

from walnutpost.testsupport.node.client_fixtures import run_scenario_with_timeout
from walnutpost.testsupport.node.harness import (
    INTERNAL_ERROR,
    MILLISECOND_US,
    FakeWorker,
    NodeHarness,
    reply,
    warm_up_worker,
)


def replace_process(worker: FakeWorker) -> None:
    """Let a new process take the worker's address: its connections are reset, and new ones are accepted."""
    streams, worker.streams[:] = list(worker.streams), []
    for stream in streams:
        stream.reset()


def test_unsafe_call_of_a_worker_that_has_gone_is_not_sent_to_its_successor() -> None:
    """The list doesn't tell yet that the worker has gone."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        message_id = client.send(method="reservation")
        harness.wait_until(lambda: len(worker.calls()) == 2)
        worker.answer = FakeWorker.default_answer
        replace_process(worker)
        assert client.next_answer() == [1, message_id, INTERNAL_ERROR, None]
        harness.loop.sleep(100 * MILLISECOND_US)
        assert len(worker.calls()) == 2

    run_scenario_with_timeout(scenario, workers=1)


@pytest.mark.parametrize("is_told_first", [True, False])
def test_answer_of_a_successor_does_not_belong_to_a_call_of_the_former_worker(is_told_first: bool) -> None:
    def scenario(harness: NodeHarness) -> None:
        client, node = harness.client(), harness.node
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        message_id = client.send(method="reservation")
        harness.wait_until(lambda: len(worker.calls()) == 2)
        call_id = worker.calls()[1][1]
        successor = {**worker.target, "uid": "s-new"}
        event = {"offset": 2, "topology": {"all": True, "targets": [successor]}}
        if is_told_first:
            node._apply_endpoints(node.directory.apply_known_events({"offset": 2, "batch": [event]}))
        replace_process(worker)
        if not is_told_first:
            node._apply_endpoints(node.directory.apply_known_events({"offset": 2, "batch": [event]}))
        assert client.next_answer() == [1, message_id, INTERNAL_ERROR, None]
        client.send()
        harness.wait_until(lambda: worker.streams)
        worker.streams[-1].send_all(reply(call_id, b"OK", b"-", b"of the former"))
        harness.loop.sleep(10 * MILLISECOND_US)
        assert not any(command[1] == call_id for command in worker.calls()[2:])
        assert node.dispatcher.answers.served == 1

    run_scenario_with_timeout(scenario, workers=1)
