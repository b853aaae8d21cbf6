"""The stored fields of executions, their status after each final answer, and the numbers of names."""

from __future__ import annotations

from pathlib import Path

from walnutpost.gateway import Execution, ExecutionStatus, Failed, Failure, Rejected, Served
from walnutpost.gateway.catalogue import name_hash
from walnutpost.gateway.executions import with_final_status
from walnutpost.gateway.messages import FinalAnswer
from walnutpost.interface import Effect
from walnutpost.testsupport.golden.files import assert_as_golden, json_lines, values_of

GOLDEN = Path(__file__).parent / "golden"
OPEN = Execution(
    id="id-1",
    name="name-2",
    function="function-3",
    version="4",
    tenant="tenant-5",
    payload=b"six\x00\xff",
    digest="digest-7",
    accepted_at=8,
    expires_at=100,
    intended=True,
)
FINAL_ANSWERS: dict[str, tuple[FinalAnswer, int]] = {  # final answers with the time of each
    "served": (Served(b"result\x00", "worker-1", "4"), 50),
    "refused": (Rejected("no room", 5), 50),
    "refused, and its time is over": (Rejected("no room"), 100),
    **{f"failed: {f.value}": (Failed(f, f"message of {f.value}", b"error"), 50) for f in Failure},
    "failed without a payload": (Failed(Failure.WORKER, "reset"), 50),
}


def golden_files() -> dict[Path, bytes]:
    recorded = {
        "open": values_of(OPEN),
        "ended": {
            name: values_of(with_final_status(OPEN, final, now))
            for name, (final, now) in FINAL_ANSWERS.items()
        },
        "statuses": [member.value for member in ExecutionStatus],
        "failures": [member.value for member in Failure],
        "effects": [member.value for member in Effect],
        "numbers of names": {
            name: [name_hash(name, 32), name_hash(name, 40)] for name in ("worker-1", "price", "ä")
        },
    }
    return {GOLDEN / "executions.json": json_lines(recorded)}


def test_executions_and_numbers_of_names_match_the_golden_file() -> None:
    assert_as_golden(golden_files())
