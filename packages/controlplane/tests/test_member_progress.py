"""Followers of the configuration and their progress, as relays report them to the leader."""

from __future__ import annotations

from pathlib import Path

from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.messages import WatchRequest
from walnutpost.fleet import Fleet, ForgetMember
from walnutpost.testsupport.controlplane.config_harness import CheckedProcesses, op
from walnutpost.testsupport.controlplane.replica_processes import SECOND, ReplicaProcesses, play


class RelayReports:
    """A relay's reports of its members: each has applied the revision that `observe` was given."""

    def __init__(self, cluster: ReplicaProcesses, relay: str) -> None:
        self.cluster = cluster
        self.registry = MemberRegistry(relay, f"{relay}.1")

    def observe(self, member: str, revision: int, incarnation: str = "a", is_leaving: bool = False) -> None:
        request = WatchRequest(member, incarnation, 1, revision, revision, 0, 0, is_leaving=is_leaving)
        self.registry.observe(self.cluster.loop.now(), request)

    def send(self, revision: int) -> None:
        """Report until the leader has all changes."""
        while True:
            response = self.cluster.client().report_progress(
                self.registry.next_summary(self.cluster.loop.now(), revision)
            )
            self.registry.handle_response(response)
            if not response.needs_full_report and not self.registry.has_changes:
                return


class Followers:
    """Followers f0 to f39 behind two relays: even numbers behind r2, odd ones behind r1."""

    def __init__(self, cluster: ReplicaProcesses) -> None:
        self.names = [f"f{n}" for n in range(40)]
        self.one, self.two = RelayReports(cluster, "r1"), RelayReports(cluster, "r2")

    def observe(self, number: int, revision: int, incarnation: str = "a") -> None:
        relay = self.one if number % 2 else self.two
        relay.observe(self.names[number], revision, incarnation)

    def send(self, revision: int) -> None:
        self.one.send(revision)
        self.two.send(revision)


def register_all(cluster: ReplicaProcesses, followers: Followers) -> int:
    """Let all followers apply a first change; return its revision."""
    client = cluster.client()
    first, _ = client.submit_change_set("1", [op("limit/a", "1")])
    for n in range(40):
        followers.observe(n, first.index)
    followers.send(first.index)
    cluster.wait_until(lambda: client.status().member_count == 40)
    status = client.status()
    assert status.min_applied_revision == first.index
    assert not status.lagging
    assert len(status.relays) == 2
    return first.index


def apply_second_change(cluster: ReplicaProcesses, followers: Followers, first_revision: int) -> int:
    """Let all followers apply a second change, f39 last; return its revision."""
    client = cluster.client()
    second, _ = client.submit_change_set("2", [op("limit/a", "2")])
    status = client.status()
    assert status.revision == second.index
    assert status.min_applied_revision == first_revision
    assert status.lagging_count == 40
    assert {m.member for m in status.lagging} == set(followers.names)
    for n in range(39):
        followers.observe(n, second.index)

    def is_named() -> bool:  # a relay names the followers that lag, after a summary of all its members
        followers.send(second.index)
        assert client.status().min_applied_revision == first_revision
        return [m.member for m in client.status().lagging] == ["f39"]

    cluster.wait_until(is_named)
    status = client.status()
    assert status.latencies[-1].revision == second.index
    assert status.latencies[-1].latency_us is None
    followers.observe(39, second.index)
    followers.send(second.index)
    status = client.status()
    assert not status.lagging
    assert status.min_applied_revision == second.index
    assert status.latencies[-1].latency_us is not None
    return second.index


def report_to_new_leader(cluster: ReplicaProcesses, followers: Followers, revision: int) -> None:
    """Kill the leader: the next one has no reports, but knows the followers from the replicated state."""
    cluster.kill(cluster.leader())
    client = cluster.client(timeout_us=30 * SECOND)
    status = client.status()
    assert status.member_count == 40
    assert status.min_applied_revision == 0
    assert status.lagging_count == 40
    followers.one.send(revision)
    assert client.status().lagging_count == 20
    assert client.status().min_applied_revision == 0
    followers.two.send(revision)
    assert client.status().min_applied_revision == revision
    assert not client.status().lagging


def lose_followers(cluster: ReplicaProcesses, followers: Followers, revision: int) -> None:
    """f1 ends, f3 restarts as another process, f5 is gone for good and is forgotten."""
    client = cluster.client(timeout_us=30 * SECOND)
    one = followers.one
    one.observe("f1", revision, is_leaving=True)
    one.observe("f3", 0, "b")
    followers.send(revision)
    cluster.wait_until(
        lambda: client.status().member_count == 39 and client.status().min_applied_revision == 0
    )
    assert [(m.member, m.incarnation) for m in client.status().lagging] == [("f3", "b")]
    one.registry = MemberRegistry("r1", "r1.2")  # restarted; f5 does not connect to it any more
    third, _ = client.submit_change_set("3", [op("limit/a", "3")])
    for n, name in enumerate(followers.names):
        if name not in ("f1", "f5"):
            followers.observe(n, third.index, "b" if name == "f3" else "a")
    followers.send(third.index)
    status = client.status()
    assert [m.member for m in status.lagging] == ["f5"]
    assert status.min_applied_revision == revision
    assert client.command("gone", ForgetMember("f5")).ok
    assert not client.status().lagging
    assert client.status().min_applied_revision == third.index


def test_followers_are_replicated_and_the_leader_claims_no_more_than_each_has_reported(
    tmp_path: Path,
) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        followers = Followers(cluster)
        first_revision = register_all(cluster, followers)
        second_revision = apply_second_change(cluster, followers, first_revision)
        report_to_new_leader(cluster, followers, second_revision)
        lose_followers(cluster, followers, second_revision)
        client = cluster.client(timeout_us=30 * SECOND)
        replicated = client.state().fleet.state.followers
        assert len(replicated) == 38
        assert replicated["f3"] == "b"
        assert not {"f1", "f5"} & set(replicated)
        other = next(name for name in cluster.running if name != cluster.leader())
        cluster.wait_until(
            lambda: Fleet.restore(client.local_status(other).state).state.followers == replicated
        )

    play(tmp_path, script, CheckedProcesses)
