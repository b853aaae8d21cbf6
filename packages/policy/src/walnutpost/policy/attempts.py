"""The only place that sends attempts; it enforces rules 1 to 4 for each of them."""

from walnutpost import interface as api
from walnutpost.policy.context import DecisionContext
from walnutpost.policy.endpoints import Endpoints
from walnutpost.policy.functions import Copy
from walnutpost.policy.health_checks import HealthChecks
from walnutpost.policy.requests import NEVER_RAN, Attempt, Request
from walnutpost.policy.slow_start import SlowStart
from walnutpost.policy.workers import Worker


class Attempts:
    """Outgoing attempts; each is checked against the rules before it is sent."""

    __slots__ = ("_context", "_endpoints", "_health_checks", "_slow_start")

    def __init__(
        self,
        context: DecisionContext,
        endpoints: Endpoints,
        slow_start: SlowStart,
        health_checks: HealthChecks,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._slow_start = slow_start
        self._health_checks = health_checks

    def may_send(self, request: Request, worker: Worker) -> bool:
        """Return whether the request may be sent to the worker now.

        The request must be unanswered and within its deadline, a retry must be allowed, the worker must be
        ready and not excluded, and the slow-start budget must have room.
        """
        if request.is_answered or not worker.is_ready or worker.info.id in request.excluded_workers:
            return False
        if not self.may_retry(request):
            return False
        if request.request_class.effect is api.Effect.KEYED and not self._may_repeat_key(request, worker):
            return False
        return self._slow_start.has_budget(worker)

    def may_retry(self, request: Request) -> bool:
        """Return whether another attempt is allowed: attempts and time are left, and a second run is safe."""
        settings, attempts = self._context.settings, request.attempts
        limits = settings.limits
        if len(attempts) >= limits.max_attempts:
            return False
        if self._context.now_us >= request.deadline_us - settings.tick_us:
            return False
        if not limits.may_run_parallel_attempts and not request.all_attempts_ended():
            return False
        return request.request_class.effect is not api.Effect.UNSAFE or not request.may_have_run()

    def send(self, request: Request, worker: Worker) -> None:
        """Send an attempt if it is allowed, and assume from then on that the worker holds a copy."""
        if not self.may_send(request, worker):
            return
        now_us, worker_id, function = self._context.now_us, worker.info.id, request.function
        begin_within_us = max(1, self._latest_begin_us(request, worker) - now_us)
        copy = function.copies.get(worker_id)
        if copy is None:
            copy = function.copies[worker_id] = Copy(now_us)
        copy.last_used_us = now_us
        request.attempts.append(Attempt(worker_id, now_us, copy.is_confirmed))
        function.in_flight[worker_id] += 1
        self._endpoints.attempt_started(worker)
        if worker.in_flight == 1:
            worker.last_heard_us = now_us
        worker.recent_sends_us.append(now_us)
        self._context.actions.append(
            api.Send(request.id, worker_id, request.deadline_us - now_us, begin_within_us)
        )
        self._health_checks.schedule_after_send(worker)

    def _may_repeat_key(self, request: Request, worker: Worker) -> bool:
        """Return whether the worker would recognize a repeat of the key.

        Earlier attempts that may have run must be within its deduplication group and window.
        """
        dedup_scope, window_us = request.request_class.dedup_scope, request.request_class.repeat_window_us
        for attempt in request.attempts:
            if attempt.outcome in NEVER_RAN:
                continue
            earlier = self._endpoints.workers[attempt.worker].info
            if dedup_scope is api.DedupScope.ZONE and earlier.zone != worker.info.zone:
                return False
            if dedup_scope is api.DedupScope.CELL and earlier.cell != worker.info.cell:
                return False
            if self._context.now_us - attempt.sent_us > window_us:
                return False
        return True

    def _latest_begin_us(self, request: Request, worker: Worker) -> int:
        """Return the latest time at which a worker may begin the attempt (docs/design.md).

        That is the earliest of: one clock tick before the deadline; the end of the idempotency key's window;
        the drain grace from now, as the worker may begin to drain at any time; and, if the worker is warming
        up, `probe_timeout_us` from now, as slow start counts a send for that much longer than its window.
        """
        context, request_class = self._context, request.request_class
        latest_us = request.deadline_us - context.settings.tick_us
        if request_class.effect is api.Effect.KEYED:
            for attempt in request.attempts:
                if attempt.outcome not in NEVER_RAN:
                    latest_us = min(latest_us, attempt.sent_us + request_class.repeat_window_us)
        if context.settings.guards.drain_grace_us:
            latest_us = min(latest_us, context.now_us + context.settings.guards.drain_grace_us)
        if self._slow_start.is_warming_up(worker) and context.probe_timeout_us:
            latest_us = min(latest_us, context.now_us + context.probe_timeout_us)
        return latest_us
