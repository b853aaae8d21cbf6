"""`walnutpost config` against a control plane of one replica, a process of its own."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result
from msgspec.structs import replace

from walnutpost.cli import main
from walnutpost.cli.config_changes import Change
from walnutpost.cli.config_status import applying_members
from walnutpost.config import Config, parse
from walnutpost.config.entries import encode_site, encode_value
from walnutpost.config.site import FunctionConfig
from walnutpost.configstore import MAX_MUTATIONS, Entry, MemberStatus, Mutation, PropagationStatus
from walnutpost.controlplane import ControlPlaneClient
from walnutpost.testsupport.cli.control_plane import wait_for_leader
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, merge_settings
from walnutpost.testsupport.eventloop.loopback import free_address

SITE = BASE_SETTINGS["site"]
PRICE, RESERVE = SITE["functions"]["price"], SITE["functions"]["reserve"]


class ControlPlane:
    """One replica in a process, and commands that are given its file."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.file = folder / "keepers.json5"
        line = {"name": "k1", "address": free_address()}
        self.file.write_text(json.dumps({"keepers": [line], "election_ms": 400, "heartbeat_ms": 60}))
        with (folder / "keeper.log").open("wb") as out:
            run = [sys.executable, "-m", "walnutpost.cli", "control-plane"]
            command = [*run, str(self.file), "--name", "k1"]
            self.process = subprocess.Popen([*command, "--found"], stdout=out, stderr=out)
        wait_for_leader(self, {"k1": self.process}, (folder / "keeper.log").read_text)

    def __call__(self, command: str, *args: object) -> Result:
        """Run a command; standard output and error apart, since programs read the one alone."""
        given = ["config", command, str(self.file), *map(str, args)]
        return CliRunner().invoke(main, given, catch_exceptions=False)

    def written(self, name: str, *more: dict[str, Any]) -> Path:
        data = BASE_SETTINGS
        for each in more:
            data = merge_settings(data, each)
        path = self.folder / name
        path.write_text(json.dumps(data))
        return path

    def get(self) -> dict[str, Any]:
        data: dict[str, Any] = json.loads(self("get", "--format", "json").stdout)
        return data

    @property
    def revision(self) -> int:
        revision: int = self.get()["revision"]
        return revision


@pytest.fixture(scope="module")
def keeper(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ControlPlane]:
    """One for the module: a start takes longer than all commands."""
    keeper = ControlPlane(tmp_path_factory.mktemp("agreed"))
    try:
        yield keeper
    finally:
        keeper.process.terminate()
        keeper.process.wait(20)


@pytest.fixture
def agreed(keeper: ControlPlane) -> ControlPlane:
    """The control plane with the settings of BASE, whatever the test before has left."""
    done = keeper("set", keeper.written("site.json5"))
    assert done.exit_code == 0, (done.output, (keeper.folder / "keeper.log").read_text())
    return keeper


def test_set_with_a_file_applies_exactly_its_differences(agreed: ControlPlane) -> None:
    first = agreed.get()
    config = parse(json.dumps(BASE_SETTINGS), "base", Config)
    wanted = {key: json.loads(value) for key, value in encode_site(config.site).items()}
    assert {key: data["value"] for key, data in first["entries"].items()} == wanted

    again = agreed("set", agreed.folder / "site.json5")
    assert again.exit_code == 0
    assert f"nothing to change: revision {first['revision']}" in again.stdout

    functions = {"price": PRICE | {"lanes": 3}, "new": PRICE}
    file = agreed.written("changed.json5")
    file.write_text(json.dumps(BASE_SETTINGS | {"site": SITE | {"functions": functions}}))
    lines = [
        "~ function/price: lanes 2 -> 3",
        '+ function/new: {"class": "valuation", "lanes": 2, "load_ms": 300.0, "memory_mb": 400.0}',
        '- function/reserve: {"class": "reservation", "load_ms": 300.0, "memory_mb": 300.0}',
    ]
    differs = agreed("diff", file)
    assert differs.exit_code == 1
    assert sorted(differs.stdout.splitlines()) == sorted(lines)
    data = json.loads(agreed("diff", file, "--format", "json").stdout)
    assert data["revision"] == first["revision"]
    assert len(data["differences"]) == 3

    dry = agreed("set", file, "--dry")
    assert dry.exit_code == 0
    assert f"right on revision {first['revision']}; not agreed on" in dry.stdout
    assert agreed.get() == first

    done = agreed("set", file)
    now = agreed.get()
    assert done.exit_code == 0
    assert f"agreed on as revision {now['revision']}" in done.stdout
    assert sorted(done.stdout.splitlines()[:3]) == sorted(lines)
    assert sorted(now["entries"]) == [
        *("class/reservation", "class/valuation", "function/new", "function/price"),
        *("tenant/tills", "tenant/trade"),
    ]
    assert now["entries"]["function/price"]["revision"] == now["revision"] > first["revision"]
    assert now["entries"]["class/valuation"] == first["entries"]["class/valuation"]  # untouched
    same = agreed("diff", file)
    assert same.exit_code == 0
    assert f"says what revision {now['revision']} does" in same.stdout


