"""Sample records of the journal."""

from __future__ import annotations

from walnutpost.journal import (
    AnyRecord,
    AttemptIntended,
    CallAccepted,
    CallEnded,
    CallWithdrawn,
    encode_entry,
)


def accepted(call_id: str, expires_at_us: int = 100) -> CallAccepted:
    """Return the record of an accepted call."""
    return CallAccepted(
        call_id, f"name-{call_id}", "f", "1", None, b"payload", "digest", 1, expires_at_us, "unsafe", 1
    )


def ended(call_id: str, status: str = "SUCCEEDED", ended_at_us: int = 50) -> CallEnded:
    """Return the record of a call that has ended."""
    return CallEnded(call_id, status, ended_at_us, b"result", "", "")


RECORDS: list[AnyRecord] = [
    accepted("a"),
    AttemptIntended("a", 0, "w1"),
    AttemptIntended("a", 1, "w2"),
    ended("a"),
    ended("a", "FAILED"),
    accepted("b"),
    CallWithdrawn("b"),
    AttemptIntended("c", 0, "w1"),
]
ENTRIES = [encode_entry(seq, record) for seq, record in enumerate(RECORDS, start=1)]
