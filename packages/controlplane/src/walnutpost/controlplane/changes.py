"""Change sets of the configuration: validated one at a time against the revision that they change."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Protocol

from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.configstore.validation import MAX_CHANGE_SET_BYTES, validate_mutations
from walnutpost.controlplane import wire
from walnutpost.controlplane.errors import MalformedMessageError
from walnutpost.controlplane.fifo_lock import FifoLock
from walnutpost.eventloop import Logger, Loop, WaitTimeoutError
from walnutpost.fleet import CHANGED_MEANWHILE, ApplyChangeSet, CommandResult, Fleet, encode

Check = Callable[[ConfigStore, Sequence[Mutation]], list[str]]
"""Validates mutations of a store by the meaning of the settings; returns the errors found."""
MAX_REQUEST_BYTES = 8 * MAX_CHANGE_SET_BYTES
"""A larger request is rejected without being decoded."""
MAX_ATTEMPTS = 20
"""Of one change set, if others are committed in between."""


class Submitter(Protocol):
    """Has commands committed."""

    def submit_command(self, request_id: str, command: bytes) -> wire.CommandReply:
        """Wait for the result of an encoded command."""

    def confirm(self) -> wire.CommandReply:
        """Wait until a quorum confirms that the applied state is the newest; a reason if it doesn't."""


class ChangeCoordinator:
    """Validates change sets and has them committed by `submitter`, in the order of their arrival.

    `fleet` returns the applied state. `check` is None for no further validation. A request waits for those
    before it for `lock_timeout_us`.
    """

    def __init__(
        self,
        loop: Loop,
        fleet: Callable[[], Fleet],
        submitter: Submitter,
        check: Check | None,
        lock_timeout_us: int,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._fleet = fleet
        self._submitter = submitter
        self._check = check
        self._lock_timeout_us = lock_timeout_us
        self._log = log
        self._lock = FifoLock(loop)

    def submit(self, body: bytes) -> wire.CommandReply:
        """Handle one encoded ChangeSetRequest; a repeated id gets the first one's result.

        Raises MalformedMessageError.
        """
        if len(body) > MAX_REQUEST_BYTES:
            error = f"change set: found {len(body)} bytes, wanted {MAX_CHANGE_SET_BYTES} at most"
            return _rejection(0, [error])
        request = wire.decode(body, wire.ChangeSetRequest)
        if not request.id:
            raise MalformedMessageError(request.wire_name, "id: found none, wanted one of its asker's own")
        try:
            with self._loop.timeout(self._lock_timeout_us):
                self._lock.acquire()
        except WaitTimeoutError:
            return wire.CommandReply(outcome_known=False, reason="other change sets are under way")
        try:
            return self._submit_in_turn(request)
        finally:
            self._lock.release()

    def _submit_in_turn(self, request: wire.ChangeSetRequest) -> wire.CommandReply:
        for _ in range(MAX_ATTEMPTS):
            reply = self._attempt(request)
            if reply is not None:
                return reply
        return wire.CommandReply(
            outcome_known=False, reason="other change sets came in between, over and over"
        )

    def _attempt(self, request: wire.ChangeSetRequest) -> wire.CommandReply | None:
        """Return None if another change set was committed in between."""
        known = self._fleet().state.results.get(request.id)
        if known is not None:
            return wire.CommandReply(known)
        store = self._fleet().config_store
        base_revision = store.revision
        errors = _find_conflicts(store, request) or self._validate(store, request.mutations)
        if errors or request.is_dry_run:
            return self._confirmed_verdict(request.id, base_revision, errors)
        command = ApplyChangeSet(request.mutations, base_revision, request.operator)
        reply = self._submitter.submit_command(request.id, encode(command, time.time()))
        if reply.result is not None and reply.result.error == CHANGED_MEANWHILE:
            return None
        return reply

    def _confirmed_verdict(
        self, request_id: str, base_revision: int, errors: list[str]
    ) -> wire.CommandReply | None:
        """Return the verdict of a validation if it was against the newest revision."""
        confirmation = self._submitter.confirm()
        if confirmation.reason:
            return confirmation
        fleet = self._fleet()
        if fleet.config_store.revision != base_revision or request_id in fleet.state.results:
            return None
        if errors:
            return _rejection(base_revision, errors)
        return wire.CommandReply(CommandResult(True, base_revision))

    def _validate(self, store: ConfigStore, mutations: Sequence[Mutation]) -> list[str]:
        errors = validate_mutations(mutations)
        if errors or self._check is None:
            return errors
        try:
            return self._check(store, mutations)
        except Exception as error:  # a faulty check must neither accept a change set nor end the replica
            self._log.error("change_set_check_failed", error=repr(error))
            return [f"change set: its check failed: {error!r}"]


def _find_conflicts(store: ConfigStore, request: wire.ChangeSetRequest) -> list[str]:
    """Return an error for each key that has changed since the client read it: found and wanted."""
    conflicts = []
    for mutation in request.mutations:
        entry = store.entries.get(mutation.key)
        if entry is not None and 0 < request.read_revision < entry.revision:
            conflicts.append(
                f"{mutation.key}: found revision {entry.revision}, wanted none after "
                f"{request.read_revision}: it has changed meanwhile"
            )
    return conflicts


def _rejection(base_revision: int, errors: Sequence[str]) -> wire.CommandReply:
    summary = errors[0] if len(errors) == 1 else f"{errors[0]}, and {len(errors) - 1} more"
    return wire.CommandReply(CommandResult(False, base_revision, summary), errors=tuple(errors))