def test_set_with_function_changes_the_named_fields(agreed: ControlPlane) -> None:
    done = agreed("set", "--function", "price", "lanes=4", "cost_ms=2.5", "version=17")
    assert done.exit_code == 0, done.output
    assert '~ function/price: cost_ms default -> 2.5, lanes 2 -> 4, version default -> "17"' in done.stdout
    back = agreed("set", "--function", "price", "cost_ms=", "version=", "lanes=2")
    assert back.exit_code == 0
    assert agreed.get()["entries"]["function/price"]["value"] == {
        "class": "valuation",
        "lanes": 2,
        "load_ms": 300.0,
        "memory_mb": 400.0,
    }
    new = agreed("set", "--function", "new", "class=reservation", "memory_mb=64")
    assert new.exit_code == 0
    assert "+ function/new: " in new.stdout
    same = agreed("set", "--function", "new", "memory_mb=64.0")
    assert same.exit_code == 0
    assert "nothing to change" in same.stdout
    gone = agreed("set", "--function", "new", "--delete")
    assert gone.exit_code == 0
    assert "- function/new: " in gone.stdout
    assert "function/new" not in agreed.get()["entries"]


INVALID_SETS: list[tuple[list[str], int, str]] = [
    (["--function", "price", "lanes=0"], 2, "function/price: lanes: found 0; wanted: "),
    (["--function", "price", "lanes=two"], 2, "function/price: lanes: found 'two'; wanted: "),
    (["--function", "price", "lames=2"], 2, "function/price: lames: found a key that is not known here"),
    (["--function", "price", "lanes"], 2, "function/price: found 'lanes'; wanted FIELD=VALUE, as lanes=3"),
    (["--function", "new", "class=valuation"], 2, "function/new: memory_mb: found nothing; wanted a value"),
    (
        ["--function", "price", "class=sale"],
        1,
        "function/price: class: found 'sale'; wanted one of reservation, valuation",
    ),
    (["--function", "none", "--delete"], 1, "function/none: (top): found nothing to delete; wanted a key "),
    (["--function", "a/b", "class=valuation", "memory_mb=1"], 2, "key 'function/a/b': "),
    ([], 2, "one FILE is wanted"),
    (["--function", "price"], 2, "--function NAME wants FIELD=VALUE or --delete"),
    (["--function", "price", "lanes=2", "--delete"], 2, "--function NAME wants FIELD=VALUE or --delete"),
    (["none.json5"], 2, "none.json5: cannot be read: "),
]


def test_invalid_set_is_rejected_with_place_found_and_wanted(agreed: ControlPlane) -> None:
    before = agreed.get()
    for args, code, expected in INVALID_SETS:
        rejected = agreed("set", *args)
        assert rejected.exit_code == code, (args, rejected.output)
        assert any(expected in line for line in rejected.stderr.splitlines()), (args, rejected.stderr)
    missing = agreed("get", "function/none")
    assert missing.exit_code == 1
    assert "function/none: found nothing under it at revision" in missing.stderr
    assert agreed.get() == before


