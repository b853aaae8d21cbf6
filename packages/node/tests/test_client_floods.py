"""A client that sends more than it may: what is read for it is bounded, and other clients get turns."""

from __future__ import annotations

import msgpack
import pytest

from walnutpost.node.client_input import MAX_PARSED_AT_ONCE, MAX_QUEUED_MESSAGES
from walnutpost.node.client_requests import MAX_MESSAGES_PER_TURN
from walnutpost.testsupport.node.client_fixtures import (
    encode_request,
    only_client_connection,
    record_submitted_calls,
    run_scenario_with_timeout,
    silence_workers,
    stall_process,
)
from walnutpost.testsupport.node.harness import MILLISECOND_US, NodeHarness, warm_up_worker


def encode_cancelled_request(message_id: int) -> bytes:
    return encode_request(message_id) + msgpack.packb([2, "interrupt", [message_id]])  # type: ignore[no-any-return]


def test_input_that_waits_behind_a_request_is_bounded_and_ends_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node must read ahead to learn of cancellations, but a flood has no end to reach."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        silence_workers(harness)
        connection, queued_counts = only_client_connection(harness), list[int]()

        def count_and_stall() -> None:
            queued_counts.append(len(connection._input.queue))
            stall_process(harness, 60 * MILLISECOND_US)

        submitted = record_submitted_calls(harness, monkeypatch, before_each=count_and_stall)
        flood = [encode_request(2), *(encode_cancelled_request(n) for n in range(3, 6_000))]
        sending = harness.loop.spawn(client.send_raw, b"".join(flood))
        answers = []
        while (answer := client.next_answer()) is not None:
            answers.append(answer)
        sending.cancel()
        assert max(queued_counts) < MAX_QUEUED_MESSAGES + MAX_PARSED_AT_ONCE
        assert len(submitted) == 1
        assert answers[0][:2] == [1, 2]
        assert len(answers) <= 2, "the cancellation of the last request may be unread"
        assert harness.node.clients.overflowed_connections == 1
        assert harness.node.dispatcher.open_calls == 0

    run_scenario_with_timeout(scenario)


def test_other_clients_are_served_between_the_turns_of_a_client_with_much_input() -> None:
    def scenario(harness: NodeHarness) -> None:
        usual, flooding = harness.client(), harness.client()
        warm_up_worker(harness, usual)
        harness.wait_until(lambda: len(harness.node.clients.connections) == 2)
        _, flooded = harness.node.clients.connections
        check_count = 20 * MAX_MESSAGES_PER_TURN
        checks = (msgpack.packb([0, number, "check", [{}]]) for number in range(1, check_count + 1))
        flooding.send_raw(b"".join(checks))
        usual.send()
        assert usual.next_answer()[2] is None
        assert flooded._input.has_unprocessed
        assert [flooding.next_answer()[1] for _ in range(check_count)] == list(range(1, check_count + 1))

    run_scenario_with_timeout(scenario)


def test_requests_that_waited_before_unreadable_bytes_are_answered() -> None:
    """The node reads no further than these bytes, so it can't look for the client's end behind them."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        client.send_raw(encode_request(2) + encode_request(3) + b"\xc1")
        stall_process(harness, 150 * MILLISECOND_US)
        assert sorted(client.next_answer()[1] for _ in range(2)) == [2, 3]
        assert client.next_answer() is None

    run_scenario_with_timeout(scenario)


@pytest.mark.parametrize(("stall_us", "reads_before"), [(0, 1), (150 * MILLISECOND_US, 2)])
def test_request_that_waited_is_processed_only_after_another_read(
    monkeypatch: pytest.MonkeyPatch, stall_us: int, reads_before: int
) -> None:
    """The end of the input may follow: it is held back at the client while the receive buffer is full."""

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        stream, read_sizes = only_client_connection(harness)._stream, list[int]()
        recv_nowait = stream.recv_nowait

        def recv_and_count(max_bytes: int) -> bytes | None:
            data = recv_nowait(max_bytes)
            read_sizes.append(len(data or b""))
            return data

        reads_at_submission = list[int]()
        record_submitted_calls(
            harness, monkeypatch, before_each=lambda: reads_at_submission.append(len(read_sizes))
        )
        monkeypatch.setattr(stream, "recv_nowait", recv_and_count)
        client.send_raw(encode_request(2))
        stall_process(harness, stall_us)
        assert client.next_answer()[2] is None
        assert reads_at_submission == [reads_before]

    run_scenario_with_timeout(scenario)
