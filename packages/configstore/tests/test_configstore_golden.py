"""Compatibility with other versions and older disks: the bytes of messages and snapshots stay."""

from __future__ import annotations

from importlib import import_module
from pkgutil import iter_modules

import pytest

from walnutpost import configstore
from walnutpost.configstore.errors import InvalidSnapshotError
from walnutpost.configstore.store import ConfigStore
from walnutpost.configstore.stored_snapshot import StoredSnapshot
from walnutpost.testsupport.configstore.table_samples import GOLDEN
from walnutpost.testsupport.golden.samples import check_covered, check_fields_distinguishable, structs_of

MODULES = tuple(
    import_module(f"{configstore.__name__}.{module.name}") for module in iter_modules(configstore.__path__)
)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_form_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_form_is_read_as_the_same_value(name: str) -> None:
    GOLDEN.check_read(name)


def test_the_golden_file_holds_these_forms_and_no_others() -> None:
    GOLDEN.check_names()


def test_every_type_that_is_written_has_a_golden_form() -> None:
    held_by_snapshots_alone = {StoredSnapshot}  # "table-snapshot...": made by `ConfigStore.snapshot`
    wanted = {kind for module in MODULES for kind in structs_of(module)} - held_by_snapshots_alone
    check_covered(wanted, GOLDEN.values())


def test_no_field_can_change_places_or_its_default_unseen() -> None:
    check_fields_distinguishable(GOLDEN.values())


def test_a_golden_table_with_one_flipped_byte_is_refused() -> None:
    data = bytearray(GOLDEN["table-snapshot.rich"])
    data[-1] ^= 1
    with pytest.raises(InvalidSnapshotError, match="checksum"):
        ConfigStore.restore(bytes(data))
