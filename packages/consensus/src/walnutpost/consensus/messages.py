"""Messages between replicas. Times are whole microseconds.

Each message is addressed to one replica id: a process with another disk has another id. Messages are written
by position with a tag, as records in `log_entries.py`, so the tags are part of the wire form as well.
"""

from __future__ import annotations

from walnutpost.consensus.log_entries import LogEntry, Record, Snapshot


class VoteRequest(Record, frozen=True, tag="VoteAsked"):
    """RequestVote. `pre_vote`: asks whether a vote would be granted and changes nothing (thesis 9.6).

    `leadership_transfer`: the leader asked for this election, so its liveness is no ground to refuse.
    """

    term: int
    sender: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False


class VoteResponse(Record, frozen=True, tag="VoteGiven"):
    """The answer to a VoteRequest. `term`: the request's if granted, else the voter's."""

    term: int
    sender: str
    granted: bool
    pre_vote: bool = False


class AppendEntries(Record, frozen=True, tag="Append"):
    """AppendEntries, also the heartbeat.

    `round`: number of the leader's round, returned in the response. `quorum_contact_age_us`: time since the
    leader was last in contact with a quorum, negative if it is unknown. `echoed_sent_at_us`: `sent_at_us`
    of the newest response that the leader had from this replica when it wrote this, 0 for none.
    """

    term: int
    sender: str
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round: int
    quorum_contact_age_us: int = -1
    echoed_sent_at_us: int = 0


class AppendEntriesResponse(Record, frozen=True, tag="Appended"):
    """The answer to AppendEntries or InstallSnapshot.

    `match_index`: the last index that is durable and known to equal the leader's; after a failure, the index
    at which to try next. `sent_at_us`: time of writing by the sender's clock, shifted by an offset that only
    its process knows.
    """

    term: int
    sender: str
    success: bool
    match_index: int
    round: int
    sent_at_us: int = 0


class InstallSnapshot(Record, frozen=True, tag="Install"):
    """The complete state, for a replica that lacks entries which the leader's log no longer has."""

    term: int
    sender: str
    snapshot: Snapshot
    round: int


class TimeoutNow(Record, frozen=True, tag="TakeOver"):
    """Start an election at once: the leader transfers its leadership (thesis 3.10)."""

    term: int
    sender: str


Message = VoteRequest | VoteResponse | AppendEntries | AppendEntriesResponse | InstallSnapshot | TimeoutNow
