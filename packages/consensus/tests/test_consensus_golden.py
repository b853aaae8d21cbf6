"""Replicas of other versions and older disks: the bytes of messages, log entries and snapshots stay."""

from __future__ import annotations

from pathlib import Path
from typing import get_args

import pytest

from consensus_forms import GOLDEN, MESSAGES, NEVER_WRITTEN
from golden_forms import Form, Golden, Refused, check_covered, check_fields_told_apart, packed, structs_of
from walnutpost.consensus import messages
from walnutpost.consensus.messages import Message


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_form_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_form_is_read_as_the_same_value(name: str) -> None:
    GOLDEN.check_read(name)


def test_the_golden_file_holds_these_forms_and_no_others() -> None:
    GOLDEN.check_names()


def test_every_message_and_every_stored_type_has_a_golden_form() -> None:
    check_covered(get_args(Message), MESSAGES.values())
    check_covered(structs_of(messages), GOLDEN.values(), NEVER_WRITTEN)


def test_no_field_can_change_places_or_its_default_unseen() -> None:
    check_fields_told_apart(GOLDEN.values())


# The golden files themselves


def test_a_golden_form_is_not_overwritten_unless_told_so(tmp_path: Path) -> None:
    path = tmp_path / "golden" / "some.json"
    assert Golden(path, "", {"a": packed(1)}).write() == ["a"]
    both = Golden(path, "", {"a": packed(2), "b": packed(3)})
    with pytest.raises(Refused, match="would change a"):
        both.write()
    assert Golden(path, "", {}).read() == {"a": b"\x01"}
    assert both.write(overwrite=True) == ["a", "b"]
    assert both.read() == {"a": b"\x02", "b": b"\x03"}


def test_text_and_bytes_come_back_from_a_golden_file_as_they_were(tmp_path: Path) -> None:
    data = {"text": b'{"a": 1}\n', "bytes": b"\x00\xff", "return": b"a\r\n", "none": b""}
    golden = Golden(
        tmp_path / "golden" / "some.json", "", {n: Form(d, bytes, bytes) for n, d in data.items()}
    )
    golden.write()
    assert golden.read() == data
