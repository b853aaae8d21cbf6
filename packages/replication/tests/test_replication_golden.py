"""Messages between an origin and its replicas as bytes: sites of two versions understand each other."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from walnutpost.journal import (
    AttemptIntended,
    JournalBatch,
    JournalOffset,
    ResultsPurged,
    encode_entry,
    make_batch,
)
from walnutpost.replication import wire
from walnutpost.replication.wire import CallEntries, decode, encode
from walnutpost.testsupport.golden.files import (
    assert_as_golden,
    assert_every_field_tells,
    json_lines,
    with_defaults,
)

GOLDEN = Path(__file__).parent / "golden"
ENTRIES = (
    encode_entry(42, AttemptIntended("call-1", 2, "worker-3")),
    encode_entry(44, ResultsPurged(1_800_000_000_000_001)),
)

# The one place that says which object a golden message is.
FULL: dict[str, JournalBatch | JournalOffset | CallEntries] = {
    "batch": JournalBatch(
        origin="front-0#0a1b2c3d4e5f", after=41, upto=45, entries=ENTRIES, checksum=1_234_567_890
    ),
    "have": JournalOffset(disk="0a1b2c3d4e5f", upto=45),
    "said": CallEntries(entries=ENTRIES),
}
MESSAGES: dict[str, JournalBatch | JournalOffset | CallEntries] = {
    **FULL,
    "batch-defaults": with_defaults(FULL["batch"]),
    "batch-summed": make_batch("front-0#0a1b2c3d4e5f", 41, 45, ENTRIES),
    "said-nothing": CallEntries(entries=()),
}
TARGETS = {"copies": wire.BATCHES_PATH, "calls": wire.CALLS_PATH, "lines": wire.ENTRIES_PATH}


def golden_files() -> dict[Path, bytes]:
    files = {GOLDEN / f"{name}.msgpack": encode(message) for name, message in MESSAGES.items()}
    return {**files, GOLDEN / "targets.json": json_lines(TARGETS)}


def test_messages_and_targets_when_written_equal_the_golden_files() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", MESSAGES)
def test_message_when_read_from_a_golden_file_equals_its_object(name: str) -> None:
    kind: Any = type(MESSAGES[name])  # a union is none of the types that `decode` is constrained to
    assert decode((GOLDEN / f"{name}.msgpack").read_bytes(), kind) == MESSAGES[name]


def test_golden_messages_cover_each_type_with_every_field_set() -> None:
    assert {type(message) for message in FULL.values()} == set(wire.MessageT.__constraints__)
    for message in FULL.values():
        assert_every_field_tells(message)
