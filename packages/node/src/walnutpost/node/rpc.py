"""MessagePack-RPC, server side: parses messages and encodes answers (PROTOCOL, "Clients to front ends").

No I/O. Each connection buffers at most one incomplete message.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from typing import Any

import msgpack

from walnutpost.gateway.messages import Message
from walnutpost.node.errors import NodeError
from walnutpost.node.message_scanner import MessageScanner

MAX_BODY_BYTES = 16 << 10
MAX_MESSAGE_BYTES = MAX_BODY_BYTES + (8 << 10)  # the body and the fields
MAX_READ_BYTES = 32 << 10  # maximum input to the parser per call
MAX_UNPACKED_BYTES = MAX_MESSAGE_BYTES + MAX_READ_BYTES
MAX_STRING_BYTES, MAX_ARRAY_ITEMS, MAX_MAP_ITEMS = 1024, 4096, 64
UNPACKER_READ_BYTES = 4096
MAX_MESSAGE_ID = (1 << 32) - 1
REQUEST, RESPONSE, NOTIFICATION = 0, 1, 2
IDENTIFIER = re.compile(r"[0-9a-f]{16}")
NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?")
IDEMPOTENCY_KEY = re.compile(r"[\w.:-]{0,64}", re.ASCII)  # sent to workers unescaped in a list of fields
MAX_COST_MS = 1e9
MAX_MEMORY_MB, MAX_CONCURRENCY, MAX_LOAD_MS = 1e6, 1e4, 1e7
MESSAGE_OVERHEAD_BYTES = 1000  # memory of a parsed message without its body
MESSAGE_ID_BYTES = 40
BUDGET_SLACK_MS = 1000  # allows for a client's rounding; the check only rejects implausible budgets


class UnreadableMessageError(NodeError):
    """Bytes that are not a valid protocol message; the rest of the connection's input can't be parsed."""


class InvalidRequest(Message, frozen=True):
    """An invalid request with a valid message id, which is answered with an error."""

    message_id: int
    reason: str


class CallRequest(Message, frozen=True):
    """A call of a function.

    `memory_mb`, `concurrency` and `load_time_us` apply to one copy of the function. Only some platforms send
    `tenant`, `cost_us` (time on a standard core) and `idempotency_key`.
    """

    message_id: int
    request_id: str
    request_class: str
    function: str
    budget_us: int
    is_retry: bool
    memory_mb: float
    concurrency: float
    load_time_us: int
    body: bytes
    tenant: str | None = None
    cost_us: int | None = None
    idempotency_key: str = ""


class CheckRequest(Message, frozen=True):
    """Asks whether the node is ready for more requests."""

    message_id: int


class Interrupt(Message, frozen=True):
    """Cancels requests of the same connection; gets no answer."""

    message_ids: tuple[int, ...]


Incoming = CallRequest | CheckRequest | Interrupt | InvalidRequest


def memory_bytes(message: Incoming) -> int:
    """Return about how much memory a message takes."""
    match message:
        case CallRequest():
            return MESSAGE_OVERHEAD_BYTES + len(message.body)
        case Interrupt(message_ids):
            return MESSAGE_OVERHEAD_BYTES + MESSAGE_ID_BYTES * len(message_ids)
        case _:
            return MESSAGE_OVERHEAD_BYTES


def encode_result(message_id: int, body: bytes) -> bytes:
    """Encode the answer to a successful call."""
    return msgpack.packb([RESPONSE, message_id, None, [body, {}]])  # type: ignore[no-any-return]


def encode_check_result(message_id: int, is_ready: bool) -> bytes:
    """Encode the answer to a `CheckRequest`."""
    return msgpack.packb([RESPONSE, message_id, None, [is_ready, {}]])  # type: ignore[no-any-return]


def encode_overloaded(message_id: int, retry_after_us: int = 0) -> bytes:
    """Encode a rejection, which states that the call did not run; `retry_after_us` 0 sends no backoff."""
    fields = {"backoff": str(max(1, retry_after_us // 1000))} if retry_after_us else {}
    return msgpack.packb([RESPONSE, message_id, ["Overloaded", fields], None])  # type: ignore[no-any-return]


def encode_internal_error(message_id: int, reason: str = "") -> bytes:
    """Encode a failure, after which the call may have run."""
    fields = {"reason": reason} if reason else {}
    return msgpack.packb([RESPONSE, message_id, ["Internal", fields], None])  # type: ignore[no-any-return]


class MessageParser:
    """Parses the bytes of one connection into messages."""

    def __init__(
        self,
        class_deadlines_us: Mapping[str, int],
        tenants: Collection[str] = (),
        max_messages: int | None = None,
    ) -> None:
        """Create a parser that returns up to `max_messages` at a time; None means all.

        `class_deadlines_us` is each class's maximum budget; without `tenants` the tenant is ignored.
        """
        self._class_deadlines_us = class_deadlines_us
        self._tenants = tenants
        self._max_messages = max_messages
        self._unparsed = b""
        self._scanner: MessageScanner | None = None  # of the incomplete message
        self.may_have_more = False  # whether the last call stopped at the maximum number of messages

    @property
    def has_partial(self) -> bool:
        """Whether the last message is incomplete."""
        return bool(self._unparsed) and not self.may_have_more

    @property
    def unparsed_bytes(self) -> int:
        """Size of the input that no message has been made of yet."""
        return len(self._unparsed)

    def clear(self) -> None:
        """Drop the input that no message has been made of yet."""
        self._unparsed = b""
        self._scanner = None
        self.may_have_more = False

    def feed(self, data: bytes) -> tuple[list[Incoming], UnreadableMessageError | None]:
        """Parse up to MAX_READ_BYTES more; return the complete messages and the error after them, if any.

        If `may_have_more` is set, feed no more data until another call without any has cleared it.
        """
        data = self._unparsed + data if self._unparsed else data
        messages: list[Incoming] = []
        self._unparsed = b""
        self.may_have_more = False
        try:
            end = self._parse_messages(data, messages) if self._is_first_complete(data) else 0
            if len(data) - end > MAX_MESSAGE_BYTES and not self.may_have_more:
                raise UnreadableMessageError(f"a message is longer than {MAX_MESSAGE_BYTES} bytes")
        except UnreadableMessageError as error:
            return messages, error
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            return messages, UnreadableMessageError(f"{type(error).__name__}: {error}")
        self._unparsed = data[end:]
        return messages, None

    def _is_first_complete(self, data: bytes) -> bool:
        """Return False if the message that was incomplete still is. Raises ValueError if it can't be read."""
        if self._scanner is None:
            return True
        if self._scanner.scan(data):
            self._scanner = None
            return True
        if self._scanner.min_size > MAX_UNPACKED_BYTES:
            raise ValueError(f"a message of at least {self._scanner.min_size} bytes")
        return False

    def _parse_messages(self, data: bytes, messages: list[Incoming]) -> int:
        """Append the complete messages to `messages`, and return the end position of the last one."""
        # A reused unpacker would keep its largest buffer for the lifetime of the connection.
        unpacker = msgpack.Unpacker(
            read_size=min(len(data), UNPACKER_READ_BYTES) or 1,
            max_buffer_size=MAX_UNPACKED_BYTES,
            max_str_len=MAX_STRING_BYTES,
            max_bin_len=MAX_MESSAGE_BYTES,
            max_array_len=MAX_ARRAY_ITEMS,
            max_map_len=MAX_MAP_ITEMS,
            max_ext_len=0,
        )
        end = 0
        unpacker.feed(data)
        while len(messages) != self._max_messages:
            try:
                value = unpacker.unpack()
            except msgpack.OutOfData:
                self._scanner = MessageScanner() if end < len(data) else None
                return end
            end = unpacker.tell()
            messages.append(self._parse_message(value))
        self.may_have_more = end < len(data)
        return end

    def _parse_message(self, value: Any) -> Incoming:
        if type(value) is not list or not value:
            raise UnreadableMessageError("a message is not a non-empty array")
        if value[0] == NOTIFICATION and len(value) == 3 and type(value[2]) is list:
            return _parse_notification(value[1], value[2])
        if value[0] != REQUEST or len(value) != 4:
            raise UnreadableMessageError("a message is neither a request nor a notification")
        message_id, method, params = value[1:]
        if type(message_id) is not int or not 0 <= message_id <= MAX_MESSAGE_ID:
            raise UnreadableMessageError(f"invalid message id {message_id!r:.40}")
        if method == "check":
            return CheckRequest(message_id)
        if type(params) is not list or len(params) != 2:
            return InvalidRequest(message_id, "params: wanted fields and a body")
        fields, body = params
        if type(fields) is not dict or type(body) is not bytes or len(body) > MAX_BODY_BYTES:
            return InvalidRequest(message_id, f"params: wanted a map and at most {MAX_BODY_BYTES} bytes")
        if any(type(k) is not str or type(v) is not str for k, v in fields.items()):
            return InvalidRequest(message_id, "fields: wanted strings")
        try:
            return self._parse_call(message_id, method, fields, body)
        except ValueError as error:
            return InvalidRequest(message_id, str(error))

    def _parse_call(
        self, message_id: int, method: Any, fields: Mapping[str, str], body: bytes
    ) -> CallRequest:
        """Parse and validate the fields of a call. Raises ValueError for the first invalid field."""
        request_class = fields.get("method", method)
        if type(request_class) is not str or request_class not in self._class_deadlines_us:
            raise ValueError(f"class: found {request_class!r:.40}")
        for name in ("rid", "obj"):
            if not IDENTIFIER.fullmatch(fields.get(name, "")):
                raise ValueError(f"{name}: found {fields.get(name)!r:.40}, wanted 16 hex digits")
        if fields.get("again", "1") != "1":
            raise ValueError(f"again: found {fields['again']!r:.40}, wanted 1")
        tenant = self._parse_tenant(fields)
        idempotency_key = fields.get("token", "")
        if not IDEMPOTENCY_KEY.fullmatch(idempotency_key):
            raise ValueError(f"token: found {idempotency_key!r:.80}")
        cost_ms = _parse_number(fields, "est", 0, MAX_COST_MS, 0.0)
        attributes = dict(part.partition(":")[::2] for part in fields.get("attrs", "").split(";") if part)
        max_budget_ms = self._class_deadlines_us[request_class] / 1000 + BUDGET_SLACK_MS
        budget_ms = _parse_number(fields, "budget", 1, max_budget_ms, None)
        return CallRequest(
            message_id,
            fields["rid"],
            request_class,
            fields["obj"],
            int(budget_ms * 1000),
            "again" in fields,
            _parse_number(attributes, "memory_mb", 0, MAX_MEMORY_MB, 0.0),
            _parse_number(attributes, "lanes", 1, MAX_CONCURRENCY, 1.0),
            int(_parse_number(attributes, "load_ms", 0, MAX_LOAD_MS, 0.0) * 1000),
            body,
            tenant,
            int(cost_ms * 1000) or None,
            idempotency_key,
        )

    def _parse_tenant(self, fields: Mapping[str, str]) -> str | None:
        if not self._tenants:
            return None
        tenant = fields.get("acct")
        if tenant is not None and tenant not in self._tenants:
            raise ValueError(f"acct: found {tenant!r:.40}")
        return tenant


def _parse_notification(method: Any, params: list[Any]) -> Interrupt:
    message_ids = params[0] if params and type(params[0]) is list else params
    if method != "interrupt" or any(type(message_id) is not int for message_id in message_ids):
        raise UnreadableMessageError(f"unknown or invalid notification {method!r:.40}")
    return Interrupt(tuple(message_ids))


def _parse_number(
    fields: Mapping[str, str], name: str, minimum: float, maximum: float, default: float | None
) -> float:
    """Return a field's value. Raises ValueError if it is out of range, or missing without a default."""
    text = fields.get(name)
    if text is None and default is not None:
        return default
    if text is None or not NUMBER.fullmatch(text) or not minimum <= (value := float(text)) <= maximum:
        raise ValueError(f"{name}: found {text!r:.40}, wanted a number from {minimum:g} to {maximum:g}")
    return value
