"""Agent folders that the golden file of the agent holds: state file, versions and an operator's order."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple
from unittest.mock import patch

from walnutpost.agent import child_process, manual_order_path, version_of
from walnutpost.agent.manual_orders import ManualOrders
from walnutpost.agent.state_file import AgentState, StateFile, StateSaver
from walnutpost.agent.versions import VersionStore
from walnutpost.cli.fleet_plans import write_manual_orders
from walnutpost.cli.fleet_processes import AGENTS_FOLDER
from walnutpost.eventloop import Loop
from walnutpost.fleet.agent_inputs import Input, OperatorOrder
from walnutpost.fleet.agent_instance import DurableState
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden, as_json
from walnutpost.testsupport.watch.harness import Log

MEMBER, NAME = "f1", "f1@0a1b2c3d"
FIRST, SECOND = b'{"version": 1}', b'{"version": 2}'
ASKED_AT = 1_700_000_000.25


class Folder(NamedTuple):
    """An agent's state, and the contents of the versions that it stores."""

    state: AgentState
    versions: list[bytes]


class InputList:
    """Handler that records the inputs of the agent's state machine."""

    def __init__(self) -> None:
        self.inputs: list[Input] = []

    def handle(self, event: Input) -> None:
        """Record an input."""
        self.inputs.append(event)


def written(value: Folder) -> bytes:
    """Return the files that an agent writes for this state and these versions."""
    state, contents = value
    with TemporaryDirectory() as name:
        path = Path(name)
        (path / "versions").mkdir()
        versions = VersionStore(path)
        file = StateFile(path, MEMBER, versions, Log())
        if state.drain_permit is None:  # the first start, at which the agent's name is generated
            with patch.object(secrets, "token_hex", return_value=state.agent.partition("@")[2]):
                assert file.open(contents[0]) == state
            return _dumped(path)
        for content in contents:
            versions.store(content)
        durable = DurableState(state.current, state.previous, state.drain_permit)
        StateSaver(Loop(), file, AgentState(state.agent, "", ""), durable, Log()).save()
        return _dumped(path)


def _dumped(folder: Path) -> bytes:
    """Return a folder of text files as JSON: the texts by relative path.

    The copy of an agent's state, which earlier versions did not write, is compared and left out.
    """
    files = {p.relative_to(folder).as_posix(): p.read_text() for p in folder.rglob("*") if p.is_file()}
    for name in [name for name in files if name.endswith(".json.copy")]:
        assert files.pop(name) == files[name.removesuffix(".copy")]
    return json.dumps(files, sort_keys=True, indent=1).encode()


def make_folder(folder: Path, dumped: bytes) -> None:
    """Write the files of a dumped folder into `folder`."""
    for name, text in json.loads(dumped).items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


def read(dumped: bytes) -> Folder:
    """Return the state and versions that an agent reads from a dumped folder."""
    with TemporaryDirectory() as name:
        path = Path(name)
        make_folder(path, dumped)
        versions = VersionStore(path)
        state = StateFile(path, MEMBER, versions, Log()).open(b"not taken")
        stored = [version for version in (state.current, state.previous) if version]
        return Folder(state, [versions.path(version).read_bytes() for version in stored])


def order_written(order: OperatorOrder) -> bytes:
    """Return the files that `walnutpost fleet ... --alone` writes beside the agent's state file."""
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
    """Return the order as the agent reads it; its time is the time of reading."""
    handler = InputList()
    with TemporaryDirectory() as name:
        path = Path(name)
        make_folder(path, dumped)
        (path / "versions").mkdir()
        versions = VersionStore(path)
        versions.store(SECOND)
        ManualOrders(path, MEMBER, versions, handler, Log()).poll()
        assert not manual_order_path(path, MEMBER).exists()
    (order,) = handler.inputs
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
    golden_folder("agent") / "agent-folder.json",
    "The folder of an agent: file names and their texts, and an operator's order left in it.",
    FORMS,
)
