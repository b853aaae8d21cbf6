"""The cache files beside the store: torn ones are logged and ignored, failed writes are repeated."""

from __future__ import annotations

from pathlib import Path

import pytest

from walnutpost.configstore import ConfigStore
from walnutpost.controlplane.wire import CommandReply
from walnutpost.daemon.endpoint_cache import EndpointCache
from walnutpost.daemon.fleet import EndpointApplier, FleetMembership
from walnutpost.daemon.schedule_progress import ScheduleProgressFile
from walnutpost.eventloop import Loop, VirtualClock
from walnutpost.fleet import CommandResult, EndpointFollower
from walnutpost.fleet.endpoints import EndpointSnapshot
from walnutpost.testsupport.daemon.config_fleet import ConfigFleet, put_function
from walnutpost.testsupport.daemon.fleet import SECOND, Log
from walnutpost.testsupport.daemon.front_end_calls import kill_front_end
from walnutpost.testsupport.store.disk_faults import scripted_files

CALLS = ["write", "fsync", "rename", "fsync folder"]


@pytest.mark.parametrize("call", CALLS)
def test_table_cache_when_writes_fail_is_written_within_two_seconds_of_the_fault_s_end(
    tmp_path: Path, call: str
) -> None:
    f, path = ConfigFleet(tmp_path), tmp_path / "calls.db.table"

    def script() -> None:
        f.until(path.exists)
        f.loop.sleep(40 * SECOND)
        with scripted_files() as files:
            files.fails[call] = 1_000
            f.change(put_function("left", 2))
            f.until(lambda: files.fails[call] < 997)
            assert f.invoked_version("left") == "2"  # calls are served meanwhile
            files.fails[call], ended_us = 0, f.loop.now()
            f.until(lambda: files.calls[-1] == "fsync folder" and files.fails[call] == 0)
            assert f.loop.now() - ended_us < 2 * SECOND
            assert ConfigStore.restore(path.read_bytes()).revision == f.relay.table.revision

    f.play(script)


def test_table_cache_after_a_kill_while_writing_is_the_former_without_leftovers(tmp_path: Path) -> None:
    f, path = ConfigFleet(tmp_path), tmp_path / "calls.db.table"

    def script() -> None:
        f.change(put_function("left", 2))
        kill_front_end(f)
        f.relay.kill()
        leftover = path.with_name(path.name + ".0a1b2c3d.new")
        leftover.write_bytes(path.read_bytes()[:100])
        f.start_front_end()
        assert f.invoked_version("left") == "2"
        assert not leftover.exists()

    f.play(script)


class FakeEndpointLists:
    def __init__(self) -> None:
        self.published_revisions: list[int] = []

    def set_dynamic(self, follower: EndpointFollower) -> None:
        assert follower.snapshot is not None
        self.published_revisions.append(follower.snapshot.index)


class FakeReporter:
    """Gives the replies in order, and is unreachable after them."""

    def __init__(self, *replies: CommandReply) -> None:
        self._replies = list(replies)

    def report(self) -> CommandReply | None:
        return self._replies.pop(0) if self._replies else None


def make_membership(
    loop: Loop, path: Path, lists: FakeEndpointLists, log: Log, *replies: CommandReply
) -> FleetMembership:
    applier = EndpointApplier(
        loop, EndpointFollower("f0", "i0", False), lists, EndpointCache(loop, path, log), log
    )
    return FleetMembership(loop, FakeReporter(*replies), applier, SECOND // 5)


@pytest.mark.parametrize("content", [b"", b"\x92\x05", b"\xff"])
def test_endpoint_cache_when_torn_is_logged_and_not_used(tmp_path: Path, content: bytes) -> None:
    loop, log, lists, path = Loop(VirtualClock()), Log(), FakeEndpointLists(), tmp_path / "calls.db.agreed"
    path.write_bytes(content)

    def script() -> None:
        make_membership(loop, path, lists, log).catch_up()

    loop.run(script)
    assert lists.published_revisions == []
    assert [fields["file"] for event, fields in log.lines if event == "endpoint_cache_ignored"] == [
        "calls.db.agreed"
    ]


@pytest.mark.parametrize("call", CALLS)
def test_endpoint_cache_when_writes_fail_is_written_with_a_later_report(tmp_path: Path, call: str) -> None:
    loop, lists, path = Loop(VirtualClock()), FakeEndpointLists(), tmp_path / "calls.db.agreed"

    def script() -> None:
        reply = CommandReply(CommandResult(True, 1), endpoints=EndpointSnapshot(5, ()))
        first = make_membership(loop, path, lists, Log(), reply)
        files.fails[call] = 3
        first.catch_up()
        task = loop.spawn(first.run)
        loop.sleep(2 * SECOND)
        task.cancel()
        second = make_membership(loop, path, lists, Log())
        second.catch_up()
        assert second.follower.snapshot is not None
        assert second.follower.snapshot.index == 5

    with scripted_files() as files:
        loop.run(script)
    assert lists.published_revisions == [5, 5]


@pytest.mark.parametrize("call", CALLS)
def test_schedule_progress_when_a_write_fails_is_written_by_the_next_call(tmp_path: Path, call: str) -> None:
    progress = ScheduleProgressFile(tmp_path / "seen")
    with scripted_files() as files:
        files.fails[call] = 1
        with pytest.raises(OSError, match=r"No space|Input/output"):
            progress.write(7, 70)
        progress.write(7, 80)
    assert ScheduleProgressFile(tmp_path / "seen").uncertain_until(6) == 80


@pytest.mark.parametrize("content", [b"", b"7", b"\xff\xff", b"7 x"])
def test_schedule_progress_when_torn_shows_nothing(tmp_path: Path, content: bytes) -> None:
    (tmp_path / "seen").write_bytes(content)
    assert ScheduleProgressFile(tmp_path / "seen").uncertain_until(6) == 0
