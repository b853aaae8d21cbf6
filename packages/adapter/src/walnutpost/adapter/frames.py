"""Record layouts, codes and code tables of the simulator's protocol.

Numbers are little-endian. Times are in microseconds, except the load time of a request, which is in
milliseconds. A batch is a BATCH_HEADER and its records; a record is a RECORD_HEADER and its fields. A reply
is a REPLY_HEADER (its length and the number of the batch) and its records.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from walnutpost import interface as api

BATCH_HEADER = struct.Struct("<IIQI")
BATCH_HEADER_BYTES_IN_LENGTH = 12
"""The bytes of the batch header that its length field includes: clock and number, not count and length."""
REPLY_HEADER = struct.Struct("<II")
REPLY_HEADER_BYTES_IN_LENGTH = 4
"""The bytes of the reply header that its length field includes: the number."""
RECORD_HEADER = struct.Struct("<BI")

# Fixed fields of the input records. Table entries, report values or text follow them in some records.
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
"""The largest value of the 16-bit size field of a text; longer texts are truncated."""

COST_HINT_VALID_FLAG = 1
CLIENT_RETRY_FLAG = 2
WARMTH_MASK = 7
CROWD_SHIFT = 3
"""The note of an ended attempt has its `Warmth` in the low 3 bits and `AttemptEnded.crowd` above them."""
US_PER_MS = 1000


class InputCode(IntEnum):
    """Codes of the input records."""

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
    """Codes of the output records."""

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
    410: api.Outcome.EXPIRED,
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
    """The header of a batch.

    `count` is the number of records, `length` the number of bytes after the length field, `clock_us` the
    current time and `number` the number of the batch.
    """

    count: int
    length: int
    clock_us: int
    number: int

    @property
    def place(self) -> str:
        """The name of the batch in error messages."""
        return f"batch {self.number}"


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance starts or restarts, with a seed for its random generator and its settings as JSON."""

    seed: int
    settings_text: bytes


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance stopped."""


InputEvent = api.Event | InstanceStarted | InstanceStopped


class InstanceInput(NamedTuple):
    """An event and the instance that receives it."""

    instance: int
    event: InputEvent
