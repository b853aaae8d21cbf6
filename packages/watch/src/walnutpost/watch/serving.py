"""The serving side of a watch: holds a question until the table has something newer for it."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from walnutpost.configstore import (
    AGE_HEADER,
    DIGEST_BUCKETS,
    ConfigStore,
    InvalidMessageError,
    PendingEvents,
    WatchRequest,
    build_response,
    decode,
    encode,
    pending_events,
)
from walnutpost.eventloop import Loop, Stream, Task
from walnutpost.eventloop.timers import Timer
from walnutpost.http import Response

HELD_HEADER = "Walnutpost-Held-Us"  # microseconds between the question's arrival and its answer's leaving
HOLD_MOST = 10_000_000  # longer holds are cut to this: what a gone follower leaves here ends with its hold
HELD_MOST = 4_000  # questions held at once; one more is sent elsewhere
PAGES_KEPT = 64  # encoded pages of the present revision: many followers read a whole state at once
NAME_MOST = 200
RETRY_SECONDS = "1"
CODING = "deflate"  # five to six times smaller pages of settings, for 2 ms once and 0.3 ms at each follower
CODED_LEAST = 1024  # bytes; smaller pages are sent as they are


class _Page(NamedTuple):
    """As it is sent. `coded`: by CODING."""

    body: bytes
    coded: bool


@dataclass(slots=True)
class Counts:
    """Since the start. `encoded`: pages made; `answered`: answers with a page, and `bytes` of their
    bodies; `quiet`: holds that ended with nothing newer; `refused`: bad questions; `turned_away`: 503."""

    encoded: int = 0
    answered: int = 0
    bytes: int = 0
    quiet: int = 0
    refused: int = 0
    turned_away: int = 0


class WatchServer:
    """Answers watches of one table, as a keeper or a relay. No state is kept for a follower between its
    questions, and no queue: one that is slow or gone costs its own connection, and its held task to the
    end of the hold.

    `table` gives None while there is none to tell of. `age`: microseconds since a leader last vouched for
    it. `said` is told each member's question as it comes. `gather_us`: those held are woken at most
    once in this time, so that a burst of changes is a few answers.
    """

    def __init__(
        self,
        loop: Loop,
        table: Callable[[], ConfigStore | None],
        age: Callable[[], int],
        said: Callable[[WatchRequest], None] | None = None,
        gather_us: int = 200_000,
        held_most: int = HELD_MOST,
        gone: Callable[[WatchRequest], None] | None = None,
    ) -> None:
        self._loop, self._table, self._age = loop, table, age
        self._said, self._gone = said, gone
        self._gather, self._most = gather_us, held_most
        self._held: dict[Task[Any], int] = {}
        self._last: dict[Task[Any], WatchRequest] = {}  # of members, by connection
        self._pages: OrderedDict[tuple[PendingEvents, bool], _Page] = OrderedDict()
        self._shown = 0  # the table's revision at the last wake
        self._woken = loop.now() - gather_us
        self._timer: Timer | None = None
        self.counts = Counts()

    @property
    def held(self) -> int:
        """Questions that wait for something newer now."""
        return len(self._held)

    def changed(self) -> None:
        """The table has changed, by a change set or as a whole: wakes those who wait, all at once."""
        self._pages.clear()
        if self._timer is not None:
            return
        wait = self._woken + self._gather - self._loop.now()
        if wait <= 0:
            self._wake()
        else:
            self._timer = self._loop.call_later(wait, self._wake)

    def answer(self, body: bytes, stream: Stream | None = None, accepts: str = "") -> Response:
        """The answer to one question, in the task of its connection: 200 with a page, 204 where nothing is
        newer at the hold's end, 400 for what is no question, 503 where another server is to be asked.
        With the connection's `stream` a hold ends once the other end has closed. `accepts`: the request's
        Accept-Encoding."""
        began = self._loop.now()
        try:
            question = decode(body, WatchRequest)
            _check(question)
        except InvalidMessageError as error:
            self.counts.refused += 1
            return Response(400, body=str(error).encode())
        if question.member:
            self._note(question)
        until = began + (0 if question.is_leaving else min(question.wait_timeout_us, HOLD_MOST))
        while True:
            table = self._table()
            if table is None:
                return self._turn_away(b"no whole table here yet")
            owed = None if question.is_leaving else self._owed(table, question, CODING in accepts)
            if owed is not None:
                self.counts.answered += 1
                self.counts.bytes += len(owed.body)
                head = self._head(began)
                if owed.coded:
                    head["Content-Encoding"] = CODING
                return Response(200, head, owed.body)
            left = until - self._loop.now()
            if left <= 0:
                self.counts.quiet += 1
                # Behind its asker this table tells nothing of what the asker holds, vouched for or not.
                return Response(204, self._head(began) if question.revision <= table.revision else {})
            if len(self._held) >= self._most:
                return self._turn_away(b"%d questions are held here" % len(self._held))
            if self._hold(left, stream):
                return Response(204, keep_alive=False)

    def _turn_away(self, why: bytes) -> Response:
        self.counts.turned_away += 1
        return Response(503, {"Retry-After": RETRY_SECONDS}, why)

    def _head(self, began: int) -> dict[str, str]:
        return {
            "Content-Type": "application/msgpack",
            AGE_HEADER: str(max(0, self._age())),
            HELD_HEADER: str(self._loop.now() - began),
        }

    def _note(self, question: WatchRequest) -> None:
        if self._said is not None:
            self._said(question)
        if self._gone is not None:
            task = self._loop.current()
            if task not in self._last:
                task.watchers.append(lambda: self._connection_ended(task))
            self._last[task] = question

    def _connection_ended(self, task: Task[Any]) -> None:
        assert self._gone is not None
        self._gone(self._last.pop(task))

    def _hold(self, most: int, stream: Stream | None) -> bool:
        """Until the next wake, or `most` is over, or the asker has gone: True then."""
        task, token = self._loop.waiting()
        timer = self._loop.call_later(most, lambda: self._loop.wake(task, token))
        if stream is not None:
            stream.on_readable(lambda: stream.ended() and self._loop.wake(task, token, True))
        self._held[task] = token
        try:
            return self._loop.park() is True
        finally:
            timer.cancel()
            self._held.pop(task, None)
            if stream is not None:
                stream.on_readable(None)

    def _wake(self) -> None:
        self._timer = None
        self._woken = self._loop.now()
        table = self._table()
        if table is not None:
            self._shown = table.revision
        held, self._held = self._held, {}
        for task, token in held.items():
            self._loop.wake(task, token)

    def _owed(self, table: ConfigStore, question: WatchRequest, coded: bool) -> _Page | None:
        """A page's bytes, made once for all who are owed the same."""
        plain = (
            question.after_key is None and not question.wants_bucket_digests and not question.wanted_buckets
        )
        # Who has all that was shown at the last wake waits for the next, with the others: asking again
        # at once within a burst would else bring each change alone.
        if plain and self._timer is not None and self._shown <= question.revision <= table.revision:
            return None
        key = pending_events(table, question)
        if key is None:
            return None
        page = self._pages.get((key, coded))
        if page is None:
            page = self._pages[key, coded] = _made(encode(build_response(table, key)), coded)
            self.counts.encoded += 1
            if len(self._pages) > PAGES_KEPT:
                self._pages.popitem(last=False)
        else:
            self._pages.move_to_end((key, coded))
        return page


def _made(data: bytes, coded: bool) -> _Page:
    coded = coded and len(data) >= CODED_LEAST
    return _Page(zlib.compress(data) if coded else data, coded)


def _check(question: WatchRequest) -> None:
    """Raises BadMessage for a question that no follower asks."""
    for name in ("session", "revision", "applied_revision", "wait_timeout_us", "base_revision"):
        value = getattr(question, name)
        if value < 0:
            raise InvalidMessageError(f"WatchRequest: {name}: found {value}, wanted 0 or more")
    for name in ("member", "incarnation"):
        size = len(getattr(question, name))
        if size > NAME_MOST:
            raise InvalidMessageError(
                f"WatchRequest: {name}: found {size} characters, wanted {NAME_MOST} at most"
            )
    wanted = question.wanted_buckets
    if len(wanted) > DIGEST_BUCKETS or any(not 0 <= bucket < DIGEST_BUCKETS for bucket in wanted):
        raise InvalidMessageError(
            f"WatchRequest: wanted_buckets: found {wanted[:10]}, wanted 0 to {DIGEST_BUCKETS - 1}"
        )
