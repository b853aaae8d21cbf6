"""A table, and servers of it on a loop with virtual time; questions asked by hand."""

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
from walnutpost.http import BadMessage, Connection, Exchange, Response, Server, encode_request
from walnutpost.http.server import serve_on
from walnutpost.watch import Watcher, WatchServer

SECOND = 1_000_000
HOLD = 3 * SECOND


def refusal(error: BadMessage) -> Response:
    return Response(error.status, body=str(error).encode())


def ops(first: int, count: int = 1, size: int = 20, salt: int = 0) -> list[Mutation]:
    return [
        Mutation(f"function/f{n:05}", f"{salt}.{n}".encode().ljust(size, b"."))
        for n in range(first, first + count)
    ]


def filled(count: int = 10, size: int = 20, **limits: int) -> ConfigStore:
    """With `count` keys, of one change set each; its log has them unless `limits` say otherwise."""
    table = ConfigStore(**limits)
    for n in range(count):
        table.propose(table.revision + 1, ops(n, size=size))
    return table


def large(count: int, size: int = 200) -> ConfigStore:
    """With `count` keys and no history: whoever has nothing is owed a whole state."""
    entries = {op.key: Entry(op.key, op.value or b"", 1) for op in ops(0, count, size)}
    return ConfigStore.from_entries(entries, 100)


def copy(table: ConfigStore) -> ConfigStore:
    return ConfigStore.restore(table.snapshot())


class Addressed(Protocol):
    @property
    def address(self) -> tuple[str, int]: ...


class Served:
    """One server of a table, as a relay or a keeper has it; `table` may be changed through `change`."""

    def __init__(
        self, loop: Loop, table: ConfigStore | None, age: Callable[[], int] = lambda: 0, **more: Any
    ) -> None:
        self.loop, self.table = loop, table
        self.codes = False
        self.questions: list[WatchRequest] = []
        self.watch = WatchServer(loop, lambda: self.table, age, self.questions.append, **more)
        self.server: Server = serve_on(loop, ("127.0.0.1", 0), self._handle, refusal)
        self.address = self.server.address

    def _handle(self, exchange: Exchange) -> Response:
        assert (exchange.request.method, exchange.request.target) == ("POST", WATCH_PATH.encode())
        accepts = exchange.request.headers.get("accept-encoding", "") if self.codes else ""
        return self.watch.handle(exchange.request.body, exchange.stream, accepts)

    def change(self, wanted: list[Mutation]) -> int:
        assert self.table is not None
        self.table.propose(self.table.revision + 1, wanted)
        self.watch.store_changed()
        return self.table.revision

    def end(self) -> None:
        """As a process that is killed: all its connections break."""
        self.server.stop_accepting()
        for stream in list(self.server.streams):
            stream.reset()


@dataclass
class Asked:
    """What came back, when, and how it was headed."""

    status: int
    page: WatchResponse | None
    headers: dict[str, str]
    at: int
    body: bytes


class Asker:
    """A member that asks by hand, over one connection."""

    def __init__(self, loop: Loop, served: Addressed, member: str = "") -> None:
        self.loop, self.member, self.session = loop, member, 0
        self.connection = Connection.open(loop, served.address)

    def ask(self, revision: int, digest: int = 0, hold: int = HOLD, **more: Any) -> Asked:
        return self.send(
            encode(WatchRequest(self.member, "1", self.session, revision, 0, digest, hold, **more))
        )

    def send(self, body: bytes, headers: dict[str, str] | None = None) -> Asked:
        response = self.connection.exchange(encode_request("POST", WATCH_PATH, "x", headers or {}, body))
        coded = "content-encoding" in response.headers
        plain = zlib.decompress(response.body) if coded else response.body
        page = decode(plain, WatchResponse) if response.status == 200 else None
        return Asked(response.status, page, response.headers, self.loop.now(), response.body)


def play(script: Callable[[Loop], Any], errors: list[BaseException] | None = None) -> Any:
    """With virtual time: what is waited for comes in no time, and in the same order each time."""
    found: list[BaseException] = [] if errors is None else errors
    loop = Loop(VirtualClock(), lambda name, error: found.append(error))
    result = loop.run(script, loop)
    assert errors is not None or not found, found
    return result


def until(loop: Loop, condition: Callable[[], object], step: int = 10_000, most: int = 60 * SECOND) -> None:
    end = loop.now() + most
    while not condition():
        assert loop.now() < end, "it never came to that"
        loop.sleep(step)


class Log:
    """What was logged, in order."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    warning = error = info

    def count(self, event: str) -> int:
        return sum(line == event for line, _ in self.lines)

    def fields(self, event: str) -> list[dict[str, Any]]:
        return [fields for line, fields in self.lines if line == event]


class Member:
    """A follower with its watcher, acting on what it has at once, as a front end does."""

    def __init__(
        self,
        loop: Loop,
        servers: Mapping[str, Callable[[], tuple[str, int]]],
        name: str = "fe1",
        seed: int = 1,
        follower: WatchState | None = None,
        **more: Any,
    ) -> None:
        self.loop, self.log = loop, Log()
        self.follower = follower or WatchState(name, "1", loop.now())
        self.choice = RelaySelector(name, dict.fromkeys(servers, "r"), "r", Random(seed))
        self.taken: list[ApplyOutcome] = []
        self.acted: list[int] = []  # revisions, in order
        self.watcher = Watcher(loop, servers, self.follower, self.choice, self.take, self.log, **more)
        self.task = loop.spawn(self.watcher.run, name="watch")

    @property
    def table(self) -> ConfigStore:
        return self.follower.store

    def take(self, taken: ApplyOutcome) -> None:
        self.taken.append(taken)
        self.acted.append(self.table.revision)
        self.follower.mark_applied(self.table.revision)

    def same(self, table: ConfigStore | None) -> bool:
        held = self.table
        return table is not None and (held.revision, held.digest) == (table.revision, table.digest)


class Raw:
    """A server that answers each question as it is told; None ends the connection."""

    def __init__(self, loop: Loop, answer: Callable[[WatchRequest], Response | None]) -> None:
        self.questions: list[WatchRequest] = []

        def handle(exchange: Exchange) -> Response | None:
            self.questions.append(decode(exchange.request.body, WatchRequest))
            return answer(self.questions[-1])

        self.server = serve_on(loop, ("127.0.0.1", 0), handle, refusal)
        self.address = self.server.address
