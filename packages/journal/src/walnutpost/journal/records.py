"""The records of a journal, one for each event in a call's life, numbered by the journal's origin alone.

An entry on disk or on the wire carries a checksum of its bytes, so that a flipped bit costs that entry only
and is detected. Records are msgpack arrays: tags and the order of fields are stored; names of classes and
fields are not.
"""

from __future__ import annotations

import zlib

import msgspec

from walnutpost.journal.errors import JournalError


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base of all records.

    Times are microseconds of the origin's clock: hints for people, and comparable only within one journal.
    """


class CallAccepted(Record, frozen=True, tag="accepted"):
    """A deferred call was accepted.

    `effect` is a value of interface.Effect. `promised_replicas` is the number of replicas that must have this
    entry, and each AttemptIntended of the call, before the client gets its answer or an attempt is sent.
    """

    call_id: str
    name: str
    function: str
    version: str
    tenant: str | None
    payload: bytes
    digest: str
    accepted_at_us: int
    expires_at_us: int
    effect: str
    promised_replicas: int


class AttemptIntended(Record, frozen=True, tag="intended"):
    """From this entry on, attempt number `attempt` may have been sent to `worker`."""

    call_id: str
    attempt: int
    worker: str


class CallEnded(Record, frozen=True, tag="ended"):
    """The call's final status, a value of gateway.ExecutionStatus, with its result or error."""

    call_id: str
    status: str
    ended_at_us: int
    result: bytes | None
    error_type: str
    error_message: str


class CallWithdrawn(Record, frozen=True, tag="withdrawn"):
    """The call never ran and its client was answered so: its name may be used again."""

    call_id: str


class ResultsPurged(Record, frozen=True, tag="purged"):
    """Results of calls that ended before this time are no longer stored."""

    ended_before_us: int


CallRecord = CallAccepted | AttemptIntended | CallEnded | CallWithdrawn
AnyRecord = CallRecord | ResultsPurged


class CorruptEntryError(JournalError):
    """The bytes of entry `seq` are not a record, or not those that were written. `reason` is for people."""

    def __init__(self, seq: int, reason: str) -> None:
        super().__init__(f"line {seq}: {reason}")
        self.seq = seq
        self.reason = reason


_decoder = msgspec.msgpack.Decoder(AnyRecord)
_encoder = msgspec.msgpack.Encoder()


class JournalEntry(msgspec.Struct, frozen=True, array_like=True):
    """An encoded record under its number.

    `checksum` covers `data` and `seq`, so that an entry restored under another number is detected, too.
    """

    seq: int
    data: bytes
    checksum: int

    @property
    def size_bytes(self) -> int:
        """Bytes of the encoded record."""
        return len(self.data)

    def decode(self) -> AnyRecord:
        """Return the record. Raises CorruptLineError."""
        if self.checksum != entry_checksum(self.seq, self.data):
            raise CorruptEntryError(self.seq, "its checksum does not match its bytes")
        try:
            record: AnyRecord = _decoder.decode(self.data)
        except msgspec.MsgspecError as error:
            raise CorruptEntryError(self.seq, str(error)) from error
        return record


def entry_checksum(seq: int, data: bytes) -> int:
    """Return the CRC-32 of an entry's number and bytes."""
    return zlib.crc32(data, zlib.crc32(b"%d" % seq))


def encode_entry(seq: int, record: AnyRecord) -> JournalEntry:
    """Encode a record as entry number `seq`."""
    data = _encoder.encode(record)
    return JournalEntry(seq, data, entry_checksum(seq, data))


def call_id_of(record: AnyRecord) -> str | None:
    """Return the call that a record is about, None for a record about no single call."""
    return None if isinstance(record, ResultsPurged) else record.call_id
