"""Configuration files as commands read them: all errors at once, each with its place."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.config import Config, ConfigError, load, load_with_overlay, parse
from walnutpost.config.control_plane import ControlPlaneConfig
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, merge_settings

ROOT = Path(__file__).parents[3]

HOLDER = {"name": "a", "address": "127.0.0.1:9", "region": "east", "zone": "a"}
JOURNAL: dict[str, Any] = {"name": "a", "listen": "127.0.0.1:0", "holders": [HOLDER]}
AGREEMENT: dict[str, Any] = {"member": "f0", "relays": {"r1": "127.0.0.1:8511"}}
INVALID: list[tuple[dict[str, Any], str, str]] = [
    ({"journal": JOURNAL | {"name": "z"}}, "journal", "found"),
    ({"journal": JOURNAL | {"listen": "0.0.0.0:1"}}, "journal", "127.0.0.0/8"),
    ({"journal": JOURNAL | {"holders": [HOLDER, HOLDER]}}, "journal", "names of their own"),
    (
        {"journal": JOURNAL | {"classes": {"valuation": {"copies": 3}}}},
        "journal.classes.valuation.copies",
        "found 3",
    ),
    ({"journal": JOURNAL | {"classes": {"sale": {}}}}, "(top)", "sale is none of site.classes"),
    ({"agreement": {"member": "f0"}}, "agreement", "keepers, relays or both"),
    ({"agreement": AGREEMENT | {"relays": {"r1": "r1:8511"}}}, "agreement.relays", "r1:8511"),
    ({"agreement": AGREEMENT | {"relay_zones": {"r2": "a"}}}, "agreement", "r2 is none of them"),
    (
        {"site": {"functions": {"price": {"memory_mb": float("inf")}}}},
        "site.functions.price.memory_mb",
        "inf",
    ),
    ({"front": {"lissten": "x"}}, "front.lissten", "not known here"),
    ({"front": {"listen": "0.0.0.0:8400"}}, "front", "127.0.0.0/8"),
    ({"front": {"listen": "8400"}}, "front", "127.0.0.1:8400"),
    ({"front": {"index": 3}}, "front", "index below front_ends"),
    ({"front": {"max_body_bytes": "6MB"}}, "front.max_body_bytes", "found '6MB'"),
    ({"site": {"functions": {"price": {"class": "nope", "memory_mb": 1}}}}, "site", "nope"),
    (
        {"site": {"functions": {"new": {"class": "valuation"}}}},
        "site.functions.new.memory_mb",
        "found nothing",
    ),
    (
        {"site": {"functions": {"a/b": {"class": "valuation", "memory_mb": 1}}}},
        "site.functions.a/b.[key]",
        "pattern",
    ),
    (
        {"site": {"classes": {"valuation": {"effect": "maybe"}}}},
        "site.classes.valuation.effect",
        "found 'maybe'",
    ),
    (
        {"site": {"classes": {"valuation": {"aim_ms": 9999}}}},
        "site.classes.valuation",
        "aim_ms <= deadline_ms",
    ),
    ({"site": {"default_tenant": "nobody"}}, "site", "nobody"),
    ({"front": {"zone": "mars"}}, "(top)", "mars"),
    ({"front": {"workers": [{"name": "w", "address": "h:x"}]}}, "front.workers.0", "address"),
]


@pytest.mark.parametrize(("more", "place", "expected"), INVALID)
def test_invalid_configuration_is_reported_with_its_place(
    more: dict[str, Any], place: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(json.dumps(merge_settings(BASE_SETTINGS, more)), "site.json5", Config)
    assert any(line.startswith(f"site.json5: {place}: ") and expected in line for line in caught.value.lines)


KEEPER = {"name": "k1", "address": "127.0.0.1:8501"}
RELAY = {"name": "r1", "address": "127.0.0.1:8511", "zone": "a"}
INVALID_CONTROL_PLANES: list[tuple[dict[str, Any], str, str]] = [
    ({"relays": [RELAY, RELAY]}, "(top)", "names of their own; found r1 twice"),
    ({"relays": [RELAY | {"name": "k1"}]}, "(top)", "names of their own; found k1 twice"),
    ({"relays": [RELAY | {"address": "8511"}]}, "relays.0.address", "found '8511'"),
    ({"relays": [RELAY | {"zone": "a b"}]}, "relays.0.zone", "found 'a b'"),
    ({"relays": [RELAY | {"region": "a"}]}, "relays.0.region", "not known here"),
]


@pytest.mark.parametrize(("more", "place", "expected"), INVALID_CONTROL_PLANES)
def test_invalid_control_plane_file_is_reported_with_its_place(
    more: dict[str, Any], place: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(json.dumps({"keepers": [KEEPER], **more}), "fleet.json5", ControlPlaneConfig)
    assert any(line.startswith(f"fleet.json5: {place}: ") and expected in line for line in caught.value.lines)


def test_relays_are_read_beside_keepers_or_without_them() -> None:
    found = parse(json.dumps({"keepers": [KEEPER], "relays": [RELAY]}), "fleet.json5", ControlPlaneConfig)
    assert found.relays[0].zone == "a"
    assert found.relays[0].listen is None
    agreement = parse(
        json.dumps(merge_settings(BASE_SETTINGS, {"agreement": AGREEMENT})), "site.json5", Config
    ).agreement
    assert agreement is not None
    assert agreement.relays == AGREEMENT["relays"]
    assert not agreement.keepers


def test_file_with_several_errors_prints_all_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.json5"
    path.write_text(
        json.dumps(
            merge_settings(BASE_SETTINGS, {"front": {"a": 1, "index": -1}, "site": {"keep_alive_ms": "x"}})
        )
    )
    for command in ("check-config", "serve", "up"):
        result = CliRunner().invoke(main, [command, str(path)])
        assert result.exit_code == 2
        for place in ("front.a", "front.index", "site.keep_alive_ms"):
            assert f"{path}: {place}: " in result.output


@pytest.mark.parametrize("text", ["{", "[]", "", "{a: 1, a: 2}", "{site: " * 2000])
def test_text_that_is_no_json5_object_raises_config_error(text: str) -> None:
    with pytest.raises(ConfigError):
        parse(text, "f", Config)


def test_examples_pass_check_config() -> None:
    for path in (ROOT / "examples").glob("*.json5"):
        if not path.name.endswith("-day.json5"):
            result = CliRunner().invoke(main, ["check-config", str(path)])
            assert result.exit_code == 0, result.output


def test_front_ends_of_the_settings_example_have_distinct_members_and_addresses() -> None:
    shared, own = ROOT / "examples" / "settings.json5", ROOT / "examples" / "settings" / "f1.json5"
    first, second = load(shared, Config), load_with_overlay(shared, own, Config)
    assert first.agreement is not None
    assert second.agreement is not None
    assert first.agreement.member != second.agreement.member
    assert first.front.listen != second.front.listen
    assert first.front.index != second.front.index
    fleet = load(ROOT / "examples" / "settings-keepers.json5", ControlPlaneConfig)
    assert {line.name: line.address for line in fleet.relays} == first.agreement.relays
    assert second.agreement.relays == first.agreement.relays
    assert first.fleet is not None
    fake_workers = [(line.name, line.listen) for line in first.fleet.workers]
    assert [(line.name, line.address) for line in first.front.workers] == fake_workers


def test_each_command_has_help() -> None:
    result = CliRunner().invoke(main, ["--help"])
    for command in ("serve", "worker", "up", "check-config", "trial", "audit"):
        assert command in result.output
        assert CliRunner().invoke(main, [command, "--help"]).exit_code == 0


def test_version_option_prints_the_version() -> None:
    found = CliRunner().invoke(main, ["--version"])
    assert found.exit_code == 0
    assert "0.2.0" in found.output
