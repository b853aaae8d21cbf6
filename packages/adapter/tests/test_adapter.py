"""The simulator's protocol, tested with hand-built records, and the host that runs the routers."""

from __future__ import annotations

import io
import json
import struct
from typing import Any

import pytest

from walnutpost import interface as api
from walnutpost import policy
from walnutpost.adapter import decoding, encoding, frames, host, settings
from walnutpost.adapter.errors import AdapterError, ProtocolError, SettingsError

SETTINGS: dict[str, Any] = {
    "Profiles": [
        {"Aim": 1000000, "HardLimit": 2500000, "Idempotency": "free", "Importance": 1.0, "Unheard": 3},
        {
            "Aim": 1000000,
            "HardLimit": 2500000,
            "Idempotency": "guarded",
            "Importance": 2.0,
            "DedupScope": "zone",
        },
    ],
    "PolicyLimits": {"MaxAttempts": 5, "ParallelTries": True},
    "Extra": {"MayLoad": True, "WhenAbsent": "miss", "KeepAlive": 8000000, "FreeLoads": 6.0},
    "Reporting": {"Fields": ["utilization", "x0", "novelty"], "How": "answers"},
    "Quantum": 4000,
    "SomethingNew": [1, 2],
}


def record(code: int, layout: str, *values: Any) -> bytes:
    fields = struct.pack("<" + layout, *values)
    return struct.pack("<BI", code, len(fields)) + fields


def batch(*records: bytes, clock: int = 6_052_954, number: int = 12, count: int | None = None) -> bytes:
    body = b"".join(records)
    record_count = len(records) if count is None else count
    return struct.pack("<IIQI", record_count, 12 + len(body), clock, number) + body


def instance_started(instance: int = 3, settings_object: Any = None) -> bytes:
    text = json.dumps(SETTINGS if settings_object is None else settings_object).encode()
    return record(11, f"IQI{len(text)}s", instance, 99, len(text), text)


def worker_table(table_number: int, *workers: int) -> bytes:
    rows = b"".join(struct.pack("<IHHHBfQ", w, 1, 2, 3, 2, 1.5, 4) for w in workers)
    return record(3, f"BI{len(rows)}s", table_number, len(workers), rows)


def workers_listed(table_number: int, kind: int = 1, instance: int = 3) -> bytes:
    return record(8, "IBQB", instance, kind, 41, table_number)


def request_arrived(request_id: int = 77, flags: int = 1, instance: int = 3) -> bytes:
    return record(
        4, "IQBHQIIfffB", instance, request_id, 0, 0, 9, 2_500_000, 12_000, 384.0, 2.0, 700.5, flags
    )


def decode(*records: bytes) -> list[frames.InputEvent]:
    data = batch(*records)
    header = decoding.decode_header(data[:20])
    return [event for _, event in decoding.Decoder().decode_records(header, data[20:])]


