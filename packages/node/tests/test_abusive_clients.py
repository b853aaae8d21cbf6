"""Clients that misuse the protocol at full speed must neither exhaust the process nor delay other clients.

A node process serves usual clients and fake workers while another process abuses it. The limits are those of
the configuration, and the times those of the protocol: each usual request gets one answer, at most 550 ms
after its time.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.testsupport.node.abuse_scenario import AbuseResult, play_abuse
from walnutpost.testsupport.node.abusive_client import AbuseKind

MEMORY_MB = 64
MIN_SERVED_RATIO = 0.5  # of the usual requests, as the standing test demands of each day


def assert_unharmed(result: AbuseResult, memory_mb: int) -> None:
    """Check the process and what its usual clients got."""
    usual = result.usual
    assert result.exit_code is None, f"the process has ended: {result.log[-2000:]}"
    assert result.peak_memory_mb <= memory_mb, result.abuse_report
    assert usual.kinds["unanswered"] == 0, usual
    assert usual.late == 0, usual
    assert usual.answered_twice == 0, usual
    assert result.calls_run_twice == 0, usual
    assert result.calls_after_departure == 0, result.abuse_report
    assert usual.kinds["served"] >= MIN_SERVED_RATIO * usual.kinds.total(), usual


@pytest.mark.parametrize("kind", AbuseKind, ids=lambda kind: kind.value)
def test_one_kind_of_abuse_harms_no_other_client(tmp_path: Path, kind: AbuseKind) -> None:
    assert_unharmed(play_abuse(tmp_path, [kind], memory_mb=MEMORY_MB), MEMORY_MB)


@pytest.mark.parametrize(
    "kinds",
    [
        [AbuseKind.CANCELLED_FUNCTIONS, AbuseKind.HELD_BODIES],
        [AbuseKind.MANY_FLOODS, AbuseKind.SHORT_ELEMENTS, AbuseKind.RESETS],
        [AbuseKind.UNREAD_ANSWERS, AbuseKind.CANCELLED_LATER, AbuseKind.HALF_REQUESTS],
    ],
    ids=lambda kinds: "-".join(kind.value for kind in kinds),
)
def test_several_kinds_of_abuse_at_once_harm_no_other_client(tmp_path: Path, kinds: list[AbuseKind]) -> None:
    assert_unharmed(play_abuse(tmp_path, kinds, memory_mb=MEMORY_MB), MEMORY_MB)


@pytest.mark.parametrize("leaving", [AbuseKind.RESETS, AbuseKind.CLOSES], ids=lambda kind: kind.value)
def test_requests_of_clients_that_left_are_not_sent_on_while_others_flood_a_part_of_a_core(
    tmp_path: Path, leaving: AbuseKind
) -> None:
    kinds = [leaving, AbuseKind.MIXED_FLOOD]
    assert_unharmed(play_abuse(tmp_path, kinds, memory_mb=MEMORY_MB, core_share=0.4), MEMORY_MB)
