"""A short soak with fixed seeds; the long one is started by hand (testsupport, abuse_soak)."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.testsupport.node.abuse_soak import play_soak

SEEDS = [102, 201, 302, 400, 402]


@pytest.mark.parametrize("seed", SEEDS)
def test_usual_clients_get_their_answers_amid_abuse_signals_and_replaced_workers(
    tmp_path: Path, seed: int
) -> None:
    result = play_soak(tmp_path, seed)
    assert not result.problems, result