def test_set_after_a_concurrent_change_is_rejected(
    agreed: ControlPlane, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another change of the function is applied between its read and its change, once."""
    asked = ControlPlaneClient.entries
    other = Mutation(
        "function/price", encode_value(FunctionConfig.model_validate(PRICE | {"memory_mb": 999}))
    )

    def entries_with_concurrent_change(
        client: ControlPlaneClient, kind: str = "", key: str = ""
    ) -> tuple[int, list[Entry]]:
        data = asked(client, kind, key)
        monkeypatch.setattr(ControlPlaneClient, "entries", asked)
        assert client.submit_change_set("other", [other])[0].ok
        return data

    monkeypatch.setattr(ControlPlaneClient, "entries", entries_with_concurrent_change)
    rejected = agreed("set", "--function", "price", "lanes=9")
    assert rejected.exit_code == 1
    assert "function/price: found revision" in rejected.stderr
    assert "changed meanwhile" in rejected.stderr
    assert agreed("set", "--function", "price", "lanes=9").exit_code == 0
    line = agreed.get()["entries"]["function/price"]["value"]
    assert (line["lanes"], line["memory_mb"]) == (9, 999)


def test_set_rejects_settings_applied_at_start_only_but_applies_functions_alone(
    agreed: ControlPlane,
) -> None:
    before = agreed.revision
    data = {"classes": {"valuation": {"aim_ms": 900}}, "tenants": {"trade": {"share": 0.1}}}
    file = agreed.written("start.json5", {"site": data}, {"site": {"functions": {"price": {"lanes": 5}}}})
    rejected = agreed("set", file)
    assert rejected.exit_code == 1
    assert agreed.revision == before
    for expected in (
        "class/valuation: aim_ms: found 900.0; wanted 1000.0, as agreed: taken up at a start only",
        "tenant/trade: share: found 0.1; wanted 0.3, as agreed: taken up at a start only",
        "not done, nothing of it has changed",
    ):
        assert any(line.startswith(expected) for line in rejected.stderr.splitlines()), rejected.stderr
    assert agreed("set", file, "--dry").exit_code == 1
    done = agreed("set", file, "--functions")
    assert done.exit_code == 0
    assert agreed.get()["entries"]["function/price"]["value"]["lanes"] == 5


def test_set_rejects_a_file_beyond_one_change_set_unless_in_parts(agreed: ControlPlane) -> None:
    before = agreed.revision
    many = {f"f{i:05}": PRICE for i in range(MAX_MUTATIONS + 500)}
    file = agreed.written("many.json5", {"site": {"functions": many}})
    rejected = agreed("set", file)
    assert rejected.exit_code == 2
    assert agreed.revision == before
    found = f"found {MAX_MUTATIONS + 500} keys, wanted 1 to {MAX_MUTATIONS}"
    expected = f"{file}: change set: {found}; --in-parts makes 2 "
    assert any(line.startswith(expected) for line in rejected.stderr.splitlines()), rejected.stderr
    assert not rejected.stdout  # what is rejected as a whole is not shown line by line
    done = agreed("set", file, "--in-parts", "--id", "again")
    assert done.exit_code == 0
    assert "and 1450 more, as `config diff` shows them" in done.stdout
    assert "not one change set but 2: each is in force by itself" in done.stderr
    assert "part 1 of 2: agreed on as revision" in done.stdout
    assert "part 2 of 2: agreed on as" in done.stdout
    assert agreed("diff", file).exit_code == 0
    # Other changes under the id of before are no repeat of those.
    assert agreed("set", file.with_name("site.json5"), "--in-parts", "--id", "again").exit_code == 0
    assert agreed("diff", file.with_name("site.json5")).exit_code == 0


def test_get_as_site_gives_a_file_without_differences(agreed: ControlPlane) -> None:
    file = agreed.folder / "got.json5"
    file.write_text(agreed("get", "--format", "site").stdout)
    assert agreed("diff", file).exit_code == 0
    one = agreed("get", "function/price")
    assert one.exit_code == 0
    assert "function/price" in one.stdout
    assert "function/reserve" not in one.stdout
    kind = agreed("get", "tenant")
    assert "tenant/trade" in kind.stdout
    assert "function/price" not in kind.stdout


def test_history_shows_who_changed_which_keys_and_when(agreed: ControlPlane) -> None:
    before = agreed.revision
    agreed("set", "--function", "price", "lanes=5", "--operator", "anna")
    first = agreed.revision
    agreed("set", "--function", "price", "lanes=4", "--operator", "ben")
    agreed("set", "--function", "reserve", "--delete", "--operator", "")
    data = json.loads(agreed("history", "--after", before, "--format", "json").stdout)
    assert [(c["operator"], c["agreed on"]) for c in data["changes"]] == [
        *(("anna", "yes"), ("ben", "yes"), ("", "yes"))
    ]
    assert [c["keys"] for c in data["changes"][1:]] == ["function/price", "function/reserve (deleted)"]
    assert data["changes"][0]["revision"] == first
    assert agreed.revision == data["changes"][2]["revision"]
    assert all(time.strptime(change["asked at"], "%Y-%m-%dT%H:%M:%SZ") for change in data["changes"])
    last = agreed("history", "--most", "1").stdout
    assert "function/reserve (deleted)" in last
    assert "ben" not in last
    assert "ben" in agreed("history", "--after", first).stdout
    assert "anna" not in agreed("history", "--after", first).stdout


def test_status_without_members_is_not_in_force(agreed: ControlPlane) -> None:
    data = json.loads(agreed("status", "--format", "json").stdout)
    assert data["revision"] == agreed.revision
    assert data["members"] == 0
    assert len(data["digest"]) == 16
    shown = agreed("status")
    assert shown.exit_code == 0
    assert "nobody follows the table" in shown.stdout
    assert "no relay reports" in shown.stdout
    waited = agreed("status", "--wait", data["revision"], "--within", 0)
    assert waited.exit_code == 1
    assert "nobody follows the table" in waited.stderr
    ahead = agreed("status", "--wait", data["revision"] + 1)
    assert ahead.exit_code == 1
    assert f"--wait: found {data['revision'] + 1}; wanted a revision up to {data['revision']}" in ahead.stderr
    forgotten = agreed("forget", "nobody")
    assert forgotten.exit_code == 1
    assert "not done: no member nobody" in forgotten.stderr


def test_applying_members_are_named_only_if_all_lagging_ones_are() -> None:
    lacking = (MemberStatus("b", "i", 4, "r1", "", 5),)
    data = PropagationStatus(5, 0, 0, 1, 3, 4, lacking, (), (), lagging_count=1)
    assert applying_members(data, ("a", "b", "c")) == ["a", "c"]
    assert applying_members(replace(data, lagging_count=2), ("a", "b", "c")) is None
    assert applying_members(PropagationStatus(5, 0, 0, 1, 2, 5, (), (), ()), ("a", "c")) == ["a", "c"]


def test_commands_without_a_quorum_exit_with_3(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("walnutpost.cli.control_plane.TIMEOUT_US", 500_000)
    unreachable, file = tmp_path / "keepers.json5", tmp_path / "site.json5"
    unreachable.write_text(json.dumps({"keepers": [{"name": "k1", "address": free_address()}]}))
    file.write_text(json.dumps(BASE_SETTINGS))
    for command, *args in (["status"], ["get"], ["history"], ["diff", str(file)], ["set", str(file)]):
        ended = CliRunner().invoke(main, ["config", command, str(unreachable), *args])
        assert ended.exit_code == 3
        assert "no quorum of the keepers answered" in ended.stderr


@pytest.mark.parametrize(
    ("was", "now", "expected"),
    [
        (None, {"a": 1}, '+ k: {"a": 1}'),
        ({"a": 1}, None, '- k: {"a": 1}'),
        ({"a": 1, "b": "x"}, {"b": "y", "c": 2}, '~ k: a 1 -> default, b "x" -> "y", c default -> 2'),
    ],
)
def test_change_is_formatted_as_one_line(was: Any, now: Any, expected: str) -> None:
    assert str(Change("k", was, now)) == expected
