"""Keeps the instances of one process and feeds each its events; decides nothing."""

from __future__ import annotations

import sys
import traceback
from dataclasses import replace
from typing import BinaryIO

from walnutpost.adapter import codec, settings
from walnutpost.policy import Router


class Host:
    def __init__(self) -> None:
        self._decoder = codec.Decoder()
        self._routers: dict[int, Router] = {}
        self._faulted: dict[int, None] = {}

    def batch(self, header: codec.BatchHeader, body: bytes) -> bytes:
        replies: list[bytes] = []
        for instance, event in self._decoder.records(header, body):
            self._feed(instance, header, event, replies)
        return codec.encode_reply(header.number, replies)

    def _feed(
        self, instance: int, header: codec.BatchHeader, event: codec.Incoming, replies: list[bytes]
    ) -> None:
        if isinstance(event, codec.Started):
            self._faulted.pop(instance, None)
        elif instance in self._faulted:
            return
        elif instance not in self._routers:
            raise codec.ProtocolError(
                f"batch {header.number}: {type(event).__name__} for instance {instance}, which does not exist"
            )
        try:
            match event:
                case codec.Started(seed, text):
                    told = replace(settings.parse_settings(text), is_ideal_network=True)
                    self._routers[instance] = Router(told, seed)
                case codec.Stopped():
                    del self._routers[instance]
                case _:
                    for action in self._routers[instance].handle(header.clock, event):
                        replies.append(codec.encode_action(instance, action))
        except settings.SettingsError as error:
            self._fault(instance, str(error), replies)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            frame = traceback.extract_tb(error.__traceback__)[-1]
            where = f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno} in {frame.name}"
            self._fault(instance, f"{type(error).__name__}: {error} at {where}", replies)

    def _fault(self, instance: int, text: str, replies: list[bytes]) -> None:
        self._routers.pop(instance, None)
        self._faulted[instance] = None
        replies.append(codec.encode_fault(instance, text))


def _read(source: BinaryIO, size: int) -> bytes:
    parts = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def serve(source: BinaryIO, sink: BinaryIO) -> int:
    """Answers batches until the input ends; returns the exit code."""
    host = Host()
    try:
        while head := _read(source, codec.BATCH_HEADER.size):
            if len(head) < codec.BATCH_HEADER.size:
                raise codec.ProtocolError(f"input ends inside a batch header, after {len(head)} bytes")
            header = codec.read_header(head)
            size = header.length - codec.AFTER_LENGTH
            body = _read(source, size)
            if len(body) < size:
                raise codec.ProtocolError(
                    f"batch {header.number}: input ends after {len(body)} of {size} bytes"
                )
            sink.write(host.batch(header, body))
            sink.flush()
    except codec.ProtocolError as error:
        print(f"walnutpost adapter: {error}", file=sys.stderr)
        return 1
    return 0
