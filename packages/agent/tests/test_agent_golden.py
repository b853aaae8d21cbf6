"""Older folders: an agent's own file, its versions and an operator's order, as this version left them."""

from __future__ import annotations

import pytest

from agent_forms import GOLDEN


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_folder_is_written_with_the_same_bytes(name: str) -> None:
    GOLDEN.check_written(name)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_a_golden_folder_is_read_as_the_same_names_and_versions(name: str) -> None:
    GOLDEN.check_read(name)


def test_the_golden_file_holds_these_forms_and_no_others() -> None:
    GOLDEN.check_names()
