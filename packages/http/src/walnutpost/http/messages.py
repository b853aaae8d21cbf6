"""Messages and their parsing: bytes in, whole messages out. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import httptools

REASONS = {status.value: status.phrase for status in HTTPStatus}
HEAD_OVERHEAD = 4  # bytes a header line adds to its name and value


class BadMessage(Exception):
    """A message that is no HTTP, or goes past a limit; `status` is what a server answers to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Limits:
    """Bytes of a message's head and body at the most, and microseconds to send each."""

    head: int = 64 * 1024
    body: int = 6 * 1024 * 1024
    head_time: int = 10_000_000
    body_time: int = 30_000_000
    idle_time: int = 75_000_000


@dataclass(slots=True)
class Request:
    method: str
    target: bytes
    headers: dict[str, str]  # names in lower case; a repeated one's values joined by ", "
    body: bytes = b""
    keep_alive: bool = True


@dataclass(slots=True)
class Response:
    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True


class _Reader:
    """What both parsers share: collecting one message's parts within the limits."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self.begun = False  # a message has started and is not whole
        self.head_done = False
        self._overflow: BadMessage | None = None
        self._reset()

    def _reset(self) -> None:
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._size = 0
        self._head_size = 0
        self._target = b""

    def on_message_begin(self) -> None:
        self.begun, self.head_done = True, False
        self._reset()

    def on_url(self, target: bytes) -> None:
        self._target += target
        self._count_head(len(target))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + HEAD_OVERHEAD)
        key, text = name.decode("latin-1").lower(), value.decode("latin-1")
        known = self._headers.get(key)
        if known is not None and key == "content-length" and known != text:
            self._fail(BadMessage(400, "two content lengths that differ"))
        self._headers[key] = text if known is None else f"{known}, {text}"

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._limits.body:
            self._fail(BadMessage(413, f"body of more than {self._limits.body} bytes"))
        self._parts.append(data)

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._limits.head:
            self._fail(BadMessage(431, f"head of more than {self._limits.head} bytes"))

    def _check_length(self) -> None:
        told = self._headers.get("content-length", "0")
        if told.isdigit() and int(told) > self._limits.body:
            self._fail(BadMessage(413, f"body of {told} bytes; {self._limits.body} at most"))

    def _fail(self, error: BadMessage) -> None:
        self._overflow = self._overflow or error
        raise error

    def _explain(self, error: httptools.HttpParserError) -> BadMessage:
        return self._overflow or BadMessage(400, f"not HTTP/1.1: {error}")


class RequestReader(_Reader):
    """Feed it bytes; whole requests come out of `ready`, in order."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.ready: deque[Request] = deque()
        self.wants_continue = False  # the client waits for 100 before it sends the body
        self._parser: Any = httptools.HttpRequestParser(self)
        self._unparsed_head = 0

    def feed(self, data: bytes) -> None:
        """Raises BadMessage; the requests that were whole before it are in `ready` all the same."""
        before = len(self.ready)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "upgrades are not served") from None
        except httptools.HttpParserError as error:
            raise self._explain(error) from None
        # A header line that never ends reaches no callback before it does: bytes without progress count too.
        if self.begun and not self.head_done and len(self.ready) == before:
            self._unparsed_head += len(data)
            if self._unparsed_head > self._limits.head:
                raise BadMessage(431, f"head of more than {self._limits.head} bytes")
        else:
            self._unparsed_head = 0

    def on_headers_complete(self) -> None:
        self.head_done = True
        self._check_length()
        self.wants_continue = self._headers.get("expect", "").lower() == "100-continue"

    def on_message_complete(self) -> None:
        self.begun = False
        self.wants_continue = False
        self.ready.append(
            Request(
                self._parser.get_method().decode("latin-1"),
                self._target,
                self._headers,
                b"".join(self._parts),
                self._parser.should_keep_alive(),
            )
        )


class ResponseReader(_Reader):
    """Reads one response after another; `done` holds the last whole one until taken."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.done: Response | None = None
        self.heard = False  # any byte at all since the last whole response
        self._parser: Any = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self.heard = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise self._explain(error) from None

    def on_headers_complete(self) -> None:
        self.head_done = True
        self._check_length()

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if 100 <= status < 200:
            return
        self.begun, self.heard = False, False
        self.done = Response(status, self._headers, b"".join(self._parts), self._parser.should_keep_alive())


def _lines(headers: dict[str, str]) -> str:
    for name, value in headers.items():
        if "\r" in value or "\n" in value:  # a value from outside must not start a header of its own
            headers = {**headers, name: value.replace("\r", " ").replace("\n", " ")}
    return "".join([f"{name}: {value}\r\n" for name, value in headers.items()])


def encode_response(response: Response) -> bytes:
    reason = REASONS.get(response.status, "Unknown")
    close = "" if response.keep_alive else "connection: close\r\n"
    head = (
        f"HTTP/1.1 {response.status} {reason}\r\n{_lines(response.headers)}{close}"
        f"content-length: {len(response.body)}\r\n\r\n"
    )
    return head.encode("latin-1", "replace") + response.body


def encode_request(method: str, target: str, host: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n{_lines(headers)}content-length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1", "replace") + body
