"""Encoding of actions as records of the simulator's protocol, without I/O."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from typing import Any

from walnutpost import interface as api
from walnutpost.adapter.frames import (
    MAX_TEXT_BYTES,
    RECORD_HEADER,
    REPLY_HEADER,
    REPLY_HEADER_BYTES_IN_LENGTH,
    OutputCode,
)


def encode_reply(number: int, records: Sequence[bytes]) -> bytes:
    """Encode the reply to the batch with this number."""
    body = b"".join(records)
    return REPLY_HEADER.pack(REPLY_HEADER_BYTES_IN_LENGTH + len(body), number) + body


def encode_fault(instance: int, text: str) -> bytes:
    """Encode the record which reports that an instance failed."""
    return _encode_text(OutputCode.FAULT, instance, text)


def encode_action(instance: int, action: api.Action) -> bytes:
    """Encode an action as a record. Raise TypeError if the protocol has no record for it."""
    match action:
        case api.Send(request, worker, timeout_us):
            return _encode(OutputCode.SEND, "IQII", instance, request, worker, timeout_us)
        case api.Reject(request, retry_after_us):
            return _encode(OutputCode.REJECT, "IQI", instance, request, retry_after_us)
        case api.Fail(request):
            return _encode(OutputCode.FAIL, "IQ", instance, request)
        case api.Cancel(request, attempt):
            return _encode(OutputCode.CANCEL, "IQH", instance, request, attempt)
        case api.SetTimer(delay_us, token):
            return _encode(OutputCode.SET_TIMER, "III", instance, delay_us, token)
        case api.Probe(worker):
            return _encode(OutputCode.PROBE, "II", instance, worker)
        case api.CloseIdleConnections(worker):
            return _encode(OutputCode.CLOSE_IDLE_CONNECTIONS, "II", instance, worker)
        case api.Log(text):
            return _encode_text(OutputCode.LOG, instance, text)
        case api.WatchEndpoints(is_on):
            return _encode(OutputCode.WATCH_ENDPOINTS, "IB", instance, is_on)
        case api.FetchEndpoints():
            return _encode(OutputCode.FETCH_ENDPOINTS, "I", instance)
        case api.LoadOrder(worker, function, copies):
            return _encode(OutputCode.LOAD_ORDER, "IIQB", instance, worker, function, copies)
        case api.Unload(worker, function):
            return _encode(OutputCode.UNLOAD, "IIQ", instance, worker, function)
    raise TypeError(f"no wire form for {action!r}")


def _encode(code: OutputCode, layout: str, *values: Any) -> bytes:
    fields = struct.pack("<" + layout, *values)
    return RECORD_HEADER.pack(code, len(fields)) + fields


def _encode_text(code: OutputCode, instance: int, text: str) -> bytes:
    data = text.encode()[:MAX_TEXT_BYTES]
    return _encode(code, f"IH{len(data)}s", instance, len(data), data)
