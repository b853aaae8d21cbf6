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
        "aim deadline worth late_worth effect group window stream aim_stretch",
    ),
    2: (api.Tenant, "share quota_per_s"),
    3: (api.Limits, "cancel probes parallel_tries retry_after max_attempts max_retry_after"),
    4: (
        api.Guards,
        "answer_slack drain_grace cold_for start_capacity overload_factor overload_for ask_within"
        " free_loads load_share load_window",
    ),
    5: (api.Prices, "cross_zone waste probe fetch late_fail idle_copies"),
    6: (
        api.Settings,
        "classes tenants limits guards prices zone front_ends index tick keep_alive order_timeout may_load"
        " loads_on_miss tells_warmth tells_crowd must_ask_list weighted worth_by_work over_share_worth"
        " report_fields memory_by_kind ideal_network restarts_unseen",
    ),
    # Events
    10: (api.Worker, "id zone kind cell state weight started_at"),
    11: (api.WorkersListed, "kind version workers"),
    12: (
        api.RequestArrived,
        "request class_index tenant function time_left cost_hint memory_mb lanes load_time repeat waited",
    ),
    13: (api.AnswerStarted, "request attempt worker latency"),
    14: (api.AttemptEnded, "request attempt worker outcome latency finished warmth crowd report"),
    15: (api.RequestGone, "request"),
    16: (api.HoldEnded, "worker function outcome latency copies wanted"),
    17: (api.ProbeEnded, "worker outcome latency report"),
    18: (api.TimerDue, "token"),
    19: (api.ShuttingDown, "within"),
    20: (api.PeerSaid, "peer data"),
    # Actions
    30: (api.Send, "request worker timeout latest"),
    31: (api.Refuse, "request retry_after"),
    32: (api.Fail, "request"),
    33: (api.Cancel, "request attempt"),
    34: (api.SetTimer, "delay token"),
    35: (api.Hold, "worker function copies latest"),
    36: (api.Unload, "worker function"),
    37: (api.Probe, "worker"),
    38: (api.CloseIdle, "worker"),
    39: (api.FollowList, "on"),
    40: (api.ReadList, ""),
    41: (api.Log, "text"),
    # The gateway's inputs
    50: (gateway.Function, "name class_index memory_mb lanes load_time cost version"),
    51: (
        gateway.CallArrived,
        "ticket function payload time_left tenant repeat_key repeat durable stays barred of waited",
    ),
    52: (gateway.CallerLeft, "ticket"),
    53: (gateway.CallStopped, "ticket"),
    54: (
        gateway.AttemptDone,
        "call attempt outcome latency payload by_function warmth crowd report",
    ),
    55: (gateway.HoldDone, "worker function outcome latency copies wanted"),
    56: (gateway.PingDone, "worker outcome latency report"),
    57: (gateway.WorkerTold, "name zone kind cell state weight started_at"),
    58: (gateway.WorkersTold, "kind version workers"),
    59: (gateway.Due, "token"),
    60: (gateway.ShuttingDown, "within"),
    # Its effects
    70: (gateway.Served, "payload worker version"),
    71: (gateway.Refused, "reason retry_after"),
    72: (gateway.Failed, "failure message payload"),
    73: (gateway.Answered, "ticket final"),
    74: (
        gateway.Start,
        "call attempt worker function tenant payload timeout ticket intent_first latest",
    ),
    75: (gateway.Abandon, "call attempt"),
    76: (gateway.Order, "worker function copies latest"),
    77: (gateway.Discard, "worker function"),
    78: (gateway.Ping, "worker"),
    79: (gateway.CloseIdle, "worker"),
    80: (gateway.Arm, "delay token"),
    81: (gateway.AskList, "follow"),
    82: (gateway.Note, "text"),
}

ENUMS: dict[int, tuple[Enum, ...]] = {
    1: (api.Effect.SAFE, api.Effect.KEYED, api.Effect.UNSAFE),
    2: (api.Group.ALL, api.Group.ZONE, api.Group.CELL),
    3: (
        api.Outcome.OK,
        api.Outcome.ERROR,
        api.Outcome.FULL,
        api.Outcome.TIMEOUT,
        api.Outcome.CONNECT_FAILED,
        api.Outcome.RESET,
        api.Outcome.CANCELLED,
        api.Outcome.MOOT,
        api.Outcome.MISS,
    ),
    4: (api.WorkerState.GONE, api.WorkerState.DRAINING, api.WorkerState.READY),
    5: (api.ListKind.FAILED, api.ListKind.CACHED, api.ListKind.DELTA, api.ListKind.FULL),
    6: (
        api.Warmth.UNTOLD,
        api.Warmth.STOOD,
        api.Warmth.BEGAN_LOAD,
        api.Warmth.AWAITED_LOAD,
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
_NUMBERS = {cls: number for number, (cls, _) in KINDS.items()}
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
    """The value that a neutral form stands for; sequences become tuples."""
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
    """Writes compressed JSON lines; the same rows give the same file."""
    text = "".join(json.dumps(row, separators=(",", ":")) + "\n" for row in rows)
    path.write_bytes(lzma.compress(text.encode(), preset=9 | lzma.PRESET_EXTREME))


def read_lines(path: Path) -> list[Any]:
    return [json.loads(line) for line in lzma.decompress(path.read_bytes()).splitlines()]


def neutral_of_each(values: Iterable[Any]) -> list[Any]:
    return [to_neutral(value) for value in values]
