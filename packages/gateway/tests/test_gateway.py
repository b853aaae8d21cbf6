"""Tests of the Gateway: final answers, repeats, callers that leave, stored executions and shared state."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from walnutpost.gateway import (
    AnswerCaller,
    AttemptEnded,
    CallArrived,
    CallerLeft,
    CallStopped,
    Cancel,
    Catalogue,
    Execution,
    ExecutionStatus,
    Failed,
    Failure,
    Function,
    Gateway,
    ListedWorker,
    LoadOrder,
    LoadOrderEnded,
    Rejected,
    Send,
    Served,
    TimerDue,
    UnknownNameError,
    WorkersListed,
    recovery_time_left_us,
    with_final_status,
)
from walnutpost.gateway.catalogue import NumberedNames, name_hash
from walnutpost.gateway.recent_outcomes import ENTRY_BYTES, RecentOutcomes
from walnutpost.interface import Effect, ListKind, Outcome, RequestArrived
from walnutpost.testsupport.policy.harness import SAFE_CLASS, SECOND_US, SETTINGS, UNSAFE_CLASS

CATALOGUE = Catalogue(
    {"price": Function("price", 0, 300.0, 2.0), "reserve": Function("reserve", 1, 300.0, 1.0)}
)
GATEWAY_SETTINGS = replace(SETTINGS, classes=(SAFE_CLASS, UNSAFE_CLASS))


class GatewayHarness:
    """A Gateway on virtual time, whose workers carry out each load order at once."""

    def __init__(self, workers: int = 3, **options: Any) -> None:
        self.now = 100 * SECOND_US
        self.gateway = Gateway(GATEWAY_SETTINGS, CATALOGUE, 1, **options)
        self.effects: list[Any] = []
        self.last_caller_id = 0
        listed = tuple(ListedWorker(f"w{i}") for i in range(workers))
        self.feed(WorkersListed(ListKind.CACHED, 1, listed))

    def feed(self, event: Any) -> list[Any]:
        effects = self.gateway.handle(self.now, event)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, LoadOrder) and effect.copies:
                self.feed(LoadOrderEnded(effect.worker, effect.function, Outcome.OK, 1000, effect.copies))
        return effects

    def start_call(self, function: str = "price", **fields: Any) -> int:
        self.last_caller_id += 1
        all_fields: dict[str, Any] = {"payload": b"1", "time_left_us": 3 * SECOND_US} | fields
        self.feed(CallArrived(self.last_caller_id, function, **all_fields))
        return self.last_caller_id

    def sends(self) -> list[Send]:
        return [e for e in self.effects if isinstance(e, Send)]

    def answers(self, caller_id: int) -> list[Any]:
        return [e.final for e in self.effects if isinstance(e, AnswerCaller) and e.caller_id == caller_id]

    def end_attempt(self, outcome: Outcome = Outcome.OK, index: int = -1, **fields: Any) -> None:
        send = self.sends()[index]
        self.feed(AttemptEnded(send.call, send.attempt, outcome, 1000, **fields))

    def advance(self, delay: int) -> None:
        """Advance the time by `delay` us. Timers are due every 20 ms in the first 4 s, and at the end."""
        end = self.now + delay
        for _ in range(200):
            self.now = min(end, self.now + 20_000)
            self.feed(TimerDue(1))
            if self.now == end:
                return
        self.now = end
        self.feed(TimerDue(1))


def test_second_answer_to_a_call_is_ignored() -> None:
    harness = GatewayHarness()
    caller_id = harness.start_call()
    harness.end_attempt(payload=b"five")
    harness.end_attempt(payload=b"six")
    assert [a.payload for a in harness.answers(caller_id)] == [b"five"]
    assert harness.gateway.open_calls == 0


def test_repeat_joins_the_open_call_or_gets_its_remembered_outcome() -> None:
    harness = GatewayHarness()
    first = harness.start_call("reserve", idempotency_key="id")
    second = harness.start_call("reserve", idempotency_key="id")
    harness.end_attempt(payload=b"x")
    third = harness.start_call("reserve", idempotency_key="id")
    assert [harness.answers(caller_id)[0].payload for caller_id in (first, second, third)] == [b"x"] * 3
    assert len(harness.sends()) == 1


CHANGED_FIELDS: dict[str, dict[str, Any]] = {
    "payload": {"payload": b"2"},
    "tenant": {"tenant": "b"},
    "key": {"idempotency_key": "id2"},
}


@pytest.mark.parametrize("name", CHANGED_FIELDS)
def test_call_with_another_payload_tenant_or_key_is_not_a_repeat(name: str) -> None:
    harness = GatewayHarness()
    harness.start_call("reserve", idempotency_key="id")
    harness.start_call("reserve", **({"idempotency_key": "id"} | CHANGED_FIELDS[name]))
    assert len(harness.sends()) == 2


def test_repeat_of_a_rejected_call_is_a_new_call() -> None:
    harness = GatewayHarness(workers=0)
    first = harness.start_call("reserve", idempotency_key="id")
    harness.advance(4 * SECOND_US)
    assert isinstance(harness.answers(first)[0], Rejected)
    second = harness.start_call("reserve", idempotency_key="id")
    assert not harness.answers(second)
    harness.feed(WorkersListed(ListKind.FULL, 2, (ListedWorker("w"),)))
    harness.advance(SECOND_US)
    harness.end_attempt()
    assert isinstance(harness.answers(second)[0], Served)


def test_answer_after_the_deadline_is_not_served() -> None:
    """The answer arrives before the timer that would end the call."""
    harness = GatewayHarness()
    caller_id = harness.start_call("reserve")
    harness.now += 3 * SECOND_US + 1
    harness.end_attempt()
    assert [type(a) for a in harness.answers(caller_id)] == [Failed]


def test_function_error_is_final_but_worker_error_is_retried_for_a_safe_call() -> None:
    harness = GatewayHarness()
    function_error_caller = harness.start_call()
    harness.end_attempt(Outcome.ERROR, payload=b"trace", is_function_error=True)
    assert harness.answers(function_error_caller)[0].failure is Failure.FUNCTION
    assert harness.answers(function_error_caller)[0].payload == b"trace"
    for worker in ("w0", "w1"):
        harness.feed(LoadOrderEnded(worker, "price", Outcome.OK, 1000, 1))
    worker_error_caller = harness.start_call()
    sends_before = len(harness.sends())
    harness.end_attempt(Outcome.ERROR)
    assert not harness.answers(worker_error_caller)
    assert len(harness.sends()) == sends_before + 1
    unsafe_caller = harness.start_call("reserve")
    harness.end_attempt(Outcome.ERROR)
    assert harness.answers(unsafe_caller)[0].failure is Failure.WORKER


CALLER_LEFT_CASES = [
    # function, sent, continues: an unsafe call that may have run continues, as a repeat must get its outcome
    ("price", True, False),
    ("reserve", True, True),
    ("reserve", False, False),
]


@pytest.mark.parametrize(("function", "sent", "continues"), CALLER_LEFT_CASES)
def test_call_without_callers_continues_only_if_its_outcome_must_be_remembered(
    function: str, sent: bool, continues: bool
) -> None:
    harness = GatewayHarness(workers=3 if sent else 0)
    caller_id = harness.start_call(function, idempotency_key="id")
    assert bool(harness.sends()) == sent
    harness.feed(CallerLeft(caller_id))
    assert (harness.gateway.open_calls == 1) == continues
    assert any(isinstance(e, Cancel) for e in harness.effects) == (sent and not continues)
    assert not harness.answers(caller_id)
    if continues:
        harness.end_attempt(payload=b"x")
        assert harness.answers(harness.start_call(function, idempotency_key="id"))[0].payload == b"x"


def test_if_one_of_two_callers_leaves_the_other_still_gets_the_answer() -> None:
    harness = GatewayHarness()
    first, second = harness.start_call(idempotency_key="id"), harness.start_call(idempotency_key="id")
    harness.feed(CallerLeft(first))
    harness.end_attempt()
    assert not harness.answers(first)
    assert len(harness.answers(second)) == 1


def test_stopped_call_fails_at_once_and_cancels_its_attempt() -> None:
    harness = GatewayHarness()
    caller_id = harness.start_call("reserve", outlives_callers=True)
    harness.feed(CallStopped(caller_id))
    assert harness.answers(caller_id)[0].failure is Failure.STOPPED
    assert any(isinstance(e, Cancel) for e in harness.effects)
    harness.end_attempt()
    assert len(harness.answers(caller_id)) == 1


def test_call_with_an_unknown_name_raises_and_changes_nothing() -> None:
    harness = GatewayHarness()
    cases: list[dict[str, Any]] = [{"function": "nope"}, {"function": "price", "tenant": "nope"}]
    for names in cases:
        gateway = Gateway(GATEWAY_SETTINGS, Catalogue(CATALOGUE.functions, ("a",), "a"), 1)
        with pytest.raises(UnknownNameError):
            gateway.handle(1, CallArrived(1, payload=b"", time_left_us=1, **names))
        assert gateway.open_calls == 0
    assert harness.gateway.open_calls == 0


def test_only_unsafe_durable_calls_must_persist_their_intent() -> None:
    harness = GatewayHarness()
    for function, durable in (("price", True), ("reserve", True), ("reserve", False)):
        harness.start_call(function, is_durable=durable)
        assert harness.sends()[-1].must_persist_intent == (function == "reserve" and durable)


def test_open_call_keeps_the_function_definition_from_its_arrival() -> None:
    """A function changes and is then removed while calls of it are open.

    Open calls keep their class, version and load figures, even if they are retried after the removal. A new
    call of the removed function raises UnknownNameError.
    """
    functions = {"price": Function("price", 0, 300.0, 2.0, version="1")}
    harness = GatewayHarness()
    harness.gateway = Gateway(GATEWAY_SETTINGS, Catalogue(functions, is_dynamic=True), 1)
    routed: list[tuple[int, float, float, int]] = []
    handle = harness.gateway._router.handle

    def record_and_handle(now: int, event: Any) -> Any:
        if isinstance(event, RequestArrived):
            routed.append((event.class_index, event.memory_mb, event.concurrency, event.load_time_us))
        return handle(now, event)

    harness.gateway._router.handle = record_and_handle  # type: ignore[method-assign]
    harness.feed(WorkersListed(ListKind.CACHED, 1, (ListedWorker("w0"), ListedWorker("w1"))))
    first = harness.start_call()
    functions["price"] = Function("price", 1, 500.0, 1.0, 7, version="2")
    second = harness.start_call(is_durable=True)
    del functions["price"]
    with pytest.raises(UnknownNameError):
        harness.start_call()
    assert routed == [(0, 300.0, 2.0, 0), (1, 500.0, 1.0, 7)]
    assert [s.must_persist_intent for s in harness.sends()] == [False, True]  # only the second call is unsafe
    harness.end_attempt(Outcome.ERROR, 0)  # the safe call is sent again although its function was removed
    harness.end_attempt(index=1)
    assert [s.function for s in harness.sends()] == ["price"] * 3
    harness.end_attempt()
    assert [harness.answers(caller_id)[0].version for caller_id in (first, second)] == ["1", "2"]
    assert harness.gateway.open_calls == 0


def test_gateway_with_a_dynamic_catalogue_forgets_names_of_removed_functions() -> None:
    """It keeps under 1,000 of 10,000 names; with a static catalogue, the 1,000 initial ones at least."""
    functions: dict[str, Function] = {}
    harness = GatewayHarness(workers=0)
    for is_dynamic in (True, False):
        functions.clear()
        functions.update({f"old{n}": Function(f"old{n}", 0, 300.0, 1.0) for n in range(1000)})
        harness.gateway = Gateway(GATEWAY_SETTINGS, Catalogue(functions, is_dynamic=is_dynamic), 1)
        for n in range(9000):
            functions.pop(f"old{n}", None)
            functions[f"new{n}"] = Function(f"new{n}", 0, 300.0, 1.0)
            harness.start_call(f"new{n}", time_left_us=1000)
            harness.advance(20 * SECOND_US if n % 100 == 0 else 1000)
        count = harness.gateway.known_function_count
        assert count < 1000 if is_dynamic else count >= 1000


STEPS = st.lists(
    st.tuples(st.sampled_from(["call", "ok", "reset", "leave", "wait"]), st.integers(0, 9)), max_size=40
)


def apply_step(harness: GatewayHarness, step: tuple[str, int]) -> None:
    kind, n = step
    if kind == "call":
        harness.start_call("reserve" if n % 2 else "price", idempotency_key=f"k{n // 4}")
    elif kind in ("ok", "reset") and harness.sends():
        index = n % len(harness.sends())
        harness.end_attempt(Outcome.OK if kind == "ok" else Outcome.RESET, index)
    elif kind == "leave" and harness.last_caller_id:
        harness.feed(CallerLeft(1 + n % harness.last_caller_id))
    else:
        harness.advance(n * SECOND_US // 4)


@given(STEPS, STEPS)
def test_two_gateways_share_no_state(first: list[tuple[str, int]], second: list[tuple[str, int]]) -> None:
    separate = [GatewayHarness(), GatewayHarness()]
    for harness, steps in zip(separate, (first, second), strict=True):
        for step in steps:
            apply_step(harness, step)
    interleaved = [GatewayHarness(), GatewayHarness()]
    for index in range(max(len(first), len(second))):
        for harness, steps in zip(interleaved, (first, second), strict=True):
            if index < len(steps):
                apply_step(harness, steps[index])
    assert [h.effects for h in separate] == [h.effects for h in interleaved]


@given(STEPS)
def test_each_caller_gets_at_most_one_answer_and_in_time(steps: list[tuple[str, int]]) -> None:
    harness = GatewayHarness()
    left_callers: set[int] = set()
    for kind, n in steps:
        if kind == "leave" and harness.last_caller_id:
            left_callers.add(1 + n % harness.last_caller_id)
        apply_step(harness, (kind, n))
    harness.advance(4 * SECOND_US)
    for caller_id in range(1, harness.last_caller_id + 1):
        assert len(harness.answers(caller_id)) <= 1
        assert caller_id in left_callers or len(harness.answers(caller_id)) == 1
    assert harness.gateway.open_calls == 0


def test_outcomes_of_safe_calls_are_evicted_but_those_of_unsafe_calls_are_kept() -> None:
    outcomes = RecentOutcomes(ttl_us=10 * SECOND_US, max_bytes=4 * ENTRY_BYTES)
    served = Served(b"", "w", "1")
    outcomes.record_end(0, "unsafe", Effect.UNSAFE, served)
    for number in range(9):
        outcomes.record_end(0, number, Effect.SAFE, served)
    assert outcomes.outcome(1, "unsafe") is served
    assert outcomes.outcome(1, 0) is None
    assert outcomes.size_bytes <= 4 * ENTRY_BYTES
    for number in range(3):
        assert outcomes.has_capacity(1, Effect.UNSAFE)
        outcomes.record_end(1, f"u{number}", Effect.UNSAFE, served)
    assert not outcomes.has_capacity(2, Effect.UNSAFE)
    assert outcomes.has_capacity(2, Effect.SAFE)
    assert outcomes.has_capacity(11 * SECOND_US, Effect.UNSAFE)
    assert outcomes.outcome(11 * SECOND_US, "unsafe") is None


def test_unsafe_call_is_rejected_if_there_is_no_memory_for_its_outcome() -> None:
    harness = GatewayHarness(max_outcome_bytes=ENTRY_BYTES)
    harness.start_call("reserve", idempotency_key="a")
    harness.end_attempt()
    assert isinstance(harness.answers(harness.start_call("reserve", idempotency_key="b"))[0], Rejected)
    assert len(harness.sends()) == 1


OPEN = Execution("i", "n", "f", "1", None, b"", "d", 0, 10 * SECOND_US)
RECOVERY_CASES = [
    # intended, effect, now, resumes
    (False, Effect.UNSAFE, SECOND_US, True),
    (True, Effect.UNSAFE, SECOND_US, False),
    (True, Effect.KEYED, SECOND_US, False),
    (True, Effect.SAFE, SECOND_US, True),
    (False, Effect.SAFE, 10 * SECOND_US, False),
]


@pytest.mark.parametrize(("intended", "effect", "now", "resumes"), RECOVERY_CASES)
def test_restart_resumes_an_execution_only_if_that_is_safe_and_in_time(
    intended: bool, effect: Effect, now: int, resumes: bool
) -> None:
    result = recovery_time_left_us(replace(OPEN, intended=intended), effect, now)
    assert result == 10 * SECOND_US - now if resumes else isinstance(result, Failed)


FINAL_STATUS_CASES = [
    (Served(b"x", "w", "1"), 1, ExecutionStatus.SUCCEEDED),
    (Failed(Failure.FUNCTION, "m", b"t"), 1, ExecutionStatus.FAILED),
    (Failed(Failure.DEADLINE, "m"), 1, ExecutionStatus.TIMED_OUT),
    (Failed(Failure.STOPPED, "m"), 1, ExecutionStatus.STOPPED),
    (Failed(Failure.RESTART, "m"), 1, ExecutionStatus.FAILED),
    (Rejected("r"), 1, ExecutionStatus.FAILED),
    (Rejected("r"), 10 * SECOND_US, ExecutionStatus.TIMED_OUT),
]


@pytest.mark.parametrize(("final", "now", "status"), FINAL_STATUS_CASES)
def test_final_answer_determines_the_status(final: Any, now: int, status: ExecutionStatus) -> None:
    execution = with_final_status(OPEN, final, now)
    assert execution.status is status
    assert execution.ended_at == now
    assert bool(execution.error_type) == (status is not ExecutionStatus.SUCCEEDED)


def test_numbers_of_names_are_stable_and_unique() -> None:
    assert name_hash("worker-1", 32) == name_hash("worker-1", 32) < 1 << 32
    names = NumberedNames(2, ["a", "b", "c"])
    assert len({names.number(n) for n in "abc"}) == 3
    assert all(names.name(names.number(n)) == n for n in "abc")