def serve(*batches: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    code = host.serve(io.BytesIO(b"".join(batches)), sink)
    return code, sink.getvalue()


def parse_replies(data: bytes) -> list[tuple[int, list[tuple[int, bytes]]]]:
    replies = []
    while data:
        length, number = struct.unpack_from("<II", data)
        body, data = data[8 : 4 + length], data[4 + length :]
        records = []
        while body:
            code, size = struct.unpack_from("<BI", body)
            records.append((code, body[5 : 5 + size]))
            body = body[5 + size :]
        replies.append((number, records))
    return replies


def test_an_empty_batch_gets_an_empty_reply() -> None:
    incoming = bytes.fromhex("000000000c0000005a5c80000000000001000000")
    assert serve(incoming) == (0, bytes.fromhex("0400000001000000"))


def test_each_field_of_a_request_is_decoded() -> None:
    (event,) = decode(request_arrived())
    assert event == api.RequestArrived(77, 0, 0, 9, 2_500_000, 12_000, 384.0, 2.0, 700_500, False)
    (event,) = decode(request_arrived(flags=2))
    assert isinstance(event, api.RequestArrived)
    assert event.cost_hint_us is None
    assert event.is_repeat


@pytest.mark.parametrize(("outcome_code", "outcome"), list(frames.OUTCOMES.items()))
def test_an_ended_attempt_is_decoded_with_each_outcome(outcome_code: int, outcome: api.Outcome) -> None:
    note = 2 + 8 * 5
    (event,) = decode(record(5, "IQHIHIBBBff", 3, 77, 1, 8, outcome_code, 900, 1, note, 2, 0.25, 0.5))
    assert event == api.AttemptEnded(77, 1, 8, outcome, 900, True, api.Warmth.STARTED_LOAD, 5, (0.25, 0.5))


def test_other_kinds_of_events_are_decoded() -> None:
    assert decode(
        record(1, "IQHII", 3, 77, 0, 8, 500),
        record(2, "II", 3, 4),
        record(6, "IIHIBf", 3, 8, 200, 700, 1, 0.5),
        record(7, "IIH3s", 3, 2, 3, b"hi!"),
        record(9, "I", 3),
        record(10, "IIQHIB", 3, 8, 9, 503, 640, 2),
        record(12, "IQ", 3, 77),
    ) == [
        api.AnswerStarted(77, 0, 8, 500),
        api.TimerDue(4),
        api.ProbeEnded(8, api.Outcome.OK, 700, (0.5,)),
        api.PeerMessage(2, b"hi!"),
        frames.InstanceStopped(),
        api.LoadOrderEnded(8, 9, api.Outcome.FULL, 640, 2),
        api.RequestCancelled(77),
    ]


def test_an_endpoint_update_uses_the_latest_worker_table_with_its_number() -> None:
    first, second, failed = decode(
        worker_table(0, 5),
        workers_listed(0),
        worker_table(0, 6, 7),
        workers_listed(0, 3),
        workers_listed(9, 0),
    )
    assert isinstance(first, api.WorkersListed)
    assert isinstance(second, api.WorkersListed)
    assert [w.id for w in first.workers] == [5]
    assert first.kind is api.ListKind.CACHED
    assert [w.id for w in second.workers] == [6, 7]
    assert second.kind is api.ListKind.FULL
    assert first.workers[0] == api.Worker(5, 1, 2, 3, api.WorkerState.READY, 1.5, 4)
    assert failed == api.WorkersListed(api.ListKind.FAILED, 41, ())


@pytest.mark.parametrize(
    ("action", "code", "layout", "values"),
    [
        (api.Send(77, 8, 500), 1, "IQII", (3, 77, 8, 500)),
        (api.Reject(77, 250), 2, "IQI", (3, 77, 250)),
        (api.Fail(77), 3, "IQ", (3, 77)),
        (api.Cancel(77, 2), 4, "IQH", (3, 77, 2)),
        (api.SetTimer(900, 1), 5, "III", (3, 900, 1)),
        (api.Probe(8), 6, "II", (3, 8)),
        (api.CloseIdleConnections(8), 7, "II", (3, 8)),
        (api.Log("why"), 9, "IH3s", (3, 3, b"why")),
        (api.WatchEndpoints(True), 11, "IB", (3, 1)),
        (api.FetchEndpoints(), 12, "I", (3,)),
        (api.LoadOrder(8, 9, 2), 13, "IIQB", (3, 8, 9, 2)),
        (api.Unload(8, 9), 14, "IIQ", (3, 8, 9)),
    ],
)
def test_each_action_is_encoded_as_its_record(
    action: api.Action, code: int, layout: str, values: tuple[Any, ...]
) -> None:
    assert encoding.encode_action(3, action) == record(code, layout, *values)


@pytest.mark.parametrize(
    "data",
    [
        batch(request_arrived())[:-1],
        batch(request_arrived())[:10],
        batch(count=1),
        batch(request_arrived(), count=0),
        batch(struct.pack("<BI", 4, 900) + b"xx"),
        batch(record(4, "IQ", 3, 77)),
        batch(record(77, "I", 3)),
        batch(record(5, "IQHIHIBBB", 3, 77, 1, 8, 418, 900, 1, 0, 0)),
        batch(record(5, "IQHIHIBBBf", 3, 77, 1, 8, 200, 900, 1, 0, 2, 0.5)),
        batch(record(3, "BI", 0, 2)),
        batch(workers_listed(4)),
        batch(record(7, "IIH", 3, 2, 3)),
        batch(request_arrived(instance=8)),
        struct.pack("<IIQI", 0, 3, 1, 1),
    ],
)
def test_malformed_input_ends_serve_with_one_error_line_and_exit_code_1(
    data: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    code, _ = serve(batch(instance_started(), number=1), data)
    stderr = capsys.readouterr().err
    assert code == 1
    assert stderr.startswith("walnutpost adapter: ")
    assert stderr.count("\n") == 1


def test_the_error_names_an_unknown_instance_or_record_code(capsys: pytest.CaptureFixture[str]) -> None:
    serve(batch(request_arrived(instance=8)))
    assert "instance 8" in capsys.readouterr().err
    serve(batch(instance_started(), record(77, "I", 3)))
    assert "batch 12, record 1, code 77" in capsys.readouterr().err


@pytest.mark.parametrize("key", ["Profiles", "PolicyLimits"])
def test_the_fault_names_a_missing_setting(key: str) -> None:
    settings_object = {k: v for k, v in SETTINGS.items() if k != key}
    code, output = serve(
        batch(instance_started(settings_object=settings_object), request_arrived()), batch(request_arrived())
    )
    ((_, records), (_, later_records)) = parse_replies(output)
    assert code == 0
    assert not later_records
    assert [r[0] for r in records] == [10]
    assert f"setting {key} is missing".encode() in records[0][1]


def test_the_error_names_the_full_key_of_a_missing_nested_setting() -> None:
    settings_object = json.loads(json.dumps(SETTINGS))
    del settings_object["Profiles"][1]["HardLimit"]
    with pytest.raises(SettingsError, match=r"Profiles\[1\]\.HardLimit is missing"):
        settings.parse_settings(json.dumps(settings_object).encode())


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    parsed = settings.parse_settings(json.dumps(SETTINGS).encode())
    assert parsed.classes[1].effect is api.Effect.KEYED
    assert parsed.classes[1].dedup_scope is api.DedupScope.ZONE
    assert parsed.keep_alive_us == 8_000_000
    assert parsed.may_order_loads
    assert not parsed.loads_on_miss
    assert parsed.report_fields == ("busy", "memory_tied", "novelty")
    assert parsed.guards.load_order_window_us == 0
    assert parsed.tenants == ()


def test_an_exception_in_a_router_becomes_a_fault_with_its_source_line(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def raise_error(*_: object) -> list[api.Action]:
        raise ValueError("invalid state")

    monkeypatch.setattr(policy.Router, "handle", raise_error)
    _, output = serve(batch(instance_started(), request_arrived()))
    ((_, records),) = parse_replies(output)
    assert records[0][0] == 10
    assert b"ValueError: invalid state at test_adapter.py" in records[0][1]
    assert "Traceback" in capsys.readouterr().err


def test_an_instance_restarted_within_a_batch_starts_without_state() -> None:
    instance_stopped = record(9, "I", 3)
    code, output = serve(
        batch(instance_started(), worker_table(0, 5, 6), workers_listed(0), request_arrived(1), number=1),
        batch(
            instance_stopped,
            instance_started(),
            worker_table(0, 5, 6),
            workers_listed(0),
            request_arrived(2),
            number=2,
        ),
        batch(record(12, "IQ", 3, 1), number=3),
    )
    batch_replies = parse_replies(output)
    assert code == 0
    assert [n for n, _ in batch_replies] == [1, 2, 3]
    assert [r[0] for r in batch_replies[1][1]].count(13) == 1
    assert not batch_replies[2][1]


def test_instances_in_one_process_do_not_influence_each_other() -> None:
    one_instance = batch(instance_started(), worker_table(0, 5, 6), workers_listed(0), request_arrived(1))
    second_instance_records = [workers_listed(0, instance=4), request_arrived(9, instance=4)]
    two_instances = batch(
        instance_started(),
        instance_started(4),
        worker_table(0, 5, 6),
        workers_listed(0),
        *second_instance_records,
        request_arrived(1),
    )
    records_alone = [r for r in parse_replies(serve(one_instance)[1])[0][1] if r[1][:4] == b"\x03\0\0\0"]
    records_together = [r for r in parse_replies(serve(two_instances)[1])[0][1] if r[1][:4] == b"\x03\0\0\0"]
    assert records_alone
    assert records_alone == records_together


def test_errors_share_a_base_class_and_have_their_place_or_key_as_attribute() -> None:
    with pytest.raises(ProtocolError) as raised:
        decode(record(77, "I", 3))
    assert (raised.value.place, raised.value.problem) == (
        "batch 12, record 0, code 77",
        "unknown record code",
    )
    assert str(raised.value) == "batch 12, record 0, code 77: unknown record code"
    with pytest.raises(SettingsError) as missing:
        settings.parse_settings(b"{}")
    assert missing.value.key == "Profiles"
    assert isinstance(raised.value, AdapterError)
    assert isinstance(missing.value, AdapterError)
