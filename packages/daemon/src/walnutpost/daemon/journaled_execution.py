"""Conversion of a call's journal entries to an execution."""

from __future__ import annotations

from dataclasses import replace

from walnutpost.gateway import Execution, ExecutionStatus
from walnutpost.journal import CallState


def build_execution(call: CallState) -> Execution | None:
    """Return the execution, in the stored time of its origin; None if the acceptance entry is missing."""
    accepted = call.accepted
    if accepted is None:
        return None
    execution = Execution(
        accepted.call_id,
        accepted.name,
        accepted.function,
        accepted.version,
        accepted.tenant,
        accepted.payload,
        accepted.digest,
        accepted.accepted_at_us,
        accepted.expires_at_us,
        bool(call.intents),
    )
    ended = call.ended
    if ended is None:
        return execution
    return replace(
        execution,
        status=ExecutionStatus(ended.status),
        ended_at=ended.ended_at_us,
        result=ended.result,
        error_type=ended.error_type,
        error_message=ended.error_message,
    )
