"""What a replica writes of a batch: new entries only, none after a gap, none of a batch that was altered."""

from __future__ import annotations

import pytest

from walnutpost.journal import BatchWrite, InvalidBatchError, JournalBatch, make_batch, plan_batch_write
from walnutpost.testsupport.journal.records import ENTRIES


def test_batch_when_valid_is_written_from_the_offset_on_and_never_after_a_gap() -> None:
    sent = make_batch("o", 2, 6, [ENTRIES[2], ENTRIES[4]])
    assert plan_batch_write({"o": 2}, sent) == BatchWrite("o", 6, (ENTRIES[2], ENTRIES[4]))
    assert plan_batch_write({"o": 4}, sent) == BatchWrite("o", 6, (ENTRIES[4],))
    assert plan_batch_write({"o": 1}, sent) is None
    assert plan_batch_write({}, sent) is None
    assert plan_batch_write({"o": 6}, sent) is None  # sent again


@pytest.mark.parametrize(
    "invalid",
    [
        pytest.param(make_batch("o", 2, 6, [ENTRIES[4], ENTRIES[2]]), id="out of order"),
        pytest.param(make_batch("o", 2, 4, [ENTRIES[4]]), id="entry after the interval"),
        pytest.param(make_batch("o", 5, 6, [ENTRIES[4]]), id="entry before the interval"),
        pytest.param(
            JournalBatch(
                "o", 2, 6, (ENTRIES[2], ENTRIES[3]), make_batch("o", 2, 6, [ENTRIES[2], ENTRIES[4]]).checksum
            ),
            id="altered",
        ),
    ],
)
def test_batch_when_not_as_its_origin_sent_it_is_rejected_whole(invalid: JournalBatch) -> None:
    with pytest.raises(InvalidBatchError):
        plan_batch_write({"o": 2}, invalid)
