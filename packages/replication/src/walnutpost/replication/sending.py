"""The origin's side as a process: posts what holders lack, and has those wait who must not speak yet."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from walnutpost.eventloop import Loop, Task, Timeout
from walnutpost.eventloop.timers import Timer
from walnutpost.http import BadMessage, Connection, Limits
from walnutpost.journal import (
    Batch,
    Behind,
    Copying,
    Due,
    Have,
    Kept,
    Lost,
    Placed,
    Post,
    Terms,
    Told,
    Wanted,
    Written,
)
from walnutpost.journal.copying import Input
from walnutpost.replication import wire
from walnutpost.store import JournalStore, StoreError

Address = Callable[[], tuple[str, int]]


class Sending:
    """`answer_time`: microseconds that one message to a holder may take."""

    def __init__(
        self,
        loop: Loop,
        store: JournalStore,
        addresses: Mapping[str, Address],
        holders: Iterable[str],
        terms: Terms,
        answer_time: int,
        log: Any,
    ) -> None:
        self._loop, self._store, self._log = loop, store, log
        self._addresses = dict(addresses)
        self._answer_time = answer_time
        self._connections: dict[str, Connection] = {}
        self._waiting: dict[int, tuple[Task[Any], int]] = {}
        self._tokens = 0
        self._timer: Timer | None = None
        self._at = 0
        self.machine = Copying(terms, loop.now(), store.known[store.own])
        self._feed(Placed(tuple(holders)))

    def place(self, holders: Iterable[str]) -> None:
        self._feed(Placed(tuple(holders)))

    def written(self, seq: int, size: int) -> None:
        self._feed(Written(seq, size))

    def wait(self, seq: int, copies: int, less: bool, span: int) -> Told:
        """Until line `seq` is held as wanted, or `span` is over."""
        self._tokens += 1
        token = self._tokens
        task, wait = self._loop.waiting()
        self._waiting[token] = task, wait
        try:
            self._feed(Wanted(token, seq, copies, less, self._loop.now() + span))
            told: Told = self._loop.park()
        finally:
            self._waiting.pop(token, None)
        return told

    def close(self) -> None:
        self._addresses.clear()
        if self._timer is not None:
            self._timer.cancel()
        for connection in self._connections.values():
            connection.close()

    def _feed(self, event: Input) -> None:
        for effect in self.machine.handle(self._loop.now(), event):
            match effect:
                case Post(holder, after):
                    self._loop.spawn(self._post, holder, after, name="copies")
                case Told(token):
                    waiting = self._waiting.pop(token, None)
                    if waiting is not None:
                        self._loop.wake(*waiting, effect)
                case Behind(holder, seq):
                    self._log.error("journal", holder=holder, why=f"it has line {seq}, this disk does not")
        due = self.machine.due
        if due is not None and (self._timer is None or due < self._at):
            if self._timer is not None:
                self._timer.cancel()
            self._at = due
            self._timer = self._loop.call_later(max(0, due - self._loop.now()), self._due)

    def _due(self) -> None:
        self._timer = None
        self._feed(Due())

    def _post(self, holder: str, after: int | None) -> None:
        own = self._store.own
        try:
            batch = Batch(own, 0, 0)  # asks alone
            if after is not None:
                batch = self._store.batch(own, after, self.machine.last, wire.BATCH_BYTES)
            with self._loop.timeout(self._answer_time):
                have = self._exchange(holder, wire.encode(batch))
        except (OSError, BadMessage, Timeout, wire.BadWire, StoreError) as error:
            connection = self._connections.pop(holder, None)
            if connection is not None:
                connection.close()
            if holder in self._addresses:
                self._log.warning("journal", holder=holder, why=f"{type(error).__name__} {error}")
                self._feed(Lost(holder))
            return
        self._feed(Kept(holder, have.disk, have.upto))

    def _exchange(self, holder: str, body: bytes) -> Have:
        connection = self._connections.get(holder)
        if connection is None or not connection.reusable:
            if connection is not None:
                connection.close()
            address = self._addresses[holder]() if holder in self._addresses else None
            if address is None:
                raise ConnectionRefusedError("no longer a holder")
            connection = Connection.open(self._loop, address, limits=Limits(body=wire.BODY_MOST))
            self._connections[holder] = connection
        response = connection.ask("POST", wire.COPIES, {"Content-Type": "application/msgpack"}, body)
        if response.status != 200:
            raise wire.BadWire(f"{response.status}: {response.body[:200]!r}")
        return wire.decode(response.body, Have)
