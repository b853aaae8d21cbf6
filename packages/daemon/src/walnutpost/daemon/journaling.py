"""Deferred calls in more than one site: their lines, and how many copies each waits for.

Times in lines are stored time (store/stored_time.py), so that one number purges lines of before and after a
step of the wall clock, here and at the holders, who know nothing of the step."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from walnutpost.config import Config
from walnutpost.config.base import address_of
from walnutpost.config.journal import CopiesLine, HolderLine, Journal
from walnutpost.config.settings import us
from walnutpost.eventloop import Loop
from walnutpost.fronts.calls import Unreached
from walnutpost.gateway import Execution, Function, Rejected, Status
from walnutpost.interface import RequestClass
from walnutpost.journal import (
    Accepted,
    Call,
    Ended,
    Intended,
    Joined,
    Place,
    Purged,
    Reached,
    Spans,
    Terms,
    Told,
    Withdrawn,
    chosen,
    taken,
)
from walnutpost.replication import Holding, Sending, asked, recalled
from walnutpost.store import Appending, ExecutionStore, JournalStore

LOOK_EVERY = 500_000


class Journaling:
    """`listen` also serves others' copies. No synchronous call comes here."""

    def __init__(
        self,
        loop: Loop,
        config: Config,
        line: Journal,
        executions: ExecutionStore,
        classes: tuple[RequestClass, ...],
        log: Any,
    ) -> None:
        self._loop, self._line, self._log = loop, line, log
        self._classes = classes
        self._copies = [line.classes.get(name, CopiesLine()) for name in config.site.classes]
        self._strictest = max(self._copies, key=lambda line: (line.without == "refuse", line.copies))
        self._places = {h.name: Place(h.name, h.region, h.zone) for h in line.holders}
        self._shunned: dict[str, int] = {}
        self._lost: dict[str, int] = {}
        self._executions = executions
        self.store = JournalStore(loop, executions, line.name)
        self.holding = Holding(loop, self.store, address_of(line.listen), log)
        self._addresses = {h.name: _address(h) for h in line.holders}
        self._others = {name: address for name, address in self._addresses.items() if name != line.name}
        self._catch_up(executions)
        terms = Terms(us(line.lost_after_ms), us(line.pause_ms), int(line.backlog_mb * (1 << 20)))
        answer = us(line.answer_ms)
        self.sending = Sending(loop, self.store, self._addresses, self._chosen(), terms, answer, log)

    def _catch_up(self, executions: ExecutionStore) -> None:
        """Before anything is numbered: this disk may be older than its copies, a backup put back or one that
        lost what it had called durable. What holders have beyond it is taken back, calls and numbers."""
        own, last = self.store.own, self.store.known[self.store.own]
        batches, silent = recalled(self._loop, self._others, own, last, us(self._line.answer_ms))
        if silent:
            self._log.warning("journal", why=f"did not say what they hold of it: {', '.join(sorted(silent))}")
        if not batches:
            return
        said = Joined()
        for batch in sorted(batches, key=lambda b: b.after):
            if (take := taken(self.store.known, batch)) is not None:
                self.store.take(take)
            said.take(Spans(), batch.lines)
        told = set(said.calls)
        said.take(*self.store.held(own))  # of these calls, what the disk had besides
        calls = {ident: said.calls[ident] for ident in told}
        gone = [ident for ident, call in calls.items() if call.reached is Reached.WITHDRAWN]
        known = [_execution(call) for ident, call in calls.items() if ident not in gone]
        executions.put([executions.read_stored(e) for e in known if e is not None], gone)
        self._log.error("journal", why="this disk was older than its copies", after=last, calls=len(calls))

    def _chosen(self) -> tuple[str, ...]:
        now = self._loop.now()
        places = [p for p in self._places.values() if self._shunned.get(p.name, 0) <= now]
        return chosen(self._places[self._line.name], places)

    def run(self) -> None:
        """Until cancelled: a holder that stays out of reach gives way to the next for a while."""
        held = self._chosen()
        while True:
            self._loop.sleep(LOOK_EVERY)
            now, span = self._loop.now(), us(self._line.replace_after_ms)
            for name, reached in self.sending.machine.reached().items():
                since = self._lost.setdefault(name, now)
                if reached:
                    del self._lost[name]
                elif now - since >= span:
                    self._shunned[name] = now + 10 * span
                    del self._lost[name]
            if (wanted := self._chosen()) != held:
                self._log.warning("journal", why="other holders", before=held, now=wanted)
                held = wanted
                self.sending.place(held)

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.holding.server.address)

    def close(self) -> None:
        self.holding.server.stop_accepting()
        self.sending.close()

    # Whether, and how many

    def _wanted(self, function: Function | None) -> CopiesLine:
        """None: the function is configured no more, so which class its call was of isn't known."""
        return self._copies[function.class_index] if function is not None else self._strictest

    def room(self, function: Function, size: int) -> Rejected | None:
        """The answer where a further call can't be copied as its class asks for."""
        wanted = self._wanted(function)
        wait = self.sending.machine.waits(wanted.copies, wanted.without == "less", size)
        if wait is None:
            return None
        return Rejected(f"{wanted.copies} copies at other sites can't be made now", wait)

    def copied(self, line: Appending, function: Function | None, left: int, whole: bool = False) -> Told:
        """Waits until it is held as its class asks for, but no longer than `copy_wait_ms`, or, with `whole`,
        than `left` where that is more. Where less will do for the class, whatever there is is enough."""
        self.written(line)
        wanted, most = self._wanted(function), us(self._line.copy_wait_ms)
        less = wanted.without == "less"
        span = max(left, most) if whole else min(max(left, 0), most)
        told = self.sending.wait(line.line.seq, wanted.copies, less, span)
        return replace(told, enough=told.enough or less)

    def written(self, line: Appending) -> None:
        self.store.appended(line)
        self.sending.written(line.line.seq, line.line.size)

    # What others know

    def elsewhere(self, ident: str) -> Execution | None:
        """A call that this front end did not take, as journals here and at the other sites tell it. Raises
        Unreached where none knows it, and some could not be asked."""
        said, silent = Joined(), list[str]()
        said.take(Spans(), self.store.of_call(ident))
        call = said.calls.get(ident, Call())
        if call.reached is not Reached.ENDED:  # its origin, or another holder, may know more
            lines, silent = asked(self._loop, self._others, ident, us(self._line.answer_ms))
            said.take(Spans(), lines)
            call = said.calls.get(ident, Call())
        found = None if call.reached is Reached.WITHDRAWN else _execution(call)
        if found is None and silent and call.reached is Reached.UNKNOWN:
            raise Unreached(f"no site that can be reached knows it; not asked: {', '.join(sorted(silent))}")
        return found

    # Lines, to be committed with what they tell of

    def accepted(self, e: Execution, function: Function) -> Appending:
        effect, wanted = self._classes[function.class_index].effect, self._wanted(function)
        to_stored = self._executions.clock.to_stored
        promise = wanted.copies if wanted.without == "refuse" else 0
        return self.store.append(
            Accepted(
                e.id,
                e.name,
                e.function,
                e.version,
                e.tenant,
                e.payload,
                e.digest,
                to_stored(e.accepted_at),
                to_stored(e.expires_at),
                effect.value,
                promise,
            )
        )

    def intended(self, e: Execution, attempt: int, worker: str) -> Appending:
        return self.store.append(Intended(e.id, attempt, worker))

    def withdrawn(self, e: Execution) -> Appending:
        return self.store.append(Withdrawn(e.id))

    def ended(self, e: Execution) -> Appending:
        ended_at = self._executions.clock.to_stored(e.ended_at)
        said = Ended(e.id, e.status.value, ended_at, e.result, e.error_type, e.error_message)
        return self.store.append(said)

    def purged(self, before: int) -> Appending:
        return self.store.append(Purged(self._executions.clock.to_stored(before)))


def _address(holder: HolderLine) -> Any:
    return lambda: address_of(holder.address)


def _execution(call: Call) -> Execution | None:
    """As a client is told it, in its origin's stored time; None where the line that began it is not known."""
    a, e = call.accepted, call.ended
    if a is None:
        return None
    began = Execution(
        a.call,
        a.name,
        a.function,
        a.version,
        a.tenant,
        a.payload,
        a.digest,
        a.accepted_at,
        a.expires_at,
        bool(call.intents),
    )
    if e is None:
        return began
    return replace(
        began,
        status=Status(e.status),
        ended_at=e.ended_at,
        result=e.result,
        error_type=e.error_type,
        error_message=e.error_message,
    )
