"""An id that comes again after its request has run, or may have run, does not run a second time."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from walnutpost.node.recent_ids import MAX_IDS, TTL_US, RecentIds
from walnutpost.testsupport.node.client_fixtures import (
    encode_request,
    received_calls,
    run_scenario_with_timeout,
    silence_workers,
)
from walnutpost.testsupport.node.harness import (
    CLIENT_DEPARTURES,
    MILLISECOND_US,
    Client,
    NodeHarness,
    warm_up_worker,
)

REQUEST_ID = "00000000000000aa"


@pytest.mark.parametrize("leave", CLIENT_DEPARTURES)
def test_id_that_comes_again_after_its_client_has_left_is_not_run_again(
    leave: Callable[[Client], None],
) -> None:
    def scenario(harness: NodeHarness) -> None:
        warm_up_worker(harness, harness.client())
        silence_workers(harness)
        first = harness.client()
        first.send(rid=REQUEST_ID)
        harness.wait_until(lambda: len(received_calls(harness)) == 2)
        leave(first)
        harness.loop.sleep(10 * MILLISECOND_US)
        second = harness.client()
        second.send_raw(encode_request(1, rid=REQUEST_ID))
        assert second.next_answer()[2][0] == "Internal"
        harness.loop.sleep(100 * MILLISECOND_US)
        assert len(received_calls(harness)) == 2
        assert harness.node.clients.repeated_ids == 1

    run_scenario_with_timeout(scenario)


def test_id_of_a_request_that_was_never_attempted_may_come_again() -> None:
    """A client sends a request again that crossed the end of its connection."""

    def scenario(harness: NodeHarness) -> None:
        usual = harness.client()
        warm_up_worker(harness, usual)
        first = harness.client()
        harness.wait_until(lambda: len(harness.node.clients.connections) == 2)
        first.send_raw(encode_request(1, rid=REQUEST_ID))
        first.stream.close()
        second = harness.client()
        second.send_raw(encode_request(1, rid=REQUEST_ID))
        assert second.next_answer()[2] is None

    run_scenario_with_timeout(scenario)


def test_ids_are_forgotten_after_their_time_or_when_there_are_too_many() -> None:
    ids = RecentIds()
    for number in range(MAX_IDS + 2):
        ids.add(number, b"%016x" % number)
    assert not ids.contains(MAX_IDS, b"%016x" % 1)
    assert ids.contains(MAX_IDS, b"%016x" % 2)
    assert not ids.contains(2 + TTL_US, b"%016x" % 2)
    assert ids.contains(2 + TTL_US, b"%016x" % 3)
