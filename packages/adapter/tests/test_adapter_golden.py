"""Golden files of the adapter: recorded batches decode to the same events, actions encode to the same bytes.

Run as a program, this file rewrites the golden files. Do so only after an intended change of the protocol.
"""

from __future__ import annotations

import io
import json
import struct
import typing
from pathlib import Path
from typing import Any

from walnutpost import interface as api
from walnutpost.adapter import decoding, encoding, frames, host, settings
from walnutpost.testsupport.golden.frames import (
    Sender,
    differences_received,
    differences_sent,
    read_rows,
    received_row,
    sent_row,
    write_rows,
)
from walnutpost.testsupport.golden.neutral_values import KINDS, to_neutral

GOLDEN_FOLDER = Path(__file__).parent / "golden"
SENT_FILE, RECEIVED_FILE, SETTINGS_FILE, HOST_FILE = (
    GOLDEN_FOLDER / f"{name}.jsonl" for name in ("sent", "received", "settings", "host")
)
SETTINGS: dict[str, Any] = {
    "Profiles": [
        {
            "Aim": 1000000,
            "HardLimit": 2500000,
            "Idempotency": "free",
            "Importance": 1.0,
            "LateWorth": 0.25,
            "AimStretch": 1.5,
            "Stream": True,
        },
        {
            "Aim": 900000,
            "HardLimit": 2000000,
            "Idempotency": "guarded",
            "Importance": 2.0,
            "DedupScope": "zone",
            "Window": 800000,
        },
        {
            "Aim": 800000,
            "HardLimit": 2000000,
            "Idempotency": "guarded",
            "Importance": 2.0,
            "DedupScope": "all",
        },
        {"Aim": 430000, "HardLimit": 1060000, "Idempotency": "single_shot", "Importance": 3.0},
    ],
    "Realms": [{"Name": "a", "Share": 0.75, "QuotaPerS": 40.0}, {"Name": "b", "Share": 0.25}],
    "PolicyLimits": {
        "Cancel": True,
        "MaxAttempts": 5,
        "MaxRetryAfter": 600000,
        "ParallelTries": True,
        "Probes": False,
        "RetryAfter": True,
    },
    "Extra": {
        "MayLoad": True,
        "WhenAbsent": "miss",
        "KeepAlive": 8000000,
        "OrderLimit": 4000000,
        "FreeLoads": 6.0,
        "LoadShare": 0.125,
        "LoadWindow": 7000000,
        "PriceOfIdle": 0.01,
        "WarmNotes": True,
        "NotesPeersInHand": True,
        "MemoryMbByKind": [512, 2048],
    },
    "Guarantees": {
        "AnswerSlack": 16000,
        "DrainGrace": 2000000,
        "Cold": 15000000,
        "StartCapacity": 0.2,
        "OverloadFactor": 4.0,
        "OverloadFor": 900000,
        "AskWithin": 1200000,
    },
    "Prices": {"CrossZone": 0.02, "Waste": 0.05, "Probe": 0.03, "Origin": 0.04, "LateFail": 0.06},
    "Reporting": {
        "Fields": ["utilization", "x0", "x1", "backlog", "outstanding", "novelty"],
        "How": "answers",
    },
    "MyZone": 1,
    "Siblings": 3,
    "SelfIndex": 2,
    "Quantum": 4000,
    "RegistryMode": "ask",
    "Weights": "told",
    "WorthBy": "work",
    "OverShareWorth": 0.1,
}


def decode_batch(data: bytes) -> list[tuple[int, Any]]:
    """Return each input with its instance; starts and stops, which a Router never receives, as tuples."""
    header_size = frames.BATCH_HEADER.size
    inputs: list[tuple[int, Any]] = []
    for instance, event in decoding.Decoder().decode_records(
        decoding.decode_header(data[:header_size]), data[header_size:]
    ):
        match event:
            case frames.InstanceStarted(seed, text):
                inputs.append((instance, ("started", seed, text)))
            case frames.InstanceStopped():
                inputs.append((instance, ("stopped",)))
            case _:
                inputs.append((instance, event))
    return inputs


def serve_input(data: bytes) -> tuple[int, bytes]:
    sink = io.BytesIO()
    return host.serve(io.BytesIO(data), sink), sink.getvalue()


SENDERS: dict[str, Sender] = {
    "action": encoding.encode_action,
    "fault": encoding.encode_fault,
    "reply": encoding.encode_reply,
}
RECEIVERS = {"batch": decode_batch}
SETTINGS_RECEIVERS = {"settings": settings.parse_settings}
HOST_RECEIVERS = {"serve": serve_input}


def record(code: int, layout: str, *values: Any) -> bytes:
    fields = struct.pack("<" + layout, *values)
    return struct.pack("<BI", code, len(fields)) + fields


def batch(*records: bytes, clock: int = 6_052_954, number: int = 12) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQI", len(records), 12 + len(body), clock, number) + body


def instance_started(instance: int, settings_object: Any) -> bytes:
    text = json.dumps(settings_object).encode()
    return record(11, f"IQI{len(text)}s", instance, 99, len(text), text)


def worker_table(table_number: int, *workers: int) -> bytes:
    rows = b"".join(struct.pack("<IHHHBfQ", w, w % 2, 1, 3, w % 3, 1.5, 4 * w) for w in workers)
    return record(3, f"BI{len(rows)}s", table_number, len(workers), rows)


def workers_listed(table_number: int, kind: int, instance: int = 3) -> bytes:
    return record(8, "IBQB", instance, kind, 41, table_number)


