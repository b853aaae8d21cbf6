"""Parses requests of the AWS Lambda API, without I/O.

Source: the service model `lambda`, API versions 2015-03-31 (Invoke) and 2025-12-01 (durable executions), in
the rest-json protocol.
"""

from __future__ import annotations

import re
from urllib.parse import unquote

import msgspec

from walnutpost.fronts.invoke.arns import is_execution_name, parse_execution_arn, parse_function_reference
from walnutpost.fronts.invoke.client_context import parse_deadline_us
from walnutpost.fronts.invoke.errors import invalid_content, invalid_parameter, unknown_operation
from walnutpost.fronts.invoke.operations import (
    GetExecution,
    InvocationType,
    Invoke,
    ListExecutions,
    Operation,
    StopExecution,
)
from walnutpost.fronts.invoke.queries import get_last_value, parse_execution_query, parse_parameters
from walnutpost.http import Request

INVOKE_PATH = re.compile(r"/2015-03-31/functions/([^/]+)/invocations")
LIST_PATH = re.compile(r"/2025-12-01/functions/([^/]+)/durable-executions")
EXECUTION_PATH = re.compile(r"/2025-12-01/durable-executions/([^/]+)(/stop)?")
ATTEMPT = re.compile(r"attempt=(\d+)")  # in the header amz-sdk-request
MAX_ATTEMPT_DIGITS = 9
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
MAX_QUOTED_PATH_CHARACTERS = 200
MAX_QUOTED_TYPE_CHARACTERS = 60
EMPTY_PAYLOAD = b"{}"  # the payload of a request without a body


def parse_request(request: Request) -> Operation:
    """Return the operation of a request. Raises ApiError."""
    try:
        path, _, query_string = request.target.decode("ascii").partition("?")
    except UnicodeDecodeError:
        raise invalid_content("the path is not ASCII") from None
    match = INVOKE_PATH.fullmatch(path)
    if match and request.method == "POST":
        return _parse_invoke(unquote(match[1]), query_string, request)
    match = LIST_PATH.fullmatch(path)
    if match and request.method == "GET":
        reference = parse_function_reference(unquote(match[1]))
        return ListExecutions(parse_execution_query(reference.name, parse_parameters(query_string)))
    match = EXECUTION_PATH.fullmatch(path)
    if match and request.method == ("POST" if match[2] else "GET"):
        return _parse_execution_operation(unquote(match[1]), query_string, is_stop=bool(match[2]))
    raise unknown_operation(request.method, path[:MAX_QUOTED_PATH_CHARACTERS])


def _parse_execution_operation(arn: str, query_string: str, *, is_stop: bool) -> GetExecution | StopExecution:
    reference = parse_execution_arn(arn)
    if is_stop:
        return StopExecution(reference.function, reference.execution_id)
    includes_data = get_last_value(parse_parameters(query_string), "IncludeExecutionData") != "false"
    return GetExecution(reference.function, reference.execution_id, includes_data)


def _parse_invoke(name: str, query_string: str, request: Request) -> Invoke:
    headers = request.headers
    reference = parse_function_reference(name)
    invocation_type = _parse_invocation_type(headers.get("x-amz-invocation-type"))
    execution_name = headers.get("x-amz-durable-execution-name")
    _check_execution_name(execution_name, invocation_type)
    _check_body(request.body)
    qualifier = get_last_value(parse_parameters(query_string), "Qualifier") if query_string else None
    return Invoke(
        function=reference.name,
        qualifier=qualifier or reference.qualifier,
        invocation_type=invocation_type,
        tenant=headers.get("x-amz-tenant-id"),
        payload=request.body or EMPTY_PAYLOAD,
        execution_name=execution_name,
        client_deadline_us=parse_deadline_us(headers.get("x-amz-client-context")),
        idempotency_key=headers.get("amz-sdk-invocation-id", "")[:MAX_IDEMPOTENCY_KEY_CHARACTERS],
        is_retry=_is_retry(headers.get("amz-sdk-request", "")),
    )


def _parse_invocation_type(header: str | None) -> InvocationType:
    if header is None:
        return InvocationType.REQUEST_RESPONSE
    try:
        return InvocationType(header)
    except ValueError:
        quoted = header[:MAX_QUOTED_TYPE_CHARACTERS]
        raise invalid_parameter(
            f"invocation type {quoted!r}; RequestResponse, Event or DryRun is wanted"
        ) from None


def _check_execution_name(name: str | None, invocation_type: InvocationType) -> None:
    if name is None:
        return
    if not is_execution_name(name):
        raise invalid_parameter(
            "X-Amz-Durable-Execution-Name: 1 to 64 letters, digits, '-' and '_' are wanted"
        )
    if invocation_type is not InvocationType.EVENT:
        raise invalid_parameter("X-Amz-Durable-Execution-Name goes with invocation type Event only")


def _check_body(body: bytes) -> None:
    """Check that a body is JSON, without decoding it."""
    if not body:
        return
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.DecodeError as error:
        raise invalid_content(f"Could not parse request body into json: {error}") from None


def _is_retry(sdk_request: str) -> bool:
    match = ATTEMPT.search(sdk_request)
    return match is not None and int(match[1][:MAX_ATTEMPT_DIGITS]) > 1
