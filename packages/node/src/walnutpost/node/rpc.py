"""MessagePack-RPC, the server's side: bytes in, messages or one stated error out (PROTOCOL, "Clients to
front ends"). No I/O; what is held of a connection is bounded by one message."""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from typing import Any

import msgpack

from walnutpost.gateway.messages import Message

BODY_MOST = 16 << 10
MESSAGE_MOST = BODY_MOST + (8 << 10)  # a body and its fields
READ_MOST = 32 << 10  # bytes to hand over at a time
STRING_MOST, ARRAY_MOST, MAP_MOST = 1024, 4096, 64
NUMBER_MOST = (1 << 32) - 1
REQUEST, NOTIFY = 0, 2
HEX = re.compile(r"[0-9a-f]{16}")
FIGURE = re.compile(r"\d{1,12}(\.\d{1,12})?")
TOKEN = re.compile(r"[\w.:-]{0,64}", re.ASCII)  # goes into a list of fields as it is
COST_MS_MOST = 1e9
MEMORY_MOST, LANES_MOST, LOAD_MS_MOST = 1e6, 1e4, 1e7


class Unreadable(Exception):
    """No message of the protocol: the connection can't be followed any further."""


class Bad(Message, frozen=True):
    """A request that can be told from others but not used; an error is its answer."""

    number: int
    reason: str


class Call(Message, frozen=True):
    """`budget` in microseconds; `memory_mb`, `lanes` and `load_time` (microseconds) are a copy's. `tenant`,
    `cost` (microseconds of a standard core) and `repeat_key` are told on some platforms only."""

    number: int
    rid: str
    cls: str
    function: str
    budget: int
    again: bool
    memory_mb: float
    lanes: float
    load_time: int
    body: bytes
    tenant: str | None = None
    cost: int | None = None
    repeat_key: str = ""


class Check(Message, frozen=True):
    number: int


class Interrupt(Message, frozen=True):
    numbers: tuple[int, ...]


Incoming = Call | Check | Interrupt | Bad


def served(number: int, body: bytes) -> bytes:
    return msgpack.packb([1, number, None, [body, {}]])  # type: ignore[no-any-return]


def checked(number: int, ready: bool) -> bytes:
    return msgpack.packb([1, number, None, [ready, {}]])  # type: ignore[no-any-return]


