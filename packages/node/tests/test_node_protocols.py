"""The node's codecs: what comes in pieces, what is spoilt, what is bounded, which lists count."""

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

from node_rig import CONFIG, config_text
from walnutpost.interface import ListKind, Outcome, Warmth, WorkerState
from walnutpost.node import resp, rpc
from walnutpost.node.config import ConfigError, parse
from walnutpost.node.directory import SERVICE, BadList, Directory, Names

CLASSES = {"valuation": 1_060_000}
FIELDS = {
    "rid": "9b1f03aa5c7e2d41",
    "budget": "1000",
    "obj": "7f3a9c21e0b4d655",
    "attrs": "memory_mb:512;lanes:2",
}
BODY = b"\x00\xffany"


def ask(number: Any = 7, body: Any = BODY, method: Any = "valuation", **fields: Any) -> bytes:
    told = {k: v for k, v in {**FIELDS, **fields}.items() if v is not None}
    packed: bytes = msgpack.packb([0, number, method, [told, body]])
    return packed


def read(data: bytes) -> tuple[list[rpc.Incoming], rpc.Unreadable | None]:
    return rpc.Reader(CLASSES).feed(data)


WHOLE = rpc.Call(7, FIELDS["rid"], "valuation", FIELDS["obj"], 1_000_000, False, 512.0, 2.0, 0, BODY)


@given(st.lists(st.integers(1, 40), max_size=40))
def test_requests_are_the_same_however_the_bytes_are_cut(cuts: list[int]) -> None:
    data = ask() + msgpack.packb([2, "interrupt", [7]]) + msgpack.packb([0, 8, "check", [{}]])
    reader, got = rpc.Reader(CLASSES), list[rpc.Incoming]()
    for size in [*cuts, len(data)]:
        messages, wrong = reader.feed(data[:size])
        got += messages
        data = data[size:]
        assert wrong is None
    assert got == [WHOLE, rpc.Interrupt((7,)), rpc.Check(8)] and not reader.partial


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
def test_a_request_that_cant_be_used_is_answered_under_its_number(place: str, fields: dict[str, Any]) -> None:
    messages, wrong = read(ask(**fields) + ask(8))
    assert wrong is None and isinstance(messages[0], rpc.Bad) and messages[0].number == 7
    assert place in messages[0].reason and isinstance(messages[1], rpc.Call)


def test_a_body_past_the_limit_is_refused_and_one_at_it_is_taken() -> None:
    assert isinstance(read(ask(body=b"x" * rpc.BODY_MOST))[0][0], rpc.Call)
    assert isinstance(read(ask(body=b"x" * (rpc.BODY_MOST + 1)))[0][0], rpc.Bad)


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        b"\xdd\xff\xff\xff\xff",  # an array of four thousand million
        b"\x94\x00\x07\xc6\xee\xee\xee\xee" + b"y" * rpc.MESSAGE_MOST,  # bytes of 4 GB
        b"\xdb\x03\x93\x87\x00" + b"y" * rpc.MESSAGE_MOST,  # a string of 60 MB
        b"\x91" * 2000,
        msgpack.packb([1, 7, None, None]),
        msgpack.packb([0, -1, "valuation", [FIELDS, BODY]]),
        msgpack.packb([2, "interrupt", ["7"]]),
        msgpack.packb({"a": 1}),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_what_cant_be_read_ends_the_connection_after_what_came_before(data: bytes) -> None:
    messages, wrong = read(ask() + data)
    assert messages == [WHOLE] and wrong is not None


def test_a_message_without_end_is_held_no_longer_than_a_message_may_be() -> None:
    reader, wrong = rpc.Reader(CLASSES), None
    chunk = msgpack.packb("x" * 1000) * 8
    fed = reader.feed(b"\xdc\x0f\xff" + chunk)[1]
    for _ in range(10):
        wrong = wrong or reader.feed(chunk)[1]
    assert fed is None and wrong is not None


# Workers

TOLD = b"detail=rode,company=3,use=util:0.61;x0:0.25,a="
OK = resp.command(b"r1", b"OK", TOLD, b"\r\n\x00z")
READ = resp.Answer(b"r1", Outcome.OK, False, b"\r\n\x00z", Warmth.JOINED_LOAD, 3, None, (0.61, 0.25))


