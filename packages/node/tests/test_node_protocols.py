"""The node's codecs: what comes in pieces, what is malformed, what is bounded, which lists count."""

from __future__ import annotations

import json
from typing import Any

import dns.flags
import dns.message
import dns.rrset
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.interface import ListKind, Outcome, Warmth, WorkerState
from walnutpost.node import resp, rpc
from walnutpost.node.config import ConfigError, parse_config
from walnutpost.node.directory import SERVICE, Directory, EndpointListError, TopologyNames
from walnutpost.testsupport.node.harness import CONFIG, config_text

CLASSES = {"valuation": 1_060_000}
FIELDS = {
    "rid": "9b1f03aa5c7e2d41",
    "budget": "1000",
    "obj": "7f3a9c21e0b4d655",
    "attrs": "memory_mb:512;lanes:2",
}
BODY = b"\x00\xffany"


def ask(number: Any = 7, body: Any = BODY, method: Any = "valuation", **fields: Any) -> bytes:
    present = {k: v for k, v in {**FIELDS, **fields}.items() if v is not None}
    packed: bytes = msgpack.packb([0, number, method, [present, body]])
    return packed


def read(data: bytes) -> tuple[list[rpc.Incoming], rpc.UnreadableMessageError | None]:
    return rpc.MessageParser(CLASSES).feed(data)


WHOLE = rpc.CallRequest(7, FIELDS["rid"], "valuation", FIELDS["obj"], 1_000_000, False, 512.0, 2.0, 0, BODY)


@given(st.lists(st.integers(1, 40), max_size=40))
def test_requests_in_pieces_of_any_size_are_read_the_same(cuts: list[int]) -> None:
    data = ask() + msgpack.packb([2, "interrupt", [7]]) + msgpack.packb([0, 8, "check", [{}]])
    reader, got = rpc.MessageParser(CLASSES), list[rpc.Incoming]()
    for size in [*cuts, len(data)]:
        messages, wrong = reader.feed(data[:size])
        got += messages
        data = data[size:]
        assert wrong is None
    assert got == [WHOLE, rpc.Interrupt((7,)), rpc.CheckRequest(8)]
    assert not reader.has_partial


@pytest.mark.parametrize(
    ("place", "fields"),
    [
        ("rid", {"rid": None}),
        ("rid", {"rid": "9B1F03AA5C7E2D41"}),
        ("obj", {"obj": "7f"}),
        ("class", {"method": "nobody"}),
        ("budget", {"budget": "-5"}),
        ("budget", {"budget": "nan"}),
        ("budget", {"budget": "99999999"}),
        ("budget", {"budget": None}),
        ("lanes", {"attrs": "lanes:0"}),
        ("memory_mb", {"attrs": "memory_mb:1e99"}),
        ("load_ms", {"attrs": "load_ms:inf"}),
        ("again", {"again": "yes"}),
    ],
)
def test_invalid_request_is_answered_under_its_id(place: str, fields: dict[str, Any]) -> None:
    messages, wrong = read(ask(**fields) + ask(8))
    assert wrong is None
    assert isinstance(messages[0], rpc.InvalidRequest)
    assert messages[0].message_id == 7
    assert place in messages[0].reason
    assert isinstance(messages[1], rpc.CallRequest)


def test_body_at_the_limit_is_accepted_and_one_past_it_rejected() -> None:
    assert isinstance(read(ask(body=b"x" * rpc.MAX_BODY_BYTES))[0][0], rpc.CallRequest)
    assert isinstance(read(ask(body=b"x" * (rpc.MAX_BODY_BYTES + 1)))[0][0], rpc.InvalidRequest)


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        b"\xdd\xff\xff\xff\xff",  # an array of four thousand million
        b"\x94\x00\x07\xc6\xee\xee\xee\xee" + b"y" * rpc.MAX_MESSAGE_BYTES,  # bytes of 4 GB
        b"\xdb\x03\x93\x87\x00" + b"y" * rpc.MAX_MESSAGE_BYTES,  # a string of 60 MB
        b"\x91" * 2000,
        msgpack.packb([1, 7, None, None]),
        msgpack.packb([0, -1, "valuation", [FIELDS, BODY]]),
        msgpack.packb([2, "interrupt", ["7"]]),
        msgpack.packb({"a": 1}),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_unreadable_bytes_end_the_connection_after_the_messages_before(data: bytes) -> None:
    messages, wrong = read(ask() + data)
    assert messages == [WHOLE]
    assert wrong is not None


def test_message_without_end_is_buffered_up_to_the_limit() -> None:
    reader, wrong = rpc.MessageParser(CLASSES), None
    chunk = msgpack.packb("x" * 1000) * 8
    fed = reader.feed(b"\xdc\x0f\xff" + chunk)[1]
    for _ in range(10):
        wrong = wrong or reader.feed(chunk)[1]
    assert fed is None
    assert wrong is not None


# Workers

TOLD = b"detail=rode,company=3,use=util:0.61;x0:0.25,a="
OK = resp.encode_command(b"r1", b"OK", TOLD, b"\r\n\x00z")
READ = resp.Response(b"r1", Outcome.OK, False, b"\r\n\x00z", Warmth.JOINED_LOAD, 3, None, (0.61, 0.25))


def answers(data: bytes) -> tuple[list[resp.Response], resp.MalformedResponseError | None]:
    return resp.ResponseParser(("utilization", "x0")).feed(data)


