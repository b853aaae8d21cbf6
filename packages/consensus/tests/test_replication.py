"""Replication: requests to those that don't lead, and logs that contradict each other."""

from __future__ import annotations

import pytest

from walnutpost.consensus import (
    ChangeMembership,
    CommittedEntryConflictError,
    ConsensusError,
    EntryKind,
    LogEntry,
    LogGapError,
    Members,
    MessageReceived,
    PersistentState,
    Raft,
    Snapshot,
)
from walnutpost.consensus.log import Log
from walnutpost.consensus.messages import AppendEntries
from walnutpost.testsupport.consensus.cluster_simulation import TIMING, Cluster

THREE = ("a", "b", "c")
SNAPSHOT = Snapshot(4, 1, Members(THREE), b"")


def _entry(index: int, term: int) -> LogEntry:
    return LogEntry(index, term, EntryKind.COMMAND, f"c{index}")


def test_requests_to_a_follower_are_rejected_with_the_name_of_the_leader() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.propose("b")
    cluster.feed("b", ChangeMembership("m", Members(("a", "b"))))
    cluster.request_read("b")
    rejected = [(each.reason, each.leader) for each in cluster.rejected]
    assert rejected == [("not the leader", "a")] * 3


def test_leader_that_would_replace_a_committed_entry_raises_an_error_with_what_was_found() -> None:
    raft = Raft("a", PersistentState(1, "", SNAPSHOT, (_entry(5, 1),)), TIMING, 1)
    raft.handle(0, MessageReceived("a", AppendEntries(1, "b", 5, 1, (), 5, 1)))
    assert raft.commit_index == 5
    message = AppendEntries(2, "c", 4, 1, (_entry(5, 2),), 4, 1)
    with pytest.raises(CommittedEntryConflictError, match="a: entry 5 would be replaced") as caught:
        raft.handle(1, MessageReceived("a", message))
    error = caught.value
    assert (error.replica_id, error.index, error.commit_index) == ("a", 5, 5)
    assert isinstance(error, ConsensusError)


@pytest.mark.parametrize("index", [4, 6])
def test_log_with_an_entry_that_does_not_follow_raises_an_error_with_found_and_wanted(index: int) -> None:
    with pytest.raises(LogGapError) as loaded:
        Log(SNAPSHOT, (_entry(index, 1),))
    with pytest.raises(LogGapError) as appended:
        Log(SNAPSHOT).append((_entry(index, 1),))
    for error in (loaded.value, appended.value):
        assert (error.found_index, error.wanted_index) == (index, 5)
        assert isinstance(error, ConsensusError)
