"""Parsers of the node: split, malformed and oversized input, discovery responses, configuration."""

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
from walnutpost.testsupport.node.harness import CONFIG, encode_config

CLASSES = {"valuation": 1_060_000}
REQUEST_FIELDS = {
    "rid": "9b1f03aa5c7e2d41",
    "budget": "1000",
    "obj": "7f3a9c21e0b4d655",
    "attrs": "memory_mb:512;lanes:2",
}
REQUEST_BODY = b"\x00\xffany"


def encode_request(
    message_id: Any = 7, body: Any = REQUEST_BODY, method: Any = "valuation", **fields: Any
) -> bytes:
    present = {key: value for key, value in {**REQUEST_FIELDS, **fields}.items() if value is not None}
    packed: bytes = msgpack.packb([0, message_id, method, [present, body]])
    return packed


def parse_messages(data: bytes) -> tuple[list[rpc.Incoming], rpc.UnreadableMessageError | None]:
    return rpc.MessageParser(CLASSES).feed(data)


PARSED_REQUEST = rpc.CallRequest(
    7,
    REQUEST_FIELDS["rid"],
    "valuation",
    REQUEST_FIELDS["obj"],
    1_000_000,
    False,
    512.0,
    2.0,
    0,
    REQUEST_BODY,
)


@given(st.lists(st.integers(1, 40), max_size=40))
def test_requests_split_at_any_point_parse_the_same(chunk_sizes: list[int]) -> None:
    data = encode_request() + msgpack.packb([2, "interrupt", [7]]) + msgpack.packb([0, 8, "check", [{}]])
    parser, parsed = rpc.MessageParser(CLASSES), list[rpc.Incoming]()
    for size in [*chunk_sizes, len(data)]:
        messages, error = parser.feed(data[:size])
        parsed += messages
        data = data[size:]
        assert error is None
    assert parsed == [PARSED_REQUEST, rpc.Interrupt((7,)), rpc.CheckRequest(8)]
    assert not parser.has_partial


@pytest.mark.parametrize(
    ("named_field", "fields"),
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
def test_invalid_request_is_reported_with_its_message_id(named_field: str, fields: dict[str, Any]) -> None:
    messages, error = parse_messages(encode_request(**fields) + encode_request(8))
    assert error is None
    assert isinstance(messages[0], rpc.InvalidRequest)
    assert messages[0].message_id == 7
    assert named_field in messages[0].reason
    assert isinstance(messages[1], rpc.CallRequest)


def test_body_at_the_size_limit_is_accepted_and_a_longer_one_rejected() -> None:
    assert isinstance(parse_messages(encode_request(body=b"x" * rpc.MAX_BODY_BYTES))[0][0], rpc.CallRequest)
    assert isinstance(
        parse_messages(encode_request(body=b"x" * (rpc.MAX_BODY_BYTES + 1)))[0][0], rpc.InvalidRequest
    )


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1",
        b"\xdd\xff\xff\xff\xff",  # an array of 2**32 - 1 elements (four billion)
        b"\x94\x00\x07\xc6\xee\xee\xee\xee" + b"y" * rpc.MAX_MESSAGE_BYTES,  # a byte string of 4 GB
        b"\xdb\x03\x93\x87\x00" + b"y" * rpc.MAX_MESSAGE_BYTES,  # a string of 60 MB
        b"\x91" * 2000,
        msgpack.packb([1, 7, None, None]),
        msgpack.packb([0, -1, "valuation", [REQUEST_FIELDS, REQUEST_BODY]]),
        msgpack.packb([2, "interrupt", ["7"]]),
        msgpack.packb({"a": 1}),
        b"GET / HTTP/1.1\r\n\r\n",
    ],
)
def test_unreadable_bytes_are_reported_after_the_preceding_messages(data: bytes) -> None:
    messages, error = parse_messages(encode_request() + data)
    assert messages == [PARSED_REQUEST]
    assert error is not None


def test_endless_message_is_rejected_at_the_buffer_limit() -> None:
    parser, error = rpc.MessageParser(CLASSES), None
    chunk = msgpack.packb("x" * 1000) * 8
    first_error = parser.feed(b"\xdc\x0f\xff" + chunk)[1]
    for _ in range(10):
        error = error or parser.feed(chunk)[1]
    assert first_error is None
    assert error is not None


# Responses of workers

RESPONSE_FIELDS = b"detail=rode,company=3,use=util:0.61;x0:0.25,a="
ENCODED_RESPONSE = resp.encode_command(b"r1", b"OK", RESPONSE_FIELDS, b"\r\n\x00z")
PARSED_RESPONSE = resp.Response(
    b"r1", Outcome.OK, False, b"\r\n\x00z", Warmth.JOINED_LOAD, 3, None, (0.61, 0.25)
)


def parse_responses(data: bytes) -> tuple[list[resp.Response], resp.MalformedResponseError | None]:
    return resp.ResponseParser(("utilization", "x0")).feed(data)


