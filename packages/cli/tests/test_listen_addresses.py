"""An address that can't be listened on is reported in one line that names the setting."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.cli.listen_addresses import ListenAddress, checked_addresses
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, merge_settings


@pytest.fixture
def taken() -> Iterator[str]:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield "{}:{}".format(*sock.getsockname())


def written(path: Path, content: dict[str, Any]) -> str:
    file = path / "site.json5"
    file.write_text(json.dumps(content))
    return str(file)


WORKERS = [{"name": "a"}, {"name": "b", "listen": "TAKEN"}]
JOURNAL = {
    "name": "a",
    "listen": "TAKEN",
    "holders": [{"name": "a", "address": "127.0.0.1:9", "region": "r", "zone": "z"}],
}
FRONT = merge_settings(BASE_SETTINGS, {"front": {"listen": "TAKEN"}})
KEEPERS = {"keepers": [{"name": "k0", "address": "127.0.0.1:0"}, {"name": "k1", "address": "TAKEN"}]}
ELSEWHERE = {"keepers": [{"name": "k1", "address": "127.0.0.1:0", "listen": "TAKEN"}]}
CASES: dict[str, tuple[dict[str, Any], list[str], str]] = {
    "up": (FRONT, ["up"], "front.listen"),
    "serve": (FRONT, ["serve"], "front.listen"),
    "up with a journal": (merge_settings(BASE_SETTINGS, {"journal": JOURNAL}), ["up"], "journal.listen"),
    "up with a stand-in": (
        merge_settings(BASE_SETTINGS, {"fleet": {"workers": WORKERS}}),
        ["up"],
        "fleet.workers.1.listen",
    ),
    "a stand-in": (
        merge_settings(BASE_SETTINGS, {"fleet": {"workers": WORKERS}}),
        ["worker", "--name", "b"],
        "fleet.workers.1.listen",
    ),
    "a keeper": (KEEPERS, ["control-plane", "--name", "k1", "--found"], "keepers.1.address"),
    "a keeper that listens elsewhere": (
        ELSEWHERE,
        ["control-plane", "--name", "k1", "--found"],
        "keepers.0.listen",
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_address_in_use_prints_one_line_that_names_the_setting(case: str, taken: str, tmp_path: Path) -> None:
    content, command, place = CASES[case]
    file = written(tmp_path, json.loads(json.dumps(content).replace("TAKEN", taken)))
    result = CliRunner().invoke(main, [command[0], file, *command[1:]])
    assert result.exit_code == 2, (result.output, result.exception)
    line = f"{file}: {place}: found {taken}, which is taken (Address already in use); wanted a free address"
    assert result.output.splitlines() == [line]


def test_process_started_twice_does_not_open_the_store_of_the_first(taken: str, tmp_path: Path) -> None:
    file = written(tmp_path, merge_settings(FRONT, {"front": {"listen": taken}}))
    assert CliRunner().invoke(main, ["serve", file]).exit_code == 2
    assert [path.name for path in tmp_path.iterdir()] == ["site.json5"]


def test_store_with_an_address_in_use_names_its_option(taken: str, tmp_path: Path) -> None:
    result = CliRunner().invoke(main, ["store", written(tmp_path, BASE_SETTINGS), "--listen", taken])
    assert result.exit_code == 2
    assert result.output.startswith(f"walnutpost store: --listen: found {taken}, which is taken (")


def test_address_error_with_an_own_file_names_both_files(taken: str, tmp_path: Path) -> None:
    shared, own = written(tmp_path, BASE_SETTINGS), tmp_path / "own.json5"
    own.write_text(json.dumps({"front": {"listen": taken}}))
    result = CliRunner().invoke(main, ["serve", shared, "--own", str(own)])
    assert result.output.startswith(f"{shared} with {own}: front.listen: found {taken}, which is taken (")


def test_several_addresses_in_use_are_all_reported(taken: str, tmp_path: Path) -> None:
    content = merge_settings(
        BASE_SETTINGS, {"front": {"listen": taken}, "fleet": {"workers": [{"name": "a", "listen": taken}]}}
    )
    result = CliRunner().invoke(main, ["up", written(tmp_path, content)])
    lines = result.output.splitlines()
    for place in ("front.listen", "fleet.workers.0.listen"):
        assert any(f": {place}: found {taken}, which is taken (" in line for line in lines)
    assert any("fleet.workers.0.listen: found" in line and "as front.listen has" in line for line in lines)


def test_address_of_another_machine_is_reported_as_such(tmp_path: Path) -> None:
    """192.0.2.0/24 is for documentation, and no machine's."""
    content = {"keepers": [{"name": "k1", "address": "192.0.2.1:8501"}]}
    file = written(tmp_path, content)
    result = CliRunner().invoke(main, ["control-plane", file, "--name", "k1", "--found"])
    assert result.exit_code == 2
    assert "keepers.0.address: found 192.0.2.1:8501, which is none of this machine (" in result.output


def test_address_taken_after_the_check_prints_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock, pytest.raises(SystemExit) as ended:
        sock.bind(("127.0.0.1", 0))
        address = "{}:{}".format(*sock.getsockname())
        with checked_addresses("site.json5", [ListenAddress("front.listen", address)]):
            sock.listen()
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as other:
                other.bind(sock.getsockname())
    assert ended.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].startswith(f"site.json5: front.listen: found {address}, which is taken")


def test_other_system_errors_pass_through_the_address_check(tmp_path: Path) -> None:
    with pytest.raises(FileNotFoundError), checked_addresses("site.json5", []):
        (tmp_path / "none").read_bytes()
