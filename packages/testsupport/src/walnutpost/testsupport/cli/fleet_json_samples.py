"""The commands behind the golden JSON of `walnutpost fleet` and `walnutpost config`, over golden answers."""

from __future__ import annotations

import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from click.testing import CliRunner

from walnutpost.cli import config_views, main
from walnutpost.cli.fleet_processes import AGENTS_FOLDER
from walnutpost.config.control_plane import ControlPlaneConfig
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.http import Response
from walnutpost.testsupport.controlplane import request_samples
from walnutpost.testsupport.folders import golden_folder
from walnutpost.testsupport.golden.samples import Form, Golden, as_json

TABLE_GOLDEN = golden_folder("configstore") / "table.json"
# By target without its query: what a process of the control plane answers, as golden bytes.
ANSWERS = {
    "/fleet/1/state": "state-answer.after-the-history",
    "/fleet/1/history": "history-answer.of-the-history",
    "/table/1/entries": "entries-answer.after-the-history",
}
# What `config diff` finds in a front end's file, in place of one.
WANTED_ENTRIES = {"function/f1": b'{"weight": 3}', "function/f2": b'{"weight": 1}'}


def _answer(_client: object, _keeper: str, _method: str, target: str, _body: bytes) -> Response:
    path = target.partition("?")[0]
    if path == "/table/1/status":
        table = json.loads(TABLE_GOLDEN.read_text())["forms"]["table-status.all-fields"]
        return Response(200, body=bytes.fromhex(table["hex"]))
    return Response(200, body=request_samples.GOLDEN[ANSWERS[path]])


def shown(arguments: tuple[str, ...]) -> bytes:
    """The command's output; its exit status too where it isn't 0."""
    with TemporaryDirectory() as folder:
        config = Path(folder) / "keepers.json"
        config.write_text(json.dumps({"keepers": [{"name": "k1", "address": "127.0.0.1:1"}]}))
        group, command, *rest = arguments
        line = ["--log", "json", group, command, str(config), *rest, "--format", "json"]
        with (
            patch.object(ControlPlaneClient, "_exchange", _answer),
            patch.object(config_views, "wanted_entries", lambda path: WANTED_ENTRIES),
        ):
            result = CliRunner().invoke(main, line)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    assert not result.stderr, result.stderr
    exit_status: dict[str, Any] = {"exit": result.exit_code} if result.exit_code else {}
    return json.dumps({**exit_status, "shown": json.loads(result.stdout)}, indent=1).encode()


def _command(*arguments: str) -> Form:
    return Form(arguments, shown, None)


FORMS: dict[str, Form] = {
    "fleet status": _command("fleet", "status"),
    "fleet plan": _command("fleet", "plan"),
    "fleet plan of one": _command("fleet", "plan", "drain-1"),
    "fleet members": _command("fleet", "members"),
    "fleet history": _command("fleet", "history"),
    "config get": _command("config", "get"),
    "config diff": _command("config", "diff", "site.json"),
    "config history": _command("config", "history"),
    "config status": _command("config", "status"),
    "folders beside a configuration": as_json(
        {
            "control plane": ControlPlaneConfig.model_fields["folder"].default,
            "agents": AGENTS_FOLDER,
        }
    ),
}

GOLDEN = Golden(
    golden_folder("cli") / "fleet" / "commands.json",
    "What commands print with `--format json` over the golden answers of the control plane.",
    FORMS,
)
