"""Bytes of commands in log entries. Format and frame are stored: they never change."""

from __future__ import annotations

import msgspec

from walnutpost.fleet.commands.members import (
    ForgetMember,
    MarkResponsive,
    MarkUnresponsive,
    RegisterMember,
)
from walnutpost.fleet.commands.permits import (
    AbandonPermit,
    BeginPermit,
    CompletePermit,
    ConfirmPermit,
    EndDrain,
    RequestPermit,
    RevokePermit,
)
from walnutpost.fleet.commands.plans import (
    HaltPlan,
    RecordStepVerdict,
    ResumePlan,
    StartPlan,
)
from walnutpost.fleet.commands.records import ArrayRecord
from walnutpost.fleet.commands.settings import (
    ApplyChangeSet,
    RecordManualChange,
    SetBudgets,
    StoreVersion,
    UpdateFollowers,
)
from walnutpost.fleet.errors import InvalidCommandError

FORMAT = 1

Command = (
    RegisterMember
    | MarkUnresponsive
    | MarkResponsive
    | ForgetMember
    | RequestPermit
    | BeginPermit
    | AbandonPermit
    | ConfirmPermit
    | EndDrain
    | CompletePermit
    | RevokePermit
    | StoreVersion
    | StartPlan
    | RecordStepVerdict
    | HaltPlan
    | ResumePlan
    | RecordManualChange
    | SetBudgets
    | ApplyChangeSet
    | UpdateFollowers
)


class CommandFrame(ArrayRecord, frozen=True):
    """Content of a log entry. `sent_at_s`: seconds by the sender's wall clock, for information only."""

    format: int
    command: Command
    sent_at_s: float = 0.0


_decoder = msgspec.msgpack.Decoder(CommandFrame)


def encode(command: Command, sent_at_s: float = 0.0) -> bytes:
    """Return the bytes of a log entry."""
    return msgspec.msgpack.encode(CommandFrame(FORMAT, command, sent_at_s))


def decode(data: bytes) -> Command:
    """Return the command of a log entry; raise InvalidCommandError."""
    return decode_frame(data).command


def decode_frame(data: bytes) -> CommandFrame:
    """Return a log entry's command with the time at which it was sent; raise InvalidCommandError.

    The texts of the errors are results of commands, which replicas store and compare: they must not change.
    """
    try:
        frame = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidCommandError(f"not a command: {error}") from error
    if frame.format != FORMAT:
        raise InvalidCommandError(f"format {frame.format}, wanted {FORMAT}")
    return frame
