"""What a front end asks of workers, byte by byte, and how their books of usage are read."""

from __future__ import annotations

from pathlib import Path

import pytest

from golden_files import assert_as_golden
from test_metering_golden import REPORTS
from walnutpost.http import Response
from walnutpost.workerclient import codec

GOLDEN = Path(__file__).parent / "golden"
BOOKS = Path(__file__).parents[2] / "metering" / "tests" / "golden"

# The one place that says what a golden request is made of.
REQUESTS: dict[str, bytes] = {
    "call": codec.call("function/1", "tenant-2", b"payload\x00\xff", "call-4", 5, 6_007_008, "execution-7"),
    "call-without-tenant": codec.call("function", None, b"", "call", 0, 1_000),
    "load": codec.load("function/1", 2),
    "load-none": codec.load("function", 0),
    "unload": codec.unload("function/1"),
    "usage": codec.usage(1_800_000_000_000_001, 2),
    "ready": codec.READY,
}


def golden_files() -> dict[Path, bytes]:
    return {GOLDEN / f"{name}.request": data for name, data in REQUESTS.items()}


def test_requests_to_workers_are_the_same_bytes_as_before() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", REPORTS)
def test_a_worker_s_book_of_before_is_read(name: str) -> None:
    body = (BOOKS / f"{name}.json").read_bytes()
    assert codec.read_usage(Response(200, body=body)) == REPORTS[name]
