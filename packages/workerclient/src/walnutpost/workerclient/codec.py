"""Encoding and decoding of the worker protocol's requests and responses. No I/O.

Calls: `POST /2015-03-31/functions/{name}/invocations`, as Lambda's runtime emulator serves them.
Load orders: the repository extension of the Open Inference Protocol v2
(`/v2/repository/models/{name}/load` and `/unload`, parameters in the body), with `copies` as a parameter.
Load reports: orca.py.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from walnutpost.http import Response, encode_request
from walnutpost.interface import Outcome, Warmth
from walnutpost.metering import UsageReport
from walnutpost.workerclient import orca
from walnutpost.workerclient.errors import InvalidUsageReportError

ERROR_TYPE_HEADER = "x-amzn-errortype"
FUNCTION_ERROR_HEADER = "x-amz-function-error"
CALL_ID_HEADER = "lambda-runtime-aws-request-id"
DEADLINE_MS_HEADER = "lambda-runtime-deadline-ms"
"""The deadline in milliseconds since the epoch, as in Lambda's runtime API."""
TENANT_HEADER = "x-amz-tenant-id"
ATTEMPT_HEADER = "x-walnutpost-attempt"
EXECUTION_HEADER = "x-amz-durable-execution-name"
FULL_ERROR_TYPES = ("TooManyRequestsException", "ResourceNotReadyException")
MISS_ERROR_TYPE = "ResourceNotFoundException"
LOAD_FAILED_ERROR_TYPE = "ModelLoadException"
POLICY_FIELD_NAMES = {
    "cpu_utilization": "busy",
    "mem_utilization": "memory_tied",
    "queue": "queue",
    "loads": "loads",
}
"""Names of report fields in the policy, by their ORCA names."""
WARMTH_METRIC = "warmth"
CROWD_METRIC = "crowd"
USAGE_PATH = "/v2/usage"
HOST_HEADER_VALUE = "worker"
"""The Host header of all requests."""
READY_REQUEST = encode_request("GET", "/v2/health/ready", HOST_HEADER_VALUE, {})
US_PER_MS = 1000

_WARMTH_BY_VALUE = {int(warmth): warmth for warmth in Warmth}
_OUTCOME_BY_LOAD_STATUS: dict[int, Outcome] = {
    HTTPStatus.OK: Outcome.OK,
    HTTPStatus.SERVICE_UNAVAILABLE: Outcome.FULL,
    HTTPStatus.NOT_FOUND: Outcome.MISS,
}


@dataclass(frozen=True, slots=True)
class CallRequest:
    """An attempt of a call. `deadline_us` is in microseconds since the epoch.

    `execution` is the name of the execution of a deferred call. It stays the same after a restart, so that a
    function can recognize a repeated call. It is empty for other calls.
    """

    function: str
    tenant: str | None
    payload: bytes
    call_id: str
    attempt: int
    deadline_us: int
    execution: str = ""


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of an attempt. The fields are those of `gateway.AttemptEnded`."""

    outcome: Outcome
    is_function_error: bool = False
    warmth: Warmth = Warmth.UNREPORTED
    crowd: int = 0
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The outcome of a load order and the number of copies now loaded."""

    outcome: Outcome
    copies: int = 0


