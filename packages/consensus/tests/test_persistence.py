"""The persistence gate: nothing leaves before it is durable."""

from __future__ import annotations

from walnutpost.consensus import MessageReceived, Role, Tick
from walnutpost.consensus.messages import AppendEntriesResponse
from walnutpost.testsupport.consensus.cluster_simulation import Cluster

THREE = ("a", "b", "c")


def test_entry_is_neither_sent_nor_acknowledged_before_it_is_durable() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.in_flight.clear()
    request_id = cluster.propose("a")
    assert not cluster.in_flight, "the others receive it once the leader has it on disk"
    cluster.complete_writes("a")
    sent = cluster.in_flight[:]
    cluster.in_flight.clear()
    for send in sent:
        cluster.feed(send.to, MessageReceived(send.to, send.message))
    assert not cluster.in_flight, "no answer before they have it on disk"
    cluster.settle()
    cluster.tick_at_deadline("a")
    cluster.settle()
    assert all(replica.state[-1] == request_id for replica in cluster.replicas.values())


def test_only_voter_leads_once_its_own_vote_is_durable() -> None:
    cluster = Cluster(("a",))
    cluster.feed("a", Tick())
    cluster.tick_at_deadline("a")
    assert cluster.raft("a").role is Role.CANDIDATE
    assert cluster.raft("a").term == 1
    cluster.complete_writes("a")
    assert cluster.raft("a").role is Role.LEADER


def test_read_that_a_quorum_confirmed_is_answered_once_earlier_writes_are_durable() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.pass_heartbeats(1)
    cluster.request_read("a")
    cluster.propose("a")
    while any(send.to != "a" for send in cluster.in_flight):
        cluster.deliver(next(n for n, send in enumerate(cluster.in_flight) if send.to != "a"))
    answers = [send for send in cluster.in_flight if isinstance(send.message, AppendEntriesResponse)]
    cluster.in_flight.clear()
    for send in answers:
        cluster.feed("a", MessageReceived("a", send.message))
    assert len(answers) >= 2
    assert cluster.replicas["a"].writes
    assert not cluster.ready
    cluster.complete_writes("a")
    assert [ready.id for ready in cluster.ready] == list(cluster.committed_at_request)
