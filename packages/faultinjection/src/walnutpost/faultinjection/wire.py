"""From captures back to what was said: HTTP messages with the times of their first and last bytes.

Reads bytes with its own small collector around the parser library; the gateway's HTTP, codecs and state
are not used, so that a mistake in them cannot hide itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import httptools


@dataclass(slots=True)
class Message:
    """`began` and `ended`: times of its first and last byte; `ended` is 0 where it was cut short."""

    began: int
    ended: int = 0
    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Exchange:
    """A request and the response that followed it on the same stream, if one did."""

    stream: int
    remote: tuple[str, int]
    request: Message
    response: Message | None = None
    closed: int = 0  # when the stream was closed, or its process's capture ended


class _Collector:
    def __init__(self, requests: bool) -> None:
        self.messages: list[Message] = []
        self.broken = False
        self._requests = requests
        self._parser: Any = (
            httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        )
        self._now = 0
        self._current: Message | None = None

    def feed(self, now: int, data: bytes) -> None:
        if self.broken:
            return
        self._now = now
        if self._current is None and data:
            self._current = Message(now)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.broken = True
        self.finish()

    def finish(self) -> None:
        """The message that has begun stands among the others, as one cut short."""
        if self._current is not None and self._current not in self.messages[-1:]:
            self.messages.append(self._current)

    def on_message_begin(self) -> None:
        if self._current is None:
            self._current = Message(self._now)

    def on_url(self, url: bytes) -> None:
        assert self._current is not None
        self._current.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._current is not None
        self._current.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        assert self._current is not None
        self._current.body += data

    def on_message_complete(self) -> None:
        message = self._current
        assert message is not None
        if self._requests:
            message.method = self._parser.get_method().decode("latin-1")
        else:
            message.status = self._parser.get_status_code()
            if 100 <= message.status < 200:  # an interim answer is none
                self._current = None
                if message in self.messages:
                    self.messages.remove(message)
                return
        message.ended = self._now
        if message not in self.messages[-1:]:
            self.messages.append(message)
        self._current = None


@dataclass(slots=True)
class _Stream:
    number: int
    role: str
    remote: tuple[str, int]
    asks: _Collector
    answers: _Collector
    closed: int = 0


# Which end of a stream sends the requests, by the role its process gave it.
ASKING_ROLES = {"link", "client"}


@dataclass(slots=True)
class Told:
    at: int
    version: int
    workers: list[tuple[str, str, str, float]]  # name, address, state, started_at


@dataclass(slots=True)
class Process:
    """One process's capture, read back."""

    kind: str
    name: str
    began: int
    ended: int = 0
    exchanges: dict[str, list[Exchange]] = field(default_factory=dict)  # by role, in order of the request
    told: list[Told] = field(default_factory=list)
    ran: list[tuple[int, str, int]] = field(default_factory=list)
    started: list[tuple[int, bool]] = field(default_factory=list)


def read_process(records: Iterable[list[Any]]) -> list[Process]:
    """The processes of one capture file: each "begin" starts one, as after a restart."""
    out: list[Process] = []
    streams: dict[int, _Stream] = {}
    ended: list[_Stream] = []
    process: Process | None = None
    for at, what, *rest in records:
        if what == "begin":
            _close(process, [*ended, *streams.values()])
            streams, ended = {}, []
            process = Process(rest[0], rest[1], at)
            out.append(process)
        if process is None:
            raise ValueError("the capture does not start with its process")
        process.ended = max(process.ended, at)
        if what == "open":
            number, role, _, remote = rest
            streams[number] = _Stream(
                number, role, (remote[0], remote[1]), _Collector(True), _Collector(False)
            )
        elif what in ("in", "out"):
            stream = streams[rest[0]]
            asking = (what == "out") == (stream.role in ASKING_ROLES)
            (stream.asks if asking else stream.answers).feed(at, rest[1])
        elif what == "close":
            stream = streams.pop(rest[0])
            stream.closed = at
            ended.append(stream)
        elif what == "told":
            process.told.append(Told(at, rest[0], [tuple(w) for w in rest[1]]))
        elif what == "ran":
            process.ran.append((at, rest[0], rest[1]))
        elif what == "started":
            process.started.append((at, rest[0]))
    _close(process, [*ended, *streams.values()])
    return out


def _close(process: Process | None, streams: list[_Stream]) -> None:
    if process is None:
        return
    for stream in streams:
        requests, answers = stream.asks.messages, stream.answers.messages
        for place, request in enumerate(requests):
            response = answers[place] if place < len(answers) else None
            exchange = Exchange(
                stream.number, stream.remote, request, response, stream.closed or process.ended
            )
            process.exchanges.setdefault(stream.role, []).append(exchange)
    for exchanges in process.exchanges.values():
        exchanges.sort(key=lambda e: e.request.began)
