"""Configuration stores, watch servers and members on a loop with virtual time, and single watch requests."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from walnutpost.configstore import (
    WATCH_PATH,
    ApplyOutcome,
    ConfigStore,
    Entry,
    Mutation,
    WatchRequest,
    WatchResponse,
    WatchState,
    decode,
    encode,
)
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.http import Connection, Exchange, HttpMessageError, Response, Server, encode_request
from walnutpost.http.server import start_server
from walnutpost.watch import ServerPool, Watcher, WatcherSettings, WatchServer

SECOND = 1_000_000
WAIT_TIMEOUT_US = 3 * SECOND


def protocol_error(error: HttpMessageError) -> Response:
    """Return the response to a malformed request."""
    return Response(error.status, body=str(error).encode())


def put_keys(first: int, count: int = 1, size: int = 20, salt: int = 0) -> list[Mutation]:
    """Return mutations that set `count` functions; values have `size` bytes and differ by `salt`."""
    return [
        Mutation(f"function/f{n:05}", f"{salt}.{n}".encode().ljust(size, b"."))
        for n in range(first, first + count)
    ]


def filled(count: int = 10, size: int = 20, **limits: int) -> ConfigStore:
    """Return a store of `count` keys, of one change set each; the log has these as far as `limits` allow."""
    table = ConfigStore(**limits)
    for n in range(count):
        table.propose(table.revision + 1, put_keys(n, size=size))
    return table


def large(count: int, size: int = 200) -> ConfigStore:
    """Return a store of `count` keys without a log: an empty watcher needs a snapshot."""
    entries = {op.key: Entry(op.key, op.value or b"", 1) for op in put_keys(0, count, size)}
    return ConfigStore.from_entries(entries, 100)


def copy(table: ConfigStore) -> ConfigStore:
    """Return a store with the same content."""
    return ConfigStore.restore(table.snapshot())


class Addressed(Protocol):
    """A server with an address."""

    @property
    def address(self) -> tuple[str, int]:
        """The host and port."""
        ...


class FakeServer:
    """A watch server as a relay or a control plane replica has it.

    `change` commits to its `table`. While `table` is None, the server has no store.
    """

    def __init__(
        self, loop: Loop, table: ConfigStore | None, age_us: Callable[[], int] = lambda: 0, **more: Any
    ) -> None:
        self.loop, self.table = loop, table
        self.compresses = False
        self.requests: list[WatchRequest] = []
        self.disconnected: list[WatchRequest] = []
        self.watch = WatchServer(loop, lambda: self.table, age_us, self, **more)
        self.server: Server = start_server(loop, ("127.0.0.1", 0), self._handle, protocol_error)
        self.address = self.server.address

    def _handle(self, exchange: Exchange) -> Response:
        assert (exchange.request.method, exchange.request.target) == ("POST", WATCH_PATH.encode())
        accept_encoding = exchange.request.headers.get("accept-encoding", "") if self.compresses else ""
        return self.watch.handle(exchange.request.body, exchange.stream, accept_encoding)

    def member_requested(self, request: WatchRequest) -> None:
        """Record a watch request."""
        self.requests.append(request)

    def member_disconnected(self, last_request: WatchRequest) -> None:
        """Record the last request of a connection that closed."""
        self.disconnected.append(last_request)

    def change(self, mutations: list[Mutation]) -> int:
        """Commit a change set; return its revision."""
        assert self.table is not None
        self.table.propose(self.table.revision + 1, mutations)
        self.watch.store_changed()
        return self.table.revision

    def kill(self) -> None:
        """Reset all connections, as the end of a killed process does."""
        self.server.stop_accepting()
        for stream in list(self.server.streams):
            stream.reset()


@dataclass
class Received:
    """A response and the loop's time of its receipt; `page` is None unless the status is 200."""

    status: int
    page: WatchResponse | None
    headers: dict[str, str]
    at: int
    body: bytes


