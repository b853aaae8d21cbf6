"""The cache files next to the store: torn files are logged and ignored, failed writes are retried."""

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
from walnutpost.testsupport.daemon.fleet import SECOND, RecordingLog
from walnutpost.testsupport.daemon.front_end_calls import kill_front_end
from walnutpost.testsupport.store.disk_faults import scripted_files

FILE_OPERATIONS = ["write", "fsync", "rename", "fsync folder"]


@pytest.mark.parametrize("operation", FILE_OPERATIONS)
def test_config_cache_is_written_within_two_seconds_after_the_disk_recovers(
    tmp_path: Path, operation: str
) -> None:
    fleet, path = ConfigFleet(tmp_path), tmp_path / "calls.db.table"

    def script() -> None:
        fleet.wait_until(path.exists)
        fleet.loop.sleep(40 * SECOND)
        with scripted_files() as files:
            files.fails[operation] = 1_000
            fleet.commit_and_wait(put_function("left", 2))
            fleet.wait_until(lambda: files.fails[operation] < 997)
            assert fleet.invoked_version("left") == "2"  # calls are served while writes fail
            files.fails[operation], ended_us = 0, fleet.loop.now()
            fleet.wait_until(lambda: files.calls[-1] == "fsync folder" and files.fails[operation] == 0)
            assert fleet.loop.now() - ended_us < 2 * SECOND
            assert ConfigStore.restore(path.read_bytes()).revision == fleet.relay.store.revision

    fleet.run_script(script)


def test_kill_during_a_cache_write_keeps_the_previous_cache_and_no_temporary_file(tmp_path: Path) -> None:
    fleet, path = ConfigFleet(tmp_path), tmp_path / "calls.db.table"

    def script() -> None:
        fleet.commit_and_wait(put_function("left", 2))
        kill_front_end(fleet)
        fleet.relay.kill()
        leftover = path.with_name(path.name + ".0a1b2c3d.new")
        leftover.write_bytes(path.read_bytes()[:100])
        fleet.start_front_end()
        assert fleet.invoked_version("left") == "2"
        assert not leftover.exists()

    fleet.run_script(script)


class FakeEndpointLists:
    def __init__(self) -> None:
        self.published_revisions: list[int] = []

    def set_dynamic(self, follower: EndpointFollower) -> None:
        assert follower.snapshot is not None
        self.published_revisions.append(follower.snapshot.index)


class FakeReporter:
    """Returns the given replies in order, then None as if the control plane were unreachable."""

    def __init__(self, *replies: CommandReply) -> None:
        self._replies = list(replies)

    def report(self) -> CommandReply | None:
        return self._replies.pop(0) if self._replies else None


def make_membership(
    loop: Loop, path: Path, lists: FakeEndpointLists, log: RecordingLog, *replies: CommandReply
) -> FleetMembership:
    applier = EndpointApplier(
        loop, EndpointFollower("f0", "i0", False), lists, EndpointCache(loop, path, log), log
    )
    return FleetMembership(loop, FakeReporter(*replies), applier, SECOND // 5)


@pytest.mark.parametrize("content", [b"", b"\x92\x05", b"\xff"])
def test_torn_endpoint_cache_is_logged_and_ignored(tmp_path: Path, content: bytes) -> None:
    loop, log, lists, path = (
        Loop(VirtualClock()),
        RecordingLog(),
        FakeEndpointLists(),
        tmp_path / "calls.db.agreed",
    )
    path.write_bytes(content)

    def script() -> None:
        make_membership(loop, path, lists, log).catch_up()

    loop.run(script)
    assert lists.published_revisions == []
    assert [fields["file"] for event, fields in log.events if event == "endpoint_cache_ignored"] == [
        "calls.db.agreed"
    ]


@pytest.mark.parametrize("operation", FILE_OPERATIONS)
def test_failed_endpoint_cache_write_is_retried_with_a_later_report(tmp_path: Path, operation: str) -> None:
    loop, lists, path = Loop(VirtualClock()), FakeEndpointLists(), tmp_path / "calls.db.agreed"

    def script() -> None:
        reply = CommandReply(CommandResult(True, 1), endpoints=EndpointSnapshot(5, ()))
        first = make_membership(loop, path, lists, RecordingLog(), reply)
        files.fails[operation] = 3
        first.catch_up()
        task = loop.spawn(first.run)
        loop.sleep(2 * SECOND)
        task.cancel()
        second = make_membership(loop, path, lists, RecordingLog())
        second.catch_up()
        assert second.follower.snapshot is not None
        assert second.follower.snapshot.index == 5

    with scripted_files() as files:
        loop.run(script)
    assert lists.published_revisions == [5, 5]


@pytest.mark.parametrize("operation", FILE_OPERATIONS)
def test_schedule_progress_can_be_written_after_a_failed_write(tmp_path: Path, operation: str) -> None:
    progress = ScheduleProgressFile(tmp_path / "seen")
    with scripted_files() as files:
        files.fails[operation] = 1
        with pytest.raises(OSError, match=r"No space|Input/output"):
            progress.write(7, 70)
        progress.write(7, 80)
    assert ScheduleProgressFile(tmp_path / "seen").uncertain_until(6) == 80


@pytest.mark.parametrize("content", [b"", b"7", b"\xff\xff", b"7 x"])
def test_torn_schedule_progress_is_ignored(tmp_path: Path, content: bytes) -> None:
    (tmp_path / "seen").write_bytes(content)
    assert ScheduleProgressFile(tmp_path / "seen").uncertain_until(6) == 0
