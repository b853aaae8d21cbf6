"""Golden tests of the node's wire formats: frames of workers and clients, and discovery responses.

Run this module as a script to regenerate the golden files; do so only for an intended format change.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import dns.message
import dns.rrset
import msgpack
import pytest

from walnutpost.interface import ListKind
from walnutpost.node import resp, rpc
from walnutpost.node.directory import Directory, EndpointListError, TopologyNames
from walnutpost.testsupport.golden.frames import (
    Receiver,
    Sender,
    differences_received,
    differences_sent,
    received_row,
    sent_row,
    write_rows,
)

GOLDEN = Path(__file__).parent / "golden"
SENT, RECEIVED = GOLDEN / "sent.jsonl", GOLDEN / "received.jsonl"
REPORT_FIELDS = ("outstanding", "x0")
CLASSES = {"valuation": 1_060_000, "reservation": 2_000_000}
TENANTS = ("north", "south")
FUNCTION, REQUEST_ID = "7f3a9c21e0b4d655", "00000000000000ab"


def or_absent(value: Any) -> Any:
    return "absent" if value is None else value


def parse_worker_responses(data: bytes) -> tuple[Any, ...]:
    responses, error = resp.ResponseParser(REPORT_FIELDS).feed(data)
    values = [
        (
            response.id,
            response.outcome,
            response.is_probe,
            response.body,
            response.warmth,
            response.crowd,
            or_absent(response.copies),
            response.report,
        )
        for response in responses
    ]
    return (*values, "malformed") if error else tuple(values)


def describe_message(message: rpc.Incoming) -> tuple[Any, ...]:
    match message:
        case rpc.CallRequest():
            return (
                "call",
                message.message_id,
                message.request_id,
                message.request_class,
                message.function,
                message.budget_us,
                message.is_retry,
                message.memory_mb,
                message.concurrency,
                message.load_time_us,
                message.body,
                or_absent(message.tenant),
                or_absent(message.cost_us),
                message.idempotency_key,
            )
        case rpc.CheckRequest(message_id):
            return "check", message_id
        case rpc.Interrupt(message_ids):
            return "interrupt", message_ids
        case rpc.InvalidRequest(message_id):
            return "bad", message_id


def parse_client_messages(data: bytes, tenants: tuple[str, ...] = TENANTS) -> tuple[Any, ...]:
    messages, error = rpc.MessageParser(CLASSES, tenants).feed(data)
    values = [describe_message(message) for message in messages]
    return (*values, "unreadable") if error else tuple(values)


def make_directory(weighted: bool) -> Directory:
    return Directory(TopologyNames(("east", "west"), ("std", "large"), weighted), lambda: 0)


def encode_query(query_id: int) -> bytes:
    return make_directory(True).new_query(query_id)


def apply_discovery_response(weighted: bool, data: bytes) -> Any:
    """Return what a directory reads from the response to its query."""
    directory = make_directory(weighted)
    directory.new_query(int.from_bytes(data[:2], "big"))
    try:
        return or_absent(directory.apply_response(data))
    except EndpointListError:
        return "bad"


def apply_known_events(data: bytes) -> Any:
    directory = make_directory(True)
    try:
        snapshot = directory.apply_known_events(json.loads(data))
    except EndpointListError:
        return "bad"
    return snapshot, tuple((name, *address) for name, address in sorted(directory.addresses.items()))


SENDERS: dict[str, Sender] = {
    "command": resp.encode_command,
    "call": resp.encode_call,
    "kill": resp.encode_kill,
    "spawn": resp.encode_spawn,
    "reap": resp.encode_reap,
    "probe": resp.encode_probe,
    "served": rpc.encode_result,
    "checked": rpc.encode_check_result,
    "refused": rpc.encode_overloaded,
    "failed": rpc.encode_internal_error,
    "query": encode_query,
}
RECEIVERS: dict[str, Receiver] = {
    "worker": parse_worker_responses,
    "client": parse_client_messages,
    "client without tenants": lambda data: parse_client_messages(data, ()),
    "list": lambda data: apply_discovery_response(True, data),
    "list unweighted": lambda data: apply_discovery_response(False, data),
    "known": apply_known_events,
}


def encode_response(*fields: bytes) -> bytes:
    return b"*%d\r\n" % len(fields) + b"".join(b"$%d\r\n%b\r\n" % (len(field), field) for field in fields)


def encode_request(
    message_id: int, rpc_method: str = "valuation", body: bytes = b"body", **fields: str
) -> bytes:
    request_fields = {"rid": REQUEST_ID, "budget": "900.5", "obj": FUNCTION, **fields}
    return msgpack.packb([0, message_id, rpc_method, [request_fields, body]])  # type: ignore[no-any-return]


def encode_discovery_response(serial: int = 7, flags: str = "", **changes: str) -> bytes:
    query = dns.message.from_wire(encode_query(0x1234))
    message = dns.message.make_response(query)
    rows = [("authority", "svc.local.", "SOA", f"a. b. {serial} 1 1 1 1")]
    for index, zone in enumerate(("east", "west", "nowhere")):
        name = f"s-{index}.{zone}.hosts."
        rows.append(
            ("answer", "_api._tcp.svc.local.", "SRV", f"{index % 2} {5 * index} {7000 + index} {name}")
        )
        rows.append(("additional", name, "A", f"127.0.0.{index + 1}"))
        attributes = {
            "kind": "large" if index else "std",
            "cell": str(index),
            "started": str(120 * index),
            **changes,
        }
        text = " ".join(f'"{key}={value}"' for key, value in attributes.items())
        rows.append(("additional", name, "TXT", text))
    for section, name, kind, text in rows:
        getattr(message, section).append(dns.rrset.from_text(name, 0, "IN", kind, text))
    if flags:
        message.flags |= dns.flags.from_text(flags)
    return message.to_wire()


def topology_event(*targets: dict[str, Any], all: bool = True) -> dict[str, Any]:
    return {"offset": 3, "topology": {"all": all, "rev": 0, "targets": list(targets)}}


def topology_target(uid: str, **changes: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:7000",
        "az": "west",
        "model": "large",
        "state": "Ready",
        **changes,
    }


def write_golden_files() -> None:
    sent: list[tuple[Any, ...]] = [
        ("command", b"TOP", b"", b"x" * 70),
        ("call", b"a1", "valuation", FUNCTION, 900_500, b"body\r\n$3"),
        ("call", b"a2", "reservation", FUNCTION, 10, b"", "key-1:2.3"),
        ("kill", b"a1"),
        ("spawn", b"o1", FUNCTION, 3),
        ("spawn", b"q1", FUNCTION, 0),
        ("reap", FUNCTION),
        ("probe", b"p1"),
        ("served", 1, b"body"),
        ("served", (1 << 32) - 1, b"x" * 300),
        ("checked", 2, True),
        ("checked", 2, False),
        ("refused", 3),
        ("refused", 3, 250_000),
        ("refused", 3, 1),
        ("failed", 4),
        ("failed", 4, "rid: this request is open already"),
        ("query", 0),
        ("query", 0xABCD),
    ]
    write_rows(SENT, [sent_row(name, SENDERS, *arguments) for name, *arguments in sent])
    all_fields = b"detail=resident,company=3,slots_up=2,use=inflight:4;x0:0.5;qps:9.25"
    outcome_responses = [
        encode_response(b"a1", outcome, b"-", b"body")
        for outcome in (*resp.OUTCOME_BY_STATUS, *resp.PROBE_OUTCOME_BY_STATUS)
    ]
    details = [*resp.WARMTH_BY_DETAIL, "other"]
    detail_responses = [
        encode_response(b"a1", b"OK", b"detail=" + detail.encode(), b"") for detail in details
    ]
    malformed_responses = [
        encode_response(b"a1", b"WHAT", b"-", b""),
        encode_response(b"a1", b"OK", b"-"),
        encode_response(b"a1", b"OK", b"company=x", b""),
        b"*4\r\n$2\r\na1xx",
        b"+OK\r\n",
        b"*" + b"4" * 40,
    ]
    full_report = encode_response(b"a1", b"ERR", b"use=outstanding:1;x0:2", b"b")
    partial_report = encode_response(b"a1", b"BUSY", b"use=inflight:1", b"b")
    received = [
        ("worker", b"".join(outcome_responses)),
        ("worker", b"".join(detail_responses)),
        ("worker", encode_response(b"a", b"OK", all_fields, b"\0")),
    ]
    received += [
        ("worker", full_report + partial_report),
        ("worker", outcome_responses[0] + outcome_responses[1][:-4]),
    ]
    received += [("worker", outcome_responses[0] + malformed) for malformed in malformed_responses]
    attrs = "memory_mb:300.5;lanes:2;load_ms:700.25"
    fields = {"attrs": attrs, "acct": "south", "token": "key-1:2.3", "est": "12.5", "again": "1"}
    requests = (
        encode_request(1)
        + encode_request(2, "valuation", b"body", **fields)
        + encode_request(3, rpc_method="run", method="reservation")
        + encode_request(4, body=b"")
    )
    checks_and_interrupts = msgpack.packb([0, 9, "check", [{}]]) + msgpack.packb([2, "interrupt", [1, 2]])
    checks_and_interrupts += msgpack.packb([2, "interrupt", [[3, 4]]])
    invalid_fields = [
        {"rid": "x"},
        {"obj": "x"},
        {"budget": "0"},
        {"budget": "99999"},
        {"again": "0"},
        {"acct": "east"},
        {"token": "a b"},
        {"est": "-1"},
        {"attrs": "lanes:0"},
        {"method": "none"},
    ]
    received += [("client", requests + checks_and_interrupts), ("client without tenants", requests)]
    received += [
        ("client", b"".join(encode_request(7, "valuation", b"body", **invalid) for invalid in invalid_fields))
    ]
    received += [
        ("client", msgpack.packb([0, 8, "valuation", params]))
        for params in ([], [{}, "text"], [{"rid": 1}, b""])
    ]
    malformed_messages: list[Any] = [
        {},
        [],
        [1, 2, None, None],
        [0, -1, "check", []],
        [0, 1 << 33, "x", []],
        [2, "stop", []],
    ]
    received += [("client", checks_and_interrupts + msgpack.packb(message)) for message in malformed_messages]
    received += [("client", checks_and_interrupts + b"\xc1"), ("client", requests[:-3])]
    for name in ("list", "list unweighted"):
        received += [(name, encode_discovery_response())]
    received += [("list", encode_discovery_response(serial=(1 << 32) - 1, cell="", started=""))]
    received += [
        ("list", encode_discovery_response(cell="x")),
        ("list", encode_discovery_response(flags="TC")),
        ("list", encode_query(5)),
    ]
    batch = [
        topology_event(
            topology_target("s-0"), topology_target("s-1", az="none", model="none", state="Terminating")
        ),
        topology_event(topology_target("s-0", state="Gone"), all=False),
        topology_event(topology_target("s-2", capacity_hint=2.5, pod_group=4, boot_ms=1234), all=False),
    ]
    received += [
        ("known", json.dumps({"offset": index, "batch": batch[:index]}).encode()) for index in range(4)
    ]
    unknown_state = {"offset": 1, "batch": [topology_event(topology_target("s", state="Odd"))]}
    received += [("known", json.dumps(unknown_state).encode())]
    write_rows(RECEIVED, [received_row(name, RECEIVERS, data) for name, data in received])


def test_encoded_frames_match_the_golden_file() -> None:
    assert differences_sent(SENT, SENDERS) == []


def test_decoded_frames_match_the_golden_file() -> None:
    assert differences_received(RECEIVED, RECEIVERS) == []


@pytest.mark.parametrize("size", [1, 7])
def test_split_frames_decode_like_whole_ones(size: int) -> None:
    """The state that the parser keeps between reads doesn't change the result."""
    parser, data = (
        resp.ResponseParser(REPORT_FIELDS),
        encode_response(b"a1", b"OK", b"slots_up=1", b"b\r\n") * 3,
    )
    results = [parser.feed(data[start : start + size]) for start in range(0, len(data), size)]
    assert [response for responses, _ in results for response in responses] == resp.ResponseParser(
        REPORT_FIELDS
    ).feed(data)[0]


def test_repeated_discovery_response_changes_nothing() -> None:
    directory = make_directory(True)
    directory.new_query(0x1234)
    first = directory.apply_response(encode_discovery_response())
    directory.new_query(0x1234)
    assert first is not None
    assert first.kind is ListKind.FULL
    assert directory.apply_response(encode_discovery_response()) is None


if __name__ == "__main__":
    write_golden_files()