class Requester:
    """Sends single requests as a member, over one connection."""

    def __init__(self, loop: Loop, server: Addressed, member: str = "") -> None:
        self.loop, self.member, self.session = loop, member, 0
        self.connection = Connection.open(loop, server.address)

    def ask(
        self, revision: int, digest: int = 0, wait_timeout_us: int = WAIT_TIMEOUT_US, **more: Any
    ) -> Received:
        """Send a watch request and wait for its response."""
        return self.send(
            encode(WatchRequest(self.member, "1", self.session, revision, 0, digest, wait_timeout_us, **more))
        )

    def send(self, body: bytes, headers: dict[str, str] | None = None) -> Received:
        """Send an encoded request and wait for its response."""
        response = self.connection.exchange(encode_request("POST", WATCH_PATH, "x", headers or {}, body))
        coded = "content-encoding" in response.headers
        plain = zlib.decompress(response.body) if coded else response.body
        page = decode(plain, WatchResponse) if response.status == 200 else None
        return Received(response.status, page, response.headers, self.loop.now(), response.body)


def play(script: Callable[[Loop], Any], errors: list[BaseException] | None = None) -> Any:
    """Run a function in virtual time and return its result: no real waits, and the same order each time.

    Errors of tasks are collected in `errors`, or fail the test if it is None.
    """
    loop_errors: list[BaseException] = [] if errors is None else errors
    loop = Loop(VirtualClock(), lambda name, error: loop_errors.append(error))
    result = loop.run(script, loop)
    assert errors is not None or not loop_errors, loop_errors
    return result


def until(
    loop: Loop, condition: Callable[[], object], step: int = 10_000, timeout_us: int = 60 * SECOND
) -> None:
    """Wait in virtual time until the condition is true, with a check each `step` microseconds."""
    deadline_us = loop.now() + timeout_us
    while not condition():
        assert loop.now() < deadline_us, "the condition did not become true in time"
        loop.sleep(step)


class Log:
    """Collects log events in memory."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        """Record an event."""
        self.lines.append((event, fields))

    warning = error = info

    def count(self, event: str) -> int:
        """Return how often an event was logged."""
        return sum(line == event for line, _ in self.lines)

    def fields(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of each event of this name, in order."""
        return [fields for line, fields in self.lines if line == event]


class Member:
    """A watcher that applies each revision at once, as a front end does."""

    def __init__(
        self,
        loop: Loop,
        servers: Mapping[str, Callable[[], tuple[str, int]]],
        name: str = "fe1",
        seed: int = 1,
        state: WatchState | None = None,
        **more: Any,
    ) -> None:
        self.loop, self.log = loop, Log()
        self.state = state or WatchState(name, "1", loop.now())
        self.selector = RelaySelector(name, dict.fromkeys(servers, "r"), "r", Random(seed))
        self.outcomes: list[ApplyOutcome] = []
        self.applied_revisions: list[int] = []  # in order
        self.watcher = Watcher(
            loop,
            ServerPool(servers, self.selector),
            self.state,
            lambda outcome: self.on_outcome(outcome),
            self.log,
            WatcherSettings(**more),
        )
        self.task = loop.spawn(self.watcher.run, name="watch")

    @property
    def table(self) -> ConfigStore:
        """The watcher's store."""
        return self.state.store

    def on_outcome(self, outcome: ApplyOutcome) -> None:
        """Record an outcome, and mark its revision as applied."""
        self.outcomes.append(outcome)
        self.applied_revisions.append(self.table.revision)
        self.state.mark_applied(self.table.revision)

    def has_content_of(self, table: ConfigStore | None) -> bool:
        """Whether the revision and digest are equal to those of `table`."""
        own = self.table
        return table is not None and (own.revision, own.digest) == (table.revision, table.digest)


class ScriptedServer:
    """A server whose responses a callback makes; if it returns None, the connection ends."""

    def __init__(self, loop: Loop, respond: Callable[[WatchRequest], Response | None]) -> None:
        self.requests: list[WatchRequest] = []

        def handle(exchange: Exchange) -> Response | None:
            self.requests.append(decode(exchange.request.body, WatchRequest))
            return respond(self.requests[-1])

        self.server = start_server(loop, ("127.0.0.1", 0), handle, protocol_error)
        self.address = self.server.address
