"""Replicas and clients of other versions: the bytes of requests and responses stay."""

from __future__ import annotations

import pkgutil
from importlib import import_module
from typing import get_args

import pytest

from walnutpost import controlplane
from walnutpost.consensus import Message
from walnutpost.controlplane import wire
from walnutpost.testsupport.consensus.message_samples import MESSAGES
from walnutpost.testsupport.controlplane.request_samples import GOLDEN, MESSAGES_BY_NAME
from walnutpost.testsupport.golden.samples import check_covered, check_fields_distinguishable, structs_of

MODULES = [
    import_module(f"{controlplane.__name__}.{m.name}") for m in pkgutil.iter_modules(controlplane.__path__)
]


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_form_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_form_is_read_as_the_same_value(name: str) -> None:
    GOLDEN.check_read(name)


def test_golden_file_has_these_forms_and_no_others() -> None:
    GOLDEN.check_names()


def test_every_message_type_has_a_golden_form() -> None:
    assert wire in MODULES
    check_covered(get_args(wire.AnyMessage), MESSAGES_BY_NAME.values())
    check_covered({kind for module in MODULES for kind in structs_of(module)}, MESSAGES_BY_NAME.values())
    assert {type(message) for message in MESSAGES.values()} == set(get_args(Message))


def test_field_that_changes_places_or_its_default_changes_a_golden_form() -> None:
    check_fields_distinguishable(GOLDEN.values())


def test_malformed_message_is_named_as_in_the_first_version() -> None:
    """Clients of other versions see the name in the text of a response with status 400."""
    names = {kind.__name__: kind.wire_name for kind in get_args(wire.AnyMessage)}
    assert names == {
        "PeerMessages": "Post",
        "CommandRequest": "Order",
        "ChangeSetRequest": "SetOrder",
        "Report": "Report",
        "MembershipRequest": "Membership",
        "CommandReply": "Told",
        "ReplicaStatus": "View",
        "History": "History",
        "ConfigEntries": "Entries",
    }
    with pytest.raises(controlplane.MalformedMessageError, match=r"^Order: "):
        wire.decode(b"\xc1 noise", wire.CommandRequest)
    with pytest.raises(controlplane.MalformedMessageError, match=r"^Order: format 2, wanted 1$"):
        wire.decode(wire.encode(wire.CommandRequest("id", b"", format=2)), wire.CommandRequest)
