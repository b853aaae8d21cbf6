"""Deferred calls: accepted once they are on disk, answered once, across restarts."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import replace
from hashlib import blake2b
from typing import Any

from walnutpost.core import Core
from walnutpost.gateway import (
    Admission,
    CallArrived,
    CallStopped,
    Catalogue,
    Execution,
    Failed,
    Failure,
    Final,
    Refused,
    Status,
    admit,
    conclude,
    resume,
)
from walnutpost.interface import RequestClass
from walnutpost.loop import Event, Loop
from walnutpost.store import Change, ExecutionStore, Listing, StoreError

SAVE_AGAIN = 200_000  # between tries to write a fate down; it is told from memory meanwhile
STORE_RETRY_AFTER = 1_000_000  # what a client is told to wait when the store takes nothing
PURGE_EVERY = 60_000_000


class _Open:
    """An execution without a durable fate."""

    __slots__ = ("durable", "execution", "failed", "ticket")

    def __init__(self, loop: Loop, execution: Execution) -> None:
        self.execution = execution
        self.ticket = 0
        self.durable = Event(loop)  # set when the store has it, or has not taken it
        self.failed: Refused | None = None


class Deferred:
    def __init__(
        self,
        loop: Loop,
        core: Core,
        store: ExecutionStore,
        catalogue: Catalogue,
        classes: tuple[RequestClass, ...],
        keep_for: int,
        log: Any,
    ) -> None:
        self._loop = loop
        self._core = core
        self._store = store
        self._catalogue = catalogue
        self._classes = classes
        self._keep_for = keep_for
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
    ) -> Execution | Refused | None:
        digest = blake2b(payload + b"\0" + (tenant or "").encode(), digest_size=16).hexdigest()
        now = self._loop.now()
        name = name or request_id
        try:
            known = self._by_name.get((function, name))
            if known is None:
                stored = self._store.named(function, name)
                known = self._by_name.get((function, name))  # another may have come while this one read
                if stored is not None and known is None:
                    return stored if admit(stored, digest) is Admission.SAME else None
        except StoreError as error:
            return self._not_stored(error, request_id, function)
        if known is not None:
            if admit(known.execution, digest) is Admission.CONFLICT:
                return None
            known.durable.wait()
            return known.failed or known.execution
        version = self._catalogue.function(function).version
        execution = Execution(
            uuid.uuid4().hex, name, function, version, tenant, payload, digest, now, now + time_left
        )
        entry = _Open(self._loop, execution)
        self._remember(entry)
        try:
            self._store.add(execution, also)
        except StoreError as error:
            entry.failed = self._not_stored(error, request_id, function)
            self._forget(entry)
            entry.durable.set()
            return entry.failed
        except BaseException:
            # This very task is being ended; whoever asked again must not wait for ever, and what the store
            # may hold by now is taken up at the next start.
            entry.failed = Refused("the front end is stopping")
            entry.durable.set()
            raise
        self._run(entry, execution.expires_at - self._loop.now(), request_id)
        if entry.failed is not None:  # refused at once: the client may come again under the same name
            try:
                self._store.remove(execution.id)
            except StoreError as error:
                self._log.error("store", error=str(error), request=request_id)
            self._forget(entry)
        entry.durable.set()
        return entry.failed or entry.execution

    def _not_stored(self, error: StoreError, request_id: str, function: str) -> Refused:
        self._log.error("store", error=str(error), request=request_id, function=function)
        return Refused("the store of deferred calls took nothing", STORE_RETRY_AFTER)

    def _run(self, entry: _Open, time_left: int, request_id: str) -> None:
        e = entry.execution
        entry.ticket = self._core.ticket()
        self._by_ticket[entry.ticket] = entry
        accepting = True

        def done(final: Final) -> None:
            self._by_ticket.pop(entry.ticket, None)
            self._core.told(final, request_id, e.function, e.tenant)
            if accepting and isinstance(final, Refused):
                entry.failed = final
            else:
                self._conclude(entry, final)

        call = CallArrived(
            entry.ticket,
            e.function,
            e.payload,
            time_left,
            e.tenant,
            durable=True,
            stays=True,
            barred=None if entry.durable.is_set else self._core.barred(e.function, e.tenant),
        )
        self._core.arrive(call, done)
        accepting = False

    def _execution(self, ticket: int) -> str:
        entry = self._by_ticket.get(ticket)
        return entry.execution.name if entry is not None else ""

    def _intend(self, ticket: int) -> None:
        """Called before an unsafe call's first byte leaves."""
        entry = self._by_ticket.get(ticket)
        if entry is None:
            return
        if not entry.execution.intended:
            try:
                self._store.intend(entry.execution.id)
            except StoreError as error:
                # Not sent then; ConnectionError would say that something is wrong with the worker.
                self._log.error("store", error=str(error), request=entry.execution.name)
                raise LookupError("no intent on disk") from error
            entry.execution = replace(entry.execution, intended=True)

    # Fates

    def _conclude(self, entry: _Open, final: Final) -> None:
        entry.execution = conclude(entry.execution, final, self._loop.now())
        self._loop.spawn(self._save, entry, name="save fate")

    def _save(self, entry: _Open) -> None:
        while True:
            try:
                also = self.also_at_end(entry.execution) if self.also_at_end is not None else None
                self._store.update(entry.execution, also)
                break
            except StoreError as error:
                self._log.error("store", error=str(error), request=entry.execution.name)
                self._loop.sleep(SAVE_AGAIN)
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
        found = entry.execution if entry is not None else self._store.find(ident)
        return found if found is not None and found.function == function else None

    def stop_named(self, function: str, name: str) -> None:
        entry = self._by_name.get((function, name))
        if entry is not None:
            self.stop(function, entry.execution.id)

    def stop(self, function: str, ident: str) -> Execution | None:
        entry = self._by_id.get(ident)
        if entry is None or entry.execution.function != function:
            return self.fate(function, ident)
        entry.durable.wait()
        self._core.feed(CallStopped(entry.ticket))
        return entry.execution

    def list(self, wanted: Listing) -> tuple[list[Execution], bool]:
        return self._store.page(wanted)

    # Starting and tidying

    def recover(self) -> int:
        """Takes up what the last process left open; returns how many calls that were."""
        left = self._store.open_executions()
        for execution in left:
            entry = _Open(self._loop, execution)
            entry.durable.set()
            self._remember(entry)
            try:
                effect = self._classes[self._catalogue.function(execution.function).class_index].effect
                what = resume(execution, effect, self._loop.now())
            except LookupError:
                what = Failed(Failure.RESTART, "the function is no longer configured")
            if isinstance(what, Failed):
                self._core.told(what, execution.name, execution.function, execution.tenant)
                self._conclude(entry, what)
            else:
                try:
                    self._run(entry, what, execution.name)
                except LookupError as error:
                    entry.failed = None
                    self._conclude(entry, Failed(Failure.RESTART, str(error)))
                if entry.failed is not None:  # refused while starting: it was accepted, so that is its fate
                    self._conclude(entry, entry.failed)
                    entry.failed = None
        return len(left)

    def purge(self) -> None:
        """Forgets old fates now and then; runs until cancelled."""
        while True:
            try:
                self._store.purge(self._loop.now() - self._keep_for)
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
