"""The instances of one process, each with its router; feeds each its events, and decides nothing."""

from __future__ import annotations

import sys
import traceback
from dataclasses import replace
from pathlib import PurePath
from typing import BinaryIO

from walnutpost.adapter import decoding, encoding, frames, settings
from walnutpost.adapter.errors import ProtocolError, SettingsError
from walnutpost.adapter.frames import BatchHeader, InstanceInput, InstanceStarted, InstanceStopped
from walnutpost.policy import Router


class Host:
    """Answers batches. An instance that failed is ignored until it is started anew."""

    def __init__(self) -> None:
        self._decoder = decoding.Decoder()
        self._routers: dict[int, Router] = {}
        self._failed: set[int] = set()

    def handle_batch(self, header: BatchHeader, body: bytes) -> bytes:
        """Return the reply to a batch. Raise ProtocolError."""
        records: list[bytes] = []
        for incoming in self._decoder.decode_records(header, body):
            self._feed(incoming, header, records)
        return encoding.encode_reply(header.number, records)

    def _feed(self, incoming: InstanceInput, header: BatchHeader, records: list[bytes]) -> None:
        instance = incoming.instance
        if isinstance(incoming.event, InstanceStarted):
            self._failed.discard(instance)
        elif instance in self._failed:
            return
        elif instance not in self._routers:
            kind = type(incoming.event).__name__
            raise ProtocolError(f"{kind} for instance {instance}, which does not exist", header.place)
        try:
            self._handle(incoming, header.clock_us, records)
        except SettingsError as error:
            self._fail(instance, str(error), records)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self._fail(instance, _describe(error), records)

    def _handle(self, incoming: InstanceInput, now_us: int, records: list[bytes]) -> None:
        instance = incoming.instance
        match incoming.event:
            case InstanceStarted(seed, text):
                parsed = replace(settings.parse_settings(text), is_ideal_network=True)
                self._routers[instance] = Router(parsed, seed)
            case InstanceStopped():
                del self._routers[instance]
            case event:
                for action in self._routers[instance].handle(now_us, event):
                    records.append(encoding.encode_action(instance, action))

    def _fail(self, instance: int, text: str, records: list[bytes]) -> None:
        self._routers.pop(instance, None)
        self._failed.add(instance)
        records.append(encoding.encode_fault(instance, text))


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answer batches until the input ends; return the exit code."""
    host = Host()
    try:
        while head := _read(source, frames.BATCH_HEADER.size):
            if len(head) < frames.BATCH_HEADER.size:
                raise ProtocolError(f"input ends inside a batch header, after {len(head)} bytes")
            header = decoding.decode_header(head)
            size = header.length - frames.LENGTH_OFFSET
            body = _read(source, size)
            if len(body) < size:
                raise ProtocolError(f"input ends after {len(body)} of {size} bytes", header.place)
            sink.write(host.handle_batch(header, body))
            sink.flush()
    except ProtocolError as error:
        print(f"walnutpost adapter: {error}", file=sys.stderr)
        return 1
    return 0


def _read(source: BinaryIO, size: int) -> bytes:
    """Read exactly so many bytes, or fewer where the input ends."""
    parts = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def _describe(error: Exception) -> str:
    """Name an error with the place that raised it."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{PurePath(frame.filename).name}:{frame.lineno} in {frame.name}"
    return f"{type(error).__name__}: {error} at {place}"
