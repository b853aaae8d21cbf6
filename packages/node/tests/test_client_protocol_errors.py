"""Protocol violations by clients and unexpected errors: what fails and what is still answered."""

from __future__ import annotations

import errno
from contextlib import suppress

import msgpack
import pytest

from walnutpost.node.client_connection import MESSAGE_TIMEOUT_US
from walnutpost.node.client_context import MAX_OPEN_REQUESTS
from walnutpost.testsupport.node.client_fixtures import (
    encode_request,
    only_client_connection,
    record_submitted_calls,
    run_scenario_with_timeout,
    silence_workers,
)
from walnutpost.testsupport.node.harness import (
    INTERNAL_ERROR,
    MILLISECOND_US,
    OVERLOADED_ERROR,
    SECOND_US,
    NodeHarness,
    reply,
    run_scenario,
    warm_up_worker,
)


def test_unexpected_error_while_processing_a_request_fails_only_that_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        errors = [ZeroDivisionError()]

        def raise_once() -> None:
            if errors:
                raise errors.pop()

        record_submitted_calls(harness, monkeypatch, before_each=raise_once)
        client.send_raw(encode_request(2) + encode_request(3))
        answers = sorted([client.next_answer(), client.next_answer()], key=lambda answer: int(answer[1]))
        assert answers[0] == [1, 2, INTERNAL_ERROR, None]
        assert answers[1][1:3] == [3, None]
        assert not harness.node.clients.requests.request_ids
        assert not only_client_connection(harness).open

    with pytest.raises(ZeroDivisionError):  # reported by the event loop
        run_scenario_with_timeout(scenario)


def test_open_requests_are_answered_after_an_unexpected_read_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        message_id = client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        monkeypatch.setattr(only_client_connection(harness)._input._parser, "feed", lambda data: 1 / 0)
        client.send()
        harness.loop.sleep(10 * MILLISECOND_US)
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"late"))
        assert client.next_answer() == [1, message_id, None, [b"late", {}]]
        assert client.next_answer() is None

    with pytest.raises(ZeroDivisionError):
        run_scenario_with_timeout(scenario, workers=1)


def test_requests_received_after_a_reused_id_get_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        warm_up_worker(harness, client)
        silence_workers(harness)
        client.send_raw(
            encode_request(2)
            + encode_request(2)
            + encode_request(3)
            + msgpack.packb([2, "interrupt", [4]])
            + encode_request(4)
        )
        answers = []
        while (answer := client.next_answer()) is not None:
            answers.append(answer)
        assert [answer[2][0] for answer in answers if answer[1] == 3] == ["Internal"]
        assert 4 not in [answer[1] for answer in answers]

    run_scenario_with_timeout(scenario)


@pytest.mark.parametrize("stage", ["end", "sweep", "evict"])
def test_error_on_one_connection_does_not_affect_others(monkeypatch: pytest.MonkeyPatch, stage: str) -> None:
    def scenario(harness: NodeHarness) -> None:
        clients = harness.node.clients
        broken, healthy = harness.client(), harness.client()
        harness.wait_until(lambda: len(clients.connections) == 2)
        first, second = clients.connections
        monkeypatch.setattr(first, "_read" if stage != "sweep" else "check_timeouts", lambda *_: 1 / 0)
        if stage == "end":
            shutdown = harness.loop.spawn(harness.node.shut_down)
            harness.loop.sleep(690 * MILLISECOND_US)
            healthy.send()
            assert healthy.next_answer()[2] is None
            assert healthy.next_answer() is None
            broken.stream.close()
            shutdown.join()
        elif stage == "sweep":
            healthy.send_raw(b"\x94")
            harness.wait_until(lambda: second not in clients.connections)
        else:
            monkeypatch.setattr(clients, "_max_connections", 2)
            first._stream.on_readable(None)
            broken.send_raw(encode_request(1))  # still unread when the node evicts a connection
            new_client = harness.client()
            new_client.send()
            assert new_client.next_answer()[2] is None
        assert harness.node._accepting.is_done == (stage == "end")

    with pytest.raises(ZeroDivisionError):
        run_scenario_with_timeout(scenario)


def test_reused_id_fails_the_open_request_and_the_second_gets_no_answer() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        silence_workers(harness)
        other_id, reused_id = client.send(), client.send()
        harness.wait_until(lambda: len(worker.calls()) == 3)
        client.send_raw(encode_request(reused_id, b"second"))
        harness.loop.sleep(10 * MILLISECOND_US)
        for command in worker.calls()[1:]:
            for stream in worker.streams:
                with suppress(OSError):
                    stream.send_all(reply(command[1], b"OK", b"-", command[3]))
        answers = [client.next_answer() for _ in range(2)]
        assert [(message_id, error and error[0]) for _, message_id, error, _ in answers] == [
            (reused_id, "Internal"),
            (other_id, None),
        ]
        assert client.next_answer() is None
        assert len(worker.calls()) == 3

    run_scenario_with_timeout(scenario, workers=1)


