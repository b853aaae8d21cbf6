"""`walnutpost usage` on a ledger that a front end wrote."""

from __future__ import annotations

import csv
import io
import json
import sqlite3
from pathlib import Path
from typing import Any
from xml.etree import ElementTree

import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.cli.ledgers import Ledgers
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, merge_settings
from walnutpost.testsupport.daemon.metering_fleet import START_US, metered_fleet, metering_of, send_calls

METERING = {"price_per_gb_hour": "0.25", "renamed": {"trade": "wholesale"}}


@pytest.fixture
def config(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A site's file beside the ledger of some seconds' traffic over an hour's end, minutes later."""
    f = metered_fleet(tmp_path)

    def script() -> None:
        send_calls(f, 20)
        f.loop.sleep(100_000_000)
        for name in f.workers:
            (tmp_path / f"{name}.json").write_bytes(f.get_from_worker(name, "/v2/usage").body)
        metering_of(f).writer.write()

    f.run(script)
    ledgers = Ledgers.__init__

    def init_minutes_later(self: Any, *args: Any, **options: Any) -> None:
        monkeypatch.setattr("walnutpost.cli.ledgers.time.time_ns", lambda: (START_US + 240_000_000) * 1000)
        ledgers(self, *args, **options)

    monkeypatch.setattr(Ledgers, "__init__", init_minutes_later)
    path = tmp_path / "site.json5"
    path.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"metering": METERING})))
    return path


def run_usage(*words: object) -> tuple[int, str, str]:
    result = CliRunner().invoke(main, ["usage", *map(str, words)], catch_exceptions=False)
    return result.exit_code, result.stdout, result.stderr


def test_report_has_the_same_rows_in_each_format(config: Path) -> None:
    code, text, _ = run_usage("report", config, "--format", "json")
    rows = json.loads(text)
    assert code == 0
    assert {r["tenant"] for r in rows} == {"-", "tills", "wholesale"}
    _, text, _ = run_usage("report", config, "--format", "csv")
    assert list(csv.DictReader(io.StringIO(text))) == rows
    _, text, _ = run_usage("report", config)
    assert [line.split() for line in text.splitlines()] == [list(rows[0]), *(list(r.values()) for r in rows)]
    _, text, _ = run_usage("report", config, "--by", "kind,hour", "--format", "json")
    assert [r["kind"] for r in json.loads(text)] == ["closed", "open"]
    total = sum(float(r["mb_s"]) for r in rows)
    assert abs(sum(float(r["mb_s"]) for r in json.loads(text)) - total) < 1e-3


def test_explain_lists_the_stretches_that_make_a_figure(config: Path) -> None:
    _, text, _ = run_usage("report", config, "--by", "tenant", "--format", "json")
    figure = next(r["mb_s"] for r in json.loads(text) if r["tenant"] == "wholesale")
    code, text, _ = run_usage("explain", config, "--tenant", "wholesale", "--most", 1000)
    assert code == 0
    assert f"{figure} MB s" in text
    lines = [line.split() for line in text.splitlines()[1:-1]]
    assert lines
    assert all(line[0] == "wholesale" and line[1].startswith("worker-") for line in lines)


def test_verify_finds_a_changed_line_and_a_missing_copy(config: Path) -> None:
    exports = [word for n in (1, 2, 3) for word in ("--records", config.parent / f"worker-{n}.json")]
    assert run_usage("verify", config, *exports)[0] == 0
    db = sqlite3.connect(config.parent / "usage.db", isolation_level=None)
    for statement, expected in (
        ("update lines set best=best+1 where rowid=1", "booked Amount"),
        ("update lines set best=best-1 where rowid=1", ""),
        ("delete from slices where ended=1", "none in the ledger"),
    ):
        db.execute(statement)
        code, _, errors = run_usage("verify", config, *exports)
        assert (code, expected in errors) == (int(bool(expected)), True)
    db.close()


def test_invoice_and_chart_cover_each_tenant(config: Path) -> None:
    code, text, errors = run_usage("invoice", config, "--digits", 9)
    assert code == 0
    assert "not closed yet" in errors
    totals = {line.split(":")[0]: line.split()[1] for line in text.splitlines() if line[0] != " "}
    assert set(totals) == {"-", "tills", "wholesale"}
    assert all("." in money for money in totals.values())
    out = config.parent / "chart.svg"
    assert run_usage("chart", config, "--out", out)[0] == 0
    drawn = ElementTree.fromstring(out.read_bytes())
    assert "wholesale" in "".join(drawn.itertext())


INVALID_INPUT: dict[str, tuple[list[str], str]] = {
    "a field": (["report", "CONFIG", "--by", "tenant,colour"], "--by: found colour; wanted some of tenant"),
    "a time": (["report", "CONFIG", "--from", "yesterday"], "found 'yesterday'; wanted a day or an hour"),
    "an order": (["report", "CONFIG", "--from", "2026-12-02", "--to", "2026-12-01"], "wanted an earlier one"),
    "an export": (["verify", "CONFIG", "--records", "CONFIG"], "site.json5: "),
    "no ledger": (["report", "OTHER"], "other.db: unable to open"),
    "no section": (["report", "PLAIN"], "metering: found nothing; wanted its section"),
    "no price": (["invoice", "FREE"], "metering.price_per_gb_hour: found nothing; wanted a price"),
}


@pytest.mark.parametrize("name", INVALID_INPUT)
def test_invalid_input_exits_with_2_and_names_it(name: str, config: Path) -> None:
    words, expected = INVALID_INPUT[name]
    other, plain = config.with_name("other.json5"), config.with_name("plain.json5")
    other.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"metering": {"file": "other.db"}})))
    plain.write_text(json.dumps(BASE_SETTINGS))
    free = config.with_name("free.json5")
    free.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"metering": {}})))
    places = {"CONFIG": config, "OTHER": other, "PLAIN": plain, "FREE": free}
    code, _, errors = run_usage(*(places.get(word, word) for word in words))
    assert code == 2
    assert expected in errors


@pytest.mark.parametrize(
    ("section", "expected"),
    [
        ({"budgets": {"nobody": {"mb_s": 1}}}, "nobody is none of site.tenants"),
        ({"keep_slices_h": 48, "keep_hours_d": 1}, "slices kept for less time than hours"),
        ({"renamed": {"a": "b", "b": "c"}}, "b is renamed again"),
        ({"price_per_gb_hour": 0.25}, "valid string"),
        ({"price_per_gb_hour": "free"}, "pattern"),
    ],
)
def test_invalid_metering_section_is_a_configuration_error(
    section: Any, expected: str, tmp_path: Path
) -> None:
    path = tmp_path / "site.json5"
    path.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"metering": section})))
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 2
    assert expected in result.stderr
    assert "metering" in result.stderr
