"""Parses query strings of the invoke API, such as those that ask for a page of durable executions."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from urllib.parse import parse_qs

from walnutpost.fronts.invoke.errors import invalid_parameter
from walnutpost.gateway import ExecutionStatus
from walnutpost.store import ExecutionQuery

SECOND_US = 1_000_000
MAX_PAGE_SIZE = 1000  # also the default
MAX_QUOTED_CHARACTERS = 60

Parameters = Mapping[str, Sequence[str]]


def parse_parameters(query_string: str) -> Parameters:
    """Return the values of each parameter of a query string."""
    return parse_qs(query_string)


def get_last_value(parameters: Parameters, name: str) -> str | None:
    """Return the last value of a parameter, or None if it is not given."""
    values = parameters.get(name)
    return values[-1] if values else None


def parse_execution_query(function: str, parameters: Parameters) -> ExecutionQuery:
    """Return the query of ListDurableExecutionsByFunction. Raises ApiError."""
    statuses = _parse_statuses(parameters)
    limit = _parse_page_size(get_last_value(parameters, "MaxItems"))
    return ExecutionQuery(
        function,
        get_last_value(parameters, "DurableExecutionName"),
        statuses,
        _parse_time_us(parameters, "StartedAfter"),
        _parse_time_us(parameters, "StartedBefore"),
        get_last_value(parameters, "ReverseOrder") == "true",
        _parse_marker(get_last_value(parameters, "Marker")),
        limit,
    )


def format_marker(accepted_at_us: int, execution_id: str) -> str:
    """Return the marker of the page that starts after an execution."""
    return f"{accepted_at_us}-{execution_id}"


def _parse_statuses(parameters: Parameters) -> frozenset[ExecutionStatus]:
    try:
        return frozenset(ExecutionStatus(value) for value in parameters.get("Statuses", ()))
    except ValueError:
        allowed = ", ".join(status.value for status in ExecutionStatus)
        raise invalid_parameter(f"Statuses: {allowed} are known") from None


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
    """Parse seconds since the epoch, or an ISO 8601 time, which is in UTC if it has no offset."""
    text = get_last_value(parameters, name)
    if text is None:
        return None
    try:
        return int(_parse_epoch_s(text) * SECOND_US)
    except (ValueError, OverflowError):
        quoted = text[:MAX_QUOTED_CHARACTERS]
        raise invalid_parameter(f"{name}: a time is wanted, {quoted!r} was found") from None


def _parse_epoch_s(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()
