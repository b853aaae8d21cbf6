"""Worker lists from a file: newer lists are published, invalid and older ones are rejected."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from walnutpost.testsupport.daemon.fleet import SECOND, Fleet

POLL_WAIT_US = SECOND  # longer than the front end's poll interval


def test_replaced_worker_list_file_is_published_unless_it_is_invalid(tmp_path: Path) -> None:
    fleet = Fleet(tmp_path, {"front": {"workers_file": "list.json"}})
    path = tmp_path / "list.json"

    def write(version: int, workers: list[dict[str, Any]], text: str | None = None) -> None:
        new_file = path.with_suffix(".new")
        new_file.write_text(
            text if text is not None else json.dumps({"version": version, "workers": workers})
        )
        new_file.replace(path)
        fleet.loop.sleep(POLL_WAIT_US)

    def script() -> None:
        workers = [{"name": entry.name, "address": entry.address} for entry in fleet.worker_entries]
        assert fleet.invoke("price").status == 429  # no list yet, so no workers
        write(2, workers)
        assert fleet.invoke("price").status == 200
        for version, listed_workers, text in (
            (3, workers, "{"),
            (1, [], None),
            (3, workers + workers, None),
            (3, [{"name": 1}], None),
        ):
            write(version, listed_workers, text)
            assert fleet.invoke("price").status == 200
        errors = [fields["error"] for event, fields in fleet.log.events if event == "worker_list_rejected"]
        assert len(errors) == 5
        assert "version 1 is older than 2" in errors[2]
        write(4, [worker | {"state": "draining"} for worker in workers])
        assert fleet.invoke("price").status == 429

    fleet.run(script, listed=False)
