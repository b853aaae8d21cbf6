"""An agent's files: torn when it starts, and on a disk that rejects writes for a while."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest

from walnutpost.agent import (
    Agent,
    AgentFolderError,
    AgentSettings,
    ManualOrderError,
    build_agent,
    manual_order_path,
    version_of,
)
from walnutpost.agent.manual_orders import take_order
from walnutpost.agent.state_file import AgentState
from walnutpost.agent.versions import VersionStore
from walnutpost.eventloop import Loop, replace_file
from walnutpost.fleet import FRONT_END
from walnutpost.fleet.agent_instance import ControllerSettings
from walnutpost.testsupport.daemon.fleet import RecordingLog
from walnutpost.testsupport.store.disk_faults import scripted_files

SECOND = 1_000_000
V1, V2 = b'{"version": "v1"}', b'{"version": "v2"}'
CHILD = "import time; print('ready', flush=True); time.sleep(600)"


def settings(folder: Path) -> AgentSettings:
    """Those of an agent whose control plane can't be reached."""
    return AgentSettings(
        member="f0",
        kind=FRONT_END,
        zone="a",
        command=[sys.executable, "-c", CHILD, "{config}"],
        ready_text="ready",
        first_version=V1,
        folder=folder,
        replicas={"k1": ("127.0.0.1", 1)},
        controller=ControllerSettings(60 * SECOND, 60 * SECOND),
        report_interval_us=SECOND,
    )


@contextmanager
def running_agent(loop: Loop, folder: Path, log: RecordingLog) -> Iterator[Agent]:
    agent = build_agent(loop, settings(folder), log)
    try:
        agent.start()
        yield agent
    finally:
        agent.stop()


def wait_until(loop: Loop, condition: Callable[[], bool]) -> None:
    while not condition():
        loop.sleep(20_000)


def stored_state(folder: Path, suffix: str = "") -> dict[str, str]:
    return dict(json.loads((folder / f"f0.json{suffix}").read_text()))


def run_once(folder: Path) -> str:
    """Run an agent until it has started its process, and return its name."""
    loop = Loop()
    names: list[str] = []

    def main() -> None:
        with running_agent(loop, folder, RecordingLog()) as agent:
            names.append(agent.name)

    loop.run(main)
    return names[0]


@pytest.mark.parametrize("content", [b"", b'{"agent": "f0', b"{}", b"[1]", b"\xff\x00"])
def test_agent_when_its_state_file_is_torn_logs_it_and_uses_the_copy(tmp_path: Path, content: bytes) -> None:
    name = run_once(tmp_path)
    (tmp_path / "f0.json").write_bytes(content)
    (tmp_path / "f0.json.0a1b2c3d.new").write_bytes(b"half")
    loop, log = Loop(), RecordingLog()

    def main() -> None:
        with running_agent(loop, tmp_path, log) as agent:
            assert agent.name == name
            assert agent.runner.controller.durable.current == version_of(V1)
        unreadable = [fields["file"] for event, fields in log.events if event == "state_file_unreadable"]
        assert unreadable == ["f0.json"]
        assert not (tmp_path / "f0.json.0a1b2c3d.new").exists()

    loop.run(main)


def test_agent_when_both_state_files_are_torn_starts_no_second_process(tmp_path: Path) -> None:
    run_once(tmp_path)
    for suffix in ("", ".copy"):
        (tmp_path / f"f0.json{suffix}").write_bytes(b"")
    with pytest.raises(AgentFolderError):
        run_once(tmp_path)


@pytest.mark.parametrize("content", [b"", V2[:5], None])
def test_agent_when_its_version_is_torn_logs_it_and_runs_the_previous_one(
    tmp_path: Path, content: bytes | None
) -> None:
    run_once(tmp_path)
    known = stored_state(tmp_path) | {"current": version_of(V2), "previous": version_of(V1)}
    (tmp_path / "f0.json").write_text(json.dumps(known))
    if content is not None:
        (tmp_path / "versions" / version_of(V2)).write_bytes(content)
    loop, log = Loop(), RecordingLog()

    def main() -> None:
        with running_agent(loop, tmp_path, log) as agent:
            assert agent.runner.controller.durable.current == version_of(V1)
            unusable = [fields["version"] for event, fields in log.events if event == "version_unusable"]
            assert unusable == [version_of(V2)]
            assert agent.runner.process.versions.store(V2) == version_of(
                V2
            )  # sent again by the control plane
            assert (tmp_path / "versions" / version_of(V2)).read_bytes() == V2

    loop.run(main)


@pytest.mark.parametrize("operation", ["write", "fsync", "rename", "fsync folder"])
def test_agent_when_the_disk_fails_saves_its_state_once_it_works_again(
    tmp_path: Path, operation: str
) -> None:
    loop = Loop()

    def main() -> None:
        with running_agent(loop, tmp_path, RecordingLog()) as agent:
            with scripted_files() as files:
                files.fails[operation] = 1_000
                agent.runner.controller.durable.previous = "before"
                agent.runner.saver.save()
                wait_until(
                    loop, lambda: files.fails[operation] < 998
                )  # retried, and the process looked after
                assert agent.runner.process.is_alive
                files.fails[operation], repaired_at_us = 0, loop.now()
                wait_until(loop, lambda: not agent.runner.saver.is_retrying)
                assert loop.now() - repaired_at_us < 2 * SECOND
            assert (
                stored_state(tmp_path)["previous"] == stored_state(tmp_path, ".copy")["previous"] == "before"
            )

    loop.run(main)


def test_agent_state_when_written_by_a_later_version_keeps_its_unknown_keys() -> None:
    data = b'{"agent": "f0@1", "current": "v2", "previous": "v1", "held": "p7", "later": "x"}'
    assert AgentState.from_json(data).to_json() == data


@pytest.mark.parametrize("data", [b'{"agent": "f0@1", "current": "v2"}', b'{"agent": 1}', b"[]", b""])
def test_agent_state_when_keys_are_missing_or_malformed_raises_an_error(data: bytes) -> None:
    with pytest.raises((ValueError, msgspec.MsgspecError)):
        AgentState.from_json(data)


def test_order_when_its_version_is_not_on_disk_is_rejected_and_removed(tmp_path: Path) -> None:
    versions = VersionStore(tmp_path)
    path = manual_order_path(tmp_path, "f0")
    path.write_text(json.dumps({"version": "0" * 16, "operator": "ann", "why": "fire"}))
    with pytest.raises(ManualOrderError, match="is not on this disk"):
        take_order(tmp_path, "f0", versions)
    assert not path.exists()
    assert take_order(tmp_path, "f0", versions) is None


def test_version_when_another_agent_is_storing_it_is_stored_too(tmp_path: Path) -> None:
    """Four agents once stored their first version at the same time; one found its temporary file gone."""
    (tmp_path / "version.new").mkdir()  # the temporary file of the other agent
    replace_file(tmp_path / "version", b"content")
    assert (tmp_path / "version").read_bytes() == b"content"
