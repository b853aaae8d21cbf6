"""Captures: what the sockets carried, or under TLS its plaintext, written as it happens.

A file is a row of msgpack arrays, each behind its length as four bytes, little-endian: `[time, what,
...]` with the time in microseconds since the epoch. The first record names the process. Each record is
one write to a file opened for appending, so what a killed process has written stays. A record that was cut
short, by a kill or a full disk, is cut off before the next one is written. What the disk does not take is
lost, and said by the next record that it does take:

    ["lost", records]

    ["begin", kind, name]                  kind is front, worker or client
    ["open", stream, role, local, remote]  role says which end of which protocol this is
    ["in" | "out", stream, bytes]
    ["close", stream]
    ["told", version, [[name, address, state, started_at], ...]]   a front end's worker list
    ["ran", call, run]                     a worker began an execution
    ["started", cold]                      a worker (re)started
    ["lived", time, what, copy, function, MB, tenant]   what became of a copy, as the worker records it
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from walnutpost.config import WorkerConfig
from walnutpost.eventloop import write_all
from walnutpost.eventloop.streams import Address
from walnutpost.fakes import CopyEvent

LENGTH = 4


class Capture:
    """A tap for one process; the file holds payloads, so only its owner may read it."""

    def __init__(self, path: Path, kind: str, name: str, now: Callable[[], int]) -> None:
        self._fd = os.open(path, os.O_CREAT | os.O_RDWR | os.O_APPEND, 0o600)
        self._now = now
        self._encoder = msgspec.msgpack.Encoder()
        self._size = _complete(path.read_bytes())  # bytes of complete records
        self._torn = os.fstat(self._fd).st_size != self._size  # there is more behind them
        self._lost = 0
        self._write("begin", kind, name)

    def _write(self, *record: Any) -> None:
        """A disk that takes nothing costs records, not the process that is captured."""
        try:
            if self._torn:
                os.ftruncate(self._fd, self._size)
                self._torn = False
            if self._lost:
                self._append("lost", self._lost)
                self._lost = 0
            self._append(*record)
        except OSError:
            self._lost += 1

    def _append(self, *record: Any) -> None:
        data = self._encoder.encode((self._now(), *record))
        data = len(data).to_bytes(LENGTH, "little") + data
        self._torn = True
        write_all(self._fd, data)
        self._torn = False
        self._size += len(data)

    def on_opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        self._write("open", stream, role, local, remote)

    def on_bytes(self, stream: int, sent: bool, data: bytes) -> None:
        self._write("out" if sent else "in", stream, data)

    def on_closed(self, stream: int) -> None:
        self._write("close", stream)

    def told(self, version: int, lines: list[WorkerConfig]) -> None:
        self._write("told", version, [(w.name, w.address, w.state, w.started_at) for w in lines])

    def ran(self, call_id: str, run: int) -> None:
        self._write("ran", call_id, run)

    def started(self, cold: bool) -> None:
        self._write("started", cold)

    def lived(self, event: CopyEvent) -> None:
        copy = (event.copy, event.function, event.memory_mb, event.tenant)
        self._write("lived", event.at_us, event.kind, *copy)

    def close(self) -> None:
        os.close(self._fd)


def read(path: Path) -> Iterator[list[Any]]:
    """The records in order; a last one cut short by a kill is left out."""
    data = path.read_bytes()
    at, upto = 0, _complete(data)
    decode = msgspec.msgpack.Decoder(list[Any]).decode
    while at < upto:
        end = at + LENGTH + int.from_bytes(data[at : at + LENGTH], "little")
        yield decode(data[at + LENGTH : end])
        at = end


def _complete(data: bytes) -> int:
    """How many bytes the complete records at its beginning take."""
    at = 0
    while at + LENGTH <= len(data):
        end = at + LENGTH + int.from_bytes(data[at : at + LENGTH], "little")
        if end > len(data):
            break
        at = end
    return at
