"""Golden tests of encoded reports and stored values, so that earlier workers and ledgers stay readable."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from walnutpost.metering import (
    GROUP_FIELDS,
    UNATTRIBUTED,
    AllocationRule,
    BudgetAction,
    Cause,
    LineKind,
    UsageReport,
    allocate_slice,
)
from walnutpost.testsupport.golden.files import (
    assert_as_golden,
    assert_every_field_tells,
    json_lines,
)
from walnutpost.testsupport.metering.report_samples import REPORT, REPORTS, SLICE

GOLDEN = Path(__file__).parent / "golden"


STORED_VALUES = {
    "causes": [
        Cause.CONTRADICTION,
        Cause.REJECTED,
        Cause.SILENT,
        Cause.EVICTED,
        Cause.OVER_CAPACITY,
        Cause.ESTIMATED,
        Cause.TOO_LATE,
        Cause.FRONT_END_DOWN,
    ],
    "rules": {rule.value: allocate_slice(SLICE, rule) for rule in AllocationRule},
    "budget actions": [action.value for action in BudgetAction],
    "tenant that stands for nobody": UNATTRIBUTED,
    "fields of a report": GROUP_FIELDS,
    "kind of what is not closed": LineKind.OPEN,
}


def golden_files() -> dict[Path, bytes]:
    files = {GOLDEN / f"{name}.json": msgspec.json.encode(report) for name, report in REPORTS.items()}
    return {**files, GOLDEN / "stored-words.json": json_lines(STORED_VALUES)}


def test_reports_and_stored_values_match_the_golden_files() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", REPORTS)
def test_a_golden_report_is_decoded(name: str) -> None:
    assert msgspec.json.decode((GOLDEN / f"{name}.json").read_bytes(), type=UsageReport) == REPORTS[name]


def test_every_field_of_a_report_and_its_slices_is_in_the_golden_files() -> None:
    assert_every_field_tells(REPORT)
    assert_every_field_tells(SLICE)
