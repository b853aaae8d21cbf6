"""Golden files of the worker protocol: requests, responses, load reports in three formats, usage records.

Run this module as a program to write the files again. Do so only if the protocol is meant to change.
"""

from __future__ import annotations

import base64
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from walnutpost.http import Response
from walnutpost.testsupport.golden.frames import (
    Sender,
    differences_received,
    differences_sent,
    received_row,
    sent_row,
    write_rows,
)
from walnutpost.testsupport.metering.report_samples import REPORTS
from walnutpost.workerclient import InvalidUsageReportError, codec, orca

GOLDEN_FOLDER = Path(__file__).parent / "golden" / "frames"
REPORTS_FOLDER = Path(__file__).parents[2] / "metering" / "tests" / "golden"
SENT_FILE, RECEIVED_FILE = GOLDEN_FOLDER / "sent.jsonl", GOLDEN_FOLDER / "received.jsonl"
REPORT_FIELDS = ("busy", "memory_tied", "queue")
ORCA_FORMATS = ("text", "json", "binary")
REPORT = {
    "cpu_utilization": 0.875,
    "mem_utilization": 0.5,
    "application_utilization": 0.25,
    "rps_fractional": 12.5,
    "eps": 0.125,
    "queue": 3.0,
    "loads": 1.0,
    "warmth": 2.0,
    "crowd": 4.0,
}

USAGE_SLICE = {
    "worker": "w-1",
    "started": 5,
    "copy": 3,
    "hour": 3600,
    "function": "price",
    "memory_mb": 256,
    "heard": 9,
    "ended": True,
    "loading": 1,
    "unused": 2,
    "runs": {"north": 3, "": 4},
    "after": {"north": 5},
    "first": "north",
    "doubts": ["heard back"],
}


def encode_call_fields(*fields: Any) -> bytes:
    return codec.encode_call(codec.CallRequest(*fields))


def encode_report_header(report: dict[str, float], report_format: str) -> bytes:
    name, value = orca.encode_report(report, report_format)
    return f"{name}: {value}".encode()


def parse_recorded_response(data: bytes) -> Response:
    status, headers, body = json.loads(data)
    return Response(status, headers, base64.b64decode(body))


def decode_call(data: bytes) -> tuple[Any, ...]:
    result = codec.decode_call_response(parse_recorded_response(data), REPORT_FIELDS)
    return result.outcome, result.is_function_error, result.warmth, result.crowd, result.report


def decode_load(data: bytes) -> tuple[Any, ...]:
    result = codec.decode_load_response(parse_recorded_response(data))
    return result.outcome, result.copies


def decode_usage(data: bytes) -> Any:
    """Return the report re-encoded as JSON, byte for byte: records are stored and forwarded in this form."""
    try:
        report = codec.decode_usage_response(parse_recorded_response(data))
    except InvalidUsageReportError:
        return "unusable"
    return "absent" if report is None else msgspec.json.encode(report)


def decode_metrics(data: bytes) -> dict[str, float]:
    # Sorted, because the order of a protobuf map is undefined.
    return dict(sorted(orca.decode_report(json.loads(data)).items()))


SENDERS: dict[str, Sender] = {
    "call": encode_call_fields,
    "load": codec.encode_load_order,
    "unload": codec.encode_unload,
    "usage": codec.encode_usage_query,
    "ready": lambda: codec.READY_REQUEST,
    "report": encode_report_header,
}
RECEIVERS = {
    "call": decode_call,
    "load": decode_load,
    "usage": decode_usage,
    "report": decode_metrics,
}


def recorded_response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    return json.dumps([status, headers or {}, base64.b64encode(body).decode()]).encode()


