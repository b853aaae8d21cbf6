"""Bytes of the simulator's wire to events and back. Wire words stay in this file."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from walnutpost import interface as api


class ProtocolError(Exception):
    """The other side sent something that the protocol does not allow."""


@dataclass(frozen=True, slots=True)
class Started:
    seed: int
    settings_text: bytes


@dataclass(frozen=True, slots=True)
class Stopped:
    pass


@dataclass(frozen=True, slots=True)
class BatchHeader:
    count: int
    length: int
    clock: int
    number: int


BATCH_HEADER = struct.Struct("<IIQI")
# The batch header's length field counts what follows it: clock, number and records.
AFTER_LENGTH = 12
RECORD_HEADER = struct.Struct("<BI")
ENTRY = struct.Struct("<IHHHBfQ")
REQUEST = struct.Struct("<IQBHQIIfffB")
ENDED = struct.Struct("<IQHIHIBBB")
HOLD_ENDED = struct.Struct("<IIQHIB")
PROBE_ENDED = struct.Struct("<IIHIB")
ANSWER_STARTED = struct.Struct("<IQHII")
UPDATE = struct.Struct("<IBQB")
STARTED = struct.Struct("<IQI")
PEER = struct.Struct("<IIH")
TIMER = struct.Struct("<II")
GONE = struct.Struct("<IQ")
STOPPED = struct.Struct("<I")
TABLE = struct.Struct("<BI")

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
STATES = {0: api.WorkerState.GONE, 1: api.WorkerState.DRAINING, 2: api.WorkerState.READY}
LIST_KINDS = {
    0: api.ListKind.FAILED,
    1: api.ListKind.CACHED,
    2: api.ListKind.DELTA,
    3: api.ListKind.FULL,
}
HINT_VALID = 1
CLIENT_REPEAT = 2

Incoming = api.Event | Started | Stopped


def read_header(data: bytes) -> BatchHeader:
    header = BatchHeader(*BATCH_HEADER.unpack(data))
    if header.length < AFTER_LENGTH:
        raise ProtocolError(f"batch {header.number}: length {header.length} is shorter than its header")
    return header


def _lookup(table: dict[int, Any], value: int, what: str) -> Any:
    if value not in table:
        raise ProtocolError(f"{what} {value} is not one that the protocol knows")
    return table[value]


class Decoder:
    """Turns the records of a batch into events; the numbered worker lists outlive a batch."""

    def __init__(self) -> None:
        self._tables: dict[int, tuple[api.Worker, ...]] = {}
        self._readers: dict[int, Callable[[bytes], tuple[int, Incoming]]] = {
            1: self._answer_started,
            2: self._timer,
            4: self._request,
            5: self._ended,
            6: self._probe_ended,
            7: self._peer,
            8: self._update,
            9: self._stopped,
            10: self._hold_ended,
            11: self._started,
            12: self._gone,
        }

    def records(self, header: BatchHeader, body: bytes) -> Iterator[tuple[int, Incoming]]:
        """The batch's events in order, each with the number of its instance."""
        at = 0
        for index in range(header.count):
            where = f"batch {header.number}, record {index}"
            if at + RECORD_HEADER.size > len(body):
                raise ProtocolError(f"{where}: the batch ends inside a record header")
            code, size = RECORD_HEADER.unpack_from(body, at)
            at += RECORD_HEADER.size
            if at + size > len(body):
                raise ProtocolError(f"{where}, code {code}: {size} bytes told, {len(body) - at} left")
            fields = body[at : at + size]
            at += size
            try:
                if code == 3:
                    self._table(fields)
                    continue
                reader = self._readers.get(code)
                if reader is None:
                    raise ProtocolError("an unknown event code")
                decoded = reader(fields)
            except (struct.error, ProtocolError) as error:
                raise ProtocolError(f"{where}, code {code}: {error}") from error
            yield decoded
        if at != len(body):
            raise ProtocolError(f"batch {header.number}: {len(body) - at} bytes behind the last record")

    def _table(self, fields: bytes) -> None:
        bank, count = TABLE.unpack_from(fields)
        rows = fields[TABLE.size :]
        if len(rows) != count * ENTRY.size:
            raise ProtocolError(f"{count} entries told, {len(rows)} bytes of them")
        workers = []
        for worker, zone, kind, cell, state, weight, started in ENTRY.iter_unpack(rows):
            known = _lookup(STATES, state, "worker state")
            workers.append(api.Worker(worker, zone, kind, cell, known, weight, started))
        self._tables[bank] = tuple(workers)

    def _update(self, fields: bytes) -> tuple[int, Incoming]:
        instance, how, version, bank = UPDATE.unpack(fields)
        kind = _lookup(LIST_KINDS, how, "list kind")
        if kind is api.ListKind.FAILED:
            return instance, api.WorkersListed(kind, version, ())
        return instance, api.WorkersListed(kind, version, _lookup(self._tables, bank, "list number"))

    @staticmethod
    def _answer_started(fields: bytes) -> tuple[int, Incoming]:
        instance, request, attempt, worker, latency = ANSWER_STARTED.unpack(fields)
        return instance, api.AnswerStarted(request, attempt, worker, latency)

    @staticmethod
    def _timer(fields: bytes) -> tuple[int, Incoming]:
        instance, token = TIMER.unpack(fields)
        return instance, api.TimerDue(token)

    @staticmethod
    def _request(fields: bytes) -> tuple[int, Incoming]:
        instance, request, cls, tenant, function, left, hint, memory, lanes, load_ms, flags = REQUEST.unpack(
            fields
        )
        return instance, api.RequestArrived(
            request=request,
            class_index=cls,
            tenant=tenant,
            function=function,
            time_left_us=left,
            cost_hint_us=hint if flags & HINT_VALID else None,
            memory_mb=memory,
            lanes=lanes,
            load_time_us=int(load_ms * 1000),
            is_repeat=bool(flags & CLIENT_REPEAT),
        )

    @staticmethod
    def _ended(fields: bytes) -> tuple[int, Incoming]:
        instance, request, attempt, worker, how, latency, finished, note, count = ENDED.unpack_from(fields)
        report = _floats(fields, ENDED.size, count)
        outcome = _lookup(OUTCOMES, how, "outcome")
        warmth = _lookup(_WARMTH, note & 7, "note")
        return instance, api.AttemptEnded(
            request, attempt, worker, outcome, latency, bool(finished), warmth, note >> 3, report
        )

    @staticmethod
    def _probe_ended(fields: bytes) -> tuple[int, Incoming]:
        instance, worker, how, latency, count = PROBE_ENDED.unpack_from(fields)
        report = _floats(fields, PROBE_ENDED.size, count)
        return instance, api.ProbeEnded(worker, _lookup(OUTCOMES, how, "outcome"), latency, report)

    @staticmethod
    def _peer(fields: bytes) -> tuple[int, Incoming]:
        instance, peer, size = PEER.unpack_from(fields)
        data = fields[PEER.size :]
        if len(data) != size:
            raise ProtocolError(f"{size} bytes of content told, {len(data)} there")
        return instance, api.PeerMessage(peer, data)

    @staticmethod
    def _stopped(fields: bytes) -> tuple[int, Incoming]:
        (instance,) = STOPPED.unpack(fields)
        return instance, Stopped()

    @staticmethod
    def _hold_ended(fields: bytes) -> tuple[int, Incoming]:
        instance, worker, function, how, latency, copies = HOLD_ENDED.unpack(fields)
        outcome = _lookup(OUTCOMES, how, "outcome")
        return instance, api.LoadOrderEnded(worker, function, outcome, latency, copies)

    @staticmethod
    def _started(fields: bytes) -> tuple[int, Incoming]:
        instance, seed, size = STARTED.unpack_from(fields)
        text = fields[STARTED.size :]
        if len(text) != size:
            raise ProtocolError(f"{size} bytes of settings told, {len(text)} there")
        return instance, Started(seed, text)

    @staticmethod
    def _gone(fields: bytes) -> tuple[int, Incoming]:
        instance, request = GONE.unpack(fields)
        return instance, api.RequestCancelled(request)


