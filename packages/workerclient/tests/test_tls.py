"""Streams under TLS, and what makes keys fit to be used."""

from __future__ import annotations

import json
import socket
import ssl
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path

import pytest
from click.testing import CliRunner
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from hypothesis import given
from hypothesis import strategies as st

from fleet_rig import BASE, Fleet, merged
from walnutpost.certificates import DAY as KEEPER_DAY
from walnutpost.certificates import BadKeys, Keeper, Ration, RationSettings, examine, trusted
from walnutpost.cli import main
from walnutpost.eventloop import Loop, TlsClientSettings, TlsStream, VirtualClock, WaitTimeoutError
from walnutpost.fakes.authority import Authority, IssuedCertificate
from walnutpost.http import Connection, Exchange, Response, encode_request
from walnutpost.http.server import serve_on

NAME = "worker-7.example.org"
DAY = timedelta(days=1)
NOW = datetime.now(UTC)
CA = Authority(NOW)
GOOD = CA.issue(NAME)


def served(issued: IssuedCertificate, path: Path) -> ssl.SSLContext:
    issued.write(path, "served")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path / "served.pem", path / "served.key")
    return context


def trusting(authority: Authority) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cadata=authority.root.decode())
    return context


def run(script: Callable[[Loop], None]) -> None:
    errors: list[BaseException] = []
    loop = Loop(VirtualClock(), lambda name, error: errors.append(error))
    loop.run(lambda: script(loop))
    assert not errors, errors


def echo(exchange: Exchange) -> Response:
    return Response(200, {}, exchange.request.body)


