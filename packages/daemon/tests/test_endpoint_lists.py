"""The worker list from a file: newer lists are published, invalid and older ones are rejected."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from walnutpost.testsupport.daemon.fleet import SECOND, Fleet

POLL_WAIT_US = SECOND  # more than the front end's poll interval


def test_list_file_when_replaced_is_published_and_when_invalid_changes_nothing(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, {"front": {"workers_file": "list.json"}})
    path = tmp_path / "list.json"

    def write(version: int, lines: list[dict[str, Any]], text: str | None = None) -> None:
        new_file = path.with_suffix(".new")
        new_file.write_text(text if text is not None else json.dumps({"version": version, "workers": lines}))
        new_file.replace(path)
        fleet.loop.sleep(POLL_WAIT_US)

    def script() -> None:
        lines = [{"name": line.name, "address": line.address} for line in fleet.lines]
        assert fleet.invoke("price").status == 429  # no list yet, so no worker
        write(2, lines)
        assert fleet.invoke("price").status == 200
        for version, rows, text in (
            (3, lines, "{"),
            (1, [], None),
            (3, lines + lines, None),
            (3, [{"name": 1}], None),
        ):
            write(version, rows, text)
            assert fleet.invoke("price").status == 200
        errors = [line["error"] for event, line in fleet.log.lines if event == "worker_list_rejected"]
        assert len(errors) == 5
        assert "version 1 is older than 2" in errors[2]
        write(4, [line | {"state": "draining"} for line in lines])
        assert fleet.invoke("price").status == 429

    fleet.run(script, listed=False)