_WARMTH = {int(warmth): warmth for warmth in api.Warmth}


def _floats(fields: bytes, at: int, count: int) -> tuple[float, ...]:
    if len(fields) != at + 4 * count:
        raise ProtocolError(f"{count} report values told, {len(fields) - at} bytes of them")
    return struct.unpack_from(f"<{count}f", fields, at)


def encode_reply(number: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return struct.pack("<II", 4 + len(body), number) + body


def _record(code: int, layout: str, *values: Any) -> bytes:
    fields = struct.pack("<" + layout, *values)
    return RECORD_HEADER.pack(code, len(fields)) + fields


def encode_fault(instance: int, text: str) -> bytes:
    return _text_record(10, instance, text)


def _text_record(code: int, instance: int, text: str) -> bytes:
    data = text.encode()[:65535]
    return _record(code, f"IH{len(data)}s", instance, len(data), data)


def encode_action(instance: int, action: api.Action) -> bytes:
    match action:
        case api.Send(request, worker, timeout):
            return _record(1, "IQII", instance, request, worker, timeout)
        case api.Reject(request, retry_after):
            return _record(2, "IQI", instance, request, retry_after)
        case api.Fail(request):
            return _record(3, "IQ", instance, request)
        case api.Cancel(request, attempt):
            return _record(4, "IQH", instance, request, attempt)
        case api.SetTimer(delay, token):
            return _record(5, "III", instance, delay, token)
        case api.Probe(worker):
            return _record(6, "II", instance, worker)
        case api.CloseIdleConnections(worker):
            return _record(7, "II", instance, worker)
        case api.Log(text):
            return _text_record(9, instance, text)
        case api.WatchEndpoints(on):
            return _record(11, "IB", instance, on)
        case api.FetchEndpoints():
            return _record(12, "I", instance)
        case api.LoadOrder(worker, function, copies):
            return _record(13, "IIQB", instance, worker, function, copies)
        case api.Unload(worker, function):
            return _record(14, "IIQ", instance, worker, function)
    raise TypeError(f"no wire form for {action!r}")
