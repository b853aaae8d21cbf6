"""Load reports in response headers, as ORCA (Open Request Cost Aggregation) defines them.

`endpoint-load-metrics` contains "TEXT k=v, k=v", "JSON {...}" or "BIN ...". `endpoint-load-metrics-bin`
contains what follows "BIN": the base64 of the protobuf message xds.data.orca.v3.OrcaLoadReport. Text and JSON
write a named metric as `named_metrics.key`; JSON may also have an object `named_metrics`.
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
"""Metrics that are fields of the message; all others are entries of its map `named_metrics`."""
MAX_METRICS = 64
"""Limit on the entries read from a report and from its named metrics; more are not worth parsing."""
BASE64_GROUP_CHARS = 4

LoadReport = dict[str, float]
"""Metrics by name; a named metric has its name without the prefix `named_metrics.`."""


class ReportFormat(StrEnum):
    """The encodings of a report in a header."""

    TEXT = "text"
    JSON = "json"
    BINARY = "binary"


def decode_report(headers: Mapping[str, str]) -> LoadReport:
    """Return the metrics of the load report in the headers.

    Malformed metrics are omitted: an invalid report must not discard the response that carries it.
    """
    text = headers.get(HEADER)
    if text is None:
        encoded = headers.get(BINARY_HEADER)
        return _decode_binary(encoded) if encoded is not None else {}
    report_format, _, content = text.strip().partition(" ")
    if report_format == "JSON":
        return _decode_json(content)
    if report_format == "BIN":
        return _decode_binary(content)
    return _decode_text(content if report_format == "TEXT" else text)


def encode_report(report: Mapping[str, float], report_format: str = ReportFormat.TEXT) -> tuple[str, str]:
    """Return the name and value of the header; `report_format` is a value of ReportFormat."""
    scalar_metrics = {name: value for name, value in report.items() if name in SCALAR_METRICS}
    named_metrics = {name: value for name, value in report.items() if name not in SCALAR_METRICS}
    if report_format == ReportFormat.BINARY:
        return BINARY_HEADER, _encode_binary(scalar_metrics, named_metrics)
    if report_format == ReportFormat.JSON:
        return HEADER, "JSON " + json.dumps({**scalar_metrics, NAMED_METRICS: named_metrics})
    pairs = [f"{name}={value:g}" for name, value in scalar_metrics.items()]
    pairs += [f"{NAMED_METRICS}.{name}={value:g}" for name, value in named_metrics.items()]
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
            for metric_name, metric_value in list(value.items())[:MAX_METRICS]:
                _add_metric(report, metric_name, metric_value)
        elif not isinstance(value, bool):
            _add_metric(report, name, value)
    return report


def _decode_binary(text: str) -> LoadReport:
    # Imported here because the modules are large and few workers use this format.
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    message = OrcaLoadReport()
    padding = "=" * (-len(text) % BASE64_GROUP_CHARS)
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


def _encode_binary(scalar_metrics: Mapping[str, float], named_metrics: Mapping[str, float]) -> str:
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    encoded = OrcaLoadReport(named_metrics=named_metrics, **scalar_metrics).SerializeToString()
    return base64.b64encode(encoded).decode()


def _add_metric(report: LoadReport, name: str, value: object) -> None:
    """Add a metric, unless its name is empty or its value is not a finite number."""
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        return
    name = name.removeprefix(NAMED_METRICS + ".")
    if name and math.isfinite(number):
        report[name] = number
