"""The messages between an origin and its replicas: msgpack over HTTP. No I/O."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from walnutpost.journal import JournalBatch, JournalEntry, JournalOffset

BATCHES_PATH = "/journal/1/copies"  # POST JournalBatch, answered by JournalOffset
CALLS_PATH = "/journal/1/calls/"  # GET with a call's id after it, answered by CallEntries
ENTRIES_PATH = "/journal/1/lines/"  # GET with ORIGIN/AFTER after it, answered by JournalBatch
MAX_BATCH_BYTES = 1 << 20  # of entries in one message; a single larger entry is sent alone
MAX_BODY_BYTES = 16 << 20


class ReplicationError(Exception):
    """The base class of this package's errors."""


class InvalidMessageError(ReplicationError):
    """A body or an answer is not a message of this protocol."""


class CallEntries(msgspec.Struct, frozen=True):
    """All entries about one call in the journals that a front end stores."""

    entries: tuple[JournalEntry, ...] = msgspec.field(name="lines")


MessageT = TypeVar("MessageT", JournalBatch, JournalOffset, CallEntries)


def encode(message: JournalBatch | JournalOffset | CallEntries) -> bytes:
    """Return the message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes, message_type: type[MessageT]) -> MessageT:
    """Return the message in a body. Raises InvalidMessageError."""
    try:
        return msgspec.msgpack.decode(data, type=message_type)
    except msgspec.MsgspecError as error:
        raise InvalidMessageError(f"{message_type.__name__}: {error}") from error
