"""The objects behind the golden folder of an agent: its own file, its versions, an operator's order."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple
from unittest.mock import patch

from golden_forms import Form, Golden, as_json
from walnutpost.agent import Agent, child_process, manual_order_path, version_of
from walnutpost.agent.folder import AgentFolder, AgentState
from walnutpost.cli.fleet_plans import write_manual_orders
from walnutpost.cli.fleet_processes import AGENTS_FOLDER
from walnutpost.fleet import FRONT_END
from walnutpost.fleet.agent_inputs import Input, OperatorOrder
from walnutpost.fleet.agent_instance import ControllerSettings, DurableState, ManagedInstance
from walnutpost.fleet.agent_state import InstanceController
from watch_rig import Log

MEMBER, NAME = "f1", "f1@0a1b2c3d"
FIRST, SECOND = b'{"version": 1}', b'{"version": 2}'
ASKED_AT = 1_700_000_000.25


class Folder(NamedTuple):
    """An agent's state, and the contents of the versions that it stores."""

    state: AgentState
    versions: list[bytes]


def _agent(folder: AgentFolder) -> Agent:
    """One that starts nothing and sends nothing: only its folder is in use."""
    agent = Agent.__new__(Agent)
    agent._folder, agent._member, agent._log = folder, MEMBER, Log()
    return agent


def written(value: Folder) -> bytes:
    state, versions = value
    with TemporaryDirectory() as name:
        path = Path(name)
        (path / "versions").mkdir()
        folder = AgentFolder(path, MEMBER, Log())
        if state.drain_permit is None:  # its very first start, which makes its name up
            with patch.object(secrets, "token_hex", lambda size: state.agent.partition("@")[2]):
                assert folder.open(versions[0]) == state
            return _dumped(path)
        for content in versions:
            folder.store_version(content)
        agent = _agent(folder)
        agent.controller = InstanceController(
            ManagedInstance(state.agent, MEMBER, FRONT_END, "a"),
            DurableState(state.current, state.previous, state.drain_permit),
            ControllerSettings(1, 1),
            0,
        )
        agent._saved = AgentState(state.agent, "", "")
        agent._save()
        return _dumped(path)


def _dumped(folder: Path) -> bytes:
    """A folder of text files, by their names within it. The copy of an agent's state, which earlier versions
    did not write, has the same content and is left out."""
    files = {p.relative_to(folder).as_posix(): p.read_text() for p in folder.rglob("*") if p.is_file()}
    for name in [name for name in files if name.endswith(".json.copy")]:
        assert files.pop(name) == files[name.removesuffix(".copy")]
    return json.dumps(files, sort_keys=True, indent=1).encode()


def make_folder(folder: Path, dumped: bytes) -> None:
    for name, text in json.loads(dumped).items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


def read(dumped: bytes) -> Folder:
    with TemporaryDirectory() as name:
        path = Path(name)
        make_folder(path, dumped)
        folder = AgentFolder(path, MEMBER, Log())
        state = folder.open(b"not taken")
        stored = [version for version in (state.current, state.previous) if version]
        return Folder(state, [folder.version_path(version).read_bytes() for version in stored])


def order_written(order: OperatorOrder) -> bytes:
    """As `walnutpost fleet ... --alone` leaves it beside the agent's file."""
    with TemporaryDirectory() as name:
        folder = Path(name)
        line = {"member": MEMBER, "zone": "a", "command": ["true"], "first": "v1"}
        keepers = [{"name": "k1", "address": "127.0.0.1:1"}]
        config = folder / "keepers.json"
        config.write_text(json.dumps({"keepers": keepers, "agents": [line]}))
        (folder / AGENTS_FOLDER).mkdir()
        write_manual_orders(config, (MEMBER,), order.version, order.operator, order.reason)
        return _dumped(folder / AGENTS_FOLDER)


def order_read(dumped: bytes) -> OperatorOrder:
    """As the agent takes it up; the time is that of its taking up."""
    found: list[Input] = []
    with TemporaryDirectory() as name:
        path = Path(name)
        make_folder(path, dumped)
        (path / "versions").mkdir()
        folder = AgentFolder(path, MEMBER, Log())
        folder.store_version(SECOND)
        agent = _agent(folder)
        agent._has_stopped = True  # so that it looks once
        with patch.object(agent, "_handle", found.append):
            agent._poll_orders()
        assert not manual_order_path(path, MEMBER).exists()
    (order,) = found
    assert isinstance(order, OperatorOrder)
    return order


def _without_time(order: OperatorOrder) -> tuple[str, str, str]:
    return order.operator, order.reason, order.version


def _order(version: str) -> Form:
    order = OperatorOrder("ann", "fire", ASKED_AT, version)
    return Form(order, order_written, order_read, _without_time)


def _folder(state: AgentState, versions: list[bytes]) -> Form:
    return Form(Folder(state, versions), written, read)


FORMS: dict[str, Form] = {
    "folder.all-fields": _folder(
        AgentState(NAME, version_of(SECOND), version_of(FIRST), drain_permit="drain-1"), [SECOND, FIRST]
    ),
    "folder.first-start": _folder(AgentState(NAME, version_of(FIRST), "", drain_permit=None), [FIRST]),
    "folder.running": _folder(AgentState(NAME, version_of(FIRST), "", drain_permit=""), [FIRST]),
    "order-by-hand.release": _order(version_of(SECOND)),
    "order-by-hand.restart": _order(""),
    "names": as_json(
        {
            "version of nothing": version_of(b""),
            "process of an agent": child_process.AGENT_VARIABLE,
            "process as it was told of": child_process.INCARNATION_VARIABLE,
            "address in its output": child_process.ADDRESS_PATTERN.pattern.decode(),
        }
    ),
}

GOLDEN = Golden(
    Path(__file__).parent / "golden" / "agent-folder.json",
    "The folder of an agent: file names and their texts, and an operator's order left in it.",
    FORMS,
)