@given(st.lists(st.integers(1, 30), max_size=20))
def test_responses_in_pieces_of_any_size_are_read_the_same(cuts: list[int]) -> None:
    data, reader, got = (
        OK + resp.encode_command(b"t1", b"BUSY", b"slots_up=2", b""),
        resp.ResponseParser(("utilization", "x0")),
        [],
    )
    for size in [*cuts, len(data)]:
        complete, wrong = reader.feed(data[:size])
        got += complete
        data = data[size:]
        assert wrong is None
    assert got == [READ, resp.Response(b"t1", Outcome.FULL, False, b"", copies=2)]


@pytest.mark.parametrize(
    "malformed",
    [
        b"noise\r\n",
        b"*4\r\n$2\r\nr2\r\n$9999999999\r\n",
        b"*4\r\n$2\r\nr2\r\n$-1\r\n",
        b"*1000000000\r\n",
        b"*4\r\n$2\r\nr2x\r\n",
        b"*4\r\n$2\r\nr2\r\n$2\r\nOK\r\n$1\r\n-\r\n$3000000000\r\n",
        b"*" + b"4" * 40,
        resp.encode_command(b"r2", b"YES", b"-", b""),
        resp.encode_command(b"r2", b"OK", b"company=many", b""),
        resp.encode_command(b"r2", b"OK", b"\xff=1", b""),
    ],
)
def test_malformed_response_is_reported_after_the_good_ones_before_it(malformed: bytes) -> None:
    good, wrong = answers(OK + malformed)
    assert good == [READ]
    assert wrong is not None


def test_call_is_encoded_with_id_class_key_and_body_unchanged() -> None:
    sent = resp.encode_call(b"9b1f", "valuation", "7f3a", 1_500_999, BODY)
    assert sent == resp.encode_command(b"FN", b"9b1f", b"queue=valuation,path=7f3a,budget=1500", BODY)


# The name server

NAMES = TopologyNames(("east",), ("std",), False)
TARGET = {
    "uid": "s-1",
    "endpoint": "10.1.0.9:10080",
    "az": "east",
    "model": "std",
    "pod_group": 2,
    "state": "Ready",
}


def directory() -> Directory:
    current = Directory(NAMES)
    first = {"all": True, "rev": 0, "targets": [TARGET, {**TARGET, "uid": "s-2", "endpoint": "10.1.0.8:1"}]}
    later = {"all": False, "rev": 1, "targets": [{**TARGET, "uid": "s-2", "state": "Gone", "boot_ms": 0}]}
    current.apply_known_events(
        {"offset": 2, "batch": [{"offset": 1, "topology": first}, {"offset": 2, "topology": later}]}
    )
    return current


def reply(
    number: int,
    serial: int,
    flags: int = dns.flags.QR,
    priority: int = 1,
    host: str = "s-1.east.hosts.",
    asked: str = SERVICE,
) -> bytes:
    message = dns.message.make_query(asked, "SRV", id=number)
    message.flags = flags
    for section, name, kind, text in (
        (message.answer, SERVICE, "SRV", f"{priority} 40 10080 {host}"),
        (message.additional, "s-1.east.hosts.", "A", "10.1.0.9"),
        (message.additional, "s-1.east.hosts.", "TXT", '"kind=std" "cell=2" "started=5"'),
        (message.authority, "svc.local.", "SOA", f"a. b. {serial} 1 1 1 1"),
    ):
        section.append(dns.rrset.from_text(name, 0, "IN", kind, text))
    return message.to_wire()


def test_known_events_add_up_and_a_response_replaces_them() -> None:
    current = directory()
    (worker,) = current.snapshot(ListKind.CACHED).workers
    assert worker.name == "s-1"
    assert worker.cell == 2
    assert worker.state is WorkerState.READY
    current.query(9)
    listed = current.apply_response(reply(9, 3))
    assert listed is not None
    assert listed.version == 3
    assert listed.kind is ListKind.FULL
    assert listed.workers[0].state is WorkerState.DRAINING
    assert listed.workers[0].started_at_us == 5_000
    assert current.addresses == {"s-1": ("10.1.0.9", 10080)}
    current.query(10)
    assert current.apply_response(reply(10, 3)) is None


@pytest.mark.parametrize(
    "data",
    [
        reply(8, 3),  # under another id
        reply(9, 1),  # an older list
        reply(9, 3, dns.flags.QR | dns.flags.TC),
        reply(9, 3, dns.flags.QR | 2),  # SERVFAIL
        reply(9, 3)[:40],
        reply(9, 3, host="s-7.east.hosts."),  # no address told
        reply(9, 3, asked="_other._tcp.svc.local."),
        b"",
    ],
)
def test_rejected_response_leaves_the_list_and_the_open_query(data: bytes) -> None:
    current = directory()
    current.query(9)
    with pytest.raises(EndpointListError):
        current.apply_response(data)
    assert current.serial == 2
    assert list(current.addresses) == ["s-1"]
    assert current.apply_response(reply(9, 3)) is not None


# The configuration


def test_configuration_is_read_completely_and_an_error_names_its_place() -> None:
    config = parse_config(config_text())
    assert config.listen == ("127.0.0.1", 0)
    assert config.seed == 0x8C1F
    assert config.classes[1] == "reservation"
    assert config.settings.classes[0].latency_objective_us == 430_000
    assert config.max_streams == 32
    for change, place in (
        ({"dns": "nowhere"}, "dns"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "limits.sockets"),
        ({"settings": {**CONFIG["settings"], "Profiles": None}}, "Profiles"),
        ({"known": None}, "known"),
    ):
        with pytest.raises(ConfigError, match=place):
            parse_config(json.dumps({**CONFIG, **change}).encode())
