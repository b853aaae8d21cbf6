"""The worker protocol over HTTP: requests, responses, load reports in their three forms, usage records.

Run as a program, it writes the files again, which is right only for a wire that is meant to change.
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

GOLDEN = Path(__file__).parent / "golden" / "frames"
REPORTS_FOLDER = Path(__file__).parents[2] / "metering" / "tests" / "golden"
SENT, RECEIVED = GOLDEN / "sent.jsonl", GOLDEN / "received.jsonl"
FIELDS = ("busy", "memory_tied", "queue")
ORCA_FORMS = ("text", "json", "binary")
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

SLICE = {
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


def call(*fields: Any) -> bytes:
    return codec.encode_call(codec.CallRequest(*fields))


def load_report(figures: dict[str, float], form: str) -> bytes:
    name, value = orca.encode_report(figures, form)
    return f"{name}: {value}".encode()


def response_of(data: bytes) -> Response:
    status, headers, body = json.loads(data)
    return Response(status, headers, base64.b64decode(body))


def call_result(data: bytes) -> tuple[Any, ...]:
    found = codec.decode_call_response(response_of(data), FIELDS)
    return found.outcome, found.is_function_error, found.warmth, found.crowd, found.report


def load_result(data: bytes) -> tuple[Any, ...]:
    found = codec.decode_load_response(response_of(data))
    return found.outcome, found.copies


def usage_report(data: bytes) -> Any:
    """As its own JSON, to the byte: the records are stored and forwarded in that form."""
    try:
        report = codec.decode_usage_response(response_of(data))
    except InvalidUsageReportError:
        return "unusable"
    return "absent" if report is None else msgspec.json.encode(report)


def metrics(data: bytes) -> dict[str, float]:
    return dict(sorted(orca.decode_report(json.loads(data)).items()))  # a protobuf map has no order


SENDERS: dict[str, Sender] = {
    "call": call,
    "load": codec.encode_load_order,
    "unload": codec.encode_unload,
    "usage": codec.encode_usage_query,
    "ready": lambda: codec.READY_REQUEST,
    "report": load_report,
}
RECEIVERS = {
    "call": call_result,
    "load": load_result,
    "usage": usage_report,
    "report": metrics,
}


def response(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    return json.dumps([status, headers or {}, base64.b64encode(body).decode()]).encode()


def make() -> None:
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
    rows += [sent_row("report", SENDERS, REPORT, form) for form in ("text", "json")]
    rows += [sent_row("report", SENDERS, {"eps": 0.5, "queue": 2.0}, form) for form in ORCA_FORMS]
    write_rows(SENT, rows)
    # A protobuf map leaves in any order: one named figure keeps these bytes the same at each making.
    one_named = {name: figure for name, figure in REPORT.items() if name not in ("loads", "warmth", "crowd")}
    headers_of_reports = [
        dict([orca.encode_report(REPORT, "text")]),
        dict([orca.encode_report(REPORT, "json")]),
    ]
    headers_of_reports += [dict([orca.encode_report(one_named, "binary")])]
    errors = (*codec.FULL_ERROR_TYPES, codec.MISS_ERROR_TYPE, codec.LOAD_FAILED_ERROR_TYPE, "")
    received = [("call", response(200, headers, b"1")) for headers in headers_of_reports]
    received += [
        ("call", response(status, {codec.ERROR_TYPE_HEADER: one}))
        for status in (404, 503, 500)
        for one in errors
    ]
    received += [("call", response(200, {codec.FUNCTION_ERROR_HEADER: "Unhandled", **headers_of_reports[0]}))]
    warmths = ("0", "1", "2", "3", "4", "5", "-1", "x")
    received += [
        ("call", response(200, {orca.HEADER: f"TEXT named_metrics.warmth={one}"})) for one in warmths
    ]
    bodies = (b'{"copies":2}', b"{}", b"", b"[]", b"{", b'{"copies":"x"}', b'{"copies":-1}')
    received += [("load", response(status, None, body)) for status in (200, 404, 503, 500) for body in bodies]
    usage = {
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
    received += [("usage", response(200, None, json.dumps(usage).encode()))]
    usage["slices"] = [SLICE]
    received += [("usage", response(200, None, json.dumps(usage).encode()))]
    received += [("usage", response(404)), ("usage", response(500)), ("usage", response(200, None, b"{"))]
    lines = (
        *headers_of_reports,
        {},
        {orca.HEADER: "cpu_utilization=0.5, queue=x, loads=inf"},
        {orca.HEADER: "JSON ["},
    )
    broken = ({orca.BINARY_HEADER: "!"}, {orca.HEADER: "BIN " + headers_of_reports[2][orca.BINARY_HEADER]})
    received += [("report", json.dumps(headers).encode()) for headers in (*lines, *broken)]
    write_rows(RECEIVED, [received_row(name, RECEIVERS, data) for name, data in received])


@pytest.mark.parametrize("name", REPORTS)
def test_a_usage_report_of_a_former_release_is_decoded(name: str) -> None:
    body = (REPORTS_FOLDER / f"{name}.json").read_bytes()
    assert codec.decode_usage_response(Response(200, body=body)) == REPORTS[name]


def test_requests_are_encoded_as_recorded() -> None:
    assert differences_sent(SENT, SENDERS) == []


def test_responses_are_decoded_as_recorded() -> None:
    assert differences_received(RECEIVED, RECEIVERS) == []


if __name__ == "__main__":
    make()
