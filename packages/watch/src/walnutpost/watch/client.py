"""The following side of a watch: one long-held question at a time, at one server or another."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from msgspec import structs

from walnutpost.configstore import (
    AGE_HEADER,
    WATCH_PATH,
    ApplyOutcome,
    InvalidMessageError,
    WatchRequest,
    WatchResponse,
    WatchState,
    decode,
    encode,
)
from walnutpost.configstore.relay_selection import RelaySelector
from walnutpost.eventloop import Loop, Task, Timeout
from walnutpost.http import BadMessage as BadHttp
from walnutpost.http import Connection, Limits, Response, encode_request
from walnutpost.watch.pace import Debt, Floor
from walnutpost.watch.serving import CODING, HELD_HEADER

Address = tuple[str, int]
RATE = 22_000  # bytes a second that a follower may receive
BURST = 64 * 1024
BODY_MOST = 512 * 1024  # of an answer, coded or not: a page, or one change set larger than a page
HEAD_MOST = 8 * 1024
COST_LEAST = 1024  # bytes that an answer counts as, however small: small ones in a row are paced too
CONNECT_TIME = 1_000_000  # a machine that is off says nothing: the next server is asked instead
ANSWER_TIME = 2_000_000  # beyond the hold
BODY_TIME = 8_000_000  # for the rest of an answer that has begun, as on a slow way
LEAVE_TIME = 500_000
LOOK = 500_000  # how often it is seen whether control was heard
STALE = 5_000_000  # a server's word older than this is not enough: found out of at most one hold later
STALE_PAUSE = 10_000_000  # between moves, once all servers were found to have nothing better
FLOOR_LEAST, FLOOR_MOST = 50_000, 2_000_000
NOTES_MOST, NOTES_TIME = 10, 60_000_000  # lines of the log on what was found wrong, and in which time
HEADERS = {"Content-Type": "application/msgpack", "Accept-Encoding": CODING}


class NotServed(Exception):
    """A server answered, and not with what was asked for."""


@dataclass(slots=True)
class Counts:
    """Since the start: questions asked, moves to another server, bytes on the wire."""

    questions: int = 0
    moves: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class _Meter:
    """Counts a connection's bytes, those of a broken answer too."""

    def __init__(self, counts: Counts, received: Callable[[int], None]) -> None:
        self._counts, self._received = counts, received

    def opened(self, stream: int, role: str, local: Address, remote: Address) -> None:
        pass

    def bytes(self, stream: int, sent: bool, data: bytes) -> None:
        if sent:
            self._counts.bytes_out += len(data)
        else:
            self._counts.bytes_in += len(data)
            self._received(len(data))

    def closed(self, stream: int) -> None:
        pass


