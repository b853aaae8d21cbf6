"""Who follows the configuration, and how far each is, as relays report it to the leader."""

from __future__ import annotations

from pathlib import Path

from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.messages import WatchRequest
from walnutpost.fleet import Fleet, ForgetMember
from walnutpost.testsupport.controlplane.config_harness import CheckedProcesses, op
from walnutpost.testsupport.controlplane.replica_processes import SECOND, ReplicaProcesses, play


class RelayReports:
    """A relay's reports of its members, made by hand: each has applied what `observe` was given."""

    def __init__(self, cluster: ReplicaProcesses, relay: str) -> None:
        self.cluster = cluster
        self.registry = MemberRegistry(relay, f"{relay}.1")

    def observe(self, member: str, revision: int, incarnation: str = "a", is_leaving: bool = False) -> None:
        request = WatchRequest(member, incarnation, 1, revision, revision, 0, 0, is_leaving=is_leaving)
        self.registry.observe(self.cluster.loop.now(), request)

    def send(self, revision: int) -> None:
        """Report until the leader has everything."""
        while True:
            response = self.cluster.client().report_progress(
                self.registry.next_summary(self.cluster.loop.now(), revision)
            )
            self.registry.handle_response(response)
            if not response.needs_full_report and not self.registry.has_changes:
                return


def test_followers_are_replicated_and_the_leader_claims_no_more_than_each_has_reported(
    tmp_path: Path,
) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = cluster.client()
        first, _ = client.submit_change_set("1", [op("limit/a", "1")])
        names = [f"f{n}" for n in range(40)]
        one, two = RelayReports(cluster, "r1"), RelayReports(cluster, "r2")
        for n, name in enumerate(names):
            (one if n % 2 else two).observe(name, first.index)

        def send_both(revision: int) -> None:
            one.send(revision)
            two.send(revision)

        send_both(first.index)
        cluster.wait_until(lambda: client.status().member_count == 40)
        status = client.status()
        assert status.min_applied_revision == first.index
        assert not status.lagging
        assert len(status.relays) == 2
        second, _ = client.submit_change_set("2", [op("limit/a", "2")])
        status = client.status()
        assert status.revision == second.index
        assert status.min_applied_revision == first.index
        assert status.lagging_count == 40
        assert {m.member for m in status.lagging} == set(names)
        for n, name in enumerate(names[:-1]):
            (one if n % 2 else two).observe(name, second.index)

        def is_named() -> bool:  # a relay names who lags behind, after a summary of all its members
            send_both(second.index)
            assert client.status().min_applied_revision == first.index
            return [m.member for m in client.status().lagging] == ["f39"]

        cluster.wait_until(is_named)
        status = client.status()
        assert status.latencies[-1].revision == second.index
        assert status.latencies[-1].latency_us is None
        (one if 39 % 2 else two).observe("f39", second.index)
        send_both(second.index)
        status = client.status()
        assert not status.lagging
        assert status.min_applied_revision == second.index
        assert status.latencies[-1].latency_us is not None

        # A new leader has no reports, and knows from the replicated state who has to report.
        cluster.kill(cluster.leader())
        client = cluster.client(timeout_us=30 * SECOND)
        status = client.status()
        assert status.member_count == 40
        assert status.min_applied_revision == 0
        assert status.lagging_count == 40
        one.send(second.index)
        assert client.status().lagging_count == 20
        assert client.status().min_applied_revision == 0
        two.send(second.index)
        assert client.status().min_applied_revision == second.index
        assert not client.status().lagging

        # One ends, one restarts as another process, one is gone for good.
        one.observe("f1", second.index, is_leaving=True)
        one.observe("f3", 0, "b")
        send_both(second.index)
        cluster.wait_until(
            lambda: client.status().member_count == 39 and client.status().min_applied_revision == 0
        )
        assert [(m.member, m.incarnation) for m in client.status().lagging] == [("f3", "b")]
        one.registry = MemberRegistry("r1", "r1.2")  # restarted; f5 does not connect to it any more
        third, _ = client.submit_change_set("3", [op("limit/a", "3")])
        for n, name in enumerate(names):
            if name not in ("f1", "f5"):
                (one if n % 2 else two).observe(name, third.index, "b" if name == "f3" else "a")
        send_both(third.index)
        status = client.status()
        assert [m.member for m in status.lagging] == ["f5"]
        assert status.min_applied_revision == second.index
        assert client.command("gone", ForgetMember("f5")).ok
        assert not client.status().lagging
        assert client.status().min_applied_revision == third.index
        followers = client.state()[1].state.followers
        assert len(followers) == 38
        assert followers["f3"] == "b"
        assert not {"f1", "f5"} & set(followers)
        other = next(name for name in cluster.running if name != cluster.leader())
        cluster.wait_until(
            lambda: Fleet.restore(client.local_status(other).state).state.followers == followers
        )

    play(tmp_path, script, CheckedProcesses)
