"""The wires of a node: frames to and from workers and clients, and the lists of the name server.

Run as a program, it writes the files again, which is right only for a wire that is meant to change.
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
FUNCTION, RID = "7f3a9c21e0b4d655", "00000000000000ab"


def optional(value: Any) -> Any:
    return "absent" if value is None else value


def worker_answers(data: bytes) -> tuple[Any, ...]:
    answers, error = resp.ResponseParser(REPORT_FIELDS).feed(data)
    values = [
        (a.id, a.outcome, a.is_probe, a.body, a.warmth, a.crowd, optional(a.copies), a.report)
        for a in answers
    ]
    return (*values, "malformed") if error else tuple(values)


def one_message(message: rpc.Incoming) -> tuple[Any, ...]:
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
                optional(message.tenant),
                optional(message.cost_us),
                message.idempotency_key,
            )
        case rpc.CheckRequest(number):
            return "check", number
        case rpc.Interrupt(numbers):
            return "interrupt", numbers
        case rpc.InvalidRequest(number):
            return "bad", number


def client_messages(data: bytes, tenants: tuple[str, ...] = TENANTS) -> tuple[Any, ...]:
    messages, error = rpc.MessageParser(CLASSES, tenants).feed(data)
    values = [one_message(message) for message in messages]
    return (*values, "unreadable") if error else tuple(values)


def directory(weighted: bool) -> Directory:
    return Directory(TopologyNames(("east", "west"), ("std", "large"), weighted))


def query(number: int) -> bytes:
    return directory(True).query(number)


def list_answer(weighted: bool, data: bytes) -> Any:
    """What a directory makes of an answer to a question it asked."""
    asking = directory(weighted)
    asking.query(int.from_bytes(data[:2], "big"))
    try:
        return optional(asking.apply_response(data))
    except EndpointListError:
        return "bad"


def known(data: bytes) -> Any:
    learning = directory(True)
    try:
        listed = learning.apply_known_events(json.loads(data))
    except EndpointListError:
        return "bad"
    return listed, tuple((name, *address) for name, address in sorted(learning.addresses.items()))


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
    "query": query,
}
RECEIVERS: dict[str, Receiver] = {
    "worker": worker_answers,
    "client": client_messages,
    "client without tenants": lambda data: client_messages(data, ()),
    "list": lambda data: list_answer(True, data),
    "list unweighted": lambda data: list_answer(False, data),
    "known": known,
}


def answer(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def call(number: int, word: str = "valuation", body: bytes = b"body", **fields: str) -> bytes:
    request_fields = {"rid": RID, "budget": "900.5", "obj": FUNCTION, **fields}
    return msgpack.packb([0, number, word, [request_fields, body]])  # type: ignore[no-any-return]


def listing(serial: int = 7, flags: str = "", **changes: str) -> bytes:
    asked = dns.message.from_wire(query(0x1234))
    message = dns.message.make_response(asked)
    rows = [("authority", "svc.local.", "SOA", f"a. b. {serial} 1 1 1 1")]
    for place, zone in enumerate(("east", "west", "nowhere")):
        name = f"s-{place}.{zone}.hosts."
        rows.append(
            ("answer", "_api._tcp.svc.local.", "SRV", f"{place % 2} {5 * place} {7000 + place} {name}")
        )
        rows.append(("additional", name, "A", f"127.0.0.{place + 1}"))
        texts = {
            "kind": "large" if place else "std",
            "cell": str(place),
            "started": str(120 * place),
            **changes,
        }
        text = " ".join(f'"{key}={value}"' for key, value in texts.items())
        rows.append(("additional", name, "TXT", text))
    for section, name, kind, text in rows:
        getattr(message, section).append(dns.rrset.from_text(name, 0, "IN", kind, text))
    if flags:
        message.flags |= dns.flags.from_text(flags)
    return message.to_wire()


def events(*targets: dict[str, Any], all: bool = True) -> dict[str, Any]:
    return {"offset": 3, "topology": {"all": all, "rev": 0, "targets": list(targets)}}


def target(uid: str, **more: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": "127.0.0.1:7000",
        "az": "west",
        "model": "large",
        "state": "Ready",
        **more,
    }


def make() -> None:
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
    full = b"detail=resident,company=3,slots_up=2,use=inflight:4;x0:0.5;qps:9.25"
    words = [answer(b"a1", word, b"-", b"body") for word in (*resp.OUTCOMES, *resp.PROBE_OUTCOMES)]
    details = [*resp.WARMTH_BY_DETAIL, "other"]
    notes = [answer(b"a1", b"OK", b"detail=" + detail.encode(), b"") for detail in details]
    malformed = [
        answer(b"a1", b"WHAT", b"-", b""),
        answer(b"a1", b"OK", b"-"),
        answer(b"a1", b"OK", b"company=x", b""),
        b"*4\r\n$2\r\na1xx",
        b"+OK\r\n",
        b"*" + b"4" * 40,
    ]
    long_names = answer(b"a1", b"ERR", b"use=outstanding:1;x0:2", b"b")
    lacking = answer(b"a1", b"BUSY", b"use=inflight:1", b"b")
    received = [
        ("worker", b"".join(words)),
        ("worker", b"".join(notes)),
        ("worker", answer(b"a", b"OK", full, b"\0")),
    ]
    received += [("worker", long_names + lacking), ("worker", words[0] + words[1][:-4])]
    received += [("worker", words[0] + one) for one in malformed]
    attrs = "memory_mb:300.5;lanes:2;load_ms:700.25"
    fields = {"attrs": attrs, "acct": "south", "token": "key-1:2.3", "est": "12.5", "again": "1"}
    calls = (
        call(1)
        + call(2, "valuation", b"body", **fields)
        + call(3, word="run", method="reservation")
        + call(4, body=b"")
    )
    checks = msgpack.packb([0, 9, "check", [{}]]) + msgpack.packb([2, "interrupt", [1, 2]])
    checks += msgpack.packb([2, "interrupt", [[3, 4]]])
    bad = [
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
    received += [("client", calls + checks), ("client without tenants", calls)]
    received += [("client", b"".join(call(7, "valuation", b"body", **one) for one in bad))]
    received += [
        ("client", msgpack.packb([0, 8, "valuation", one])) for one in ([], [{}, "text"], [{"rid": 1}, b""])
    ]
    broken: list[Any] = [
        {},
        [],
        [1, 2, None, None],
        [0, -1, "check", []],
        [0, 1 << 33, "x", []],
        [2, "stop", []],
    ]
    received += [("client", checks + msgpack.packb(one)) for one in broken]
    received += [("client", checks + b"\xc1"), ("client", calls[:-3])]
    for name in ("list", "list unweighted"):
        received += [(name, listing())]
    received += [("list", listing(serial=(1 << 32) - 1, cell="", started=""))]
    received += [("list", listing(cell="x")), ("list", listing(flags="TC")), ("list", query(5))]
    batch = [
        events(target("s-0"), target("s-1", az="none", model="none", state="Terminating")),
        events(target("s-0", state="Gone"), all=False),
        events(target("s-2", capacity_hint=2.5, pod_group=4, boot_ms=1234), all=False),
    ]
    received += [
        ("known", json.dumps({"offset": place, "batch": batch[:place]}).encode()) for place in range(4)
    ]
    wrong = {"offset": 1, "batch": [events(target("s", state="Odd"))]}
    received += [("known", json.dumps(wrong).encode())]
    write_rows(RECEIVED, [received_row(name, RECEIVERS, data) for name, data in received])


def test_frames_are_written_as_recorded() -> None:
    assert differences_sent(SENT, SENDERS) == []


def test_frames_are_read_as_recorded() -> None:
    assert differences_received(RECEIVED, RECEIVERS) == []


@pytest.mark.parametrize("size", [1, 7])
def test_frames_in_parts_are_read_as_whole_ones(size: int) -> None:
    """The readers' state between reads changes nothing of what is read."""
    reader, data = resp.ResponseParser(REPORT_FIELDS), answer(b"a1", b"OK", b"slots_up=1", b"b\r\n") * 3
    parts = [reader.feed(data[at : at + size]) for at in range(0, len(data), size)]
    assert [a for answers, _ in parts for a in answers] == resp.ResponseParser(REPORT_FIELDS).feed(data)[0]


def test_list_received_again_changes_nothing() -> None:
    asking = directory(True)
    asking.query(0x1234)
    first = asking.apply_response(listing())
    asking.query(0x1234)
    assert first is not None
    assert first.kind is ListKind.FULL
    assert asking.apply_response(listing()) is None


if __name__ == "__main__":
    make()
