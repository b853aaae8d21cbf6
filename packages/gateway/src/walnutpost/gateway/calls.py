"""Open calls: their callers and their attempts."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from hashlib import blake2b

from walnutpost import interface as api
from walnutpost.gateway.catalogue import Function
from walnutpost.gateway.inputs import CallArrived
from walnutpost.policy import NEVER_RAN

DIGEST_BYTES = 16


def identity_of(event: CallArrived) -> Hashable:
    """Return what makes two calls the same one, None if the client gave no idempotency key."""
    if not event.idempotency_key:
        return None
    digest = blake2b(event.payload, digest_size=DIGEST_BYTES).digest()
    return event.idempotency_key, event.tenant, event.function, digest


@dataclass(slots=True, eq=False)
class Call:
    """A call until its final answer and the end of its last attempt."""

    number: int
    function: Function
    request_class: api.RequestClass
    tenant: str | None
    payload: bytes
    deadline_us: int
    identity: Hashable
    is_durable: bool
    outlives_callers: bool
    caller_ids: list[int]  # of the callers that wait for the answer
    workers: list[str] = field(default_factory=list)  # of each attempt
    outcomes: list[api.Outcome | None] = field(default_factory=list)  # None while in flight
    last_result: str = "nothing was sent"  # how the latest attempt ended, for the message of a failure
    is_answered: bool = False

    def begin_attempt(self, worker: str) -> int:
        """Add an attempt at the worker; return its number."""
        self.workers.append(worker)
        self.outcomes.append(None)
        return len(self.outcomes) - 1

    def may_have_run(self) -> bool:
        """Whether a worker may have begun to execute it."""
        return any(outcome not in NEVER_RAN for outcome in self.outcomes)

    def has_open_attempt(self) -> bool:
        """Whether an attempt is in flight."""
        return None in self.outcomes

    def must_remember_outcome(self) -> bool:
        """Whether a repeat of the call must get this outcome, as a second run would take effect again."""
        is_keyed = self.identity is not None and self.request_class.effect is not api.Effect.SAFE
        return is_keyed and self.may_have_run()


class CallTable:
    """The open calls, by their number and by the numbers of their callers."""

    def __init__(self) -> None:
        self.by_number: dict[int, Call] = {}
        self.by_caller: dict[int, Call] = {}
        self._last_number = 0

    def next_number(self) -> int:
        """Return a number that no call has had."""
        self._last_number += 1
        return self._last_number

    def add(self, call: Call) -> None:
        """Add a call with its callers."""
        self.by_number[call.number] = call
        for caller_id in call.caller_ids:
            self.by_caller[caller_id] = call

    def join(self, number: int, caller_id: int) -> None:
        """Let one more caller wait for an open call."""
        call = self.by_number[number]
        call.caller_ids.append(caller_id)
        self.by_caller[caller_id] = call

    def forget_if_ended(self, call: Call) -> None:
        """Forget an answered call once no attempt is in flight."""
        if call.is_answered and not call.has_open_attempt():
            self.by_number.pop(call.number, None)