def request_arrived(request_id: int, flags: int, function: int = 9) -> bytes:
    return record(
        4,
        "IQBHQIIfffB",
        3,
        request_id,
        request_id % 3,
        request_id % 2,
        function,
        900_000,
        12_000,
        384.5,
        2.0,
        700.5,
        flags,
    )


def attempt_ended(request_id: int, worker: int, outcome_code: int, note: int, *report: float) -> bytes:
    return record(
        5,
        f"IQHIHIBBB{len(report)}f",
        3,
        request_id,
        0,
        worker,
        outcome_code,
        9000,
        outcome_code == 200,
        note,
        len(report),
        *report,
    )


def write_golden_files() -> None:
    actions: list[api.Action] = [
        api.Send(77, 8, 2_500_000, 16_000),
        api.Reject(1 << 40, 250_000),
        api.Fail(78),
        api.Cancel(79, 3),
        api.SetTimer(4_000, 1),
        api.Probe(8),
        api.CloseIdleConnections(9),
        api.Log("worker 8 set aside as silent, \N{GREEK SMALL LETTER MU} 3 requests out"),
        api.WatchEndpoints(True),
        api.WatchEndpoints(False),
        api.FetchEndpoints(),
        api.LoadOrder(8, 1 << 39, 2, 500),
        api.LoadOrder(8, 9, 0),
        api.Unload(8, 9),
    ]
    rows = [sent_row("action", SENDERS, 3, action) for action in actions]
    rows.append(sent_row("fault", SENDERS, 4, "KeyError: 'x' at router.py:1 in handle"))
    rows.append(
        ["reply", to_neutral((12, [b"ab", b"cde"])), encoding.encode_reply(12, [b"ab", b"cde"]).hex()]
    )
    write_rows(SENT_FILE, rows)
    batches = [
        batch(),
        batch(record(1, "IQHII", 3, 77, 2, 8, 500), record(2, "II", 3, 4), record(9, "I", 3)),
        batch(
            worker_table(0, 5, 6, 7),
            *(workers_listed(0, kind) for kind in range(4)),
            worker_table(1, 9),
            workers_listed(1, 2),
        ),
        batch(*(request_arrived(70 + flags, flags) for flags in range(4))),
        batch(
            *(attempt_ended(77, 8, outcome_code, 1 + 8 * 5, 0.25, 0.5) for outcome_code in frames.OUTCOMES)
        ),
        batch(*(attempt_ended(77, 8, 200, note) for note in range(5))),
        batch(record(6, "IIHIB2f", 3, 8, 200, 700, 2, 0.5, 0.125), record(6, "IIHIB", 3, 8, 504, 700, 0)),
        batch(record(7, "IIH3s", 3, 2, 3, b"hi!"), record(12, "IQ", 3, 1 << 40)),
        batch(
            *(record(10, "IIQHIB", 3, 8, 1 << 39, outcome_code, 640, 2) for outcome_code in frames.OUTCOMES)
        ),
        batch(instance_started(3, SETTINGS)),
    ]
    write_rows(RECEIVED_FILE, [received_row("batch", RECEIVERS, data) for data in batches])
    texts = [
        json.dumps(settings_object).encode()
        for settings_object in (
            SETTINGS,
            {"Profiles": SETTINGS["Profiles"], "PolicyLimits": {"MaxAttempts": 2}},
        )
    ]
    write_rows(SETTINGS_FILE, [received_row("settings", SETTINGS_RECEIVERS, text) for text in texts])
    host_input = batch(
        instance_started(3, SETTINGS),
        worker_table(0, 2, 5, 8, 11),
        workers_listed(0, 1),
        number=1,
        clock=1_000_000,
    )
    for step in range(40):
        records = [request_arrived(step, step % 4, 9 + step % 3), record(2, "II", 3, 1)]
        records += [
            attempt_ended(
                step, 2 + 3 * (step % 4), 200 if step % 5 else 404, step % 4, 0.25, 0.5, 1.0, 0.1, 4.0, 9.0
            )
        ]
        records += [record(10, "IIQHIB", 3, 2 + 3 * (step % 4), 9 + step % 3, 200, 300_000, 1)]
        host_input += batch(*records, number=step + 2, clock=1_100_000 + 90_000 * step)
    host_input += batch(instance_started(4, {"Profiles": 1}), record(9, "I", 3), number=60, clock=9_000_000)
    write_rows(HOST_FILE, [received_row("serve", HOST_RECEIVERS, host_input)])


def test_actions_and_faults_are_encoded_as_recorded() -> None:
    assert differences_sent(SENT_FILE, SENDERS) == []


def test_batches_are_decoded_as_recorded() -> None:
    assert differences_received(RECEIVED_FILE, RECEIVERS) == []


def test_settings_are_parsed_as_recorded() -> None:
    assert differences_received(SETTINGS_FILE, SETTINGS_RECEIVERS) == []


def test_the_host_answers_a_recorded_run_with_the_recorded_bytes() -> None:
    assert differences_received(HOST_FILE, HOST_RECEIVERS) == []


def test_the_golden_files_contain_every_kind_of_action_and_event() -> None:
    action_kinds = {KINDS[row[1][2][1]][0] for row in read_rows(SENT_FILE) if row[0] == "action"}
    assert action_kinds == set(typing.get_args(api.Action))
    event_tags = {event[2][1] for row in read_rows(RECEIVED_FILE) for event in row[1][1:]}
    event_kinds = {KINDS[number][0] for number in event_tags if isinstance(number, int)}
    assert event_kinds == set(typing.get_args(api.Event)) - {
        api.ShuttingDown
    }  # the simulator has no such event
    assert {number for number in event_tags if isinstance(number, str)} == {"started", "stopped"}


if __name__ == "__main__":
    write_golden_files()
