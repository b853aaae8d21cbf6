"""Query strings of the invoke API, and the page of durable executions that one asks for."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from urllib.parse import parse_qs

from walnutpost.fronts.invoke.errors import invalid_parameter
from walnutpost.gateway import ExecutionStatus
from walnutpost.store import ExecutionQuery

SECOND_US = 1_000_000
MAX_PAGE_SIZE = 1000  # and the size where a request gives none
MAX_QUOTED_CHARACTERS = 60

Parameters = Mapping[str, Sequence[str]]


def parse_parameters(query_string: str) -> Parameters:
    """Return the values of each parameter."""
    return parse_qs(query_string)


def last_value(parameters: Parameters, name: str) -> str | None:
    """Return the last value of a parameter, None where it is not given."""
    values = parameters.get(name)
    return values[-1] if values else None


def parse_execution_query(function: str, parameters: Parameters) -> ExecutionQuery:
    """Return the query of ListDurableExecutionsByFunction. Raises ApiError."""
    statuses = _parse_statuses(parameters)
    limit = _parse_page_size(last_value(parameters, "MaxItems"))
    return ExecutionQuery(
        function,
        last_value(parameters, "DurableExecutionName"),
        statuses,
        _parse_time_us(parameters, "StartedAfter"),
        _parse_time_us(parameters, "StartedBefore"),
        last_value(parameters, "ReverseOrder") == "true",
        _parse_marker(last_value(parameters, "Marker")),
        limit,
    )


def format_marker(accepted_at_us: int, execution_id: str) -> str:
    """Return the marker of the page that begins after an execution."""
    return f"{accepted_at_us}-{execution_id}"


def _parse_statuses(parameters: Parameters) -> frozenset[ExecutionStatus]:
    try:
        return frozenset(ExecutionStatus(value) for value in parameters.get("Statuses", ()))
    except ValueError:
        known = ", ".join(status.value for status in ExecutionStatus)
        raise invalid_parameter(f"Statuses: {known} are known") from None


def _parse_page_size(text: str | None) -> int:
    text = text or str(MAX_PAGE_SIZE)
    if not text.isdigit() or int(text) > MAX_PAGE_SIZE:
        raise invalid_parameter(f"MaxItems: a whole number from 0 to {MAX_PAGE_SIZE} is wanted")
    return int(text) or MAX_PAGE_SIZE


def _parse_marker(text: str | None) -> tuple[int, str] | None:
    if text is None:
        return None
    accepted_at_us, _, execution_id = text.partition("-")
    if not accepted_at_us.isdigit():
        raise invalid_parameter("Marker: a NextMarker of an earlier page is wanted")
    return int(accepted_at_us), execution_id


def _parse_time_us(parameters: Parameters, name: str) -> int | None:
    """Parse seconds since the epoch, or ISO 8601, in UTC where it has no offset."""
    text = last_value(parameters, name)
    if text is None:
        return None
    try:
        return int(_parse_epoch_s(text) * SECOND_US)
    except (ValueError, OverflowError):
        found = text[:MAX_QUOTED_CHARACTERS]
        raise invalid_parameter(f"{name}: a time is wanted, {found!r} was found") from None


def _parse_epoch_s(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()
