"""Open calls with their callers and attempts."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from hashlib import blake2b

from walnutpost import interface as api
from walnutpost.gateway.catalogue import Function
from walnutpost.gateway.inputs import CallArrived
from walnutpost.policy import NEVER_RAN

PAYLOAD_DIGEST_BYTES = 16


def identity_of(event: CallArrived) -> Hashable:
    """Return the key that repeats of a call share, or None if the client gave no idempotency key."""
    if not event.idempotency_key:
        return None
    digest = blake2b(event.payload, digest_size=PAYLOAD_DIGEST_BYTES).digest()
    return event.idempotency_key, event.tenant, event.function, digest


@dataclass(slots=True, eq=False)
class Call:
    """A call that has no final answer yet or still has an attempt in flight.

    `workers` and `outcomes` have one entry per attempt, by attempt number; an outcome is None while its
    attempt is in flight. `identity` is the result of `identity_of`.
    """

    number: int
    function: Function
    request_class: api.RequestClass
    tenant: str | None
    payload: bytes
    deadline_us: int
    identity: Hashable
    is_durable: bool
    outlives_callers: bool
    caller_ids: list[int]  # callers that wait for the answer
    workers: list[str] = field(default_factory=list)
    outcomes: list[api.Outcome | None] = field(default_factory=list)
    last_result: str = "nothing was sent"  # how the last attempt ended; part of error messages
    is_answered: bool = False

    def begin_attempt(self, worker: str) -> int:
        """Add an attempt at the worker and return its number, counted from 0."""
        self.workers.append(worker)
        self.outcomes.append(None)
        return len(self.outcomes) - 1

    def may_have_run(self) -> bool:
        """Whether a worker may have started to run the call; True while an attempt is in flight."""
        return any(outcome not in NEVER_RAN for outcome in self.outcomes)

    def has_open_attempt(self) -> bool:
        """Whether an attempt is in flight."""
        return None in self.outcomes

    def must_remember_outcome(self) -> bool:
        """Whether a repeat of the call must get this outcome because a second run could take effect again."""
        is_deduplicated = self.identity is not None and self.request_class.effect is not api.Effect.SAFE
        return is_deduplicated and self.may_have_run()


class CallTable:
    """Open calls by call number and by caller ID."""

    def __init__(self) -> None:
        self.by_number: dict[int, Call] = {}
        self.by_caller: dict[int, Call] = {}
        self._last_number = 0

    def next_number(self) -> int:
        """Return a call number that has not been used before."""
        self._last_number += 1
        return self._last_number

    def add(self, call: Call) -> None:
        """Add a call and index it by its callers."""
        self.by_number[call.number] = call
        for caller_id in call.caller_ids:
            self.by_caller[caller_id] = call

    def join(self, number: int, caller_id: int) -> None:
        """Add a caller that waits for an open call."""
        call = self.by_number[number]
        call.caller_ids.append(caller_id)
        self.by_caller[caller_id] = call

    def remove_if_ended(self, call: Call) -> None:
        """Remove the call if it is answered and has no attempt in flight."""
        if call.is_answered and not call.has_open_attempt():
            self.by_number.pop(call.number, None)
