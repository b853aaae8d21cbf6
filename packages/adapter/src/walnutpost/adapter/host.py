"""The host of a process's routers: passes each instance's events to its router and makes no decisions."""

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
    """The instances of one process, each with its router. Failed ones ignore input until they restart."""

    def __init__(self) -> None:
        self._decoder = decoding.Decoder()
        self._routers: dict[int, Router] = {}
        self._failed: set[int] = set()

    def handle_batch(self, header: BatchHeader, body: bytes) -> bytes:
        """Return the encoded reply to a batch. Raise ProtocolError if the batch is malformed."""
        records: list[bytes] = []
        for instance_input in self._decoder.decode_records(header, body):
            self._process_input(instance_input, header, records)
        return encoding.encode_reply(header.number, records)

    def _process_input(
        self, instance_input: InstanceInput, header: BatchHeader, records: list[bytes]
    ) -> None:
        instance = instance_input.instance
        if isinstance(instance_input.event, InstanceStarted):
            self._failed.discard(instance)
        elif instance in self._failed:
            return
        elif instance not in self._routers:
            kind = type(instance_input.event).__name__
            raise ProtocolError(f"{kind} for instance {instance}, which does not exist", header.place)
        try:
            self._handle_event(instance_input, header.clock_us, records)
        except SettingsError as error:
            self._fail_instance(instance, str(error), records)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self._fail_instance(instance, _describe(error), records)

    def _handle_event(self, instance_input: InstanceInput, now_us: int, records: list[bytes]) -> None:
        instance = instance_input.instance
        match instance_input.event:
            case InstanceStarted(seed, text):
                parsed = replace(settings.parse_settings(text), is_ideal_network=True)
                self._routers[instance] = Router(parsed, seed)
            case InstanceStopped():
                del self._routers[instance]
            case event:
                for action in self._routers[instance].handle(now_us, event):
                    records.append(encoding.encode_action(instance, action))

    def _fail_instance(self, instance: int, text: str, records: list[bytes]) -> None:
        self._routers.pop(instance, None)
        self._failed.add(instance)
        records.append(encoding.encode_fault(instance, text))


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Reply to batches until the input ends. Return the exit code: 0, or 1 after a protocol error."""
    host = Host()
    try:
        while header_bytes := _read(source, frames.BATCH_HEADER.size):
            if len(header_bytes) < frames.BATCH_HEADER.size:
                raise ProtocolError(f"input ends inside a batch header, after {len(header_bytes)} bytes")
            header = decoding.decode_header(header_bytes)
            size = header.length - frames.BATCH_HEADER_BYTES_IN_LENGTH
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
    """Read exactly `size` bytes, or fewer if the input ends."""
    parts = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def _describe(error: Exception) -> str:
    """Return the type and message of an error with the source line that raised it."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{PurePath(frame.filename).name}:{frame.lineno} in {frame.name}"
    return f"{type(error).__name__}: {error} at {place}"