@given(st.lists(st.integers(1, 30), max_size=20))
def test_responses_split_at_any_point_parse_the_same(chunk_sizes: list[int]) -> None:
    data, parser, parsed = (
        ENCODED_RESPONSE + resp.encode_command(b"t1", b"BUSY", b"slots_up=2", b""),
        resp.ResponseParser(("utilization", "x0")),
        [],
    )
    for size in [*chunk_sizes, len(data)]:
        complete, error = parser.feed(data[:size])
        parsed += complete
        data = data[size:]
        assert error is None
    assert parsed == [PARSED_RESPONSE, resp.Response(b"t1", Outcome.FULL, False, b"", copies=2)]


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
def test_malformed_response_is_reported_after_the_preceding_responses(malformed: bytes) -> None:
    responses, error = parse_responses(ENCODED_RESPONSE + malformed)
    assert responses == [PARSED_RESPONSE]
    assert error is not None


def test_call_is_encoded_with_its_id_class_function_and_body() -> None:
    sent = resp.encode_call(b"9b1f", "valuation", "7f3a", 1_500_999, REQUEST_BODY)
    assert sent == resp.encode_command(b"FN", b"9b1f", b"queue=valuation,path=7f3a,budget=1500", REQUEST_BODY)


# Discovery responses

TOPOLOGY_NAMES = TopologyNames(("east",), ("std",), False)
TOPOLOGY_TARGET = {
    "uid": "s-1",
    "endpoint": "10.1.0.9:10080",
    "az": "east",
    "model": "std",
    "pod_group": 2,
    "state": "Ready",
}


def make_directory() -> Directory:
    directory = Directory(TOPOLOGY_NAMES, lambda: 0)
    full_event = {
        "all": True,
        "rev": 0,
        "targets": [TOPOLOGY_TARGET, {**TOPOLOGY_TARGET, "uid": "s-2", "endpoint": "10.1.0.8:1"}],
    }
    partial_event = {
        "all": False,
        "rev": 1,
        "targets": [{**TOPOLOGY_TARGET, "uid": "s-2", "state": "Gone", "boot_ms": 0}],
    }
    directory.apply_known_events(
        {
            "offset": 2,
            "batch": [{"offset": 1, "topology": full_event}, {"offset": 2, "topology": partial_event}],
        }
    )
    return directory


def encode_discovery_response(
    query_id: int,
    serial: int,
    flags: int = dns.flags.QR,
    priority: int = 1,
    host: str = "s-1.east.hosts.",
    queried_service: str = SERVICE,
) -> bytes:
    message = dns.message.make_query(queried_service, "SRV", id=query_id)
    message.flags = flags
    for section, name, kind, text in (
        (message.answer, SERVICE, "SRV", f"{priority} 40 10080 {host}"),
        (message.additional, "s-1.east.hosts.", "A", "10.1.0.9"),
        (message.additional, "s-1.east.hosts.", "TXT", '"kind=std" "cell=2" "started=5"'),
        (message.authority, "svc.local.", "SOA", f"a. b. {serial} 1 1 1 1"),
    ):
        section.append(dns.rrset.from_text(name, 0, "IN", kind, text))
    return message.to_wire()


def test_known_events_accumulate_and_a_discovery_response_replaces_them() -> None:
    directory = make_directory()
    (worker,) = directory.snapshot(ListKind.CACHED).workers
    assert worker.name == "s-1"
    assert worker.cell == 2
    assert worker.state is WorkerState.READY
    directory.new_query(9)
    snapshot = directory.apply_response(encode_discovery_response(9, 3))
    assert snapshot is not None
    assert snapshot.version == 3
    assert snapshot.kind is ListKind.FULL
    assert snapshot.workers[0].state is WorkerState.DRAINING
    assert snapshot.workers[0].started_at_us == 5_000
    assert directory.addresses == {"s-1": ("10.1.0.9", 10080)}
    directory.new_query(10)
    assert directory.apply_response(encode_discovery_response(10, 3)) is None


@pytest.mark.parametrize(
    "data",
    [
        encode_discovery_response(8, 3),  # another query's id
        encode_discovery_response(9, 1),  # an older serial
        encode_discovery_response(9, 3, dns.flags.QR | dns.flags.TC),
        encode_discovery_response(9, 3, dns.flags.QR | 2),  # SERVFAIL
        encode_discovery_response(9, 3)[:40],
        encode_discovery_response(9, 3, host="s-7.east.hosts."),  # a host without an address
        encode_discovery_response(9, 3, queried_service="_other._tcp.svc.local."),
        b"",
    ],
)
def test_rejected_response_keeps_the_endpoints_and_the_open_query(data: bytes) -> None:
    directory = make_directory()
    directory.new_query(9)
    with pytest.raises(EndpointListError):
        directory.apply_response(data)
    assert directory.serial == 2
    assert list(directory.addresses) == ["s-1"]
    assert directory.apply_response(encode_discovery_response(9, 3)) is not None


# Configuration


def test_configuration_is_parsed_and_an_error_names_the_faulty_key() -> None:
    config = parse_config(encode_config())
    assert config.listen == ("127.0.0.1", 0)
    assert config.seed == 0x8C1F
    assert config.classes[1] == "reservation"
    assert config.settings.classes[0].latency_objective_us == 430_000
    assert config.max_streams == 32
    for change, faulty_key in (
        ({"dns": "nowhere"}, "dns"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {}}, "limits.sockets"),
        ({"settings": {**CONFIG["settings"], "Profiles": None}}, "Profiles"),
        ({"known": None}, "known"),
    ):
        with pytest.raises(ConfigError, match=faulty_key):
            parse_config(json.dumps({**CONFIG, **change}).encode())