def answers(data: bytes) -> tuple[list[resp.Answer], resp.MalformedAnswer | None]:
    return resp.Reader(("utilization", "x0")).feed(data)


@given(st.lists(st.integers(1, 30), max_size=20))
def test_answers_are_the_same_however_the_bytes_are_cut(cuts: list[int]) -> None:
    data, reader, got = (
        OK + resp.command(b"t1", b"BUSY", b"slots_up=2", b""),
        resp.Reader(("utilization", "x0")),
        [],
    )
    for size in [*cuts, len(data)]:
        whole, wrong = reader.feed(data[:size])
        got += whole
        data = data[size:]
        assert wrong is None
    assert got == [READ, resp.Answer(b"t1", Outcome.FULL, False, b"", copies=2)]


@pytest.mark.parametrize(
    "spoilt",
    [
        b"noise\r\n",
        b"*4\r\n$2\r\nr2\r\n$9999999999\r\n",
        b"*4\r\n$2\r\nr2\r\n$-1\r\n",
        b"*1000000000\r\n",
        b"*4\r\n$2\r\nr2x\r\n",
        b"*4\r\n$2\r\nr2\r\n$2\r\nOK\r\n$1\r\n-\r\n$3000000000\r\n",
        b"*" + b"4" * 40,
        resp.command(b"r2", b"YES", b"-", b""),
        resp.command(b"r2", b"OK", b"company=many", b""),
        resp.command(b"r2", b"OK", b"\xff=1", b""),
    ],
)
def test_a_spoilt_answer_is_told_after_the_good_ones_before_it(spoilt: bytes) -> None:
    good, wrong = answers(OK + spoilt)
    assert good == [READ] and wrong is not None


def test_a_call_goes_out_with_id_class_key_and_body_unchanged() -> None:
    sent = resp.call(b"9b1f", "valuation", "7f3a", 1_500_999, BODY)
    assert sent == resp.command(b"FN", b"9b1f", b"queue=valuation,path=7f3a,budget=1500", BODY)


# The name server

NAMES = Names(("east",), ("std",), False)
TARGET = {
    "uid": "s-1",
    "endpoint": "10.1.0.9:10080",
    "az": "east",
    "model": "std",
    "pod_group": 2,
    "state": "Ready",
}


def directory() -> Directory:
    held = Directory(NAMES)
    first = {"all": True, "rev": 0, "targets": [TARGET, {**TARGET, "uid": "s-2", "endpoint": "10.1.0.8:1"}]}
    later = {"all": False, "rev": 1, "targets": [{**TARGET, "uid": "s-2", "state": "Gone", "boot_ms": 0}]}
    held.known({"offset": 2, "batch": [{"offset": 1, "topology": first}, {"offset": 2, "topology": later}]})
    return held


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


def test_known_events_add_up_and_an_answer_replaces_them() -> None:
    held = directory()
    (worker,) = held.told(ListKind.CACHED).workers
    assert worker.name == "s-1" and worker.cell == 2 and worker.state is WorkerState.READY
    held.query(9)
    told = held.answer(reply(9, 3))
    assert told is not None and told.version == 3 and told.kind is ListKind.FULL
    assert told.workers[0].state is WorkerState.DRAINING and told.workers[0].started_at_us == 5_000
    assert held.addresses == {"s-1": ("10.1.0.9", 10080)}
    held.query(10)
    assert held.answer(reply(10, 3)) is None


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
def test_an_answer_that_doesnt_count_leaves_the_list_and_the_question(data: bytes) -> None:
    held = directory()
    held.query(9)
    with pytest.raises(BadList):
        held.answer(data)
    assert held.serial == 2 and list(held.addresses) == ["s-1"]
    assert held.answer(reply(9, 3)) is not None


# The configuration


def test_the_configuration_is_read_whole_and_a_lack_names_its_place() -> None:
    config = parse(config_text())
    assert config.listen == ("127.0.0.1", 0) and config.seed == 0x8C1F and config.classes[1] == "reservation"
    assert config.settings.classes[0].latency_objective_us == 430_000 and config.streams == 32
    for change, place in (
        ({"dns": "nowhere"}, "dns"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "limits.sockets"),
        ({"settings": {**CONFIG["settings"], "Profiles": None}}, "Profiles"),
        ({"known": None}, "known"),
    ):
        with pytest.raises(ConfigError, match=place):
            parse(json.dumps({**CONFIG, **change}).encode())
