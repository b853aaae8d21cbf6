"""Deferred calls: accepted once they are on disk, answered once, across restarts."""

from __future__ import annotations

import sqlite3
import uuid
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from walnutpost.daemon.journaling import Journaling
from walnutpost.dispatch import Core
from walnutpost.eventloop import Event, Loop
from walnutpost.gateway import (
    Admission,
    CallArrived,
    CallStopped,
    Catalogue,
    Execution,
    Failed,
    Failure,
    Final,
    Function,
    NotStored,
    Rejected,
    ReplicationPending,
    Send,
    Status,
    UnknownNameError,
    admit,
    recovery_action,
    with_final_status,
)
from walnutpost.interface import Effect
from walnutpost.journal import Told
from walnutpost.store import Appending, Change, ExecutionStore, Listing, StoreError

SAVE_AGAIN = 200_000  # between tries to write a fate down; it is told from memory meanwhile
STORE_RETRY_AFTER = 1_000_000  # what a client is told to wait when the store takes nothing
PURGE_EVERY = 60_000_000
LOOK_AGAIN = 50_000  # between two looks whether a function has come that a call waits for
UNKNOWN_AGAIN = 1_000_000  # until a schedule asks again for a function that is configured no more


class _Open:
    """An execution without a durable fate."""

    __slots__ = ("copies", "durable", "execution", "failed", "function", "shown", "ticket")

    def __init__(self, loop: Loop, execution: Execution, function: Function | None) -> None:
        self.execution = execution
        self.function = function  # that it arrived under; None where it was no more when this process began
        self.shown = execution  # as askers are told it: with a fate only once that can't be lost
        self.copies: Told | None = None  # how many hold it, where there is a journal
        self.ticket = 0
        self.durable = Event(loop)  # set when the store has it, or has not taken it
        self.failed: Rejected | NotStored | None = None


