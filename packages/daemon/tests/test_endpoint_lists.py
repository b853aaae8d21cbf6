"""The worker list from a file: new ones are passed on, broken and older ones leave the last in force."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from fleet_rig import SECOND, Fleet

EVERY = SECOND  # well beyond the front end's own looking


def test_list_file_when_replaced_is_published_and_when_invalid_changes_nothing(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, {"front": {"workers_file": "list.json"}})
    path = tmp_path / "list.json"

    def write(version: int, lines: list[dict[str, Any]], text: str | None = None) -> None:
        fresh = path.with_suffix(".new")
        fresh.write_text(text if text is not None else json.dumps({"version": version, "workers": lines}))
        os.replace(fresh, path)
        fleet.loop.sleep(EVERY)

    def script() -> None:
        lines = [{"name": w.name, "address": w.address} for w in fleet.lines]
        assert fleet.invoke("price").status == 429  # no list yet, and no worker
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
        told = [line["error"] for event, line in fleet.log.lines if event == "worker_list_rejected"]
        assert len(told) == 5 and "version 1 is older than 2" in told[2]  # each once, the missing file too
        write(4, [line | {"state": "draining"} for line in lines])
        assert fleet.invoke("price").status == 429

    fleet.run(script, listed=False)