def test_malformed_input_closes_the_connection_after_open_requests_are_answered() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        message_id = client.send()
        harness.wait_until(lambda: len(worker.calls()) == 2)
        client.send_raw(b"\xc1" * 1000)
        harness.loop.sleep(50 * MILLISECOND_US)
        client.send_raw(bytes(256 << 10))  # received and discarded, mostly after the answer was sent
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"late"))
        assert client.next_answer() == [1, message_id, None, [b"late", {}]]
        assert client.next_answer() is None
        client.stream.close()
        harness.wait_until(lambda: not harness.node.clients.connections)

    run_scenario(scenario, workers=1)


def test_invalid_request_with_an_open_id_fails_only_the_request_with_that_id() -> None:
    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        worker = warm_up_worker(harness, client)
        worker.answer = lambda command: None
        other_id, reused_id = client.send(), client.send()
        harness.wait_until(lambda: len(worker.calls()) == 3)
        client.send_raw(msgpack.packb([0, reused_id, "valuation", [{}, b""]]))
        harness.loop.sleep(10 * MILLISECOND_US)
        for command in worker.calls()[1:]:
            for stream in worker.streams:
                with suppress(OSError):  # the connection of the cancelled call is closed
                    stream.send_all(reply(command[1], b"OK", b"-", command[3]))
        error, answer = client.next_answer(), client.next_answer()
        assert (error[1], error[2][0], answer[1]) == (reused_id, INTERNAL_ERROR[0], other_id)
        assert client.next_answer() is None

    run_scenario(scenario, workers=1)


def test_accept_errors_do_not_affect_later_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        errors = [OSError(errno.EPROTO, "cut off"), OSError(errno.ENOMEM, "no memory")]
        accept = harness.node.listener.accept
        monkeypatch.setattr(
            harness.node.listener,
            "accept",
            lambda: (_ for _ in ()).throw(errors.pop()) if errors else accept(),
        )
        client = harness.client()
        harness.wait_until(lambda: not errors)
        client.send()
        assert client.next_answer()[2] is None

    run_scenario(scenario)


def test_unexpected_error_on_a_connection_closes_only_that_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: NodeHarness) -> None:
        first, second = harness.client(), harness.client()
        harness.wait_until(lambda: len(harness.node.clients.connections) == 2)
        connection = next(iter(harness.node.clients.connections))
        monkeypatch.setattr(connection._requests, "_handle_guarded", lambda message: 1 / 0)
        first.send()
        assert first.next_answer() is None
        second.send()
        assert second.next_answer()[2] is None

    with pytest.raises(ZeroDivisionError):  # reported by the event loop
        run_scenario(scenario)


def test_client_that_violates_the_protocol_gets_an_error_or_is_disconnected() -> None:
    def scenario(harness: NodeHarness) -> None:
        silent, partial, overloading = harness.client(), harness.client(), harness.client()
        partial.send_raw(b"\x94\x00")
        for worker in harness.workers:
            worker.answer = lambda command: None
        for _ in range(MAX_OPEN_REQUESTS + 1):
            overloading.send()
        assert overloading.next_answer() == [1, MAX_OPEN_REQUESTS + 1, OVERLOADED_ERROR, None]
        reusing = harness.client()
        reusing.send(rid="00000000000000aa")
        other = harness.client()
        other.send(rid="00000000000000aa")
        assert other.next_answer()[2][0] == "Internal"
        # A second request with the same message id.
        reusing.send_raw(msgpack.packb([0, 1, "valuation", [{}, b""]]))
        answer = reusing.next_answer()
        assert (answer[1], answer[2][0]) == (1, INTERNAL_ERROR[0])
        assert reusing.next_answer() is None
        started_us = harness.loop.now()
        assert silent.next_answer() is None
        assert partial.next_answer() is None
        assert harness.loop.now() - started_us < MESSAGE_TIMEOUT_US + SECOND_US

    run_scenario(scenario)


def test_first_request_with_an_id_above_one_gets_an_error_at_once() -> None:
    """A first id above 1 means that the request was copied from another connection.

    Workers answer such a request with errors, so without this check its client waits until the deadline.
    """

    def scenario(harness: NodeHarness) -> None:
        client = harness.client()
        client._number = 995
        assert client.send() == 996
        kind, message_id, error, _ = client.next_answer()
        assert (kind, message_id) == (1, 996)
        assert error[1]["reason"].startswith("message id")
        assert not any(worker.calls() for worker in harness.workers)
        assert client.send() == 997 and client.next_answer()[:3] == [1, 997, None], "later ids are accepted"
        checked = harness.client()
        checked._number = 8
        checked.send_raw(msgpack.packb([0, 8, "check", [{}]]))
        assert checked.next_answer()[1:] == [8, None, [True, {}]]
        assert checked.send() == 9 and checked.next_answer()[:3] == [1, 9, None], (
            "the id of a check counts, too"
        )

    run_scenario(scenario)
