"""Merging replicas of a journal: the same result in any order, of any replicas, any number of times."""

from __future__ import annotations

from itertools import permutations
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from walnutpost.journal import (
    AnyRecord,
    CallStage,
    CallWithdrawn,
    IntervalSet,
    JournalEntry,
    MergedJournal,
    ResultsPurged,
    encode_entry,
)
from walnutpost.testsupport.journal.records import ENTRIES, accepted, ended

Replica = tuple[int, int, set[int]]  # it accounts for (after, upto]; entries in the set have a bit flipped


def add_replica(merged: MergedJournal, replica: Replica) -> None:
    after, upto, flipped = replica
    entries = [
        JournalEntry(entry.seq, entry.data[:-1] + bytes([entry.data[-1] ^ 1]), entry.checksum)
        if entry.seq in flipped
        else entry
        for entry in ENTRIES[after:upto]
    ]
    merged.add(IntervalSet([(after, upto)]), entries)


@given(
    st.lists(st.tuples(st.integers(0, 8), st.integers(0, 8), st.sets(st.integers(1, 8))), max_size=5),
    st.randoms(use_true_random=False),
)
def test_merge_when_replicas_come_in_any_order_is_equal_and_stages_never_go_back(
    replicas: list[Replica], random: Random
) -> None:
    first, second = MergedJournal(), MergedJournal()
    stages: dict[str, int] = {}
    for replica in replicas:
        add_replica(first, replica)
        for call_id, call in first.calls.items():
            assert call.stage.value >= stages.get(call_id, 0)
            stages[call_id] = call.stage.value
    repeated = replicas + replicas[:2]
    random.shuffle(repeated)
    for replica in repeated:
        add_replica(second, replica)
    assert (first.calls, first.gaps, first.corrupt) == (second.calls, second.gaps, second.corrupt)
    intact = {s for a, b, flipped in replicas for s in range(a + 1, b + 1) if s not in flipped}
    covered = {s for a, b, _ in replicas for s in range(a + 1, b + 1)}
    missing = {s for a, b in first.gaps for s in range(a + 1, b + 1)}
    assert missing == set(range(1, max(covered, default=0) + 1)) - intact
    if 4 in intact and (outcome := first.calls["a"].ended) is not None:
        assert outcome.status == "SUCCEEDED"  # the outcome written first wins: a client may have got it


def test_merge_when_entries_come_in_any_order_has_the_latest_stage_and_all_intents() -> None:
    for order in permutations(ENTRIES[:4]):
        merged = MergedJournal()
        for entry in order:
            merged.add(IntervalSet([(entry.seq - 1, entry.seq)]), [entry])
        assert merged.calls["a"].stage is CallStage.ENDED
        assert merged.calls["a"].intents == {(0, "w1"), (1, "w2")}


def test_live_calls_when_withdrawn_or_ended_before_a_purge_leave_them_out() -> None:
    merged = MergedJournal()
    records: list[AnyRecord] = [
        accepted("old", 30),
        accepted("open", 90),
        accepted("answered"),
        ended("answered", ended_at_us=40),
        accepted("b"),
    ]
    records += [CallWithdrawn("b"), ResultsPurged(35)]
    merged.add(IntervalSet([(0, 7)]), [encode_entry(seq, r) for seq, r in enumerate(records, start=1)])
    assert sorted(merged.retained_calls()) == ["answered", "open"]
    merged.add(IntervalSet([(7, 8)]), [encode_entry(8, ResultsPurged(41))])
    merged.add(IntervalSet([(8, 9)]), [encode_entry(9, ResultsPurged(20))])  # an older purge, late
    assert sorted(merged.retained_calls()) == ["open"]
