"""What an origin and a holder say to each other, as bytes: sites of two versions understand each other."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from golden_files import assert_as_golden, assert_every_field_tells, json_lines, with_defaults
from walnutpost.journal import Batch, Have, Intended, Purged, batch, line
from walnutpost.replication import wire
from walnutpost.replication.wire import Said, decode, encode

GOLDEN = Path(__file__).parent / "golden"
LINES = (line(42, Intended("call-1", 2, "worker-3")), line(44, Purged(1_800_000_000_000_001)))

# The one place that says which object a golden message is.
FULL: dict[str, Batch | Have | Said] = {
    "batch": Batch(origin="front-0#0a1b2c3d4e5f", after=41, upto=45, lines=LINES, sum=1_234_567_890),
    "have": Have(disk="0a1b2c3d4e5f", upto=45),
    "said": Said(lines=LINES),
}
MESSAGES: dict[str, Batch | Have | Said] = {
    **FULL,
    "batch-defaults": with_defaults(FULL["batch"]),
    "batch-summed": batch("front-0#0a1b2c3d4e5f", 41, 45, LINES),
    "said-nothing": Said(lines=()),
}
PLACES = {"copies": wire.COPIES, "calls": wire.CALLS, "lines": wire.LINES}


def golden_files() -> dict[Path, bytes]:
    files = {GOLDEN / f"{name}.msgpack": encode(message) for name, message in MESSAGES.items()}
    return {**files, GOLDEN / "targets.json": json_lines(PLACES)}


def test_messages_and_targets_are_written_as_before() -> None:
    assert_as_golden(golden_files())


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_of_before_is_read(name: str) -> None:
    kind: Any = type(MESSAGES[name])
    assert decode((GOLDEN / f"{name}.msgpack").read_bytes(), kind) == MESSAGES[name]


def test_each_type_of_message_is_among_the_golden_ones_with_every_field_told() -> None:
    assert {type(message) for message in FULL.values()} == set(wire.T.__constraints__)
    for message in FULL.values():
        assert_every_field_tells(message)