class Watcher:
    """Keeps `follower` up with the table. `run` is a task's body and asks over and over: the next question
    acknowledges what came with the answer before. `on_taken` is called between the two, must not wait,
    and tells the follower what is acted on by then.

    A server that doesn't answer within the hold and ANSWER_TIME, refuses, breaks off, or whose word is
    older than `stale_us` is left for the one that `choice` names. `servers`: where each is reached now;
    OSError from it counts as not reached.
    """

    def __init__(
        self,
        loop: Loop,
        servers: Mapping[str, Callable[[], Address]],
        follower: WatchState,
        choice: RelaySelector,
        on_taken: Callable[[ApplyOutcome], None],
        log: Any,
        hold_us: int = 3_000_000,
        rate: int = RATE,
        stale_us: int = STALE,
    ) -> None:
        self._loop, self._servers, self._follower, self._choice = loop, servers, follower, choice
        self._on_taken, self._log, self._hold, self._stale = on_taken, log, hold_us, stale_us
        self._stale_moves, self._stale_at = 0, 0  # since one's word was new enough, and the last of them
        self.counts = Counts()
        self.server = ""  # that is asked, or was last
        self._debt = Debt(rate, BURST, loop.now())
        self._floor = Floor(FLOOR_LEAST, FLOOR_MOST)
        self._meter = _Meter(self.counts, lambda size: self._debt.received(loop.now(), size))
        self._connection: Connection | None = None
        self._task: Task[None] | None = None
        self._vouched, self._complete = 0, False
        self._heard = False  # the present server has answered
        self._late = False
        self._noted: deque[int] = deque(maxlen=NOTES_MOST)
        self._more = False  # the last page told of more than it brought

    @property
    def complete(self) -> bool:
        """Whether all that some server held has been held here, at some time."""
        return self._complete

    def age(self) -> int:
        """Microseconds since a leader last vouched that nothing was newer than what is held here: for a
        relay to pass on. A time since the epoch where none ever did."""
        return self._loop.now() - self._vouched

    def run(self) -> None:
        """Follows until cancelled or stopped."""
        self._task = self._loop.current()
        look = self._loop.every(LOOK, self._look, name="watch")
        try:
            self._turn_to(self._choice.start(self._loop.now()))
            while True:
                try:
                    self._follow()
                except (OSError, Timeout, BadHttp, InvalidMessageError, NotServed) as error:
                    self._move(error)
        finally:
            look.cancel()
            self._drop()

    def stop(self) -> None:
        """Ends, and tells the server that this member leaves: as well as can be done in LEAVE_TIME."""
        if self._task is not None:
            self._task.cancel()
        self._drop()  # with the question that is held there: there are never two at once
        if not self.server or not self._follower.member:
            return  # nobody knows of it
        question = structs.replace(self._follower.next_request(0), is_leaving=True)
        with suppress(OSError, Timeout, BadHttp), self._loop.timeout(LEAVE_TIME):
            connection = self._opened()
            try:
                connection.exchange(_request(question))
            finally:
                connection.close()

    def _look(self) -> None:
        late = self._follower.is_stale(self._loop.now())
        if late and not self._late:
            revision = self._follower.applied_revision
            self._log.warning("control not heard for 9 s", acting_on=revision, server=self.server)
        elif self._late and not late:
            self._log.info(
                "control heard again", acting_on=self._follower.applied_revision, server=self.server
            )
        self._late = late

    # Servers

    def _turn_to(self, server: str) -> None:
        self._drop()
        self.server, self._heard = server, False

    def _move(self, error: Exception) -> None:
        """After `error`: to the next server, when its time has come."""
        if (self._heard or not self.counts.moves) and self._may_log():  # once, however many refuse after it
            self._log.warning("watch lost", server=self.server, why=f"{type(error).__name__} {error}")
        server, wait = self._choice.record_failure(self._loop.now(), self.server)
        self._drop()
        self._loop.sleep(wait)
        self._follower.server_changed()
        self.counts.moves += 1
        self._turn_to(server)

    def _go_home(self) -> None:
        server = self._choice.return_to_preferred(self._loop.now())
        if server is not None and server != self.server:
            self._follower.server_changed()
            self.counts.moves += 1
            self._turn_to(server)

    def _opened(self) -> Connection:
        limits = Limits(head=HEAD_MOST, body=BODY_MOST)
        with self._loop.timeout(CONNECT_TIME):
            return Connection.open(self._loop, self._servers[self.server](), self._meter, "watch", limits)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    # One question after another

    def _follow(self) -> None:
        """At the present server, until it fails."""
        while True:
            self._go_home()
            self._verify()
            # The first question isn't held: the answer tells that there is a server, and how old it is.
            question = self._follower.next_request(self._hold if self._heard else 0)
            if question.after_key is not None or question.wanted_buckets or self._more:
                self._loop.sleep(self._debt.wait(self._loop.now()))
            before, asked = _place(question), self._loop.now()
            page, age = self._ask(question)
            self._take(page, age)
            self._judge(age, question.wait_timeout_us)
            held = self._loop.now() - asked
            if _place(self._follower.next_request(0)) != before or (
                question.wait_timeout_us and 2 * held >= question.wait_timeout_us
            ):
                self._floor.progress()
            else:  # whoever answers at once and with nothing must not be asked at once again
                self._loop.sleep(self._floor.nothing())

    def _ask(self, question: WatchRequest) -> tuple[WatchResponse | None, int | None]:
        """A page or none, and how long ago a leader vouched for what it tells, if it tells that."""
        connection = self._connection
        if connection is None or not connection.reusable:
            self._drop()
            connection = self._connection = self._opened()
        stream, asked = connection.stream, self._loop.now()
        self.counts.questions += 1
        with self._loop.timeout(question.wait_timeout_us + ANSWER_TIME):
            stream.send_all(_request(question))
            self._loop.wait_readable(stream.fd)
        with self._loop.timeout(BODY_TIME):
            response = connection.exchange(b"")
        self._debt.received(self._loop.now(), max(0, COST_LEAST - len(response.body)))
        if response.status not in (200, 204):
            raise NotServed(f"{response.status} {response.body[:200]!r}")
        page = decode(_plain(response), WatchResponse) if response.status == 200 else None
        # Counted from the asking: an answer that lay somewhere on its way, or here while this process
        # stood still, is as old as it may be.
        held, age = _number(response, HELD_HEADER), _number(response, AGE_HEADER)
        if held is None or age is None:
            return page, None
        passed = self._loop.now() - asked
        return page, max(0, passed - min(held, passed)) + age

    def _take(self, page: WatchResponse | None, age: int | None) -> None:
        now, follower = self._loop.now(), self._follower
        if not self._heard:
            self._heard = True
            if self._may_log():
                self._log.info("watch", server=self.server, revision=follower.store.revision)
        taken = follower.handle_response(now, page, age)
        self._more = page is not None and follower.store.revision < page.revision
        if age is not None and not self._more and not follower.is_loading:
            self._vouched, self._complete = max(self._vouched, now - age), True
        self._tell(taken)
        if taken.is_inconsistent:
            raise NotServed("what it tells does not hold together")

    def _judge(self, age: int | None, hold: int) -> None:
        """A server can answer and be cut off from the others, or far behind: its followers must not stay with
        it while another one knows more. Where none does they go round, but seldom."""
        now, others = self._loop.now(), len(self._servers) - 1
        fresh = age is not None and age <= self._stale
        if fresh:
            self._stale_moves = 0
        due = self._stale_moves < others or now - self._stale_at >= STALE_PAUSE
        # With nothing vouched for it has a hold's time to catch up.
        if not fresh and others and due and (age is not None or hold):
            self._stale_moves, self._stale_at = self._stale_moves + 1, now
            told = "nothing newer" if age is None else f"what was vouched for {age / 1e6:.1f} s ago"
            raise NotServed(f"it tells {told}")
        self._choice.record_success(now)

    def _may_log(self) -> bool:
        """Not more lines than say what there is to say, whatever servers do over and over."""
        now, noted = self._loop.now(), self._noted
        if len(noted) == NOTES_MOST and now - noted[0] < NOTES_TIME:
            return False
        noted.append(now)
        return True

    def _verify(self) -> None:
        """Counts the table anew, if it is time to, a part at a time: others get their turns between."""
        while True:
            self._tell(self._follower.verify(self._loop.now()))
            if not self._follower.is_verifying:
                return
            self._loop.breathe()

    def _tell(self, taken: ApplyOutcome) -> None:
        for event in taken.events:
            if self._may_log():
                write = self._log.info if event.is_expected else self._log.warning
                write(event.kind.value, server=self.server, detail=event.detail)
        if taken.changes or taken.is_replaced or taken.repaired_keys:
            # What fails in it is reported, and doesn't end the following.
            self._loop.guarded("taken", lambda: self._on_taken(taken))


def _place(question: WatchRequest) -> tuple[int, str | None, int]:
    """How far its asker has come."""
    return question.revision, question.after_key, len(question.wanted_buckets)


def _request(question: WatchRequest) -> bytes:
    return encode_request("POST", WATCH_PATH, "localhost", HEADERS, encode(question))


def _plain(response: Response) -> bytes:
    """Raises BadMessage where it is not what it is said to be, or larger than a page may be."""
    if response.headers.get("content-encoding", "") != CODING:
        return response.body
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(response.body, BODY_MOST)
    except zlib.error as error:
        raise InvalidMessageError(f"Page: {error}") from error
    if not reader.eof:
        raise InvalidMessageError(
            f"Page: found more than {BODY_MOST} bytes or half a page, wanted all of one"
        )
    return data


def _number(response: Response, name: str) -> int | None:
    """A header's whole number; None where there is none."""
    text = response.headers.get(name.lower(), "")
    return int(text) if text.isascii() and text.isdigit() and len(text) < 20 else None
