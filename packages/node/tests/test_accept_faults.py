"""Errors of `accept` on a node's client listener."""

from __future__ import annotations

import errno

import pytest

from walnutpost.eventloop.accept_errors import MAX_CONSECUTIVE_ACCEPT_ERRORS
from walnutpost.testsupport.eventloop.scripted_sockets import SocketFaults, bound_to
from walnutpost.testsupport.node.fault_injection import errno_params, run_scenario_with_faults
from walnutpost.testsupport.node.harness import MILLISECOND_US, NodeHarness, warm_up_worker


@pytest.mark.parametrize(
    "error_number",
    errno_params(
        [errno.ECONNABORTED, errno.EHOSTUNREACH, errno.EINTR, errno.ENETDOWN, errno.EPERM, errno.EPROTO]
    ),
)
def test_occasional_accept_errors_do_not_delay_clients(error_number: int) -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        warm_up_worker(harness, harness.client())
        started_us = harness.loop.now()
        faults.fail(
            "accept",
            error_number,
            MAX_CONSECUTIVE_ACCEPT_ERRORS - 1,
            when=bound_to(harness.node.listener.address),
        )
        for n in range(10):
            faults.fail("accept", error_number, after=n, when=bound_to(harness.node.listener.address))
            client = harness.client()
            client.send()
            assert client.next_answer()[2] is None
            client.stream.close()
        assert harness.node.listener.accept_errors >= MAX_CONSECUTIVE_ACCEPT_ERRORS
        assert harness.loop.now() - started_us < 10 * MILLISECOND_US  # the listener did not back off
        assert any(line.startswith("accept_failed") for line in harness.log.lines)

    run_scenario_with_faults(scenario)


def test_client_dropped_by_a_failed_accept_is_served_after_reconnecting() -> None:
    def scenario(harness: NodeHarness, faults: SocketFaults) -> None:
        faults.fail("accept", errno.EPERM, when=bound_to(harness.node.listener.address), drops=True)
        client = harness.client()
        assert client.next_answer() is None
        client = harness.client()
        client.send()
        assert client.next_answer()[2] is None

    run_scenario_with_faults(scenario)
