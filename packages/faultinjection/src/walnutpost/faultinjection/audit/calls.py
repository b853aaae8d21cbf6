"""Which call an HTTP message is about, and what its headers state."""

from __future__ import annotations

import base64
import binascii
import json
import re
from typing import NamedTuple
from urllib.parse import unquote

from walnutpost.faultinjection.exchanges import Exchange, Message

INVOKE = re.compile(r"/2015-03-31/functions/([^/?]+)/invocations")
LOAD = re.compile(r"/v2/repository/models/([^/?]+)/load")
EXECUTION = re.compile(r"/2025-12-01/durable-executions/([^/?]+)")
CALL_ID_HEADER = "lambda-runtime-aws-request-id"
ATTEMPT_HEADER = "x-walnutpost-attempt"
EXECUTION_NAME_HEADER = "x-amz-durable-execution-name"
CLIENT_CONTEXT_HEADER = "x-amz-client-context"
US_PER_MS = 1000


class AttemptId(NamedTuple):
    """A call's number in the worker protocol, and that of the attempt."""

    call_id: str
    attempt: str


def attempt_id(request: Message) -> AttemptId:
    """Return which attempt a request to a worker is; empty strings where it names none."""
    return AttemptId(request.headers.get(CALL_ID_HEADER, ""), request.headers.get(ATTEMPT_HEADER, ""))


def invoked_function(request: Message) -> str | None:
    """Return the function that a request invokes; None if it is another request."""
    found = INVOKE.match(request.target)
    return unquote(found[1]) if found else None


def ordered_copies(request: Message) -> int:
    """Return how many copies a request orders to be loaded; 0 if it is another request."""
    if not LOAD.match(request.target):
        return 0
    try:
        return int(json.loads(request.body)["parameters"]["copies"])
    except (ValueError, KeyError, TypeError):
        return 0


def call_of(body: bytes) -> str:
    """Return the call that a payload belongs to; empty where it names none."""
    try:
        payload = json.loads(body)
    except ValueError:
        return ""
    return str(payload.get("trial", "")) if isinstance(payload, dict) else ""


def call_sent(exchange: Exchange) -> str:
    """Return the call that a request to a worker is for.

    A client's is known by its payload, a schedule's by its execution.
    """
    headers = exchange.request.headers
    execution = headers.get(EXECUTION_NAME_HEADER, "")
    return call_of(exchange.request.body) or execution or headers.get(CALL_ID_HEADER, "")


def stated_deadline_us(request: Message) -> int | None:
    """Return the time that a caller gives for the answer, in microseconds; None where it gives none."""
    text = request.headers.get(CLIENT_CONTEXT_HEADER)
    try:
        custom = json.loads(base64.b64decode(text or "", validate=True)).get("custom", {})
        return int(float(custom["deadline-ms"]) * US_PER_MS)
    except (binascii.Error, ValueError, KeyError, AttributeError, TypeError):
        return None
