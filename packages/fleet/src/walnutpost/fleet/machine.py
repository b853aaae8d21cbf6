"""The replicated state machine: the same log gives the same state, byte for byte, at every replica.

No I/O, no clock, no randomness. Each command has one handler, in the module of its subject.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from msgspec import structs

from walnutpost.configstore import ConfigStore, InvalidSnapshotError
from walnutpost.fleet import commands, members, permits, plans, settings
from walnutpost.fleet.commands import Command, CommandResult, decode
from walnutpost.fleet.context import FleetContext
from walnutpost.fleet.errors import InvalidCommandError, InvalidStateError
from walnutpost.fleet.retention import remember_result
from walnutpost.fleet.settings import CHANGED_MEANWHILE
from walnutpost.fleet.state import FleetState

Handler = Callable[[FleetContext, Any], CommandResult]  # Any: each takes the command it is listed with

HANDLERS: Mapping[type, Handler] = {
    commands.RegisterMember: members.register_member,
    commands.MarkUnresponsive: members.mark_unresponsive,
    commands.MarkResponsive: members.mark_responsive,
    commands.ForgetMember: members.forget_member,
    commands.RequestPermit: permits.request_permit,
    commands.BeginPermit: permits.begin_permit,
    commands.AbandonPermit: permits.abandon_permit,
    commands.ConfirmPermit: permits.confirm_permit,
    commands.EndDrain: permits.end_drain,
    commands.CompletePermit: permits.complete_permit,
    commands.RevokePermit: permits.revoke_permit,
    commands.StartPlan: plans.start_plan,
    commands.RecordStepVerdict: plans.record_step_verdict,
    commands.HaltPlan: plans.halt_plan,
    commands.ResumePlan: plans.resume_plan,
    commands.StoreVersion: settings.store_version,
    commands.RecordManualChange: settings.record_manual_change,
    commands.SetBudgets: settings.set_budgets,
    commands.ApplyChangeSet: settings.apply_change_set,
    commands.UpdateFollowers: settings.update_followers,
}


class StateSnapshot(FleetState):
    """Content of a snapshot. `config_store` is empty if it was left out or did not exist yet."""

    config_store: bytes = msgspec.field(default=b"", name="table")


_decoder = msgspec.msgpack.Decoder(StateSnapshot)


class Fleet(FleetContext):
    """The state machine of one replica."""

    def snapshot(self, config_store: bool = True) -> bytes:
        """Return the state as bytes, the same at each replica that has applied the same entries.

        `config_store=False` leaves out the config store, which may be large.
        """
        store = self.config_store.snapshot() if config_store else b""
        return msgspec.msgpack.encode(StateSnapshot(**structs.asdict(self.state), config_store=store))

    @classmethod
    def restore(cls, data: bytes) -> Fleet:
        """Return the state machine of a snapshot, an empty one of no bytes; raise InvalidStateError."""
        if not data:
            return cls()
        try:
            fields = structs.asdict(_decoder.decode(data))
            store = fields.pop("config_store")
            config_store = ConfigStore.restore(store) if store else ConfigStore()
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError, InvalidSnapshotError) as error:
            raise InvalidStateError(str(error)) from error
        # A former version wrote its dicts sorted by key: the oldest result would no longer come first.
        fields["results"] = dict(sorted(fields["results"].items(), key=lambda item: item[1].index))
        return cls(FleetState(**fields), config_store)

    def apply(self, index: int, request_id: str, data: bytes) -> CommandResult:
        """Apply a log entry, once for each `request_id`: a repeated command gets the first result again.

        Bytes that are no command are rejected, in the same way at every replica.
        """
        self.state.index = index
        known = self.state.results.get(request_id) if request_id else None
        if known is not None:
            return known
        try:
            result = self._execute(decode(data))
        except InvalidCommandError as error:
            result = self.rejected(str(error))
        if request_id and result.error != CHANGED_MEANWHILE:
            remember_result(self.state, request_id, result)
        return result

    def _execute(self, command: Command) -> CommandResult:
        return HANDLERS[type(command)](self, command)
