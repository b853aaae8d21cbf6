"""Change sets of the configuration at replicas as processes."""

from __future__ import annotations

from pathlib import Path

from walnutpost.fleet import CommandResult
from walnutpost.testsupport.controlplane.config_harness import CheckedProcesses, ReplicaWatcher, entries, op
from walnutpost.testsupport.controlplane.replica_processes import NAMES, SECOND, ReplicaProcesses, play


def test_change_set_repeated_after_its_leader_was_killed_is_applied_once(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = cluster.client()
        assert client.submit_change_set("first", [op("limit/a", "1"), op("function/f", "x")])[0].ok
        leader = cluster.leader()
        for (_, dialled), link in cluster.network.links.items():
            if dialled == leader:
                link.forward.block()  # its followers' messages don't arrive: it can't answer
        task = cluster.loop.spawn(
            lambda: cluster.client(timeout_us=30 * SECOND).submit_change_set("second", [op("limit/a", "2")])
        )
        cluster.loop.sleep(100_000)
        cluster.kill(leader)
        cluster.network.heal()
        answer, errors = task.join()
        assert answer.ok
        assert not errors
        # The same once more, after another change of the same key: it must not be applied again.
        later, _ = cluster.client().submit_change_set("third", [op("limit/a", "3"), op("function/f", None)])
        assert later.ok
        assert later.index > answer.index
        assert cluster.client().submit_change_set("second", [op("limit/a", "2")]) == (answer, ())
        assert entries(cluster) == {"limit/a": b"3"}
        cluster.start(leader)
        watchers = [ReplicaWatcher(cluster, name) for name in NAMES]
        for watcher in watchers:
            watcher.reach(later.index)
        assert len({watcher.state.store.digest for watcher in watchers}) == 1
        history = cluster.client().history(cluster.leader(), 0, 1000).entries
        with_result = [
            entry for entry in history if entry.command == "setentries" and entry.result is not None
        ]
        applied = [entry.id for entry in with_result if entry.result == CommandResult(True, entry.index)]
        assert applied == ["first", "second", "third"]

    play(tmp_path, script, CheckedProcesses)


def test_invalid_change_set_is_rejected_with_place_found_and_wanted_and_not_committed(tmp_path: Path) -> None:
    def script(cluster: ReplicaProcesses) -> None:
        client = cluster.client()
        good, _ = client.submit_change_set("good", [op("limit/a", "10")], operator="anna")
        cases = {
            "meaning": ([op("limit/b", "5"), op("limit/a", "9")], "limit a: found '9', wanted 10 to 1000"),
            "number": ([op("limit/a", "many")], "limit a: found 'many', wanted 10 to 1000"),
            "key": ([op("no key", "1")], "key 'no key': wanted kind/name"),
            "size": (
                [op("function/f", "x" * 20_000)],
                "key 'function/f': found a value of 20000 bytes, wanted",
            ),
            "empty": ([], "change set: found 0 keys, wanted 1 to 1000"),
            "huge": ([op(f"function/f{n}", "x" * 16_000) for n in range(90)], "bytes, wanted 131072 at most"),
        }
        for request_id, (mutations, expected) in cases.items():
            for is_dry_run in (True, False):
                answer, errors = client.submit_change_set(request_id, mutations, is_dry_run)
                assert not answer.ok
                assert expected in errors[0]
                assert errors[0] in answer.error
                assert len(errors) == 1
                assert answer.index in (0, good.index)
        answer, errors = client.submit_change_set("dry", [op("limit/a", "11")], is_dry_run=True)
        assert answer.ok
        assert not errors
        assert answer.index == good.index
        assert entries(cluster) == {"limit/a": b"10"}
        assert client.entries("function")[1] == []
        history = client.history(cluster.leader(), 0, 1000).entries
        changes = [entry for entry in history if entry.command == "setentries"]
        assert [entry.id for entry in changes] == ["good"]
        assert changes[0].description == "ops=limit/a, operator=anna"

    play(tmp_path, script, CheckedProcesses)
