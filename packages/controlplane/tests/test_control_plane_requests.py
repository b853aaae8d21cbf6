"""Requests to replicas as processes that only the leader answers, and requests that are malformed."""

from __future__ import annotations

from pathlib import Path

from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.messages import encode
from walnutpost.http import Connection
from walnutpost.testsupport.controlplane.config_harness import REPLY_TIMEOUT_US, CheckedProcesses, op
from walnutpost.testsupport.controlplane.replica_processes import NAMES, ReplicaProcesses, play


def test_follower_names_the_leader_for_progress_and_status_and_malformed_requests_get_400(
    tmp_path: Path,
) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        cluster.client().submit_change_set("1", [op("limit/a", "1")])
        leader = cluster.leader()
        follower = next(name for name in NAMES if name != leader)

        def ask(name: str, method: str, target: str, body: bytes) -> tuple[int, bytes]:
            address = cluster.address_of(name)
            assert address is not None
            with cluster.loop.timeout(REPLY_TIMEOUT_US):
                connection = Connection.open(cluster.loop, address)
                try:
                    response = connection.request(method, target, {}, body)
                finally:
                    connection.close()
            return response.status, response.body

        summary = encode(MemberRegistry("r", "r.1").next_summary(0, 0))
        for method, target, body in (
            ("POST", "/table/1/sums", summary),
            ("GET", "/table/1/status", b""),
            ("GET", "/table/1/entries", b""),
        ):
            status, body_of_reply = ask(follower, method, target, body)
            assert status == 421, target
            assert leader.encode() in body_of_reply, target
            assert ask(leader, method, target, body)[0] == 200
        for target in ("/table/1/sums", "/table/1/watch", "/table/1/change", "/fleet/1/commands"):
            for name in (leader, follower):
                for noise in (b"\xc1 noise", b"\x81\xa2id\xa3\xff\xfe\xfd", b"\x91" * 100_000):
                    assert ask(name, "POST", target, noise)[0] == 400, target
        assert cluster.client().entries(key="limit/a")[1][0].value == b"1"
        assert cluster.client().entries(key="limit/b")[1] == []
        assert cluster.client().status().relays[0][0] == "r"

    play(tmp_path, script, CheckedProcesses)
