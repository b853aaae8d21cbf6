"""Layouts, codes and tables of the simulator's protocol. Little-endian; times in microseconds.

A batch is a BATCH_HEADER and records; a record is a RECORD_HEADER and its fields. A reply is its length, the
batch's number, and records.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from walnutpost import interface as api

BATCH_HEADER = struct.Struct("<IIQI")
LENGTH_OFFSET = 12
"""Bytes of the batch header that its length field counts: clock and number, but not count and length."""
REPLY_HEADER = struct.Struct("<II")
REPLY_LENGTH_OFFSET = 4
"""Bytes of the reply header that its length field counts: the number."""
RECORD_HEADER = struct.Struct("<BI")

# Fields of the records that come in; some are followed by report values or text.
WORKER_ENTRY = struct.Struct("<IHHHBfQ")
WORKER_TABLE = struct.Struct("<BI")
WORKERS_LISTED = struct.Struct("<IBQB")
REQUEST_ARRIVED = struct.Struct("<IQBHQIIfffB")
ATTEMPT_ENDED = struct.Struct("<IQHIHIBBB")
LOAD_ORDER_ENDED = struct.Struct("<IIQHIB")
PROBE_ENDED = struct.Struct("<IIHIB")
ANSWER_STARTED = struct.Struct("<IQHII")
INSTANCE_STARTED = struct.Struct("<IQI")
INSTANCE_STOPPED = struct.Struct("<I")
PEER_MESSAGE = struct.Struct("<IIH")
TIMER_DUE = struct.Struct("<II")
REQUEST_CANCELLED = struct.Struct("<IQ")
REPORT_VALUE_BYTES = 4
MAX_TEXT_BYTES = 65535

HINT_VALID_FLAG = 1
CLIENT_REPEAT_FLAG = 2
WARMTH_MASK = 7
CROWD_SHIFT = 3
"""An attempt's note: the warmth in the low bits, the crowd above them."""
US_PER_MS = 1000


class InputCode(IntEnum):
    """Codes of the records that come in."""

    ANSWER_STARTED = 1
    TIMER_DUE = 2
    WORKER_TABLE = 3
    REQUEST_ARRIVED = 4
    ATTEMPT_ENDED = 5
    PROBE_ENDED = 6
    PEER_MESSAGE = 7
    WORKERS_LISTED = 8
    INSTANCE_STOPPED = 9
    LOAD_ORDER_ENDED = 10
    INSTANCE_STARTED = 11
    REQUEST_CANCELLED = 12


class OutputCode(IntEnum):
    """Codes of the records that go out."""

    SEND = 1
    REJECT = 2
    FAIL = 3
    CANCEL = 4
    SET_TIMER = 5
    PROBE = 6
    CLOSE_IDLE_CONNECTIONS = 7
    LOG = 9
    FAULT = 10
    WATCH_ENDPOINTS = 11
    FETCH_ENDPOINTS = 12
    LOAD_ORDER = 13
    UNLOAD = 14


OUTCOMES = {
    200: api.Outcome.OK,
    500: api.Outcome.ERROR,
    503: api.Outcome.FULL,
    504: api.Outcome.TIMEOUT,
    502: api.Outcome.CONNECT_FAILED,
    598: api.Outcome.RESET,
    499: api.Outcome.CANCELLED,
    410: api.Outcome.MOOT,
    404: api.Outcome.MISS,
}
WORKER_STATES = {0: api.WorkerState.GONE, 1: api.WorkerState.DRAINING, 2: api.WorkerState.READY}
LIST_KINDS = {
    0: api.ListKind.FAILED,
    1: api.ListKind.CACHED,
    2: api.ListKind.DELTA,
    3: api.ListKind.FULL,
}
WARMTHS = {int(warmth): warmth for warmth in api.Warmth}


@dataclass(frozen=True, slots=True)
class BatchHeader:
    """The head of a batch: how many records, bytes after this field, the time, and the batch's number."""

    count: int
    length: int
    clock_us: int
    number: int

    @property
    def place(self) -> str:
        """The batch as errors name it."""
        return f"batch {self.number}"


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance begins, or begins anew, with a seed and its settings as JSON."""

    seed: int
    settings_text: bytes


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance has ended."""


Incoming = api.Event | InstanceStarted | InstanceStopped


class InstanceInput(NamedTuple):
    """What came in for one instance."""

    instance: int
    event: Incoming
