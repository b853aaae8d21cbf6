"""Load reports in response headers."""

from __future__ import annotations

import pytest

from walnutpost.workerclient import codec, orca

REPORT = {"cpu_utilization": 0.25, "mem_utilization": 0.5, "queue": 3.0}


@pytest.mark.parametrize("report_format", ["text", "json", "binary"])
def test_a_decoded_report_equals_the_encoded_report(report_format: str) -> None:
    name, value = orca.encode_report(REPORT, report_format)
    decoded = orca.decode_report({name: value})
    assert {metric: decoded[metric] for metric in REPORT} == REPORT
    assert codec.select_fields(decoded, ("busy", "memory_tied", "queue")) == (0.25, 0.5, 3.0)
    assert codec.select_fields(decoded, ("busy", "loads")) == ()


@pytest.mark.parametrize(
    "value",
    [
        "",
        "TEXT",
        "TEXT =,=1,a",
        "JSON {",
        "JSON [1]",
        "JSON " + "[" * 100_000,
        "BIN !",
        "TEXT a=nan, b=inf",
        "x",
    ],
)
def test_a_malformed_report_has_no_metrics(value: str) -> None:
    assert orca.decode_report({orca.HEADER: value}) == {}
    assert orca.decode_report({orca.BINARY_HEADER: value.encode().hex()}).get("a") is None
