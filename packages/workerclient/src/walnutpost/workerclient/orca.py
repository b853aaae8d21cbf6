"""Load reports in response headers, as ORCA (Open Request Cost Aggregation) defines them.

`endpoint-load-metrics` holds "TEXT k=v, k=v" or "JSON {...}"; `endpoint-load-metrics-bin` is the base64
of the protobuf message xds.data.orca.v3.OrcaLoadReport. Text and JSON name a map's entry
`named_metrics.key`.
"""

from __future__ import annotations

import base64
import binascii
import json
import math
from collections.abc import Mapping
from enum import StrEnum

HEADER = "endpoint-load-metrics"
BINARY_HEADER = "endpoint-load-metrics-bin"
NAMED_METRICS = "named_metrics"
SCALAR_METRICS = ("cpu_utilization", "mem_utilization", "application_utilization", "rps_fractional", "eps")
"""Fields of the message with a meaning of their own; all others are named metrics."""
MAX_METRICS = 64
"""Metrics read of one report; what a worker sends beyond is not worth its parsing."""
BASE64_GROUP = 4

LoadReport = dict[str, float]
"""Metrics by name; a named metric has its own name, without a prefix."""


class ReportForm(StrEnum):
    """The forms of a report in a header."""

    TEXT = "text"
    JSON = "json"
    BINARY = "binary"


def decode_report(headers: Mapping[str, str]) -> LoadReport:
    """Return the report's metrics.

    What can't be read is omitted: a worker's broken report must not cost the answer that it came with.
    """
    text = headers.get(HEADER)
    if text is None:
        packed = headers.get(BINARY_HEADER)
        return _decode_binary(packed) if packed is not None else {}
    form, _, content = text.strip().partition(" ")
    if form == "JSON":
        return _decode_json(content)
    if form == "BIN":
        return _decode_binary(content)
    return _decode_text(content if form == "TEXT" else text)


def encode_report(report: Mapping[str, float], form: str = ReportForm.TEXT) -> tuple[str, str]:
    """Return the name and the value of the header; `form` is one of ReportForm."""
    scalars = {name: value for name, value in report.items() if name in SCALAR_METRICS}
    named = {name: value for name, value in report.items() if name not in SCALAR_METRICS}
    if form == ReportForm.BINARY:
        return BINARY_HEADER, _encode_binary(scalars, named)
    if form == ReportForm.JSON:
        return HEADER, "JSON " + json.dumps({**scalars, NAMED_METRICS: named})
    pairs = [f"{name}={value:g}" for name, value in scalars.items()]
    pairs += [f"{NAMED_METRICS}.{name}={value:g}" for name, value in named.items()]
    return HEADER, "TEXT " + ", ".join(pairs)


def _decode_text(text: str) -> LoadReport:
    report: LoadReport = {}
    for pair in text.split(",")[:MAX_METRICS]:
        name, separator, value = pair.partition("=")
        if separator:
            _add_metric(report, name.strip(), value)
    return report


def _decode_json(text: str) -> LoadReport:
    report: LoadReport = {}
    try:
        decoded = json.loads(text)
    except (ValueError, RecursionError):
        return report
    if not isinstance(decoded, dict):
        return report
    for name, value in list(decoded.items())[:MAX_METRICS]:
        if isinstance(value, dict) and name == NAMED_METRICS:
            for inner_name, inner_value in list(value.items())[:MAX_METRICS]:
                _add_metric(report, inner_name, inner_value)
        elif not isinstance(value, bool):
            _add_metric(report, name, value)
    return report


def _decode_binary(text: str) -> LoadReport:
    # Imported here: few workers use this form, and the modules are large.
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    message = OrcaLoadReport()
    padding = "=" * (-len(text) % BASE64_GROUP)
    try:
        message.ParseFromString(base64.b64decode(text + padding, validate=True))
    except (binascii.Error, DecodeError, ValueError):
        return {}
    report: LoadReport = {}
    for name in SCALAR_METRICS:
        _add_metric(report, name, getattr(message, name))
    for name, value in list(message.named_metrics.items())[:MAX_METRICS]:
        _add_metric(report, name, value)
    return report


def _encode_binary(scalars: Mapping[str, float], named: Mapping[str, float]) -> str:
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    packed = OrcaLoadReport(named_metrics=named, **scalars).SerializeToString()
    return base64.b64encode(packed).decode()


def _add_metric(report: LoadReport, name: str, value: object) -> None:
    """Add a metric, unless it is no finite number or has no name."""
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        return
    name = name.removeprefix(NAMED_METRICS + ".")
    if name and math.isfinite(number):
        report[name] = number
