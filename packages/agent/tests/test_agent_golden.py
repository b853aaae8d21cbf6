"""Folders of former versions: an agent's state, its versions and an operator's order, byte for byte."""

from __future__ import annotations

import pytest

from walnutpost.testsupport.agent.folder_samples import GOLDEN


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_folder_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_golden_folder_is_read_as_the_same_names_and_versions(name: str) -> None:
    GOLDEN.check_read(name)


def test_golden_file_has_exactly_these_forms() -> None:
    GOLDEN.check_names()