class Deferred:
    def __init__(
        self,
        loop: Loop,
        core: Core,
        store: ExecutionStore,
        catalogue: Catalogue,
        keep_for: int,
        log: Any,
        journal: Journaling | None = None,
    ) -> None:
        self._loop = loop
        self._journal = journal
        self._core = core
        self._store = store
        self._catalogue = catalogue
        self._keep_for = keep_for
        self._waiting: dict[str, _Open] = {}  # found at the start, and not yet run or told
        self._log = log
        self._by_name: dict[tuple[str, str], _Open] = {}
        self._by_id: dict[str, _Open] = {}
        self._by_ticket: dict[int, _Open] = {}
        core.intend = self._intend
        core.execution = self._execution
        self.also_at_end: Callable[[Execution], Change] | None = None
        self.on_end: Callable[[Execution], None] = lambda execution: None  # when its fate is on disk

    # Accepting

    def defer(
        self,
        function: str,
        tenant: str | None,
        payload: bytes,
        time_left: int,
        name: str | None,
        request_id: str,
        also: Change | None = None,
    ) -> Execution | ReplicationPending | Rejected | NotStored | None:
        digest = blake2b(payload + b"\0" + (tenant or "").encode(), digest_size=16).hexdigest()
        now = self._loop.now()
        name = name or request_id
        arrived = self._function(function)
        try:
            known = self._by_name.get((function, name))
            if known is None:
                stored = self._store.named(function, name)
                known = self._by_name.get((function, name))  # another may have come while this one read
                if stored is not None and known is None:
                    return stored if admit(stored, digest) is Admission.SAME else None
        except StoreError as error:
            return self._not_stored(error, name, request_id, function)
        if known is not None:
            if admit(known.execution, digest) is Admission.CONFLICT:
                return None
            known.durable.wait()
            return known.failed or self._accepted(known)
        if arrived is None:  # a front has looked just now: only a schedule's function can be gone here
            return Rejected(f"no function {function!r}", UNKNOWN_AGAIN)
        refused = self._journal.room(arrived, len(payload)) if self._journal is not None else None
        if refused is not None:
            return refused
        execution = Execution(
            uuid.uuid4().hex, name, function, arrived.version, tenant, payload, digest, now, now + time_left
        )
        entry = _Open(self._loop, execution, arrived)
        self._remember(entry)
        line = self._journal.accepted(execution, arrived) if self._journal is not None else None
        try:
            self._store.add(execution, _both(also, line))
        except StoreError as error:
            entry.failed = self._not_stored(error, name, request_id, function)
            self._forget(entry)
            entry.durable.set()
            return entry.failed
        except BaseException:
            # This very task is being ended; whoever asked again must not wait for ever, and what the store
            # may hold by now is taken up at the next start.
            entry.failed = NotStored(name, STORE_RETRY_AFTER, is_uncertain=True)
            entry.durable.set()
            raise
        self._copied(entry, line)
        self._run(entry, execution.expires_at - self._loop.now(), request_id)
        if entry.failed is not None:  # refused at once: the client may come again under the same name
            return self._refuse_stored(entry, request_id)
        entry.durable.set()
        return self._accepted(entry)

    def _function(self, name: str) -> Function | None:
        """As it is configured now; None where it isn't."""
        try:
            return self._catalogue.function(name)
        except UnknownNameError:
            return None

    def _copied(self, entry: _Open, line: Appending | None) -> None:
        """Until the line is held by as many as the call's class asks for. What lacks copies by then runs
        all the same; whoever asked is told, since only the same name can be asked again safely."""
        if self._journal is not None and line is not None:
            left = entry.execution.expires_at - self._loop.now()
            entry.copies = self._journal.copied(line, entry.function, left)

    def _refuse_stored(
        self, entry: _Open, request_id: str
    ) -> Execution | ReplicationPending | Rejected | NotStored:
        """Rejected at once, after it was stored: it must be off the disk before its client hears that."""
        refusal = entry.failed
        assert refusal is not None
        try:
            all_know = self._withdraw(entry)
        except StoreError as error:
            # The name stays taken until the removal is durable; a start before that would run the call.
            self._log.error("store", error=str(error), request=request_id)
            entry.failed = refusal = NotStored(entry.execution.name, STORE_RETRY_AFTER, is_uncertain=True)
            entry.durable.set()
            self._loop.spawn(self._withdraw_until_stored, entry, name="withdraw")
            return refusal
        self._forget(entry)
        entry.durable.set()
        return refusal if all_know else self._accepted(entry)

    def _withdraw(self, entry: _Open) -> bool:
        """Whether holders know, too: else the client must not hear that it may ask anew, as they would run it
        for us. Raises StoreError where the call is still on this disk."""
        line = self._journal.withdrawn(entry.execution) if self._journal is not None else None
        self._store.remove(entry.execution.id, line)
        self._copied(entry, line)
        return entry.copies is None or entry.copies.enough

    def _withdraw_until_stored(self, entry: _Open) -> None:
        while True:
            self._loop.sleep(SAVE_AGAIN)
            try:
                self._withdraw(entry)
            except StoreError as error:
                self._log.error("store", error=str(error), request=entry.execution.name)
            else:
                return self._forget(entry)

    def _accepted(self, entry: _Open) -> Execution | ReplicationPending:
        if entry.copies is not None and not entry.copies.enough:
            return ReplicationPending(entry.execution, entry.copies.copies)
        return entry.shown

    def copies(self, ident: str) -> int | None:
        """How many holders had the call when its client was told; None where nobody was to hold it."""
        entry = self._by_id.get(ident)
        return entry.copies.copies if entry is not None and entry.copies is not None else None

    def _not_stored(self, error: StoreError, name: str, request_id: str, function: str) -> NotStored:
        self._log.error("store", error=str(error), request=request_id, function=function)
        return NotStored(name, STORE_RETRY_AFTER, error.uncertain)

    def _run(self, entry: _Open, time_left: int, request_id: str) -> None:
        e = entry.execution
        entry.ticket = self._core.ticket()
        self._by_ticket[entry.ticket] = entry
        accepting = True

        def done(final: Final) -> None:
            self._by_ticket.pop(entry.ticket, None)
            self._core.told(final, request_id, e.function, e.tenant)
            if accepting and isinstance(final, Rejected):
                entry.failed = final
            else:
                self._conclude(entry, final)

        call = CallArrived(
            entry.ticket,
            e.function,
            e.payload,
            time_left,
            e.tenant,
            is_durable=True,
            outlives_callers=True,
            rejection=None if entry.durable.is_set else self._core.barred(e.function, e.tenant),
            definition=entry.function,
        )
        self._core.arrive(call, done)
        accepting = False

    def _execution(self, ticket: int) -> str:
        entry = self._by_ticket.get(ticket)
        return entry.execution.name if entry is not None else ""

    def _intend(self, start: Send) -> None:
        """Called before an unsafe call's first byte leaves. Raises LookupError where it must not leave:
        ConnectionError would say that something is wrong with the worker."""
        entry = self._by_ticket.get(start.ticket)
        if entry is None or (entry.execution.intended and self._journal is None):
            return
        e, line = entry.execution, None
        if self._journal is not None:
            line = self._journal.intended(e, start.attempt, start.worker)
        try:
            self._store.intend(e.id, line)
        except StoreError as error:
            self._log.error("store", error=str(error), request=e.name)
            raise LookupError("no intent on disk") from error
        entry.execution = replace(e, intended=True)
        if self._journal is not None and line is not None:
            left = e.expires_at - self._loop.now()
            if not self._journal.copied(line, entry.function, left, whole=True).enough:
                raise LookupError("its intent is in too few copies")

    # Fates

    def _conclude(self, entry: _Open, final: Final) -> None:
        entry.execution = with_final_status(entry.execution, final, self._loop.now())
        self._loop.spawn(self._save, entry, name="save fate")

    def _save(self, entry: _Open) -> None:
        line = self._journal.ended(entry.execution) if self._journal is not None else None
        while True:
            try:
                also = self.also_at_end(entry.execution) if self.also_at_end is not None else None
                self._store.update(entry.execution, _both(also, line))
                break
            except StoreError as error:
                self._log.error("store", error=str(error), request=entry.execution.name)
                self._loop.sleep(SAVE_AGAIN)
        if self._journal is not None and line is not None:
            # A fate that was told and then lost with the site could become another. About its deadline its
            # client is told, whatever is held where.
            left = entry.execution.expires_at - self._loop.now()
            if not self._journal.copied(line, entry.function, left, whole=True).enough:
                self._log.warning("journal", why="told in too few copies", request=entry.execution.name)
        self._forget(entry)
        self.on_end(entry.execution)

    def _remember(self, entry: _Open) -> None:
        self._by_name[entry.execution.function, entry.execution.name] = entry
        self._by_id[entry.execution.id] = entry

    def _forget(self, entry: _Open) -> None:
        self._by_name.pop((entry.execution.function, entry.execution.name), None)
        self._by_id.pop(entry.execution.id, None)

    def fate(self, function: str, ident: str) -> Execution | None:
        entry = self._by_id.get(ident)
        found = self._shown(entry) if entry is not None else self._store.find(ident)
        if found is None and self._journal is not None:
            found = self._journal.elsewhere(ident)
        return found if found is not None and found.function == function else None

    def _shown(self, entry: _Open) -> Execution:
        return entry.execution if self._journal is None else entry.shown

    def stop_named(self, function: str, name: str) -> None:
        entry = self._by_name.get((function, name))
        if entry is not None:
            self.stop(function, entry.execution.id)

    def stop(self, function: str, ident: str) -> Execution | None:
        entry = self._by_id.get(ident)
        if entry is None or entry.execution.function != function:
            return self.fate(function, ident)
        entry.durable.wait()
        if self._waiting.pop(ident, None) is not None:
            self._conclude(entry, Failed(Failure.STOPPED, "stopped by its owner"))
        else:
            self._core.feed(CallStopped(entry.ticket))
        return self._shown(entry)

    def list(self, wanted: Listing) -> tuple[list[Execution], bool]:
        return self._store.page(wanted)

    # Starting and tidying

    def recover(self, known: Callable[[], bool] = lambda: True) -> int:
        """Takes up what the last process left open; returns how many calls that were. `known`: whether all
        functions are; until then a call of one that isn't there waits in `await_functions`."""
        left = self._store.open_executions()
        for execution in left:
            entry = _Open(self._loop, execution, self._function(execution.function))
            entry.durable.set()
            self._remember(entry)
            self._waiting[execution.id] = entry
        self._take_up(known())
        return len(left)

    def await_functions(self, known: Callable[[], bool]) -> None:
        """Until each call that was found has been run or told its fate. A call that the function's removal
        alone would end must not be ended by a front end that has not heard yet what is agreed on."""
        while self._waiting:
            self._loop.sleep(LOOK_AGAIN)
            self._take_up(known())

    def _take_up(self, known: bool) -> None:
        for entry in list(self._waiting.values()):
            execution = entry.execution
            entry.function = self._function(execution.function)
            # An intent is written only where the call was not safe when it was sent, whatever its function's
            # class is now; so that one which may have run is not run again, its function is not asked.
            what = recovery_action(execution, Effect.UNSAFE, self._loop.now())
            if entry.function is None and not isinstance(what, Failed):
                if not known:
                    continue
                what = Failed(Failure.RESTART, "the function is no longer configured")
            del self._waiting[execution.id]
            if isinstance(what, Failed):
                self._core.told(what, execution.name, execution.function, execution.tenant)
                self._conclude(entry, what)
                continue
            try:
                self._run(entry, what, execution.name)
            except LookupError as error:
                entry.failed = None
                self._conclude(entry, Failed(Failure.RESTART, str(error)))
            if isinstance(entry.failed, Rejected):  # it was accepted: that is its fate
                self._conclude(entry, entry.failed)
                entry.failed = None

    def purge(self) -> None:
        """Forgets old fates now and then; runs until cancelled."""
        while True:
            try:
                before = self._loop.now() - self._keep_for
                line = self._journal.purged(before) if self._journal is not None else None
                self._store.purge(before, line)
                if self._journal is not None and line is not None:
                    self._journal.written(line)
            except StoreError as error:
                self._log.error("store", error=str(error))
            self._loop.sleep(PURGE_EVERY)

    @property
    def unsaved(self) -> int:
        """Executions that have a fate which is not on disk yet."""
        return len(self._by_id) - self.open

    @property
    def open(self) -> int:
        return sum(e.execution.status is Status.RUNNING for e in self._by_id.values())


def _both(*changes: Change | None) -> Change | None:
    """As one change; None where there is nothing to do."""
    wanted = [change for change in changes if change is not None]
    if not wanted:
        return None

    def change(db: sqlite3.Connection) -> None:
        for each in wanted:
            each(db)

    return change
