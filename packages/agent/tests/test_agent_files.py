"""An agent's files: torn at its start, and on a disk that takes nothing for a while."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from disk_faults import scripted_files
from fleet_rig import Log
from walnutpost.agent import Agent, AgentFolderError, manual_order_path, version_of
from walnutpost.agent.errors import ManualOrderError
from walnutpost.agent.folder import AgentFolder, AgentState
from walnutpost.eventloop import Loop
from walnutpost.fleet import FRONT_END
from walnutpost.fleet.agent_instance import ControllerSettings

SECOND = 1_000_000
KEEPERS = {"k1": ("127.0.0.1", 1)}
V1, V2 = b'{"version": "v1"}', b'{"version": "v2"}'
CHILD = "import time; print('ready', flush=True); time.sleep(600)"


def play(folder: Path, script: Callable[[Agent, Loop, Log], None]) -> None:
    """An agent whose keepers can't be reached, and its process."""
    loop, log = Loop(), Log()

    def main() -> None:
        command = [sys.executable, "-c", CHILD, "{config}"]
        terms = ControllerSettings(60 * SECOND, 60 * SECOND)
        agent: Any = Agent(
            loop,
            "f0",
            FRONT_END,
            "a",
            command,
            "ready",
            V1,
            folder,
            {"k1": ("127.0.0.1", 1)},
            terms,
            SECOND,
            log,
        )
        try:
            script(agent, loop, log)
        finally:
            agent.stop()

    loop.run(main)


def until(loop: Loop, met: Callable[[], bool]) -> None:
    while not met():
        loop.sleep(20_000)


def state(folder: Path, suffix: str = "") -> dict[str, str]:
    return dict(json.loads((folder / f"f0.json{suffix}").read_text()))


def name_of(folder: Path) -> str:
    names: list[str] = []
    play(folder, lambda agent, loop, log: names.append(agent.agent))
    return names[0]


@pytest.mark.parametrize("content", [b"", b'{"agent": "f0', b"{}", b"[1]", b"\xff\x00"])
def test_agent_when_its_state_file_is_torn_logs_it_and_uses_the_copy(tmp_path: Path, content: bytes) -> None:
    name = name_of(tmp_path)
    (tmp_path / "f0.json").write_bytes(content)
    (tmp_path / "f0.json.0a1b2c3d.new").write_bytes(b"half")

    def script(agent: Agent, loop: Loop, log: Log) -> None:
        assert agent.agent == name
        assert agent.controller.durable.current == version_of(V1)
        unreadable = [fields["file"] for event, fields in log.lines if event == "state_file_unreadable"]
        assert unreadable == ["f0.json"]
        assert not (tmp_path / "f0.json.0a1b2c3d.new").exists()

    play(tmp_path, script)


def test_agent_when_both_state_files_are_torn_starts_no_second_process(tmp_path: Path) -> None:
    name_of(tmp_path)
    for suffix in ("", ".copy"):
        (tmp_path / f"f0.json{suffix}").write_bytes(b"")
    with pytest.raises(AgentFolderError):
        play(tmp_path, lambda agent, loop, log: None)


@pytest.mark.parametrize("content", [b"", V2[:5], None])
def test_agent_when_its_version_is_torn_logs_it_and_runs_the_previous_one(
    tmp_path: Path, content: bytes | None
) -> None:
    name_of(tmp_path)
    known = state(tmp_path) | {"current": version_of(V2), "previous": version_of(V1)}
    (tmp_path / "f0.json").write_text(json.dumps(known))
    if content is not None:
        (tmp_path / "versions" / version_of(V2)).write_bytes(content)

    def script(agent: Agent, loop: Loop, log: Log) -> None:
        assert agent.controller.durable.current == version_of(V1)
        unusable = [fields["version"] for event, fields in log.lines if event == "version_unusable"]
        assert unusable == [version_of(V2)]
        stored = agent._folder.store_version(V2)  # sent again by the control plane
        assert stored == version_of(V2)
        assert (tmp_path / "versions" / version_of(V2)).read_bytes() == V2

    play(tmp_path, script)


@pytest.mark.parametrize("call", ["write", "fsync", "rename", "fsync folder"])
def test_agent_when_the_disk_fails_saves_its_state_once_it_works_again(tmp_path: Path, call: str) -> None:
    def script(agent: Agent, loop: Loop, log: Log) -> None:
        with scripted_files() as files:
            files.fails[call] = 1_000
            agent.controller.durable.previous = "before"
            agent._save()
            until(loop, lambda: files.fails[call] < 998)  # it is tried again, and its process cared for
            assert agent.process.is_alive
            files.fails[call], ended = 0, loop.now()
            until(loop, lambda: agent._save_again_at_us is None)
            assert loop.now() - ended < 2 * SECOND
        assert state(tmp_path)["previous"] == state(tmp_path, ".copy")["previous"] == "before"

    play(tmp_path, script)


def test_agent_state_when_written_by_a_later_version_keeps_its_unknown_keys() -> None:
    data = b'{"agent": "f0@1", "current": "v2", "previous": "v1", "held": "p7", "later": "x"}'
    assert AgentState.from_json(data).to_json() == data


@pytest.mark.parametrize("data", [b'{"agent": "f0@1", "current": "v2"}', b'{"agent": 1}', b"[]", b""])
def test_agent_state_when_keys_are_missing_or_malformed_raises_an_error(data: bytes) -> None:
    with pytest.raises((ValueError, msgspec.MsgspecError)):
        AgentState.from_json(data)


def test_order_when_its_version_is_not_on_disk_is_rejected_and_removed(tmp_path: Path) -> None:
    folder = AgentFolder(tmp_path, "f0", Log())
    path = manual_order_path(tmp_path, "f0")
    path.write_text(json.dumps({"version": "0" * 16, "operator": "ann", "why": "fire"}))
    with pytest.raises(ManualOrderError, match="is not on this disk"):
        folder.take_order()
    assert not path.exists()
    assert folder.take_order() is None
