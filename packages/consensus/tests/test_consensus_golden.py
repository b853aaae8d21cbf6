"""Replicas of other versions and older disks: the bytes of messages, log entries and snapshots stay."""

from __future__ import annotations

from typing import get_args

import pytest

from walnutpost.consensus import effects, inputs, log_entries, messages
from walnutpost.consensus.messages import Message
from walnutpost.testsupport.consensus.message_samples import GOLDEN, MESSAGES, NEVER_WRITTEN
from walnutpost.testsupport.golden.samples import check_covered, check_fields_distinguishable, structs_of


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_form_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_form_is_read_as_the_same_value(name: str) -> None:
    GOLDEN.check_read(name)


def test_golden_file_has_these_forms_and_no_others() -> None:
    GOLDEN.check_names()


def test_every_message_and_every_stored_type_has_a_golden_form() -> None:
    check_covered(get_args(Message), MESSAGES.values())
    types = set().union(*(structs_of(module) for module in (log_entries, messages, inputs, effects)))
    check_covered(types, GOLDEN.values(), NEVER_WRITTEN)


def test_no_field_can_change_its_place_or_default_unnoticed() -> None:
    check_fields_distinguishable(GOLDEN.values())
