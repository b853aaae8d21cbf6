"""From captures back to HTTP exchanges, with the times of their first and last bytes.

Reads bytes with its own small collector around the parser library; the gateway's HTTP, codecs and state are
not used, so that a mistake in them cannot hide itself. Times are microseconds since the epoch.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import httptools

from walnutpost.faultinjection.capture import RecordKind
from walnutpost.faultinjection.errors import CaptureError

# Which end of a stream sends the requests, by the role that its process gave it.
CLIENT_ROLES = {"link", "client"}


@dataclass(slots=True)
class Message:
    """A request or response; `ended_us` is 0 where it was cut short."""

    began_us: int
    ended_us: int = 0
    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True)
class Exchange:
    """A request and the response that followed it on the same stream, if one did.

    `closed_us` is when the stream was closed, or its process's capture ended.
    """

    stream: int
    remote: tuple[str, int]
    request: Message
    response: Message | None = None
    closed_us: int = 0


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """A worker as a list has it; `started_at_s` in seconds since the epoch."""

    name: str
    address: str
    state: str
    started_at_s: float

    @property
    def is_ready(self) -> bool:
        """Whether it may be sent new work."""
        return self.state == "ready"


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list of workers that a front end was given."""

    at_us: int
    version: int
    workers: tuple[ListedWorker, ...]


@dataclass(frozen=True, slots=True)
class Execution:
    """An execution, by a worker's own record."""

    at_us: int
    call_id: str
    run: int


@dataclass(frozen=True, slots=True)
class WorkerStart:
    """A worker's start; a cold one warms up."""

    at_us: int
    is_cold: bool


@dataclass(slots=True)
class CapturedProcess:
    """One process's capture; exchanges by role, in order of their requests."""

    kind: str
    name: str
    began_us: int
    ended_us: int = 0
    exchanges: dict[str, list[Exchange]] = field(default_factory=dict)
    endpoint_lists: list[EndpointList] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    starts: list[WorkerStart] = field(default_factory=list)


class _MessageCollector:
    """The messages in one direction of a stream; methods `on_...` are called by the parser."""

    def __init__(self, has_requests: bool) -> None:
        self.messages: list[Message] = []
        self._has_requests = has_requests
        self._parser: Any = (
            httptools.HttpRequestParser(self) if has_requests else httptools.HttpResponseParser(self)
        )
        self._is_malformed = False
        self._now_us = 0
        self._current: Message | None = None

    def feed(self, now_us: int, data: bytes) -> None:
        """Take bytes; nothing more is read after bytes that are no HTTP."""
        if self._is_malformed:
            return
        self._now_us = now_us
        if self._current is None and data:
            self._current = Message(now_us)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_malformed = True
        self._list_current()

    def _list_current(self) -> None:
        """Put the message that has begun among the others, as one cut short."""
        if self._current is not None and self._current not in self.messages[-1:]:
            self.messages.append(self._current)

    def on_message_begin(self) -> None:
        if self._current is None:
            self._current = Message(self._now_us)

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
        if self._has_requests:
            message.method = self._parser.get_method().decode("latin-1")
        else:
            message.status = self._parser.get_status_code()
            if 100 <= message.status < 200:  # an interim response is none
                self._drop_current()
                return
        message.ended_us = self._now_us
        self._list_current()
        self._current = None

    def _drop_current(self) -> None:
        message = self._current
        self._current = None
        if message in self.messages:
            self.messages.remove(message)


@dataclass(slots=True)
class _Stream:
    number: int
    role: str
    remote: tuple[str, int]
    requests: _MessageCollector
    responses: _MessageCollector
    closed_us: int = 0

    def feed(self, now_us: int, sent: bool, data: bytes) -> None:
        has_requests = sent == (self.role in CLIENT_ROLES)
        (self.requests if has_requests else self.responses).feed(now_us, data)

    def exchanges(self, ended_us: int) -> list[Exchange]:
        responses = self.responses.messages
        exchanges = []
        for place, request in enumerate(self.requests.messages):
            response = responses[place] if place < len(responses) else None
            closed_us = self.closed_us or ended_us
            exchanges.append(Exchange(self.number, self.remote, request, response, closed_us))
        return exchanges


class _ProcessReader:
    """Takes the records of one process."""

    def __init__(self, at_us: int, kind: str, name: str) -> None:
        self.process = CapturedProcess(kind, name, at_us)
        self._open: dict[int, _Stream] = {}
        self._closed: list[_Stream] = []

    def add(self, at_us: int, kind: str, fields: list[Any]) -> None:
        process = self.process
        process.ended_us = max(process.ended_us, at_us)
        match kind:
            case RecordKind.OPEN:
                self._add_stream(*fields)
            case RecordKind.IN | RecordKind.OUT:
                self._open[fields[0]].feed(at_us, kind == RecordKind.OUT, fields[1])
            case RecordKind.CLOSE:
                stream = self._open.pop(fields[0])
                stream.closed_us = at_us
                self._closed.append(stream)
            case RecordKind.ENDPOINT_LIST:
                workers = tuple(ListedWorker(*worker) for worker in fields[1])
                process.endpoint_lists.append(EndpointList(at_us, fields[0], workers))
            case RecordKind.EXECUTION:
                process.executions.append(Execution(at_us, fields[0], fields[1]))
            case RecordKind.START:
                process.starts.append(WorkerStart(at_us, fields[0]))

    def _add_stream(self, number: int, role: str, _local: list[Any], remote: list[Any]) -> None:
        requests = _MessageCollector(has_requests=True)
        responses = _MessageCollector(has_requests=False)
        self._open[number] = _Stream(number, role, (remote[0], remote[1]), requests, responses)

    def finish(self) -> CapturedProcess:
        process = self.process
        for stream in [*self._closed, *self._open.values()]:
            exchanges = stream.exchanges(process.ended_us)
            if exchanges:
                process.exchanges.setdefault(stream.role, []).extend(exchanges)
        for exchanges in process.exchanges.values():
            exchanges.sort(key=lambda exchange: exchange.request.began_us)
        return process


def read_processes(records: Iterable[list[Any]]) -> list[CapturedProcess]:
    """Read the processes of one capture file: each "begin" starts one, as after a restart.

    Raises CaptureError where the first record does not name a process.
    """
    processes: list[CapturedProcess] = []
    reader: _ProcessReader | None = None
    for at_us, kind, *fields in records:
        if kind == RecordKind.BEGIN:
            if reader is not None:
                processes.append(reader.finish())
            reader = _ProcessReader(at_us, *fields)
        if reader is None:
            raise CaptureError("the capture does not start with its process")
        reader.add(at_us, kind, fields)
    if reader is not None:
        processes.append(reader.finish())
    return processes
