"""A fleet that uses TLS: calls, replacement of certificates at run time, and the program's commands."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path

import pytest
from click.testing import CliRunner

from walnutpost.cli import main
from walnutpost.fakes.authority import Authority, IssuedCertificate
from walnutpost.testsupport.daemon.fleet import BASE_SETTINGS, Fleet, merge_settings

NOW = datetime.now(UTC)
AUTHORITY = Authority(NOW)


def start_fleet(path: Path, **certificates: IssuedCertificate) -> Fleet:
    (path / "root.pem").write_bytes(AUTHORITY.root)
    for name in ("worker-1", "worker-2", "worker-3", "front"):
        certificates.get(name.replace("-", "_"), AUTHORITY.issue(name)).write(path, name)
    tls = {"roots": "root.pem", "chain": "front.pem", "key": "front.key"}
    return Fleet(
        path, {"front": {"tls": tls}, "fleet": {"tls": {"folder": ".", "clients": True}}}, capture=True
    )


def test_a_fleet_with_tls_answers_calls_and_its_captures_pass_the_audit(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path)

    def script() -> None:
        for n in range(30):
            assert fleet.invoke(("price", "reserve")[n % 2], b"%d" % n).status == 200

    fleet.run(script)
    assert fleet.audit().has_passed
    assert fleet.runs() == 30


def test_a_worker_with_the_certificate_of_another_gets_no_calls_and_the_others_serve_them(
    tmp_path: Path,
) -> None:
    fleet = start_fleet(tmp_path, worker_1=AUTHORITY.issue("worker-2"))

    def script() -> None:
        for n in range(20):
            assert fleet.invoke("reserve", b"%d" % n).status == 200
            fleet.loop.sleep(300_000)
        assert not fleet.workers["worker-1"].runs

    fleet.run(script)
    assert fleet.audit().has_passed
    assert fleet.runs() == 20


@pytest.mark.parametrize("idle_ms", [0, 15_000])  # a new connection for each call, or reused connections
def test_no_call_fails_while_certificates_and_the_root_are_replaced_under_load(
    idle_ms: int, tmp_path: Path
) -> None:
    fleet = start_fleet(tmp_path)
    front = fleet.front_config.front.model_copy(update={"connection_idle_ms": float(idle_ms)})
    fleet.front_config = fleet.front_config.model_copy(update={"front": front})
    new_authority = Authority(NOW, "new root")

    def certificate_events() -> list[tuple[str, dict[str, object]]]:
        return [(event, fields) for event, fields in fleet.log.events if event.startswith("certificate_")]

    def script() -> None:
        statuses: list[int] = []
        stopped: list[bool] = []

        def call_repeatedly() -> None:
            while not stopped:
                statuses.append(fleet.invoke("price", b"%d" % len(statuses)).status)

        client_tasks = [fleet.loop.spawn(call_repeatedly) for _ in range(4)]
        # Both roots are trusted for a while.
        (tmp_path / "root.pem").write_bytes(AUTHORITY.root + new_authority.root)
        fleet.wait_until(lambda: len(certificate_events()) == 1)
        new_authority.issue("front").write(tmp_path, "front")
        key_pem = (tmp_path / "front.key").read_bytes()
        (tmp_path / "front.key").write_bytes(
            key_pem[:100]
        )  # half-written: rejected, the old key stays in use
        fleet.wait_until(lambda: len(certificate_events()) == 2)
        (tmp_path / "front.key").write_bytes(key_pem)
        for worker in (fleet.workers["worker-1"], fleet.workers["worker-2"]):
            context = worker.server.context
            assert context is not None
            context.load_verify_locations(cadata=new_authority.root.decode())
            new_authority.issue(worker.model.spec.name).write(tmp_path, "renewed")
            context.load_cert_chain(tmp_path / "renewed.pem", tmp_path / "renewed.key")
        fleet.wait_until(lambda: len(certificate_events()) == 3)
        (tmp_path / "root.pem").write_bytes(new_authority.root)  # the old root is no longer trusted
        fleet.wait_until(lambda: len(certificate_events()) == 4)
        # The third worker still has its old certificate, so sessions and idle connections that date from the
        # old root must no longer be used.
        fleet.loop.sleep(1_000_000)
        calls_before = len(statuses)
        runs_before = len(fleet.workers["worker-3"].runs)
        fleet.wait_until(lambda: len(statuses) > calls_before + 60)
        assert len(fleet.workers["worker-3"].runs) == runs_before > 0
        stopped.append(True)
        for task in client_tasks:
            task.join()
        assert set(statuses) == {200}
        assert calls_before > 100

    fleet.run(script)
    assert [event.removeprefix("certificate_") for event, _ in certificate_events()] == [
        "reloaded",
        "rejected",
        "reloaded",
        "reloaded",
    ]
    assert "found no whole private key" in str(certificate_events()[1][1]["error"])
    assert fleet.audit().has_passed


def test_idle_connections_are_closed_when_certificates_are_reloaded(tmp_path: Path) -> None:
    fleet = start_fleet(tmp_path)

    def script() -> None:
        fleet.warm("price")
        assert fleet.front.worker_client.idle_connection_count
        (tmp_path / "root.pem").write_bytes(AUTHORITY.root + Authority(NOW).root)
        fleet.wait_until(lambda: any(event == "certificate_reloaded" for event, _ in fleet.log.events))
        assert not fleet.front.worker_client.idle_connection_count

    fleet.run(script)


def test_serve_exits_with_an_error_if_the_key_does_not_match_the_certificate(tmp_path: Path) -> None:
    AUTHORITY.issue("front").write(tmp_path, "front")
    (tmp_path / "front.key").write_bytes(AUTHORITY.issue("worker-7").key)
    (tmp_path / "root.pem").write_bytes(AUTHORITY.root)
    path = tmp_path / "site.json5"
    tls = {"roots": "root.pem", "chain": "front.pem", "key": "front.key"}
    path.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"front": {"tls": tls}})))
    result = CliRunner().invoke(main, ["serve", str(path)])
    assert result.exit_code == 2
    assert "front.pem: found a key of another certificate" in result.stderr
    assert (tmp_path / "front.key").stat().st_mode & 0o77 == 0


def test_keys_status_accepts_the_certificates_that_keys_make_test_ca_creates(tmp_path: Path) -> None:
    path = tmp_path / "site.json5"
    tls = {"roots": "keys/root.pem", "chain": "keys/front.pem", "key": "keys/front.key"}
    path.write_text(json.dumps(merge_settings(BASE_SETTINGS, {"front": {"tls": tls}})))
    assert CliRunner().invoke(main, ["keys", "status", str(path)]).exit_code == 1
    make_result = CliRunner().invoke(
        main, ["keys", "make-test-ca", str(path), "--out", str(tmp_path / "keys")]
    )
    assert make_result.exit_code == 0
    assert "worker-3" in make_result.output
    status_result = CliRunner().invoke(main, ["keys", "status", str(path)])
    assert status_result.exit_code == 0
    assert "front" in status_result.output
    assert "days left" in status_result.output
    keys = list((tmp_path / "keys").glob("*.key"))
    assert len(keys) == 4
    assert all(key.stat().st_mode & 0o77 == 0 for key in keys)
