"""Requests, their attempts, and the only place that gives final answers (rules 1 and 2)."""

from dataclasses import dataclass, field

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.functions import Function

NEVER_RAN = frozenset((api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.EXPIRED, api.Outcome.MISS))
WORKER_ANSWERED = frozenset((api.Outcome.OK, api.Outcome.ERROR, api.Outcome.FULL, api.Outcome.MISS))
RETRY_AFTER_DIVISOR = 4  # Retry-After is the class's latency objective divided by this


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to a worker; `outcome` is None while it is in flight."""

    worker: int
    sent_us: int
    was_warm: bool  # the copy had been confirmed by an answer
    outcome: api.Outcome | None = None


@dataclass(slots=True, eq=False)
class Request:
    """A request that has not had its final answer or still has attempts in flight."""

    id: int
    request_class: api.RequestClass
    function: Function
    deadline_us: int
    earliest_arrival_us: int | None  # None once it is counted by the load-order limit or excluded from it
    cost_hint_us: int | None
    attempts: list[Attempt] = field(default_factory=list)
    excluded_workers: list[int] = field(default_factory=list)
    is_answered: bool = False

    def may_have_run(self) -> bool:
        """Return whether a worker may have begun to execute the request."""
        return any(attempt.outcome not in NEVER_RAN for attempt in self.attempts)

    def all_attempts_ended(self) -> bool:
        """Return whether no attempt is in flight."""
        return all(attempt.outcome is not None for attempt in self.attempts)

    def workers_in_flight(self) -> set[int]:
        """Return the IDs of the workers with an attempt of this request in flight."""
        return {attempt.worker for attempt in self.attempts if attempt.outcome is None}


class OpenRequests:
    """Table of the requests without a final answer or with attempts in flight; each is answered once."""

    __slots__ = ("_context", "by_id")

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.by_id: dict[int, Request] = {}

    def reject_or_fail(self, request: Request) -> None:
        """Give the final answer: a rejection if the client can safely try again, otherwise a failure.

        It is safe if a second execution changes nothing, if all workers together drop repeats of the
        idempotency key, or if no attempt can have run.
        """
        if request.is_answered:
            return
        effect, dedup_scope = request.request_class.effect, request.request_class.dedup_scope
        repeats_are_deduplicated = effect is api.Effect.KEYED and dedup_scope is api.DedupScope.ALL
        if effect is api.Effect.SAFE or repeats_are_deduplicated or not request.may_have_run():
            self._context.actions.append(api.Reject(request.id, self._retry_after_us(request)))
        else:
            self._context.actions.append(api.Fail(request.id))
        self.close(request)

    def close(self, request: Request) -> None:
        """Mark the request as answered and cancel its attempts if allowed; forget it once all have ended."""
        is_cancellable = (
            not request.is_answered
            and not request.request_class.is_stream
            and self._context.settings.limits.may_cancel
        )
        if is_cancellable:
            for number, attempt in enumerate(request.attempts):
                if attempt.outcome is None:
                    self._context.actions.append(api.Cancel(request.id, number))
        request.is_answered = True
        request.function.queued.pop(request.id, None)
        if request.all_attempts_ended():
            del self.by_id[request.id]

    def workers_referenced(self) -> set[int]:
        """Return the IDs of the workers that any attempt refers to; their state must be kept."""
        return {attempt.worker for request in self.by_id.values() for attempt in request.attempts}

    def _retry_after_us(self, request: Request) -> int:
        limits = self._context.settings.limits
        if not limits.may_send_retry_after:
            return 0
        retry_after_us = request.request_class.latency_objective_us // RETRY_AFTER_DIVISOR
        return min(limits.max_retry_after_us, retry_after_us)
