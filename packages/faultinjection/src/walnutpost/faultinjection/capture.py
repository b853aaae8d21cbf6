"""Captures: what the sockets carried, or under TLS its plaintext, written as it happens.

A file is a row of msgpack arrays, each behind its length as four bytes, little-endian: `[time, kind, ...]`
with the time in microseconds since the epoch. The first record names the process. Each record is one write
to a file opened for appending, so what a killed process has written stays. A record that was cut short, by
a kill or a full disk, is cut off before the next one is written. What the disk does not take is lost, and
counted by the next record that it does take:

    ["lost", records]

    ["begin", kind, name]                  kind is front, worker or client
    ["open", stream, role, local, remote]  role is which end of which protocol this is
    ["in" | "out", stream, bytes]
    ["close", stream]
    ["told", version, [[name, address, state, started_at], ...]]   a front end's worker list
    ["ran", call, run]                     a worker began an execution
    ["started", cold]                      a worker (re)started
    ["lived", time, kind, copy, function, MB, tenant]   what happened to a copy, as the worker records it
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

from walnutpost.config import WorkerConfig
from walnutpost.eventloop import write_all
from walnutpost.eventloop.streams import Address
from walnutpost.fakes import CopyEvent

CAPTURE_SUFFIX = ".capture"
LENGTH_BYTES = 4
OWNER_ONLY = 0o600


class RecordKind(StrEnum):
    """The kinds of records, by their names in files."""

    LOST = "lost"
    BEGIN = "begin"
    OPEN = "open"
    IN = "in"
    OUT = "out"
    CLOSE = "close"
    ENDPOINT_LIST = "told"
    EXECUTION = "ran"
    START = "started"
    COPY_EVENT = "lived"


class Capture:
    """A traffic observer for one process; the file holds payloads, so only its owner may read it."""

    def __init__(self, path: Path, kind: str, name: str, now: Callable[[], int]) -> None:
        """Begin or go on with a file; `now` gives microseconds since the epoch. Raises OSError."""
        self._fd = os.open(path, os.O_CREAT | os.O_RDWR | os.O_APPEND, OWNER_ONLY)
        self._now = now
        self._encoder = msgspec.msgpack.Encoder()
        self._complete_bytes = _complete_bytes(path.read_bytes())
        self._is_torn = os.fstat(self._fd).st_size != self._complete_bytes  # there is more behind them
        self._lost_records = 0
        self._write(RecordKind.BEGIN, kind, name)

    def on_opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        """Record a connection."""
        self._write(RecordKind.OPEN, stream, role, local, remote)

    def on_bytes(self, stream: int, sent: bool, data: bytes) -> None:
        """Record what was sent or received on a connection."""
        self._write(RecordKind.OUT if sent else RecordKind.IN, stream, data)

    def on_closed(self, stream: int) -> None:
        """Record the end of a connection."""
        self._write(RecordKind.CLOSE, stream)

    def on_endpoints_listed(self, version: int, lines: list[WorkerConfig]) -> None:
        """Record the list of workers that a front end was given."""
        workers = [(w.name, w.address, w.state, w.started_at) for w in lines]
        self._write(RecordKind.ENDPOINT_LIST, version, workers)

    def on_execution_started(self, call_id: str, run: int) -> None:
        """Record an execution at a worker."""
        self._write(RecordKind.EXECUTION, call_id, run)

    def on_worker_started(self, cold: bool) -> None:
        """Record a worker's start."""
        self._write(RecordKind.START, cold)

    def on_copy_changed(self, event: CopyEvent) -> None:
        """Record what happened to a worker's copy."""
        copy = (event.copy, event.function, event.memory_mb, event.tenant)
        self._write(RecordKind.COPY_EVENT, event.at_us, event.kind, *copy)

    def close(self) -> None:
        """Close the file."""
        os.close(self._fd)

    def _write(self, kind: RecordKind, *fields: Any) -> None:
        """Write a record; a disk that takes nothing costs records, not the process that is captured."""
        try:
            if self._is_torn:
                os.ftruncate(self._fd, self._complete_bytes)
                self._is_torn = False
            if self._lost_records:
                self._append(RecordKind.LOST, self._lost_records)
                self._lost_records = 0
            self._append(kind, *fields)
        except OSError:
            self._lost_records += 1

    def _append(self, kind: RecordKind, *fields: Any) -> None:
        record = self._encoder.encode((self._now(), kind, *fields))
        data = len(record).to_bytes(LENGTH_BYTES, "little") + record
        self._is_torn = True
        write_all(self._fd, data)
        self._is_torn = False
        self._complete_bytes += len(data)


def read_records(path: Path) -> Iterator[list[Any]]:
    """Read the records of a file in order, without a last one that was cut short; raises OSError."""
    data = path.read_bytes()
    end = _complete_bytes(data)
    decode = msgspec.msgpack.Decoder(list[Any]).decode
    at = 0
    while at < end:
        record_end = _record_end(data, at)
        yield decode(data[at + LENGTH_BYTES : record_end])
        at = record_end


def _complete_bytes(data: bytes) -> int:
    """Return how many bytes the complete records at the beginning take."""
    at = 0
    while at + LENGTH_BYTES <= len(data):
        end = _record_end(data, at)
        if end > len(data):
            break
        at = end
    return at


def _record_end(data: bytes, at: int) -> int:
    return at + LENGTH_BYTES + int.from_bytes(data[at : at + LENGTH_BYTES], "little")
