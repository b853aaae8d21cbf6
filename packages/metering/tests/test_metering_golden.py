"""Workers' books as bytes, and the words that the ledger stores: workers and ledgers of before are read."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from golden_files import assert_as_golden, assert_every_field_tells, json_lines, with_defaults
from walnutpost.metering import HOUR, UNATTRIBUTED, Action, Book, Report, Rule, Slice, charge
from walnutpost.metering import ledger as words
from walnutpost.metering.reports import FIELDS, OPEN

GOLDEN = Path(__file__).parent / "golden"
START = 500_000 * HOUR  # microseconds since the epoch

# The one place that says which object a golden record is.
SLICE = Slice(
    worker="worker-1",
    started=START + 2,
    copy=3,
    hour=START,
    function="function-5",
    memory_mb=600,
    heard=START + 7,
    ended=True,
    loading=8,
    unused=9,
    runs={"tenant-10": 10, "": 11},
    after={"tenant-12": 12},
    first="tenant-13",
    doubts=frozenset({"a counter went down"}),
)
REPORT = Report(
    worker="worker-1",
    started=START + 2,
    at=START + 3,
    change=4,
    memory_mb=5000,
    slices=[SLICE, with_defaults(SLICE)],
    draining=True,
    forgotten=8,
    forgotten_mb_us=9,
)


def book_report(after: int = 0) -> Report:
    """Two copies over an hour's end, as a worker's own book counts them."""
    book = Book("worker-1", START + 5, 8192)
    book.begin(START + 10, 1, "price", 400)
    book.ready(START + 1000, 1)
    book.ran(START + 2000, 1, "tills")
    book.ran(START + 2500, 1, "trade")
    book.begin(START + 3000, 2, "reserve", 300)
    book.rested(START + 5000, 1, "tills")
    book.rested(START + 9000, 1, "trade")
    book.gone(START + HOUR + 700, 1)
    return book.report(START + HOUR + 900, after=after, draining=True)


REPORTS = {
    "report": REPORT,
    "report-defaults": with_defaults(REPORT),
    "report-of-a-book": book_report(),
    "report-of-a-book-after-a-change": book_report(after=2),
}
STORED_WORDS = {
    "causes": [
        words.CONTRADICTION,
        words.REFUSED,
        words.SILENT,
        words.FORGOTTEN,
        words.OVERFULL,
        words.ESTIMATED,
        words.TOO_LATE,
        words.DOWN,
    ],
    "rules": {rule.value: charge(SLICE, rule) for rule in Rule},
    "budget actions": [action.value for action in Action],
    "tenant that stands for nobody": UNATTRIBUTED,
    "fields of a report": FIELDS,
    "kind of what is not closed": OPEN,
}


def golden_files() -> dict[Path, bytes]:
    files = {GOLDEN / f"{name}.json": msgspec.json.encode(report) for name, report in REPORTS.items()}
    return {**files, GOLDEN / "stored-words.json": json_lines(STORED_WORDS)}


def test_reports_and_words_are_written_as_before() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", REPORTS)
def test_a_report_of_before_is_read(name: str) -> None:
    assert msgspec.json.decode((GOLDEN / f"{name}.json").read_bytes(), type=Report) == REPORTS[name]


def test_every_field_of_a_report_and_its_slices_is_told() -> None:
    assert_every_field_tells(REPORT)
    assert_every_field_tells(SLICE)
