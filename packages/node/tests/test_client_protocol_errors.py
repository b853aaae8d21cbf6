"""Clients that break the protocol, and unexpected errors: what each costs, and what is still answered."""

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
from walnutpost.testsupport.node.harness import FAILED, MS, REFUSED, SECOND, World, play, reply, warm


def test_unexpected_error_in_taking_a_request_fails_that_request_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        warm(harness, client)
        failing = [ZeroDivisionError()]

        def fails() -> None:
            if failing:
                raise failing.pop()

        record_submitted_calls(harness, monkeypatch, before_each=fails)
        client.raw(encode_request(2) + encode_request(3))
        answers = sorted([client.next(), client.next()], key=lambda answer: int(answer[1]))
        assert answers[0] == [1, 2, FAILED, None]
        assert answers[1][1:3] == [3, None]
        assert not harness.node.clients.requests.request_ids
        assert not only_client_connection(harness).open

    with pytest.raises(ZeroDivisionError):  # told by the loop
        run_scenario_with_timeout(scenario)


def test_unexpected_error_in_reading_leaves_open_requests_their_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        silence_workers(harness)
        number = client.send()
        harness.until(lambda: len(worker.calls()) == 2)
        monkeypatch.setattr(only_client_connection(harness)._input._parser, "feed", lambda data: 1 / 0)
        client.send()
        harness.loop.sleep(10 * MS)
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"late"))
        assert client.next() == [1, number, None, [b"late", {}]]
        assert client.next() is None

    with pytest.raises(ZeroDivisionError):
        run_scenario_with_timeout(scenario, workers=1)


def test_messages_behind_one_that_ends_the_reading_get_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        warm(harness, client)
        silence_workers(harness)
        client.raw(
            encode_request(2)
            + encode_request(2)
            + encode_request(3)
            + msgpack.packb([2, "interrupt", [4]])
            + encode_request(4)
        )
        answers = []
        while (answer := client.next()) is not None:
            answers.append(answer)
        assert [answer[2][0] for answer in answers if answer[1] == 3] == ["Internal"]
        assert 4 not in [answer[1] for answer in answers]

    run_scenario_with_timeout(scenario)


@pytest.mark.parametrize("where", ["end", "sweep", "evict"])
def test_error_on_one_connection_costs_the_others_nothing(
    monkeypatch: pytest.MonkeyPatch, where: str
) -> None:
    def scenario(harness: World) -> None:
        clients = harness.node.clients
        broken, healthy = harness.client(), harness.client()
        harness.until(lambda: len(clients.connections) == 2)
        first, second = clients.connections
        monkeypatch.setattr(first, "_read" if where != "sweep" else "check_timeouts", lambda *_: 1 / 0)
        if where == "end":
            ending = harness.loop.spawn(harness.node.shut_down)
            harness.loop.sleep(690 * MS)
            healthy.send()
            assert healthy.next()[2] is None
            assert healthy.next() is None
            broken.stream.close()
            ending.join()
        elif where == "sweep":
            healthy.raw(b"\x94")
            harness.until(lambda: second not in clients.connections)
        else:
            monkeypatch.setattr(clients, "_max_connections", 2)
            first._stream.on_readable(None)
            broken.raw(encode_request(1))  # unread when room is made
            late = harness.client()
            late.send()
            assert late.next()[2] is None
        assert harness.node._accepting.is_done == (where == "end")

    with pytest.raises(ZeroDivisionError):
        run_scenario_with_timeout(scenario)


def test_second_request_under_an_open_id_fails_the_first_and_gets_no_answer() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        silence_workers(harness)
        good, twice = client.send(), client.send()
        harness.until(lambda: len(worker.calls()) == 3)
        client.raw(encode_request(twice, b"second"))
        harness.loop.sleep(10 * MS)
        for command in worker.calls()[1:]:
            for stream in worker.streams:
                with suppress(OSError):
                    stream.send_all(reply(command[1], b"OK", b"-", command[3]))
        answers = [client.next() for _ in range(2)]
        assert [(number, error and error[0]) for _, number, error, _ in answers] == [
            (twice, "Internal"),
            (good, None),
        ]
        assert client.next() is None
        assert len(worker.calls()) == 3

    run_scenario_with_timeout(scenario, workers=1)


