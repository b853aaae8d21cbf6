"""How a change set comes into the history: one at a time, checked against the table that it changes."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.configstore.validation import MAX_CHANGE_SET_BYTES, validate_mutations
from walnutpost.controlplane import wire
from walnutpost.eventloop import Loop, Task, WaitTimeoutError
from walnutpost.fleet import CHANGED_MEANWHILE, ApplyChangeSet, CommandResult, Fleet, encode

Check = Callable[[ConfigStore, Sequence[Mutation]], list[str]]
BODY_MOST = 8 * MAX_CHANGE_SET_BYTES  # of an order: one far too large is not even read
TRIES = 20  # of one order, where other change sets come in between


class Changes:
    """`propose` and `confirm` wait: for the agreed answer to a command under its id, and for a quorum's word
    that this keeper still leads and holds all that is agreed; both answer why not. `check`: what the settings
    themselves have against a change set. `patience`: microseconds to wait for other orders' turns."""

    def __init__(
        self,
        loop: Loop,
        fleet: Callable[[], Fleet],
        propose: Callable[[str, bytes], wire.Told],
        confirm: Callable[[], wire.Told],
        check: Check | None,
        patience: int,
        log: Any,
    ) -> None:
        self._loop, self._fleet, self._propose, self._confirm = loop, fleet, propose, confirm
        self._check, self._patience, self._log = check, patience, log
        self._turn = _Turn(loop)

    def order(self, body: bytes) -> wire.Told:
        """Raises BadWire. Under an id that was used before: the answer of then."""
        if len(body) > BODY_MOST:
            return _refused(
                0, [f"change set: found {len(body)} bytes, wanted {MAX_CHANGE_SET_BYTES} at most"]
            )
        order = wire.decode(body, wire.SetOrder)
        if not order.id:
            raise wire.BadWire("SetOrder: id: found none, wanted one of its asker's own")
        try:
            with self._loop.timeout(self._patience):
                self._turn.take()
        except WaitTimeoutError:
            return wire.Told(None, False, "other change sets are under way")
        try:
            return self._set(order)
        finally:
            self._turn.give()

    def _set(self, order: wire.SetOrder) -> wire.Told:
        for _ in range(TRIES):
            known = self._fleet().state.results.get(order.id)
            if known is not None:
                return wire.Told(known)
            table = self._fleet().table
            base = table.revision
            errors = _overtaken(table, order) or self._errors(table, order.ops)
            if errors or order.dry:
                told = self._confirm()
                if told.why:
                    return told
                if self._fleet().table.revision != base or order.id in self._fleet().state.results:
                    continue  # it was checked against a table that is no longer the newest
                return _refused(base, errors) if errors else wire.Told(CommandResult(True, base))
            command = ApplyChangeSet(order.ops, base, order.operator)
            told = self._propose(order.id, encode(command, time.time()))
            if told.answer is None or told.answer.error != CHANGED_MEANWHILE:
                return told
        return wire.Told(None, False, "other change sets came in between, over and over")

    def _errors(self, table: ConfigStore, ops: Sequence[Mutation]) -> list[str]:
        errors = validate_mutations(ops)
        if errors or self._check is None:
            return errors
        try:
            return self._check(table, ops)
        except Exception as error:  # a check that fails must neither let a change set in nor end the keeper
            self._log.error("check", why=repr(error))
            return [f"change set: its check failed: {error!r}"]


def _overtaken(table: ConfigStore, order: wire.SetOrder) -> list[str]:
    """Keys that have changed since the asker read them: its change set would undo what it has not seen."""
    held = [(op.key, table.entries.get(op.key)) for op in order.ops]
    return [
        f"{key}: found revision {entry.revision}, wanted none after {order.seen}: it has changed meanwhile"
        for key, entry in held
        if entry is not None and 0 < order.seen < entry.revision
    ]


def _refused(base: int, errors: Sequence[str]) -> wire.Told:
    why = errors[0] if len(errors) == 1 else f"{errors[0]}, and {len(errors) - 1} more"
    return wire.Told(CommandResult(False, base, why), errors=tuple(errors))


class _Turn:
    """One at a time, in the order of asking."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._taken = False
        self._waiting: deque[tuple[Task[Any], int]] = deque()

    def take(self) -> None:
        if not self._taken:
            self._taken = True
            return
        self._waiting.append(self._loop.begin_wait())
        self._loop.park()  # `give` hands the turn over without setting it free

    def give(self) -> None:
        while self._waiting:
            if self._loop.wake(*self._waiting.popleft()):
                return  # one that has given up waiting takes no turn with it
        self._taken = False
