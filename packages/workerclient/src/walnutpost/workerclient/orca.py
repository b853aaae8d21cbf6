"""Load reports as ORCA (Open Request Cost Aggregation) puts them into response headers.

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

HEADER, HEADER_BIN = "endpoint-load-metrics", "endpoint-load-metrics-bin"
NAMED = "named_metrics"
SCALARS = ("cpu_utilization", "mem_utilization", "application_utilization", "rps_fractional", "eps")
MOST_FIELDS = 64  # of one report; what a worker sends beyond is not worth its parsing

Report = dict[str, float]


def read(headers: Mapping[str, str]) -> Report:
    """The report's figures; a named metric stands under its own name. What can't be read is left out: a
    worker's broken report must not cost the answer it came with."""
    text = headers.get(HEADER)
    if text is None:
        packed = headers.get(HEADER_BIN)
        return _read_binary(packed) if packed is not None else {}
    form, _, rest = text.strip().partition(" ")
    if form == "JSON":
        return _read_json(rest)
    if form == "BIN":
        return _read_binary(rest)
    pairs = (rest if form == "TEXT" else text).split(",")[:MOST_FIELDS]
    out: Report = {}
    for pair in pairs:
        key, sep, value = pair.partition("=")
        if sep:
            _put(out, key.strip(), value)
    return out


def _put(out: Report, key: str, value: object) -> None:
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        return
    key = key.removeprefix(NAMED + ".")
    if key and math.isfinite(number):
        out[key] = number


def _read_json(text: str) -> Report:
    out: Report = {}
    try:
        told = json.loads(text)
    except (ValueError, RecursionError):
        return out
    if isinstance(told, dict):
        for key, value in list(told.items())[:MOST_FIELDS]:
            if isinstance(value, dict) and key == NAMED:
                for name, inner in list(value.items())[:MOST_FIELDS]:
                    _put(out, name, inner)
            elif not isinstance(value, bool):
                _put(out, key, value)
    return out


def _read_binary(text: str) -> Report:
    from google.protobuf.message import DecodeError
    from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

    out: Report = {}
    report = OrcaLoadReport()
    try:
        report.ParseFromString(base64.b64decode(text + "=" * (-len(text) % 4), validate=True))
    except (binascii.Error, DecodeError, ValueError):
        return out
    for key in SCALARS:
        _put(out, key, getattr(report, key))
    for name, value in list(report.named_metrics.items())[:MOST_FIELDS]:
        _put(out, name, value)
    return out


def write(report: Mapping[str, float], form: str = "text") -> tuple[str, str]:
    """A header's name and value; `form` is text, json or binary."""
    scalars = {k: v for k, v in report.items() if k in SCALARS}
    named = {k: v for k, v in report.items() if k not in SCALARS}
    if form == "binary":
        from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

        packed = OrcaLoadReport(named_metrics=named, **scalars).SerializeToString()
        return HEADER_BIN, base64.b64encode(packed).decode()
    if form == "json":
        return HEADER, "JSON " + json.dumps({**scalars, NAMED: named})
    pairs = [f"{k}={v:g}" for k, v in scalars.items()] + [f"{NAMED}.{k}={v:g}" for k, v in named.items()]
    return HEADER, "TEXT " + ", ".join(pairs)