def test_calls_go_over_tls_and_a_second_connection_is_resumed(tmp_path: Path) -> None:
    def script(loop: Loop) -> None:
        server = serve_on(
            loop, ("127.0.0.1", 0), echo, lambda e: Response(400), context=served(GOOD, tmp_path)
        )
        context, session = trusting(CA), None
        for turn in range(3):
            connection = Connection.open(
                loop, server.address, secure=TlsClientSettings(context, NAME, session)
            )
            for size in (0, 10, 900_000):
                body = bytes(n % 251 for n in range(1000)) * (size // 1000) or b"x" * size
                assert connection.exchange(encode_request("POST", "/", "x", {}, body)).body == body
                assert not connection.stream.is_stale()
            stream = connection.stream
            assert isinstance(stream, TlsStream) and stream.is_resumed is (turn > 0)
            session = stream.session
            connection.close()
        server.stop_accepting()

    run(script)


REFUSED: dict[str, tuple[IssuedCertificate, Authority]] = {
    "another's name": (CA.issue("worker-8.example.org"), CA),
    "expired": (CA.issue(NAME, -3 * DAY, -DAY), CA),
    "not yet valid": (CA.issue(NAME, DAY, 3 * DAY), CA),
    "an unknown root": (Authority(NOW).issue(NAME), CA),
}


@pytest.mark.parametrize("name", REFUSED)
def test_who_cannot_prove_its_name_gets_nothing(name: str, tmp_path: Path) -> None:
    issued, authority = REFUSED[name]
    asked = []

    def handler(exchange: Exchange) -> Response:
        asked.append(exchange)
        return Response(200)

    def script(loop: Loop) -> None:
        context = served(issued, tmp_path)
        server = serve_on(loop, ("127.0.0.1", 0), handler, lambda e: Response(400), context=context)
        with pytest.raises(ssl.SSLCertVerificationError):
            Connection.open(loop, server.address, secure=TlsClientSettings(trusting(authority), NAME))
        server.stop_accepting()

    run(script)
    assert not asked


def test_an_end_without_farewell_is_a_reset_and_one_with_it_an_end(tmp_path: Path) -> None:
    for cut in (True, False):

        def handler(exchange: Exchange, cut: bool = cut) -> None:
            stream = exchange.stream
            stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf")
            if cut:
                assert isinstance(stream, TlsStream)
                stream._sock.shutdown(socket.SHUT_RDWR)

        def script(loop: Loop, cut: bool = cut) -> None:
            context = served(GOOD, tmp_path)
            server = serve_on(loop, ("127.0.0.1", 0), handler, lambda e: Response(400), context=context)
            connection = Connection.open(loop, server.address, secure=TlsClientSettings(trusting(CA), NAME))
            connection.stream.has_sent = False
            with pytest.raises(ConnectionResetError, match="farewell" if cut else "before the whole"):
                connection.ask("GET", "/")
            assert connection.stream.has_sent and connection.stream.is_stale()
            server.stop_accepting()

        run(script)


def test_a_peer_that_speaks_no_tls_is_an_error_and_one_that_stalls_is_waited_for_no_longer() -> None:
    for answer in (b"HTTP/1.1 200 OK\r\n\r\n", b"\x16\x03\x03\x40\x00" + b"\0" * 16_384, b""):

        def script(loop: Loop, answer: bytes = answer) -> None:
            listener = socket.create_server(("127.0.0.1", 0))

            def connect() -> None:
                with loop.timeout(250_000):
                    Connection.open(
                        loop, listener.getsockname()[:2], secure=TlsClientSettings(trusting(CA), NAME)
                    )

            attempt = loop.spawn(lambda: pytest.raises((OSError, WaitTimeoutError), connect))
            loop.sleep(1000)
            peer, _ = listener.accept()
            if answer:
                peer.sendall(answer)
            began = loop.now()
            attempt.join()
            assert loop.now() - began <= 250_000
            peer.close()
            listener.close()

        run(script)


# Keys


def us(moment: datetime) -> int:
    return round(moment.timestamp() * 1_000_000)


def bad(
    issued: IssuedCertificate, chain: bytes | None = None, key: bytes | None = None, roots: bytes = CA.root
) -> str:
    with pytest.raises(BadKeys) as error:
        examine(chain if chain is not None else issued.chain, key or issued.key, roots, us(NOW))
    assert "PRIVATE" not in str(error.value)
    return str(error.value)


def test_a_whole_set_is_taken_and_shows_no_key() -> None:
    got = examine(GOOD.chain, GOOD.key, CA.root, us(NOW))
    assert got.names == (NAME,) and got.begins < us(NOW) < got.ends
    assert trusted(CA.root, us(NOW)) == 1
    assert b"PRIVATE" not in repr(got).encode() and "PRIVATE" not in repr(GOOD)


def test_sets_that_do_not_fit_are_refused_with_the_reason() -> None:
    leaf = GOOD.chain.split(b"-----END CERTIFICATE-----\n")[0] + b"-----END CERTIFICATE-----\n"
    weak = CA.issue(NAME, key=rsa.generate_private_key(65537, 1024))
    odd = CA.issue(NAME, key=ec.generate_private_key(ec.SECP224R1()))
    cases = {
        bad(GOOD, key=CA.issue(NAME).key): "found a key of another certificate",
        bad(GOOD, key=GOOD.key[:120]): "found no whole private key",
        bad(GOOD, chain=GOOD.chain[:200]): "found no whole certificate",
        bad(GOOD, chain=leaf): "wanted one to a trusted root",
        bad(GOOD, chain=leaf + Authority(NOW).issue(NAME).chain): "not signed by the next",
        bad(GOOD, roots=Authority(NOW).root): "wanted one to a trusted root",
        bad(GOOD, roots=b""): "trusted roots: found no whole certificate",
        bad(CA.issue(NAME, -3 * DAY, -DAY)): "found one that expired at",
        bad(CA.issue(NAME, DAY, 3 * DAY)): "found one not valid before",
        bad(weak): "found an RSA key of 1024 bits, wanted 2048",
        bad(odd): "found a key on secp224r1",
    }
    assert [c for c, wanted in cases.items() if wanted not in c] == [] and len(cases) == 11
    with pytest.raises(BadKeys, match="expired"):
        trusted(CA.root, us(NOW + 400 * DAY))


@given(st.binary(max_size=300), st.integers(0, len(GOOD.chain)), st.integers(0, len(GOOD.chain)))
def test_no_bytes_break_the_examination(noise: bytes, start: int, end: int) -> None:
    broken = GOOD.chain[:start] + noise + GOOD.chain[end:]
    for chain, key, roots in (
        (broken, GOOD.key, CA.root),
        (GOOD.chain, broken, CA.root),
        (GOOD.chain, GOOD.key, broken),
    ):
        try:
            examine(chain, key, roots, us(NOW))
        except BadKeys as error:
            assert "found" in str(error) and "wanted" in str(error)


# The ration of handshakes


def test_handshakes_are_few_at_once_and_fewer_after_failures() -> None:
    ration = Ration(RationSettings(2, 3, 100, 350))
    assert [ration.take(0, w) for w in ("a", "a", "a", "b", "b", "c")] == [
        True,
        True,
        False,
        True,
        False,
        False,
    ]
    ration.made("b")
    ration.failed(0, "a")
    ration.failed(0, "a")
    assert ration.out == 0
    # Twice as long after each, and one at a time until one is made.
    assert not ration.take(199, "a") and ration.take(200, "a") and not ration.take(200, "a")
    ration.failed(200, "a")
    assert not ration.take(549, "a") and ration.take(550, "a")
    ration.made("a")
    assert ration.take(551, "a") and ration.take(551, "a")
    for _ in range(2):
        ration.failed(551, "a")
    ration.gone("a")
    assert ration.take(552, "a")


# A fleet under TLS


def secured(path: Path, **wrong: IssuedCertificate) -> Fleet:
    (path / "root.pem").write_bytes(CA.root)
    for name in ("worker-1", "worker-2", "worker-3", "front"):
        wrong.get(name.replace("-", "_"), CA.issue(name)).write(path, name)
    own = {"roots": "root.pem", "chain": "front.pem", "key": "front.key"}
    return Fleet(
        path, {"front": {"tls": own}, "fleet": {"tls": {"folder": ".", "clients": True}}}, capture=True
    )


def test_a_fleet_under_tls_serves_and_its_captures_are_audited(tmp_path: Path) -> None:
    f = secured(tmp_path)

    def script() -> None:
        for n in range(30):
            assert f.invoke(("price", "reserve")[n % 2], b"%d" % n).status == 200

    f.run(script)
    assert f.audit().kept and f.runs() == 30


def test_a_worker_with_anothers_certificate_gets_no_call_and_the_others_do(tmp_path: Path) -> None:
    f = secured(tmp_path, worker_1=CA.issue("worker-2"))

    def script() -> None:
        for n in range(20):
            assert f.invoke("reserve", b"%d" % n).status == 200
            f.loop.sleep(300_000)
        assert not f.workers["worker-1"].runs

    f.run(script)
    assert f.audit().kept and f.runs() == 20


@pytest.mark.parametrize("idle_ms", [0, 15_000])  # a connection for each call, or kept ones
def test_keys_and_root_are_replaced_under_load_without_a_dropped_call(idle_ms: int, tmp_path: Path) -> None:
    f = secured(tmp_path)
    front = f.front_config.front.model_copy(update={"connection_idle_ms": float(idle_ms)})
    f.front_config = f.front_config.model_copy(update={"front": front})
    new = Authority(NOW, "new root")

    def told() -> list[tuple[str, dict[str, object]]]:
        return [(event, t) for event, t in f.log.lines if event.startswith("certificate_")]

    def script() -> None:
        asked: list[int] = []
        over: list[bool] = []

        def ask() -> None:
            while not over:
                asked.append(f.invoke("price", b"%d" % len(asked)).status)

        clients = [f.loop.spawn(ask) for _ in range(4)]
        (tmp_path / "root.pem").write_bytes(CA.root + new.root)  # both are trusted for a while
        f.until(lambda: len(told()) == 1)
        new.issue("front").write(tmp_path, "front")
        whole = (tmp_path / "front.key").read_bytes()
        (tmp_path / "front.key").write_bytes(whole[:100])  # a half-written key: refused, the old one stays
        f.until(lambda: len(told()) == 2)
        (tmp_path / "front.key").write_bytes(whole)
        for server in (f.workers["worker-1"], f.workers["worker-2"]):
            context = server.server.context
            assert context is not None
            context.load_verify_locations(cadata=new.root.decode())
            new.issue(server.model.spec.name).write(tmp_path, "renewed")
            context.load_cert_chain(tmp_path / "renewed.pem", tmp_path / "renewed.key")
        f.until(lambda: len(told()) == 3)
        (tmp_path / "root.pem").write_bytes(new.root)  # the old one is withdrawn
        f.until(lambda: len(told()) == 4)
        # The third worker stays with its old certificate, so what was learnt under the old root, sessions
        # and idle connections, must lead nowhere any more.
        f.loop.sleep(1_000_000)
        before, ran = len(asked), len(f.workers["worker-3"].runs)
        f.until(lambda: len(asked) > before + 60)
        assert len(f.workers["worker-3"].runs) == ran > 0
        over.append(True)
        for client in clients:
            client.join()
        assert set(asked) == {200} and before > 100

    f.run(script)
    assert [event.removeprefix("certificate_") for event, _ in told()] == [
        "reloaded",
        "rejected",
        "reloaded",
        "reloaded",
    ]
    assert "found no whole private key" in str(told()[1][1]["error"])
    assert f.audit().kept


def test_kept_connections_of_the_old_keys_are_closed_when_new_ones_come(tmp_path: Path) -> None:
    f = secured(tmp_path)

    def script() -> None:
        f.warm("price")
        assert any(f.front.links._idle.values())
        (tmp_path / "root.pem").write_bytes(CA.root + Authority(NOW).root)
        f.until(lambda: any(event == "certificate_reloaded" for event, _ in f.log.lines))
        assert not any(f.front.links._idle.values())

    f.run(script)


def test_an_end_is_told_ahead_daily_then_hourly() -> None:
    keeper = Keeper(((1, 1, 1),), 0, 90 * KEEPER_DAY)
    told = [n / 24 for n in range(92 * 24) if keeper.notice(n * KEEPER_DAY // 24) is not None]
    assert told[:3] == [60, 61, 62] and told[29:32] == [89, 89 + 1 / 24, 89 + 2 / 24] and told[-1] > 91
    assert not keeper.looks(((1, 1, 1),)) and keeper.looks(((2, 1, 1),)) and not keeper.looks(((2, 1, 1),))
    keeper.accepted(0, 400 * KEEPER_DAY)
    assert keeper.notice(92 * KEEPER_DAY) is None


def test_keys_that_do_not_fit_end_the_program_before_it_serves(tmp_path: Path) -> None:
    CA.issue("front").write(tmp_path, "front")
    (tmp_path / "front.key").write_bytes(GOOD.key)
    (tmp_path / "root.pem").write_bytes(CA.root)
    path = tmp_path / "site.json5"
    tls = {"roots": "root.pem", "chain": "front.pem", "key": "front.key"}
    path.write_text(json.dumps(merged(BASE, {"front": {"tls": tls}})))
    result = CliRunner().invoke(main, ["serve", str(path)])
    assert result.exit_code == 2 and "front.pem: found a key of another certificate" in result.stderr
    assert (tmp_path / "front.key").stat().st_mode & 0o77 == 0


def test_a_test_authoritys_keys_work_and_their_status_is_shown(tmp_path: Path) -> None:
    path = tmp_path / "site.json5"
    tls = {"roots": "keys/root.pem", "chain": "keys/front.pem", "key": "keys/front.key"}
    path.write_text(json.dumps(merged(BASE, {"front": {"tls": tls}})))
    assert CliRunner().invoke(main, ["keys", "status", str(path)]).exit_code == 1
    made = CliRunner().invoke(main, ["keys", "make-test-ca", str(path), "--out", str(tmp_path / "keys")])
    assert made.exit_code == 0 and "worker-3" in made.output
    shown = CliRunner().invoke(main, ["keys", "status", str(path)])
    assert shown.exit_code == 0 and "front" in shown.output and "days left" in shown.output
    keys = list((tmp_path / "keys").glob("*.key"))
    assert len(keys) == 4 and all(key.stat().st_mode & 0o77 == 0 for key in keys)
