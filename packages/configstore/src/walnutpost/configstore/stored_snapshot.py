"""The encoding of a store's snapshot: a checksum, then MessagePack. No I/O."""

from __future__ import annotations

import msgspec
from xxhash import xxh3_64_digest

from walnutpost.configstore.errors import InvalidSnapshotError
from walnutpost.configstore.messages import FORMAT, ChangeSet, Entry, Record

CHECKSUM_BYTES = 8
"""Size of the checksum (xxh3, 64 bits) in front of a snapshot."""


class StoredSnapshot(Record, frozen=True):
    """The body of a snapshot."""

    revision: int
    compacted_revision: int
    digest: int
    entries: list[Entry]
    log: list[ChangeSet]
    format: int = FORMAT


_decoder = msgspec.msgpack.Decoder(StoredSnapshot)


def encode_snapshot(snapshot: StoredSnapshot) -> bytes:
    """Return the body with its checksum in front of it."""
    body = msgspec.msgpack.encode(snapshot)
    return xxh3_64_digest(body) + body


def decode_snapshot(data: bytes) -> StoredSnapshot:
    """Decode a snapshot; raise InvalidSnapshotError if it is none, damaged, or of another format."""
    body = memoryview(data)[CHECKSUM_BYTES:]
    checksum = data[:CHECKSUM_BYTES]
    if xxh3_64_digest(body) != checksum:
        raise InvalidSnapshotError(
            f"checksum {checksum.hex()} does not fit the {len(body)} bytes that follow"
        )
    try:
        content = _decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise InvalidSnapshotError(str(error)) from error
    if content.format != FORMAT:
        raise InvalidSnapshotError(f"format {content.format}, wanted {FORMAT}")
    return content
