"""One relay: holds the agreed table once, answers its members' watches, sums up to the leader what they say.

It has no disk, and nothing waits for it: a lost one's members go on at another from where they are."""

from __future__ import annotations

import time
from collections.abc import Mapping
from contextlib import suppress
from random import Random
from typing import Any

from walnutpost.configstore import (
    MAX_LOG_BYTES,
    MAX_LOG_CHANGE_SETS,
    WATCH_PATH,
    ApplyOutcome,
    ConfigStore,
    WatchRequest,
    WatchState,
)
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.controlplane import KeeperClient, NoAnswer
from walnutpost.eventloop import Event, Loop, Timeout
from walnutpost.http import BadMessage, Exchange, Limits, Response
from walnutpost.http.server import serve_on
from walnutpost.watch import Watcher, WatchServer

Address = tuple[str, int]
SECOND = 1_000_000
RATE = 4_000_000  # bytes a second from a keeper: a whole table within seconds of a start
HOLD, STALE = SECOND, 5 * SECOND // 2  # short: a keeper that is lost or cut off is left before members notice
GATHER = 200_000  # of changes in one answer
SOON, REST = SECOND // 4, 2 * SECOND  # between two reports, where there is news and where there is none
PATIENCE, EACH = 3 * SECOND, SECOND  # for the leader's answer to a report, and one keeper's
FIGURES = 10 * SECOND
LIMITS = Limits(
    head=8 * 1024,
    body=64 * 1024,
    head_time=5 * SECOND,
    body_time=10 * SECOND,
    idle_time=30 * SECOND,
)


class Relay:
    """`keepers`: where each is reached; any of them is asked for changes, the leader is told the sums.
    `seed` numbers this process among those of its name, so no two may have the same. `address`: what
    the leader is told of where members reach it. Raises OSError where it can't listen."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        keepers: Mapping[str, Address],
        listen: Address,
        log: Any,
        seed: int,
        address: str = "",
    ) -> None:
        self.name, self.incarnation = name, f"{seed & 0xFFFF_FFFF_FFFF:012x}"
        self._loop, self._log = loop, log
        self.follower = WatchState("", self.incarnation, loop.now(), MAX_LOG_CHANGE_SETS, MAX_LOG_BYTES)
        choice = RelaySelector(name, dict.fromkeys(keepers, ""), "", Random(seed))
        ways = {keeper: lambda at=at: at for keeper, at in keepers.items()}
        self.watcher = Watcher(loop, ways, self.follower, choice, self._taken, log, HOLD, RATE, STALE)
        self._server = serve_on(loop, listen, self._serve, self._refusal, LIMITS, role="relay", log=log)
        self.roster = MemberRegistry(name, self.incarnation, address or "{}:{}".format(*self.address))
        self.watches = WatchServer(loop, self._table, self.watcher.age, self._said, GATHER, gone=self._gone)
        self._client = KeeperClient(loop, keepers, PATIENCE, EACH)
        self._news = Event(loop)
        self._told = True  # the last report reached a leader
        self._figured = loop.now(), time.process_time()
        self._figures = loop.every(FIGURES, self._log_figures, name="figures")
        self._tasks = [
            loop.spawn(self.watcher.run, name="upstream"),
            loop.spawn(self._report, name="sums"),
        ]
        log.info("relay", relay=name, incarnation=self.incarnation, address="{}:{}".format(*self.address))

    @property
    def address(self) -> Address:
        return self._server.address

    def stop(self) -> None:
        """Ends; its members find another."""
        self._server.stop_accepting()
        self._server.group.cancel()
        self._figures.cancel()
        for task in self._tasks:
            task.cancel()
        self.watcher.stop()

    # Downstream

    def _serve(self, exchange: Exchange) -> Response:
        request = exchange.request
        if request.method == "POST" and request.target == WATCH_PATH.encode():
            accepts = request.headers.get("accept-encoding", "")
            return self.watches.answer(request.body, exchange.stream, accepts)
        found = f"{request.method} {request.target[:100].decode('latin-1')}"
        return Response(404, body=f"found {found}, wanted POST {WATCH_PATH}".encode())

    @staticmethod
    def _refusal(error: BadMessage) -> Response:
        return Response(error.status, body=str(error).encode())

    def _table(self) -> ConfigStore | None:
        """None until a whole one was held: who asks before goes to another relay."""
        return self.follower.store if self.watcher.complete else None

    def _taken(self, taken: ApplyOutcome) -> None:
        self.follower.mark_applied(self.follower.store.revision)
        self.watches.changed()

    def _said(self, question: WatchRequest) -> None:
        self.roster.observe(self._loop.now(), question)
        self._tell()

    def _gone(self, question: WatchRequest) -> None:
        self.roster.connection_closed(question)
        self._tell()

    # Upstream

    def _tell(self) -> None:
        if self.roster.has_changes:
            self._news.set()

    def _report(self) -> None:
        """Over and over: the sums to whoever leads. One that is lost is told again with the next."""
        while True:
            began = self._loop.now()
            sums = self.roster.next_summary(began, self.follower.store.revision)
            try:
                self.roster.handle_response(self._client.sums(sums))
                if not self._told:
                    self._log.info("sums told", number=sums.number, members=sums.member_count)
                self._told = True
            except NoAnswer as error:
                if self._told:
                    self._log.warning("sums not told", number=sums.number, why=str(error))
                self._told = False
            self._news = Event(self._loop)
            self._tell()
            with suppress(Timeout), self._loop.timeout(max(1, began + REST - self._loop.now())):
                self._news.wait()
            self._loop.sleep(max(0, began + SOON - self._loop.now()))

    def _log_figures(self) -> None:
        (then, used), now, using = self._figured, self._loop.now(), time.process_time()
        self._figured = now, using
        counts = self.watches.counts
        self._log.info(
            "figures",
            members=len(self.roster),
            held=self.watches.held,
            revision=self.follower.store.revision,
            age_ms=self.watcher.age() // 1000 if self.watcher.complete else None,
            encoded=counts.encoded,
            answered=counts.answered,
            quiet=counts.quiet,
            turned_away=counts.turned_away,
            bytes=counts.bytes,
            cpu=round((using - used) * SECOND / max(1, now - then), 4),
        )