def write_golden_files() -> None:
    sent: list[tuple[Any, ...]] = [
        ("call", "price", None, b'{"a":1}', "c-1", 0, 1_700_000_000_123_456),
        (
            "call",
            "a/b \N{LATIN SMALL LETTER E WITH ACUTE}",
            "north",
            b"",
            "c-2",
            3,
            1_700_000_000_999_999,
            "ex-1",
        ),
        ("load", "a/b", 2),
        ("load", "price", 0),
        ("unload", "a/b"),
        ("usage", 1_700_000_000, 17),
        ("ready",),
        ("call", "function/1", "tenant-2", b"payload\x00\xff", "call-4", 5, 6_007_008, "execution-7"),
        ("call", "function", None, b"", "call", 0, 1_000),
        ("load", "function/1", 2),
        ("load", "function", 0),
        ("unload", "function/1"),
        ("usage", 1_800_000_000_000_001, 2),
    ]
    rows = [sent_row(name, SENDERS, *arguments) for name, *arguments in sent]
    rows += [sent_row("report", SENDERS, REPORT, report_format) for report_format in ("text", "json")]
    rows += [
        sent_row("report", SENDERS, {"eps": 0.5, "queue": 2.0}, report_format)
        for report_format in ORCA_FORMATS
    ]
    write_rows(SENT_FILE, rows)
    # The entries of a protobuf map are encoded in any order. A report with one named metric has stable bytes.
    report_with_one_named_metric = {
        name: value for name, value in REPORT.items() if name not in ("loads", "warmth", "crowd")
    }
    report_headers = [
        dict([orca.encode_report(REPORT, "text")]),
        dict([orca.encode_report(REPORT, "json")]),
    ]
    report_headers += [dict([orca.encode_report(report_with_one_named_metric, "binary")])]
    error_types = (*codec.FULL_ERROR_TYPES, codec.MISS_ERROR_TYPE, codec.LOAD_FAILED_ERROR_TYPE, "")
    received = [("call", recorded_response(200, headers, b"1")) for headers in report_headers]
    received += [
        ("call", recorded_response(status, {codec.ERROR_TYPE_HEADER: error_type}))
        for status in (404, 503, 500)
        for error_type in error_types
    ]
    received += [
        ("call", recorded_response(200, {codec.FUNCTION_ERROR_HEADER: "Unhandled", **report_headers[0]}))
    ]
    warmth_values = ("0", "1", "2", "3", "4", "5", "-1", "x")
    received += [
        ("call", recorded_response(200, {orca.HEADER: f"TEXT named_metrics.warmth={warmth}"}))
        for warmth in warmth_values
    ]
    bodies = (b'{"copies":2}', b"{}", b"", b"[]", b"{", b'{"copies":"x"}', b'{"copies":-1}')
    received += [
        ("load", recorded_response(status, None, body)) for status in (200, 404, 503, 500) for body in bodies
    ]
    usage_report = {
        "worker": "w-1",
        "started": 5,
        "at": 9,
        "change": 7,
        "memory_mb": 512,
        "slices": [],
        "draining": True,
        "forgotten": 2,
        "forgotten_mb_us": 11,
    }
    received += [("usage", recorded_response(200, None, json.dumps(usage_report).encode()))]
    usage_report["slices"] = [USAGE_SLICE]
    received += [("usage", recorded_response(200, None, json.dumps(usage_report).encode()))]
    received += [
        ("usage", recorded_response(404)),
        ("usage", recorded_response(500)),
        ("usage", recorded_response(200, None, b"{")),
    ]
    header_samples = (
        *report_headers,
        {},
        {orca.HEADER: "cpu_utilization=0.5, queue=x, loads=inf"},
        {orca.HEADER: "JSON ["},
    )
    binary_header_samples = (
        {orca.BINARY_HEADER: "!"},
        {orca.HEADER: "BIN " + report_headers[2][orca.BINARY_HEADER]},
    )
    received += [
        ("report", json.dumps(headers).encode()) for headers in (*header_samples, *binary_header_samples)
    ]
    write_rows(RECEIVED_FILE, [received_row(name, RECEIVERS, data) for name, data in received])


@pytest.mark.parametrize("name", REPORTS)
def test_a_usage_report_of_an_earlier_release_is_decoded(name: str) -> None:
    body = (REPORTS_FOLDER / f"{name}.json").read_bytes()
    assert codec.decode_usage_response(Response(200, body=body)) == REPORTS[name]


def test_requests_are_encoded_as_recorded() -> None:
    assert differences_sent(SENT_FILE, SENDERS) == []


def test_responses_are_decoded_as_recorded() -> None:
    assert differences_received(RECEIVED_FILE, RECEIVERS) == []


if __name__ == "__main__":
    write_golden_files()
