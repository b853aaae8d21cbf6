"""Counts and log lines of final answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutpost.eventloop import Logger
from walnutpost.gateway import Failed, FinalAnswer, Rejected, Served

CALLER_LEFT_REASON = "the caller hung up"


class AnswerKind(Enum):
    """How a call ended for its caller. The values are logged."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "left"  # the caller left before the answer


@dataclass(slots=True)
class AnswerCounts:
    """The number of calls since the start, by how they ended for their callers."""

    served: int = 0
    rejected: int = 0
    failed: int = 0
    abandoned: int = 0

    def count(self, final: FinalAnswer) -> None:
        """Count a final answer."""
        match final:
            case Served():
                self.served += 1
            case Rejected():
                self.rejected += 1
            case Failed():
                self.failed += 1


def log_answer(
    log: Logger, final: FinalAnswer | None, request_id: str, function: str, tenant: str | None
) -> None:
    """Log `request_answered` for a call that was not served.

    `final` is None if the caller left before the answer. Payloads are never logged.
    """
    match final:
        case Served():
            return
        case None:
            kind, reason = AnswerKind.ABANDONED, CALLER_LEFT_REASON
        case Rejected(reason):
            kind = AnswerKind.REJECTED
        case Failed(failure, message):
            kind, reason = AnswerKind.FAILED, f"{failure.value}: {message}"
    log.info(
        "request_answered",
        kind=kind.value,
        reason=reason,
        request_id=request_id,
        function=function,
        tenant=tenant,
    )