def test_requests_before_unreadable_bytes_are_answered_and_then_the_connection_ends() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        worker.answer = lambda command: None
        number = client.send()
        harness.until(lambda: len(worker.calls()) == 2)
        client.raw(b"\xc1" * 1000)
        harness.loop.sleep(50 * MS)
        client.raw(bytes(256 << 10))  # comes still, and is thrown away: most of it after the answer has left
        worker.streams[0].send_all(reply(worker.calls()[1][1], b"OK", b"-", b"late"))
        assert client.next() == [1, number, None, [b"late", {}]]
        assert client.next() is None
        client.stream.close()
        harness.until(lambda: not harness.node.clients.connections)

    play(scenario, workers=1)


def test_two_requests_under_one_id_get_one_error_and_take_no_answer_away() -> None:
    def scenario(harness: World) -> None:
        client = harness.client()
        worker = warm(harness, client)
        worker.answer = lambda command: None
        good, twice = client.send(), client.send()
        harness.until(lambda: len(worker.calls()) == 3)
        client.raw(msgpack.packb([0, twice, "valuation", [{}, b""]]))
        harness.loop.sleep(10 * MS)
        for command in worker.calls()[1:]:
            for stream in worker.streams:
                with suppress(OSError):  # that of the call given up has ended
                    stream.send_all(reply(command[1], b"OK", b"-", command[3]))
        error, answer = client.next(), client.next()
        assert (error[1], error[2][0], answer[1]) == (twice, FAILED[0], good)
        assert client.next() is None

    play(scenario, workers=1)


def test_listener_error_on_one_connection_costs_none_after_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        errors = [OSError(errno.EPROTO, "cut off"), OSError(errno.ENOMEM, "no memory")]
        accept = harness.node.listener.accept
        monkeypatch.setattr(
            harness.node.listener,
            "accept",
            lambda: (_ for _ in ()).throw(errors.pop()) if errors else accept(),
        )
        client = harness.client()
        harness.until(lambda: not errors)
        client.send()
        assert client.next()[2] is None

    play(scenario)


def test_unexpected_error_on_a_connection_costs_that_connection_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def scenario(harness: World) -> None:
        first, second = harness.client(), harness.client()
        harness.until(lambda: len(harness.node.clients.connections) == 2)
        connection = next(iter(harness.node.clients.connections))
        monkeypatch.setattr(connection._requests, "_take", lambda message: 1 / 0)
        first.send()
        assert first.next() is None
        second.send()
        assert second.next()[2] is None

    with pytest.raises(ZeroDivisionError):  # told by the loop
        play(scenario)


def test_client_that_breaks_the_protocol_gets_an_error_or_a_close() -> None:
    def scenario(harness: World) -> None:
        silent, half, crowd = harness.client(), harness.client(), harness.client()
        half.raw(b"\x94\x00")
        for worker in harness.workers:
            worker.answer = lambda command: None
        for _ in range(MAX_OPEN_REQUESTS + 1):
            crowd.send()
        assert crowd.next() == [1, MAX_OPEN_REQUESTS + 1, REFUSED, None]
        twice = harness.client()
        twice.send(rid="00000000000000aa")
        again = harness.client()
        again.send(rid="00000000000000aa")
        assert again.next()[2][0] == "Internal"
        twice.raw(msgpack.packb([0, 1, "valuation", [{}, b""]]))  # a second request under one number
        answer = twice.next()
        assert (answer[1], answer[2][0]) == (1, FAILED[0])
        assert twice.next() is None
        began = harness.loop.now()
        assert silent.next() is None
        assert half.next() is None
        assert harness.loop.now() - began < MESSAGE_TIMEOUT_US + SECOND

    play(scenario)


def test_connection_whose_ids_start_above_the_first_gets_an_error_at_once() -> None:
    """Somebody else's request, copied with its ids: workers answer errors, and nothing else came of it
    until its deadline, later than a bad client is owed a word."""

    def scenario(harness: World) -> None:
        client = harness.client()
        client._number = 995
        assert client.send() == 996
        kind, number, error, _ = client.next()
        assert (kind, number) == (1, 996)
        assert error[1]["reason"].startswith("message id")
        assert not any(worker.calls() for worker in harness.workers)
        assert client.send() == 997 and client.next()[:3] == [1, 997, None], "ids go up from there"
        checked = harness.client()
        checked._number = 8
        checked.raw(msgpack.packb([0, 8, "check", [{}]]))
        assert checked.next()[1:] == [8, None, [True, {}]]
        assert checked.send() == 9 and checked.next()[:3] == [1, 9, None], "a check has an id, too"

    play(scenario)