def refused(number: int, backoff: int = 0) -> bytes:
    """`backoff` in microseconds: not to come back before; 0 gives no advice."""
    fields = {"backoff": str(max(1, backoff // 1000))} if backoff else {}
    return msgpack.packb([1, number, ["Overloaded", fields], None])  # type: ignore[no-any-return]


def failed(number: int, reason: str = "") -> bytes:
    fields = {"reason": reason} if reason else {}
    return msgpack.packb([1, number, ["Internal", fields], None])  # type: ignore[no-any-return]


class Reader:
    """The messages of one connection. `classes` gives each class's longest wait in microseconds."""

    def __init__(self, classes: Mapping[str, int], tenants: Collection[str] = ()) -> None:
        self._classes = classes
        self._tenants = tenants
        self._rest = b""

    @property
    def partial(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._rest)

    def feed(self, data: bytes) -> tuple[list[Incoming], Unreadable | None]:
        """The whole messages of at most READ_MOST more bytes, and what is wrong with what follows."""
        data = self._rest + data if self._rest else data
        # A new unpacker each time: a kept one would hold its largest buffer for as long as the connection.
        unpacker = msgpack.Unpacker(
            read_size=min(len(data), 4096) or 1,
            max_buffer_size=MESSAGE_MOST + READ_MOST,
            max_str_len=STRING_MOST,
            max_bin_len=MESSAGE_MOST,
            max_array_len=ARRAY_MOST,
            max_map_len=MAP_MOST,
            max_ext_len=0,
        )
        messages: list[Incoming] = []
        at = 0
        try:
            unpacker.feed(data)
            while True:
                try:
                    value = unpacker.unpack()
                except msgpack.OutOfData:
                    break
                at = unpacker.tell()
                messages.append(self._message(value))
            if len(data) - at > MESSAGE_MOST:
                raise Unreadable(f"a message of more than {MESSAGE_MOST} bytes")
        except Unreadable as error:
            self._rest = b""
            return messages, error
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
            self._rest = b""
            return messages, Unreadable(f"{type(error).__name__}: {error}")
        self._rest = data[at:]
        return messages, None

    def _message(self, value: Any) -> Incoming:
        if type(value) is not list or not value:
            raise Unreadable("found no array")
        if value[0] == NOTIFY and len(value) == 3 and type(value[2]) is list:
            numbers = value[2][0] if value[2] and type(value[2][0]) is list else value[2]
            if value[1] != "interrupt" or any(type(n) is not int for n in numbers):
                raise Unreadable(f"found a notification {value[1]!r:.40}")
            return Interrupt(tuple(numbers))
        if value[0] != REQUEST or len(value) != 4:
            raise Unreadable("found neither a request nor a notification")
        number, method, params = value[1:]
        if type(number) is not int or not 0 <= number <= NUMBER_MOST:
            raise Unreadable(f"found a message id {number!r:.40}")
        if method == "check":
            return Check(number)
        if type(params) is not list or len(params) != 2:
            return Bad(number, "params: wanted fields and a body")
        fields, body = params
        if type(fields) is not dict or type(body) is not bytes or len(body) > BODY_MOST:
            return Bad(number, f"params: wanted a map and at most {BODY_MOST} bytes")
        if any(type(k) is not str or type(v) is not str for k, v in fields.items()):
            return Bad(number, "fields: wanted strings")
        try:
            return self._call(number, method, fields, body)
        except ValueError as error:
            return Bad(number, str(error))

    def _call(self, number: int, method: Any, fields: Mapping[str, str], body: bytes) -> Call:
        cls = fields.get("method", method)
        if type(cls) is not str or cls not in self._classes:
            raise ValueError(f"class: found {cls!r:.40}")
        for name in ("rid", "obj"):
            if not HEX.fullmatch(fields.get(name, "")):
                raise ValueError(f"{name}: found {fields.get(name)!r:.40}, wanted 16 hex digits")
        if fields.get("again", "1") != "1":
            raise ValueError(f"again: found {fields['again']!r:.40}, wanted 1")
        tenant = fields.get("acct")
        if not self._tenants:
            tenant = None  # nobody's share is told here
        elif tenant is not None and tenant not in self._tenants:
            raise ValueError(f"acct: found {tenant!r:.40}")
        repeat_key = fields.get("token", "")
        if not TOKEN.fullmatch(repeat_key):
            raise ValueError(f"token: found {repeat_key!r:.80}")
        cost = _figure(fields, "est", 0, COST_MS_MOST, 0.0)
        figures = dict(part.partition(":")[::2] for part in fields.get("attrs", "").split(";") if part)
        # A whole second of grace: what counts here is that a figure is sane, not how a client rounds it.
        budget = _figure(fields, "budget", 1, self._classes[cls] / 1000 + 1000, None)
        return Call(
            number,
            fields["rid"],
            cls,
            fields["obj"],
            int(budget * 1000),
            "again" in fields,
            _figure(figures, "memory_mb", 0, MEMORY_MOST, 0.0),
            _figure(figures, "lanes", 1, LANES_MOST, 1.0),
            int(_figure(figures, "load_ms", 0, LOAD_MS_MOST, 0.0) * 1000),
            body,
            tenant,
            int(cost * 1000) or None,
            repeat_key,
        )


def _figure(told: Mapping[str, str], name: str, least: float, most: float, absent: float | None) -> float:
    text = told.get(name)
    if text is None and absent is not None:
        return absent
    if text is None or not FIGURE.fullmatch(text) or not least <= (value := float(text)) <= most:
        raise ValueError(f"{name}: found {text!r:.40}, wanted a number from {least:g} to {most:g}")
    return value
