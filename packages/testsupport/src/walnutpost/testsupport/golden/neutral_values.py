"""The neutral form of golden data: values by position under kind numbers, without any name of the code.

A renamed class or field changes the tables of this file and nothing in the golden files: a kind's number, the
order of its values and the places of an enum's members are fixed for good. New kinds get new numbers; a new
field goes to the end of its row, and old data that lack it take the default of the class.
"""

from __future__ import annotations

import base64
import json
import lzma
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any

from walnutpost import gateway
from walnutpost import interface as api

KINDS: dict[int, tuple[type[Any], str]] = {
    # Settings
    1: (
        api.RequestClass,
        "latency_objective_us deadline_us priority_weight late_priority_weight effect dedup_scope"
        " repeat_window_us is_stream objective_stretch",
    ),
    2: (api.Tenant, "share quota_per_s"),
    3: (
        api.Limits,
        "may_cancel may_probe may_run_parallel_attempts may_send_retry_after max_attempts max_retry_after_us",
    ),
    4: (
        api.Guards,
        "answer_slack_us drain_grace_us warm_up_us start_capacity overload_factor overload_window_us"
        " watch_within_us free_load_orders load_orders_per_request load_order_window_us",
    ),
    5: (api.Prices, "cross_zone waste probe fetch late_failure idle_copies"),
    6: (
        api.Settings,
        "classes tenants limits guards prices zone front_ends index tick_us keep_alive_us"
        " load_order_timeout_us may_order_loads loads_on_miss reports_warmth reports_crowd"
        " must_watch_endpoints has_endpoint_weights weighs_priority_by_work over_share_weight report_fields"
        " memory_mb_by_kind is_ideal_network may_miss_restarts",
    ),
    # Events
    10: (api.Worker, "id zone kind cell state weight started_at_us"),
    11: (api.WorkersListed, "kind version workers"),
    12: (
        api.RequestArrived,
        "request class_index tenant function time_left_us cost_hint_us memory_mb concurrency load_time_us"
        " is_repeat waited_us",
    ),
    13: (api.AnswerStarted, "request attempt worker latency_us"),
    14: (
        api.AttemptEnded,
        "request attempt worker outcome latency_us is_request_finished warmth crowd report",
    ),
    15: (api.RequestCancelled, "request"),
    16: (api.LoadOrderEnded, "worker function outcome latency_us copies ordered_copies"),
    17: (api.ProbeEnded, "worker outcome latency_us report"),
    18: (api.TimerDue, "token"),
    19: (api.ShuttingDown, "within_us"),
    20: (api.PeerMessage, "peer data"),
    # Actions
    30: (api.Send, "request worker timeout_us begin_within_us"),
    31: (api.Reject, "request retry_after_us"),
    32: (api.Fail, "request"),
    33: (api.Cancel, "request attempt"),
    34: (api.SetTimer, "delay_us token"),
    35: (api.LoadOrder, "worker function copies begin_within_us"),
    36: (api.Unload, "worker function"),
    37: (api.Probe, "worker"),
    38: (api.CloseIdleConnections, "worker"),
    39: (api.WatchEndpoints, "is_on"),
    40: (api.FetchEndpoints, ""),
    41: (api.Log, "text"),
    # The gateway's inputs
    50: (gateway.Function, "name class_index memory_mb concurrency load_time_us cost_hint_us version"),
    51: (
        gateway.CallArrived,
        "caller_id function payload time_left_us tenant idempotency_key is_repeat is_durable outlives_callers"
        " rejection definition waited_us",
    ),
    52: (gateway.CallerLeft, "caller_id"),
    53: (gateway.CallStopped, "caller_id"),
    54: (
        gateway.AttemptEnded,
        "call attempt outcome latency_us payload is_function_error warmth crowd report",
    ),
    55: (gateway.LoadOrderEnded, "worker function outcome latency_us copies ordered_copies"),
    56: (gateway.ProbeEnded, "worker outcome latency_us report"),
    57: (gateway.ListedWorker, "name zone kind cell state weight started_at_us"),
    58: (gateway.WorkersListed, "kind version workers"),
    59: (gateway.TimerDue, "token"),
    60: (gateway.ShuttingDown, "within_us"),
    # Its effects
    70: (gateway.Served, "payload worker version"),
    71: (gateway.Rejected, "reason retry_after_us"),
    72: (gateway.Failed, "failure message payload"),
    73: (gateway.AnswerCaller, "caller_id final"),
    74: (
        gateway.Send,
        "call attempt worker function tenant payload timeout_us caller_id must_persist_intent"
        " begin_within_us",
    ),
    75: (gateway.Cancel, "call attempt"),
    76: (gateway.LoadOrder, "worker function copies begin_within_us"),
    77: (gateway.Unload, "worker function"),
    78: (gateway.Probe, "worker"),
    79: (gateway.CloseIdleConnections, "worker"),
    80: (gateway.SetTimer, "delay_us token"),
    82: (gateway.Log, "text"),
}

