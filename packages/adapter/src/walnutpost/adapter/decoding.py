"""Decoding of the simulator's protocol to events, without I/O."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator, Mapping
from typing import TypeVar

from walnutpost import interface as api
from walnutpost.adapter import frames
from walnutpost.adapter.errors import ProtocolError
from walnutpost.adapter.frames import (
    BatchHeader,
    InputCode,
    InstanceInput,
    InstanceStarted,
    InstanceStopped,
)

T = TypeVar("T")


def decode_header(data: bytes) -> BatchHeader:
    """Decode a batch header. Raise ProtocolError if its length field is too small."""
    header = BatchHeader(*frames.BATCH_HEADER.unpack(data))
    if header.length < frames.BATCH_HEADER_BYTES_IN_LENGTH:
        raise ProtocolError(
            f"length {header.length} is shorter than the rest of the batch header", header.place
        )
    return header


class Decoder:
    """Decodes the records of batches. It keeps the numbered worker tables from batch to batch."""

    def __init__(self) -> None:
        self._worker_tables: dict[int, tuple[api.Worker, ...]] = {}
        self._decoders: dict[int, Callable[[bytes], InstanceInput]] = {
            InputCode.ANSWER_STARTED: _decode_answer_started,
            InputCode.TIMER_DUE: _decode_timer_due,
            InputCode.REQUEST_ARRIVED: _decode_request_arrived,
            InputCode.ATTEMPT_ENDED: _decode_attempt_ended,
            InputCode.PROBE_ENDED: _decode_probe_ended,
            InputCode.PEER_MESSAGE: _decode_peer_message,
            InputCode.WORKERS_LISTED: self._decode_workers_listed,
            InputCode.INSTANCE_STOPPED: _decode_instance_stopped,
            InputCode.LOAD_ORDER_ENDED: _decode_load_order_ended,
            InputCode.INSTANCE_STARTED: _decode_instance_started,
            InputCode.REQUEST_CANCELLED: _decode_request_cancelled,
        }

    def decode_records(self, header: BatchHeader, body: bytes) -> Iterator[InstanceInput]:
        """Yield the events of the batch in order. Raise ProtocolError at the first invalid record."""
        offset = 0
        for index in range(header.count):
            place = f"{header.place}, record {index}"
            if offset + frames.RECORD_HEADER.size > len(body):
                raise ProtocolError("the batch ends inside a record header", place)
            code, size = frames.RECORD_HEADER.unpack_from(body, offset)
            place = f"{place}, code {code}"
            offset += frames.RECORD_HEADER.size
            if offset + size > len(body):
                raise ProtocolError(
                    f"{size} bytes of fields expected, {len(body) - offset} left in the batch", place
                )
            fields = body[offset : offset + size]
            offset += size
            try:
                decoded = self._decode_record(code, fields)
            except (struct.error, ProtocolError) as error:
                raise ProtocolError(str(error), place) from error
            if decoded is not None:
                yield decoded
        if offset != len(body):
            raise ProtocolError(f"{len(body) - offset} bytes after the last record", header.place)

    def _decode_record(self, code: int, fields: bytes) -> InstanceInput | None:
        """Decode a record; store a worker table and return None."""
        if code == InputCode.WORKER_TABLE:
            self._store_worker_table(fields)
            return None
        decode = self._decoders.get(code)
        if decode is None:
            raise ProtocolError("unknown record code")
        return decode(fields)

    def _store_worker_table(self, fields: bytes) -> None:
        table_number, count = frames.WORKER_TABLE.unpack_from(fields)
        rows = fields[frames.WORKER_TABLE.size :]
        if len(rows) != count * frames.WORKER_ENTRY.size:
            raise ProtocolError(f"{count} worker table entries expected, {len(rows)} bytes of them received")
        workers = []
        for worker, zone, kind, cell, state_code, weight, started_at in frames.WORKER_ENTRY.iter_unpack(rows):
            state = _lookup(frames.WORKER_STATES, state_code, "worker state")
            workers.append(api.Worker(worker, zone, kind, cell, state, weight, started_at))
        self._worker_tables[table_number] = tuple(workers)

    def _decode_workers_listed(self, fields: bytes) -> InstanceInput:
        instance, kind_code, version, table_number = frames.WORKERS_LISTED.unpack(fields)
        kind = _lookup(frames.LIST_KINDS, kind_code, "list kind")
        if kind is api.ListKind.FAILED:
            return InstanceInput(instance, api.WorkersListed(kind, version, ()))
        workers = _lookup(self._worker_tables, table_number, "worker table number")
        return InstanceInput(instance, api.WorkersListed(kind, version, workers))


def _decode_answer_started(fields: bytes) -> InstanceInput:
    instance, request, attempt, worker, latency_us = frames.ANSWER_STARTED.unpack(fields)
    return InstanceInput(instance, api.AnswerStarted(request, attempt, worker, latency_us))


def _decode_timer_due(fields: bytes) -> InstanceInput:
    instance, token = frames.TIMER_DUE.unpack(fields)
    return InstanceInput(instance, api.TimerDue(token))


def _decode_request_arrived(fields: bytes) -> InstanceInput:
    unpacked = frames.REQUEST_ARRIVED.unpack(fields)
    instance, request, class_index, tenant, function, time_left_us, hint_us = unpacked[:7]
    memory_mb, concurrency, load_time_ms, flags = unpacked[7:]
    event = api.RequestArrived(
        request=request,
        class_index=class_index,
        tenant=tenant,
        function=function,
        time_left_us=time_left_us,
        cost_hint_us=hint_us if flags & frames.COST_HINT_VALID_FLAG else None,
        memory_mb=memory_mb,
        concurrency=concurrency,
        load_time_us=int(load_time_ms * frames.US_PER_MS),
        is_repeat=bool(flags & frames.CLIENT_RETRY_FLAG),
    )
    return InstanceInput(instance, event)


def _decode_attempt_ended(fields: bytes) -> InstanceInput:
    unpacked = frames.ATTEMPT_ENDED.unpack_from(fields)
    instance, request, attempt, worker, outcome_code, latency_us, is_request_finished, note, count = unpacked
    report = _decode_report(fields, frames.ATTEMPT_ENDED.size, count)
    outcome = _lookup(frames.OUTCOMES, outcome_code, "outcome")
    warmth = _lookup(frames.WARMTHS, note & frames.WARMTH_MASK, "note")
    crowd = note >> frames.CROWD_SHIFT
    event = api.AttemptEnded(
        request, attempt, worker, outcome, latency_us, bool(is_request_finished), warmth, crowd, report
    )
    return InstanceInput(instance, event)


def _decode_probe_ended(fields: bytes) -> InstanceInput:
    instance, worker, outcome_code, latency_us, count = frames.PROBE_ENDED.unpack_from(fields)
    report = _decode_report(fields, frames.PROBE_ENDED.size, count)
    outcome = _lookup(frames.OUTCOMES, outcome_code, "outcome")
    return InstanceInput(instance, api.ProbeEnded(worker, outcome, latency_us, report))


def _decode_peer_message(fields: bytes) -> InstanceInput:
    instance, peer, size = frames.PEER_MESSAGE.unpack_from(fields)
    data = fields[frames.PEER_MESSAGE.size :]
    if len(data) != size:
        raise ProtocolError(f"{size} bytes of content expected, {len(data)} received")
    return InstanceInput(instance, api.PeerMessage(peer, data))


def _decode_load_order_ended(fields: bytes) -> InstanceInput:
    instance, worker, function, outcome_code, latency_us, copies = frames.LOAD_ORDER_ENDED.unpack(fields)
    outcome = _lookup(frames.OUTCOMES, outcome_code, "outcome")
    return InstanceInput(instance, api.LoadOrderEnded(worker, function, outcome, latency_us, copies))


def _decode_instance_started(fields: bytes) -> InstanceInput:
    instance, seed, size = frames.INSTANCE_STARTED.unpack_from(fields)
    text = fields[frames.INSTANCE_STARTED.size :]
    if len(text) != size:
        raise ProtocolError(f"{size} bytes of settings expected, {len(text)} received")
    return InstanceInput(instance, InstanceStarted(seed, text))


def _decode_instance_stopped(fields: bytes) -> InstanceInput:
    (instance,) = frames.INSTANCE_STOPPED.unpack(fields)
    return InstanceInput(instance, InstanceStopped())


def _decode_request_cancelled(fields: bytes) -> InstanceInput:
    instance, request = frames.REQUEST_CANCELLED.unpack(fields)
    return InstanceInput(instance, api.RequestCancelled(request))


def _decode_report(fields: bytes, offset: int, count: int) -> tuple[float, ...]:
    if len(fields) != offset + frames.REPORT_VALUE_BYTES * count:
        raise ProtocolError(f"{count} report values expected, {len(fields) - offset} bytes of them received")
    return struct.unpack_from(f"<{count}f", fields, offset)


def _lookup(table: Mapping[int, T], value: int, name: str) -> T:
    if value not in table:
        raise ProtocolError(f"{name} {value} is unknown")
    return table[value]
