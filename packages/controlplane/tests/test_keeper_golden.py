"""Askers and keepers of other versions: the bytes of requests and answers stay."""

from __future__ import annotations

from typing import get_args

import pytest

from consensus_forms import MESSAGES
from golden_forms import check_covered, check_fields_distinguishable, structs_of
from keeper_forms import GOLDEN, MESSAGES_BY_NAME
from walnutpost.consensus import Message
from walnutpost.controlplane import changes, client, peers, process, wire

MODULES = changes, client, peers, process, wire


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_form_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_form_is_read_as_the_same_value(name: str) -> None:
    GOLDEN.check_read(name)


def test_the_golden_file_holds_these_forms_and_no_others() -> None:
    GOLDEN.check_names()


def test_every_request_and_answer_has_a_golden_form() -> None:
    check_covered(get_args(wire.Spoken), MESSAGES_BY_NAME.values())
    check_covered({kind for module in MODULES for kind in structs_of(module)}, MESSAGES_BY_NAME.values())
    assert {type(message) for message in MESSAGES.values()} == set(get_args(Message))


def test_no_field_can_change_places_or_its_default_unseen() -> None:
    check_fields_distinguishable(GOLDEN.values())