ENUMS: dict[int, tuple[Enum, ...]] = {
    1: (api.Effect.SAFE, api.Effect.KEYED, api.Effect.UNSAFE),
    2: (api.DedupScope.ALL, api.DedupScope.ZONE, api.DedupScope.CELL),
    3: (
        api.Outcome.OK,
        api.Outcome.ERROR,
        api.Outcome.FULL,
        api.Outcome.TIMEOUT,
        api.Outcome.CONNECT_FAILED,
        api.Outcome.RESET,
        api.Outcome.CANCELLED,
        api.Outcome.EXPIRED,
        api.Outcome.MISS,
    ),
    4: (api.WorkerState.GONE, api.WorkerState.DRAINING, api.WorkerState.READY),
    5: (api.ListKind.FAILED, api.ListKind.CACHED, api.ListKind.DELTA, api.ListKind.FULL),
    6: (
        api.Warmth.UNREPORTED,
        api.Warmth.WARM,
        api.Warmth.STARTED_LOAD,
        api.Warmth.JOINED_LOAD,
        api.Warmth.LOAD_FAILED,
    ),
    7: (
        gateway.Failure.FUNCTION,
        gateway.Failure.DEADLINE,
        gateway.Failure.WORKER,
        gateway.Failure.STOPPED,
        gateway.Failure.RESTART,
    ),
}

RECORD, MEMBER, SEQUENCE, BYTES, MAPPING = "k", "e", "t", "b", "m"
# The gateway takes two events of the interface as they are: 59 and 60 are read as 18 and 19, and written so.
_NUMBERS = {cls: number for number, (cls, _) in reversed(KINDS.items())}
_MEMBERS = {member: (table, place) for table, row in ENUMS.items() for place, member in enumerate(row)}


def to_neutral(value: Any) -> Any:
    """JSON values that stand for `value`."""
    number = _NUMBERS.get(type(value))
    if number is not None:
        names = KINDS[number][1].split()
        return [RECORD, number, *(to_neutral(getattr(value, name)) for name in names)]
    if isinstance(value, Enum):
        return [MEMBER, *_MEMBERS[value]]
    if isinstance(value, tuple | list):
        return [SEQUENCE, *map(to_neutral, value)]
    if isinstance(value, bytes):
        return [BYTES, base64.b64encode(value).decode()]
    if isinstance(value, dict):
        return [MAPPING, *([key, to_neutral(inner)] for key, inner in value.items())]
    if value is None or isinstance(value, bool | int | float | str):
        return value
    raise TypeError(f"no neutral form for {type(value).__name__}")


def from_neutral(value: Any) -> Any:
    """Return the value that a neutral form stands for; sequences become tuples."""
    if not isinstance(value, list):
        return value
    form, *rest = value
    if form == RECORD:
        cls, names = KINDS[rest[0]]
        return cls(**dict(zip(names.split(), map(from_neutral, rest[1:]), strict=False)))
    if form == MEMBER:
        return ENUMS[rest[0]][rest[1]]
    if form == SEQUENCE:
        return tuple(map(from_neutral, rest))
    if form == BYTES:
        return base64.b64decode(rest[0])
    return {key: from_neutral(inner) for key, inner in rest}


def write_lines(path: Path, rows: Iterable[Any]) -> None:
    """Write compressed JSON lines; the same rows give the same file."""
    text = "".join(json.dumps(row, separators=(",", ":")) + "\n" for row in rows)
    path.write_bytes(lzma.compress(text.encode(), preset=9 | lzma.PRESET_EXTREME))


def read_lines(path: Path) -> list[Any]:
    """Return the rows of compressed JSON lines."""
    return [json.loads(line) for line in lzma.decompress(path.read_bytes()).splitlines()]


def neutral_of_each(values: Iterable[Any]) -> list[Any]:
    """Return the neutral form of each value."""
    return [to_neutral(value) for value in values]
