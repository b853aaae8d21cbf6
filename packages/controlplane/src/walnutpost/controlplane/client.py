"""Asks the keepers: any of them, then whoever leads, until one knows or the time is up."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import TypeVar
from urllib.parse import quote

from walnutpost.configstore import messages as table
from walnutpost.configstore.messages import (
    Entry,
    Mutation,
    ProgressSummary,
    ProgressSummaryResponse,
    PropagationStatus,
)
from walnutpost.consensus import LEADER_NOT_READY, LEADERSHIP_LOST, NOT_LEADER, Members
from walnutpost.controlplane import wire
from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError
from walnutpost.fleet import Command, CommandResult, Fleet, encode
from walnutpost.http import BadMessage, Connection, Limits, Response

T = TypeVar("T", bound=table.Record)
PAUSE = 100_000


class NoAnswer(Exception):
    """No keeper answered for sure in time. A command may have been agreed on: ask the same id again."""


class KeeperClient:
    """`patience`: microseconds that one question takes at the most; `each`: that one keeper gets of it."""

    def __init__(
        self, loop: Loop, addresses: Mapping[str, tuple[str, int]], patience: int, each: int
    ) -> None:
        self._loop = loop
        self._addresses = dict(addresses)
        self._patience, self._each = patience, each
        self._leader = ""

    @property
    def keepers(self) -> tuple[str, ...]:
        return tuple(self._addresses)

    def command(self, id: str, command: Command) -> CommandResult:
        """The agreed answer. An `id` that was used before gets the answer of then."""
        return self._answer(wire.COMMANDS, wire.encode(wire.Order(id, encode(command, time.time()))))

    def change(self, id: str, members: Members) -> CommandResult:
        return self._answer(wire.MEMBERS, wire.encode(wire.Membership(id, members)))

    def report(self, report: wire.Report) -> wire.Told:
        """What the leader says to it, with the list of workers where it has a newer one."""
        return wire.decode(self._ask("POST", wire.REPORTS, wire.encode(report)).body, wire.Told)

    def history(self, keeper: str, after: int, most: int) -> wire.History:
        """What this keeper has of the history after that entry; raises NoAnswer."""
        return self._from(keeper, f"{wire.HISTORY}?after={after}&most={most}", wire.History)

    def set_entries(
        self, id: str, ops: Sequence[Mutation], dry: bool = False, operator: str = "", seen: int = 0
    ) -> tuple[CommandResult, tuple[str, ...]]:
        """A change set for the agreed table, whole or not at all, and what its checks have against it. The
        answer's `index` is the revision that it came in with; where it is `dry` or refused, that of the table
        which it was checked against. An `id` that was used before gets the answer of then. `seen`: refused
        where one of these keys has changed since that revision, 0 for whatever stands."""
        body = wire.encode(wire.SetOrder(id, tuple(ops), dry, operator, seen=seen))
        told = wire.decode(self._ask("POST", wire.CHANGE, body).body, wire.Told)
        assert told.answer is not None
        return told.answer, told.errors

    def entries(self, kind: str = "", key: str = "") -> tuple[int, list[Entry]]:
        """The agreed table's revision and entries by key, all, of one kind, or that under `key` if there is
        one, as a quorum confirms."""
        body = self._ask("GET", f"{wire.ENTRIES}?kind={quote(kind)}&key={quote(key)}", b"").body
        told = wire.decode(body, wire.Entries)
        return told.revision, list(told.entries)

    def sums(self, sums: ProgressSummary) -> ProgressSummaryResponse:
        """A relay's report to whoever leads."""
        return self._of_table("POST", table.PROGRESS_PATH, table.encode(sums), ProgressSummaryResponse)

    def status(self) -> PropagationStatus:
        """Who acts on what, by the leader's knowledge."""
        return self._of_table("GET", table.STATUS_PATH, b"", PropagationStatus)

    def _of_table(self, method: str, target: str, body: bytes, kind: type[T]) -> T:
        try:
            return table.decode(self._ask(method, target, body).body, kind)
        except table.InvalidMessageError as error:
            raise NoAnswer(str(error)) from error

    def state(self) -> tuple[wire.View, Fleet]:
        """What a quorum confirms to be the newest, but for the agreed table: `entries` tells that."""
        view = wire.decode(self._ask("GET", wire.STATE, b"").body, wire.View)
        return view, Fleet.restore(view.state)

    def here(self, keeper: str) -> wire.View:
        """What this keeper holds, however old; raises NoAnswer."""
        return self._from(keeper, wire.STATE + "?here", wire.View)

    def failing_disks(self) -> dict[str, str]:
        """Why, by each keeper that says that its disk fails; all are asked at once."""
        found: dict[str, str] = {}

        def ask(keeper: str) -> None:
            with suppress(NoAnswer):
                reason = self.here(keeper).disk
                if isinstance(reason, str):
                    found[keeper] = reason

        with TaskGroup(self._loop) as group:
            for keeper in self._addresses:
                group.spawn(ask, keeper, name="disk state")
        return dict(sorted(found.items()))

    def _from(self, keeper: str, target: str, kind: type[wire.T]) -> wire.T:
        try:
            with self._loop.timeout(self._each):
                return wire.decode(self._one(keeper, "GET", target, b"").body, kind)
        except (OSError, BadMessage, WaitTimeoutError, wire.BadWire) as error:
            raise NoAnswer(f"{keeper}: {error}") from error

    def _answer(self, target: str, body: bytes) -> CommandResult:
        answer = wire.decode(self._ask("POST", target, body).body, wire.Told).answer
        assert answer is not None
        return answer

    def _ask(self, method: str, target: str, body: bytes) -> Response:
        until, why, turn = self._loop.now() + self._patience, "nobody was asked", list(self._addresses)
        while turn and self._loop.now() < until:
            keeper = self._leader or turn[0]
            turn.append(turn.pop(0))
            self._leader = ""
            try:
                with self._loop.timeout(min(self._each, max(1, until - self._loop.now()))):
                    response = self._one(keeper, method, target, body)
            except (OSError, BadMessage, WaitTimeoutError) as error:
                why = f"{keeper}: {type(error).__name__} {error}"
                self._loop.sleep(PAUSE)
                continue
            if response.status == 200:
                self._leader = keeper
                return response
            try:
                told = wire.decode(response.body, wire.Told)
            except wire.BadWire:
                raise NoAnswer(f"{keeper}: {response.status} {response.body[:200]!r}") from None
            why = f"{keeper}: {told.why}"
            if told.why not in (NOT_LEADER, LEADER_NOT_READY, LEADERSHIP_LOST) and told.sure:
                return Response(200, body=wire.encode(wire.Told(CommandResult(False, 0, told.why))))
            if told.leader in self._addresses and told.leader != keeper:
                self._leader = told.leader
            else:
                self._loop.sleep(PAUSE)
        raise NoAnswer(why)

    def _one(self, keeper: str, method: str, target: str, body: bytes) -> Response:
        limits = Limits(body=wire.BODY_MOST)
        connection = Connection.open(self._loop, self._addresses[keeper], limits=limits)
        try:
            return connection.ask(method, target, {"Content-Type": "application/msgpack"}, body)
        finally:
            connection.close()