def encode_call(request: CallRequest) -> bytes:
    """Encode an attempt of a call."""
    headers = {
        "content-type": "application/json",
        CALL_ID_HEADER: request.call_id,
        ATTEMPT_HEADER: str(request.attempt),
        DEADLINE_MS_HEADER: str(request.deadline_us // US_PER_MS),
    }
    if request.tenant is not None:
        headers[TENANT_HEADER] = request.tenant
    if request.execution:
        headers[EXECUTION_HEADER] = request.execution
    path = f"/2015-03-31/functions/{quote(request.function, safe='')}/invocations"
    return encode_request("POST", path, HOST_HEADER_VALUE, headers, request.payload)


def encode_load_order(function: str, copies: int) -> bytes:
    """Encode an order to load at least `copies` copies; 0 only queries how many are loaded."""
    body = json.dumps({"parameters": {"copies": copies}}).encode()
    return encode_request("POST", f"{_model_path(function)}/load", HOST_HEADER_VALUE, {}, body)


def encode_unload(function: str) -> bytes:
    """Encode an order to unload the function's idle copies."""
    return encode_request("POST", f"{_model_path(function)}/unload", HOST_HEADER_VALUE, {})


def encode_usage_query(started_us: int, after_change: int) -> bytes:
    """Encode a query for the usage records after the change `after_change`.

    The change number belongs to the worker's run that began at `started_us`. If the worker has been
    restarted since, it returns all its records.
    """
    return encode_request(
        "GET", f"{USAGE_PATH}?started={started_us}&after={after_change}", HOST_HEADER_VALUE, {}
    )


def decode_usage_response(response: Response) -> UsageReport | None:
    """Return the usage report, or None if the worker has none. Raise InvalidUsageReportError."""
    if response.status == HTTPStatus.NOT_FOUND:
        return None
    if response.status != HTTPStatus.OK:
        found, wanted = f"status {response.status}", "200"
        raise InvalidUsageReportError(found, wanted, f"found {found}, wanted {wanted}")
    try:
        return msgspec.json.decode(response.body, type=UsageReport)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidUsageReportError("an invalid body", "a usage report", str(error)) from error


def decode_call_response(response: Response, report_fields: Sequence[str]) -> CallResult:
    """Return the result of a call from its complete response.

    A 404 or 503 proves that the call never ran only if it has an error type, which the worker itself sets: a
    503 from a proxy or a 404 from a wrong server may come after the worker has begun to run the call.
    """
    metrics = orca.decode_report(response.headers)
    error_type = response.headers.get(ERROR_TYPE_HEADER, "")
    is_function_error = response.status == HTTPStatus.OK and FUNCTION_ERROR_HEADER in response.headers
    outcome = Outcome.ERROR if is_function_error else _call_outcome(response.status, error_type)
    warmth = _WARMTH_BY_VALUE.get(int(metrics.get(WARMTH_METRIC, 0)), Warmth.UNREPORTED)
    if outcome is Outcome.MISS and error_type == LOAD_FAILED_ERROR_TYPE:
        warmth = Warmth.LOAD_FAILED
    elif outcome in (Outcome.MISS, Outcome.FULL):
        warmth = Warmth.UNREPORTED
    crowd = max(0, int(metrics.get(CROWD_METRIC, 0)))
    return CallResult(outcome, is_function_error, warmth, crowd, select_fields(metrics, report_fields))


def decode_load_response(response: Response) -> LoadResult:
    """Return the result of a load order from its complete response."""
    try:
        body = json.loads(response.body or b"{}")
        copies = max(0, int(body.get("copies", 0))) if isinstance(body, dict) else 0
    except (ValueError, TypeError, OverflowError, RecursionError):
        return LoadResult(Outcome.ERROR)
    return LoadResult(_OUTCOME_BY_LOAD_STATUS.get(response.status, Outcome.ERROR), copies)


def select_fields(metrics: Mapping[str, float], report_fields: Sequence[str]) -> tuple[float, ...]:
    """Return the metrics in the order of `report_fields`, or an empty tuple if any of them is missing."""
    by_field = {POLICY_FIELD_NAMES.get(name, name): value for name, value in metrics.items()}
    if not all(field in by_field for field in report_fields):
        return ()
    return tuple(by_field[field] for field in report_fields)


def _model_path(function: str) -> str:
    return f"/v2/repository/models/{quote(function, safe='')}"


def _call_outcome(status: int, error_type: str) -> Outcome:
    if status == HTTPStatus.OK:
        return Outcome.OK
    if status == HTTPStatus.NOT_FOUND and error_type in (MISS_ERROR_TYPE, LOAD_FAILED_ERROR_TYPE):
        return Outcome.MISS
    if status == HTTPStatus.SERVICE_UNAVAILABLE and error_type in FULL_ERROR_TYPES:
        return Outcome.FULL
    return Outcome.ERROR
