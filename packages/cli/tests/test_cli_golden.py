"""What commands print of stores that released code wrote, byte for byte: scripts read it."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

import msgspec
import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.metering import UsageReport
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, merge_settings
from walnutpost.testsupport.golden.files import assert_as_golden, restore_dump
from walnutpost.testsupport.store import stored_samples as stored

GOLDEN = Path(__file__).parent / "golden"
METERING = {"price_per_gb_hour": "0.25", "renamed": {"trade": "wholesale"}}
SCHEDULE = {"cron": "0 3 * * *", "zone": "Europe/Dublin", "function": "price"}
SPAN = ("--from", "2026-11-01", "--to", "2027-01-16")
NOW_NS = (stored.NOW + 1200 * stored.MB_S) * 1000

# The one place that says which command a golden file is the output of; FOLDER is where the stores are.
COMMANDS: dict[str, list[str]] = {
    "usage-report.json": ["usage", "report", "FOLDER/site.json5", *SPAN, "--format", "json"],
    "usage-report-every-field.json": [
        *("usage", "report", "FOLDER/site.json5", *SPAN, "--format", "json"),
        *("--by", "tenant,function,cause,kind,hour,day"),
    ],
    "usage-report-of-two.json": [
        *("usage", "report", "FOLDER/site.json5", "FOLDER/other/site.json5", *SPAN, "--format", "json"),
    ],
    "usage-report.csv": ["usage", "report", "FOLDER/site.json5", *SPAN, "--format", "csv"],
    "usage-explain.txt": ["usage", "explain", "FOLDER/site.json5", *SPAN],
    "usage-verify.txt": [
        *("usage", "verify", "FOLDER/site.json5", *SPAN, "--records", "FOLDER/worker-1.json"),
    ],
    "usage-invoice.txt": ["usage", "invoice", "FOLDER/site.json5", *SPAN],
    "timers-history.txt": ["timers", "history", "FOLDER/site.json5"],
    "timers-next.txt": ["timers", "next", "FOLDER/site.json5", "--count", "3"],
}


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    make_folder(tmp_path)
    return tmp_path


def make_folder(folder: Path) -> None:
    """Two front ends' configurations with the golden stores beside each, and a worker's exported records."""
    config = merge_settings(
        BASE_SETTINGS, {"metering": METERING, "schedules": {"nightly": SCHEDULE, "often": SCHEDULE}}
    )
    for each in (folder, folder / "other"):
        each.mkdir(exist_ok=True)
        restore_dump(stored.CALLS_DUMP, each / stored.CALLS_FILE)
        restore_dump(stored.USAGE_DUMP, each / stored.USAGE_FILE)
        (each / "site.json5").write_text(json.dumps(config))
    export = UsageReport(
        "worker-1", stored.SLICE.started_us, stored.NOW + 901 * stored.MB_S, 7, 8192, [stored.CLOSED_SLICE]
    )
    (folder / "worker-1.json").write_bytes(msgspec.json.encode(export))


def output(folder: Path, words: list[str]) -> bytes:
    """Exit code, standard output and errors, with the folder as FOLDER."""
    with patch("time.time_ns", lambda: NOW_NS):
        arguments = [word.replace("FOLDER", str(folder)) for word in words]
        result = CliRunner().invoke(main, arguments, catch_exceptions=False)
    text = (
        f"{result.stdout}{result.stderr and f'errors:{chr(10)}{result.stderr}'}exit code {result.exit_code}\n"
    )
    return text.replace(str(folder), "FOLDER").encode()


def outputs() -> Iterator[tuple[str, bytes]]:
    with TemporaryDirectory() as folder:
        make_folder(Path(folder))
        for name, words in COMMANDS.items():
            yield name, output(Path(folder), words)


def golden_files() -> dict[Path, bytes]:
    return {GOLDEN / f"{name}.out": data for name, data in outputs()}


def test_commands_print_stores_of_released_code_as_before() -> None:
    assert_as_golden(golden_files())


def test_report_as_json_is_valid_json(folder: Path) -> None:
    text = output(folder, COMMANDS["usage-report.json"]).decode().removesuffix("exit code 0\n")
    assert {row["tenant"] for row in json.loads(text)} >= {"tills", "wholesale"}
