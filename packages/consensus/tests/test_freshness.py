"""Staleness bounds: how old each replica's state may be."""

from __future__ import annotations

import msgspec
import pytest

from walnutpost.consensus import MessageReceived, PersistentState, Raft, Tick
from walnutpost.consensus.messages import AppendEntries, AppendEntriesResponse, Message
from walnutpost.testsupport.consensus.cluster_simulation import TIMING, Cluster

THREE = ("a", "b", "c")


def test_replicas_in_contact_have_fresh_states_busy_or_idle() -> None:
    cluster = Cluster(THREE)
    assert cluster.raft("a").fresh_as_of(0) is None, "no message has arrived yet"
    cluster.elect("a")
    for _ in range(20):
        cluster.propose("a")
        cluster.pass_heartbeats(1)
        assert max(cluster.staleness(*THREE)) <= 2
    cluster.pass_heartbeats(50)
    assert max(cluster.staleness(*THREE)) <= 2


def test_leader_without_its_quorum_and_its_only_follower_become_stale() -> None:
    """Of five, a and b are isolated from the rest: a leads for an election timeout, and b follows it."""
    cluster = Cluster(("a", "b", "c", "d", "e"))
    cluster.elect("a")
    cluster.pass_heartbeats(5)
    isolated_at_us = cluster.now_us
    for _ in range(4):
        cluster.now_us += TIMING.heartbeat_interval_us
        cluster.feed("a", Tick())
        cluster.feed("b", Tick())
        cluster.settle("a", "b")
        min_staleness = (cluster.now_us - isolated_at_us) // TIMING.heartbeat_interval_us
        staleness = cluster.staleness("a", "b")
        assert min_staleness <= min(staleness)
        assert max(staleness) <= min_staleness + 3
    assert cluster.leader == "a"
    cluster.pass_heartbeats(20, "a", "b")
    assert min(cluster.staleness("a", "b")) >= 24, "also after it has stepped down"


def test_isolated_follower_becomes_stale_and_is_fresh_again_once_it_has_caught_up() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.pass_heartbeats(3)
    cluster.pass_heartbeats(10, "a", "b")
    assert cluster.staleness("c")[0] >= 10
    assert max(cluster.staleness("a", "b")) <= 2
    for _ in range(30):
        cluster.propose("a")
    cluster.settle("a", "b")
    cluster.pass_heartbeats(5)
    assert max(cluster.staleness(*THREE)) <= 2
    assert cluster.replicas["c"].applied == cluster.replicas["a"].applied


def test_message_that_waited_in_a_socket_while_its_reader_was_paused_makes_nothing_fresh() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.pass_heartbeats(5)
    cluster.now_us += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    late = [
        send.message
        for send in cluster.in_flight
        if send.to == "c" and isinstance(send.message, AppendEntries)
    ]
    cluster.in_flight.clear()
    cluster.now_us += 100 * TIMING.heartbeat_interval_us  # c is paused, while the others continue
    for message in late:
        cluster.feed("c", MessageReceived("c", message))
    assert late
    assert cluster.staleness("c")[0] >= 100


def test_messages_sent_to_a_former_process_make_nothing_fresh_after_a_restart() -> None:
    cluster = Cluster(THREE)
    cluster.elect("a")
    cluster.pass_heartbeats(5)
    cluster.crash("c")
    cluster.restart("c")
    cluster.now_us += TIMING.heartbeat_interval_us
    cluster.feed("a", Tick())
    for send in [send for send in cluster.in_flight if send.to == "c"]:
        cluster.feed("c", MessageReceived("c", send.message))
    replica = cluster.replicas["c"]
    assert replica.running.fresh_as_of(replica.applied) is None
    cluster.settle()
    cluster.pass_heartbeats(2)
    assert cluster.staleness("c")[0] <= 2


def test_message_of_a_version_without_ages_makes_nothing_fresh() -> None:
    raft = Raft("c", PersistentState(), TIMING, 1)
    raft.handle(0, MessageReceived("c", AppendEntries(1, "a", 0, 0, (), 0, 1)))
    assert raft.fresh_as_of(0) is None


@pytest.mark.parametrize(
    ("former_fields", "message"),
    [
        (("Append", 1, "a", 0, 0, (), 0, 1), AppendEntries(1, "a", 0, 0, (), 0, 1)),
        (("Appended", 1, "a", True, 0, 1), AppendEntriesResponse(1, "a", True, 0, 1)),
    ],
)
def test_message_of_a_version_without_ages_is_read_with_defaults(
    former_fields: tuple[object, ...], message: Message
) -> None:
    data = msgspec.msgpack.encode(former_fields)
    assert msgspec.msgpack.decode(data, type=type(message)) == message
