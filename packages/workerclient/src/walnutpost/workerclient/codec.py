"""The worker protocol's words. No I/O.

Calls: `POST /2015-03-31/functions/{name}/invocations`, as Lambda's runtime emulator serves them.
Loading: the repository extension of the Open Inference Protocol v2 (`/v2/repository/models/{name}/load`,
`/unload`, parameters in the body), with `copies` as a parameter. Load reports: orca.py.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from urllib.parse import quote

import msgspec

from walnutpost.http import Response, encode_request
from walnutpost.interface import Outcome, Warmth
from walnutpost.metering import Report
from walnutpost.workerclient import orca

ERROR_TYPE = "x-amzn-errortype"
FUNCTION_ERROR = "x-amz-function-error"
CALL_ID, DEADLINE_MS = "lambda-runtime-aws-request-id", "lambda-runtime-deadline-ms"
TENANT = "x-amz-tenant-id"
ATTEMPT = "x-walnutpost-attempt"
EXECUTION = "x-amz-durable-execution-name"
FULL_TYPES = ("TooManyRequestsException", "ResourceNotReadyException")
MISS_TYPE, LOAD_FAILED_TYPE = "ResourceNotFoundException", "ModelLoadException"
# What the policy calls the figures of a report, by their ORCA names.
FIELDS = {"cpu_utilization": "busy", "mem_utilization": "memory_tied", "queue": "queue", "loads": "loads"}
USAGE = "/v2/usage"
READY = encode_request("GET", "/v2/health/ready", "worker", {})


class Reply(msgspec.Struct, frozen=True):
    outcome: Outcome
    by_function: bool = False
    warmth: Warmth = Warmth.UNREPORTED
    crowd: int = 0
    report: tuple[float, ...] = ()


def call(
    function: str,
    tenant: str | None,
    payload: bytes,
    call_id: str,
    attempt: int,
    deadline_us: int,
    execution: str = "",
) -> bytes:
    """A call's request. The deadline is told in milliseconds since the epoch, as Lambda does; a deferred
    call's execution by its name, the same after a restart, so that a function can know a repeat."""
    headers = {
        "content-type": "application/json",
        CALL_ID: call_id,
        ATTEMPT: str(attempt),
        DEADLINE_MS: str(deadline_us // 1000),
    }
    if tenant is not None:
        headers[TENANT] = tenant
    if execution:
        headers[EXECUTION] = execution
    return encode_request(
        "POST", f"/2015-03-31/functions/{quote(function, safe='')}/invocations", "worker", headers, payload
    )


def load(function: str, copies: int) -> bytes:
    """An order to hold so many copies; none only asks how many stand."""
    body = json.dumps({"parameters": {"copies": copies}}).encode()
    return encode_request(
        "POST", f"/v2/repository/models/{quote(function, safe='')}/load", "worker", {}, body
    )


def unload(function: str) -> bytes:
    return encode_request("POST", f"/v2/repository/models/{quote(function, safe='')}/unload", "worker", {})


def usage(started: int, change: int) -> bytes:
    """Asks for the usage records of a start of the worker that are newer than a change; those of another
    start are told whole."""
    return encode_request("GET", f"{USAGE}?started={started}&after={change}", "worker", {})


def read_usage(response: Response) -> Report | None:
    """None where the worker keeps no records; ValueError says what is wrong with them."""
    if response.status == 404:
        return None
    if response.status != 200:
        raise ValueError(f"found status {response.status}, wanted 200")
    try:
        return msgspec.json.decode(response.body, type=Report)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(str(error)) from error


def read_call(response: Response, fields: Sequence[str]) -> Reply:
    """What a whole answer to a call says.

    404 and 503 prove that the call never ran only where the worker itself says so by the error type: a
    proxy's 503, or a wrong server's 404, may come after the worker has begun.
    """
    told = orca.read(response.headers)
    raw = int(told.get("warmth", 0))
    warmth = Warmth(raw) if 0 <= raw <= 4 else Warmth.UNREPORTED
    crowd, report = max(0, int(told.get("crowd", 0))), report_of(told, fields)
    kind = response.headers.get(ERROR_TYPE, "")
    if response.status == 200:
        if FUNCTION_ERROR in response.headers:
            return Reply(Outcome.ERROR, True, warmth, crowd, report)
        return Reply(Outcome.OK, False, warmth, crowd, report)
    if response.status == 404 and kind in (MISS_TYPE, LOAD_FAILED_TYPE):
        failed = Warmth.LOAD_FAILED if kind == LOAD_FAILED_TYPE else Warmth.UNREPORTED
        return Reply(Outcome.MISS, False, failed, crowd, report)
    if response.status == 503 and kind in FULL_TYPES:
        return Reply(Outcome.FULL, False, Warmth.UNREPORTED, crowd, report)
    return Reply(Outcome.ERROR, False, warmth, crowd, report)


def report_of(told: orca.Report, fields: Sequence[str]) -> tuple[float, ...]:
    """The figures in the order of `fields`; none at all where one of them is missing."""
    named = {FIELDS.get(key, key): value for key, value in told.items()}
    return tuple(named[f] for f in fields) if all(f in named for f in fields) else ()


def read_load(response: Response) -> tuple[Outcome, int]:
    """The outcome of an order and the copies that stand now."""
    copies = 0
    try:
        body = json.loads(response.body or b"{}")
        copies = max(0, int(body.get("copies", 0))) if isinstance(body, dict) else 0
    except (ValueError, TypeError, OverflowError, RecursionError):
        return Outcome.ERROR, 0
    outcomes = {200: Outcome.OK, 503: Outcome.FULL, 404: Outcome.MISS}
    return outcomes.get(response.status, Outcome.ERROR), copies
