"""Rows of table `executions`, and the executions that they stand for."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from walnutpost.gateway import Execution, ExecutionStatus

# The columns in the order of the table, as `row_of` returns and `execution_of` expects them.
COLUMNS = (
    "id, name, function, version, tenant, payload, digest, accepted_at, expires_at, intended, status,"
    " ended_at, result, error_type, error_message"
)
PLACEHOLDERS = ",".join("?" * len(COLUMNS.split(",")))


def row_of(execution: Execution) -> tuple[object, ...]:
    """Return the row of an execution in stored time, in the order of COLUMNS."""
    return (
        execution.id,
        execution.name,
        execution.function,
        execution.version,
        execution.tenant,
        execution.payload,
        execution.digest,
        execution.accepted_at,
        execution.expires_at,
        int(execution.intended),
        execution.status.value,
        execution.ended_at,
        execution.result,
        execution.error_type,
        execution.error_message,
    )


def execution_of(row: Sequence[Any]) -> Execution:  # Any: sqlite3 has no types of columns
    """Return the execution of a row with COLUMNS, in stored time."""
    *identity, intended, status, ended_at, result, error_type, error_message = row
    values = [*identity, bool(intended), ExecutionStatus(status), ended_at, result, error_type, error_message]
    return Execution(*values)


def convert_times(execution: Execution, convert: Callable[[int], int]) -> Execution:
    """Return the execution with its times converted."""
    return replace(
        execution,
        accepted_at=convert(execution.accepted_at),
        expires_at=convert(execution.expires_at),
        ended_at=convert(execution.ended_at) if execution.ended_at else 0,  # 0: it has not ended
    )
