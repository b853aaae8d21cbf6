"""Errors of queries for usage records."""

from __future__ import annotations

import pytest

from walnutpost.http import Response
from walnutpost.interface import Outcome
from walnutpost.testsupport.workerclient.harness import RespondingWorkerHarness
from walnutpost.workerclient import (
    InvalidUsageReportError,
    WorkerClientError,
    WorkerUnavailableError,
    codec,
)


def test_a_usage_query_to_a_worker_without_an_address_raises_an_error_with_worker_and_outcome() -> None:
    harness = RespondingWorkerHarness()

    def script() -> None:
        with pytest.raises(WorkerUnavailableError, match="connect_failed") as raised:
            harness.client.fetch_usage("nobody", 1, 0)
        assert (raised.value.worker, raised.value.outcome) == ("nobody", Outcome.CONNECT_FAILED)
        assert isinstance(raised.value, WorkerClientError)
        assert isinstance(raised.value, OSError)

    harness.run_script(script)


def test_a_usage_response_with_another_status_raises_an_error_with_found_and_wanted() -> None:
    with pytest.raises(InvalidUsageReportError) as raised:
        codec.decode_usage_response(Response(500))
    assert str(raised.value) == "found status 500, wanted 200"
    assert (raised.value.found, raised.value.wanted) == ("status 500", "200")
    assert isinstance(raised.value, WorkerClientError)
    assert isinstance(raised.value, ValueError)
