"""The library: one final answer, repeats, late answers, callers that leave, and no shared state."""

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
    Status,
    TimerDue,
    UnknownNameError,
    WorkersListed,
    recovery_time_left_us,
    with_final_status,
)
from walnutpost.gateway.catalogue import NumberedNames, number_of
from walnutpost.gateway.recent_outcomes import ENTRY_BYTES, RecentOutcomes
from walnutpost.interface import Effect, ListKind, Outcome, RequestArrived
from walnutpost.testsupport.policy.harness import SAFE, SECOND, SETTINGS, UNSAFE

CATALOGUE = Catalogue(
    {"price": Function("price", 0, 300.0, 2.0), "reserve": Function("reserve", 1, 300.0, 1.0)}
)
SITE = replace(SETTINGS, classes=(SAFE, UNSAFE))


class Rig:
    """A gateway, its clock, and a world that answers orders at once."""

    def __init__(self, workers: int = 3, **more: Any) -> None:
        self.now = 100 * SECOND
        self.gateway = Gateway(SITE, CATALOGUE, 1, **more)
        self.effects: list[Any] = []
        self.caller_ids = 0
        listed = tuple(ListedWorker(f"w{i}") for i in range(workers))
        self.feed(WorkersListed(ListKind.CACHED, 1, listed))

    def feed(self, event: Any) -> list[Any]:
        effects = self.gateway.handle(self.now, event)
        self.effects += effects
        for effect in effects:
            if isinstance(effect, LoadOrder) and effect.copies:
                self.feed(LoadOrderEnded(effect.worker, effect.function, Outcome.OK, 1000, effect.copies))
        return effects

    def ask(self, function: str = "price", **more: Any) -> int:
        self.caller_ids += 1
        told: dict[str, Any] = {"payload": b"1", "time_left_us": 3 * SECOND} | more
        self.feed(CallArrived(self.caller_ids, function, **told))
        return self.caller_ids

    def starts(self) -> list[Send]:
        return [e for e in self.effects if isinstance(e, Send)]

    def answers(self, caller_id: int) -> list[Any]:
        return [e.final for e in self.effects if isinstance(e, AnswerCaller) and e.caller_id == caller_id]

    def done(self, outcome: Outcome = Outcome.OK, place: int = -1, **more: Any) -> None:
        start = self.starts()[place]
        self.feed(AttemptEnded(start.call, start.attempt, outcome, 1000, **more))

    def later(self, delay: int) -> None:
        """Time passes; every timer that was armed comes due in order."""
        end = self.now + delay
        for _ in range(200):
            self.now = min(end, self.now + 20_000)
            self.feed(TimerDue(1))
            if self.now == end:
                return
        self.now = end
        self.feed(TimerDue(1))


def test_a_call_is_served_once() -> None:
    rig = Rig()
    caller_id = rig.ask()
    rig.done(payload=b"five")
    rig.done(payload=b"six")
    assert [a.payload for a in rig.answers(caller_id)] == [b"five"]
    assert rig.gateway.open_calls == 0


def test_a_repeat_joins_the_open_call_and_gets_its_outcome_after() -> None:
    rig = Rig()
    first = rig.ask("reserve", idempotency_key="id")
    second = rig.ask("reserve", idempotency_key="id")
    rig.done(payload=b"x")
    third = rig.ask("reserve", idempotency_key="id")
    assert [rig.answers(t)[0].payload for t in (first, second, third)] == [b"x"] * 3
    assert len(rig.starts()) == 1


OTHER: dict[str, dict[str, Any]] = {
    "payload": {"payload": b"2"},
    "tenant": {"tenant": "b"},
    "key": {"idempotency_key": "id2"},
}


@pytest.mark.parametrize("name", OTHER)
def test_another_payload_tenant_or_id_is_another_call(name: str) -> None:
    rig = Rig()
    rig.ask("reserve", idempotency_key="id")
    rig.ask("reserve", **({"idempotency_key": "id"} | OTHER[name]))
    assert len(rig.starts()) == 2


def test_a_rejection_is_not_remembered_since_it_invites_the_next_attempt() -> None:
    rig = Rig(workers=0)
    first = rig.ask("reserve", idempotency_key="id")
    rig.later(4 * SECOND)
    assert isinstance(rig.answers(first)[0], Rejected)
    second = rig.ask("reserve", idempotency_key="id")
    assert not rig.answers(second)
    rig.feed(WorkersListed(ListKind.FULL, 2, (ListedWorker("w"),)))
    rig.later(SECOND)
    rig.done()
    assert isinstance(rig.answers(second)[0], Served)


def test_an_answer_after_the_callers_time_is_not_served() -> None:
    """Also where it comes before the timer that would have ended the call."""
    rig = Rig()
    caller_id = rig.ask("reserve")
    rig.now += 3 * SECOND + 1
    rig.done()
    assert [type(a) for a in rig.answers(caller_id)] == [Failed]


def test_the_functions_own_error_is_final_and_a_workers_is_not() -> None:
    rig = Rig()
    own = rig.ask()
    rig.done(Outcome.ERROR, payload=b"trace", is_function_error=True)
    assert rig.answers(own)[0].failure is Failure.FUNCTION
    assert rig.answers(own)[0].payload == b"trace"
    for worker in ("w0", "w1"):
        rig.feed(LoadOrderEnded(worker, "price", Outcome.OK, 1000, 1))
    other = rig.ask()
    before = len(rig.starts())
    rig.done(Outcome.ERROR)
    assert not rig.answers(other)
    assert len(rig.starts()) == before + 1
    unsafe = rig.ask("reserve")
    rig.done(Outcome.ERROR)
    assert rig.answers(unsafe)[0].failure is Failure.WORKER


LEAVES = [
    # function, sent, goes on: an unsafe call that may have run must keep its outcome for the next asking
    ("price", True, False),
    ("reserve", True, True),
    ("reserve", False, False),
]


@pytest.mark.parametrize(("function", "sent", "goes_on"), LEAVES)
def test_a_call_whose_caller_left_goes_on_only_where_its_outcome_must_be_known(
    function: str, sent: bool, goes_on: bool
) -> None:
    rig = Rig(workers=3 if sent else 0)
    caller_id = rig.ask(function, idempotency_key="id")
    assert bool(rig.starts()) == sent
    rig.feed(CallerLeft(caller_id))
    assert (rig.gateway.open_calls == 1) == goes_on
    assert any(isinstance(e, Cancel) for e in rig.effects) == (sent and not goes_on)
    assert not rig.answers(caller_id)
    if goes_on:
        rig.done(payload=b"x")
        assert rig.answers(rig.ask(function, idempotency_key="id"))[0].payload == b"x"


def test_when_one_of_two_callers_leaves_the_other_gets_its_answer() -> None:
    rig = Rig()
    first, second = rig.ask(idempotency_key="id"), rig.ask(idempotency_key="id")
    rig.feed(CallerLeft(first))
    rig.done()
    assert not rig.answers(first)
    assert len(rig.answers(second)) == 1


def test_a_stopped_call_ends_at_once() -> None:
    rig = Rig()
    caller_id = rig.ask("reserve", outlives_callers=True)
    rig.feed(CallStopped(caller_id))
    assert rig.answers(caller_id)[0].failure is Failure.STOPPED
    assert any(isinstance(e, Cancel) for e in rig.effects)
    rig.done()
    assert len(rig.answers(caller_id)) == 1


def test_unknown_names_change_nothing() -> None:
    rig = Rig()
    cases: list[dict[str, Any]] = [{"function": "nope"}, {"function": "price", "tenant": "nope"}]
    for more in cases:
        gateway = Gateway(SITE, Catalogue(CATALOGUE.functions, ("a",), "a"), 1)
        with pytest.raises(UnknownNameError):
            gateway.handle(1, CallArrived(1, payload=b"", time_left_us=1, **more))
        assert gateway.open_calls == 0
    assert rig.gateway.open_calls == 0


def test_intent_is_persisted_first_for_unsafe_durable_calls_only() -> None:
    rig = Rig()
    for function, durable in (("price", True), ("reserve", True), ("reserve", False)):
        rig.ask(function, is_durable=durable)
        assert rig.starts()[-1].must_persist_intent == (function == "reserve" and durable)


def test_a_call_keeps_the_function_definition_that_it_arrived_under() -> None:
    """Its class, version and figures, whatever is configured by the time that it is sent again or answered;
    a function that is gone is unknown to new calls, and lets open ones end."""
    functions = {"price": Function("price", 0, 300.0, 2.0, version="1")}
    rig = Rig()
    rig.gateway = Gateway(SITE, Catalogue(functions, is_dynamic=True), 1)
    asked: list[tuple[int, float, float, int]] = []
    handle = rig.gateway._router.handle

    def seen(now: int, event: Any) -> Any:
        if isinstance(event, RequestArrived):
            asked.append((event.class_index, event.memory_mb, event.concurrency, event.load_time_us))
        return handle(now, event)

    rig.gateway._router.handle = seen  # type: ignore[method-assign]
    rig.feed(WorkersListed(ListKind.CACHED, 1, (ListedWorker("w0"), ListedWorker("w1"))))
    first = rig.ask()
    functions["price"] = Function("price", 1, 500.0, 1.0, 7, version="2")
    second = rig.ask(is_durable=True)
    del functions["price"]
    with pytest.raises(UnknownNameError):
        rig.ask()
    assert asked == [(0, 300.0, 2.0, 0), (1, 500.0, 1.0, 7)]
    assert [s.must_persist_intent for s in rig.starts()] == [False, True]  # only the second is unsafe
    rig.done(Outcome.ERROR, 0)  # safe, so it is sent again: its function may be gone by then
    rig.done(place=1)
    assert [s.function for s in rig.starts()] == ["price"] * 3
    rig.done()
    assert [rig.answers(t)[0].version for t in (first, second)] == ["1", "2"]
    assert rig.gateway.open_calls == 0


def test_names_of_changing_functions_are_forgotten() -> None:
    """10,000 functions that were once there leave nothing behind in the front end's own state."""
    functions: dict[str, Function] = {}
    rig = Rig(workers=0)
    for changing in (True, False):
        functions.clear()
        functions.update({f"old{n}": Function(f"old{n}", 0, 300.0, 1.0) for n in range(1000)})
        rig.gateway = Gateway(SITE, Catalogue(functions, is_dynamic=changing), 1)
        for n in range(9000):
            functions.pop(f"old{n}", None)
            functions[f"new{n}"] = Function(f"new{n}", 0, 300.0, 1.0)
            rig.ask(f"new{n}", time_left_us=1000)
            rig.later(20 * SECOND if n % 100 == 0 else 1000)
        held = rig.gateway.known_function_count
        assert held < 1000 if changing else held >= 1000


EVENTS = st.lists(
    st.tuples(st.sampled_from(["ask", "done", "error", "leave", "pass"]), st.integers(0, 9)), max_size=40
)


def play(rig: Rig, step: tuple[str, int]) -> None:
    what, n = step
    if what == "ask":
        rig.ask("reserve" if n % 2 else "price", idempotency_key=f"k{n // 4}")
    elif what in ("done", "error") and rig.starts():
        place = n % len(rig.starts())
        rig.done(Outcome.OK if what == "done" else Outcome.RESET, place)
    elif what == "leave" and rig.caller_ids:
        rig.feed(CallerLeft(1 + n % rig.caller_ids))
    else:
        rig.later(n * SECOND // 4)


@given(EVENTS, EVENTS)
def test_two_in_one_process_share_nothing(left: list[tuple[str, int]], right: list[tuple[str, int]]) -> None:
    alone = [Rig(), Rig()]
    for rig, steps in zip(alone, (left, right), strict=True):
        for step in steps:
            play(rig, step)
    together = [Rig(), Rig()]
    for place in range(max(len(left), len(right))):
        for rig, steps in zip(together, (left, right), strict=True):
            if place < len(steps):
                play(rig, steps[place])
    assert [r.effects for r in alone] == [r.effects for r in together]


@given(EVENTS)
def test_under_any_inputs_each_caller_gets_one_answer_at_most_and_in_time(
    steps: list[tuple[str, int]],
) -> None:
    rig = Rig()
    left: set[int] = set()
    for what, n in steps:
        if what == "leave" and rig.caller_ids:
            left.add(1 + n % rig.caller_ids)
        play(rig, (what, n))
    rig.later(4 * SECOND)
    for caller_id in range(1, rig.caller_ids + 1):
        assert len(rig.answers(caller_id)) <= 1
        assert caller_id in left or len(rig.answers(caller_id)) == 1
    assert rig.gateway.open_calls == 0


def test_outcomes_of_unsafe_calls_stay_while_safe_ones_are_evicted() -> None:
    outcomes = RecentOutcomes(ttl_us=10 * SECOND, max_bytes=4 * ENTRY_BYTES)
    served = Served(b"", "w", "1")
    outcomes.closed(0, "unsafe", Effect.UNSAFE, served)
    for number in range(9):
        outcomes.closed(0, number, Effect.SAFE, served)
    assert outcomes.outcome(1, "unsafe") is served
    assert outcomes.outcome(1, 0) is None
    assert outcomes.size_bytes <= 4 * ENTRY_BYTES
    for number in range(3):
        assert outcomes.has_capacity(1, Effect.UNSAFE)
        outcomes.closed(1, f"u{number}", Effect.UNSAFE, served)
    assert not outcomes.has_capacity(2, Effect.UNSAFE)
    assert outcomes.has_capacity(2, Effect.SAFE)
    assert outcomes.has_capacity(11 * SECOND, Effect.UNSAFE)
    assert outcomes.outcome(11 * SECOND, "unsafe") is None


def test_without_memory_for_its_outcome_an_unsafe_call_is_rejected_at_once() -> None:
    rig = Rig(max_outcome_bytes=ENTRY_BYTES)
    rig.ask("reserve", idempotency_key="a")
    rig.done()
    assert isinstance(rig.answers(rig.ask("reserve", idempotency_key="b"))[0], Rejected)
    assert len(rig.starts()) == 1


OPEN = Execution("i", "n", "f", "1", None, b"", "d", 0, 10 * SECOND)
RESUMES = [
    # intended, effect, now, runs again
    (False, Effect.UNSAFE, SECOND, True),
    (True, Effect.UNSAFE, SECOND, False),
    (True, Effect.KEYED, SECOND, False),
    (True, Effect.SAFE, SECOND, True),
    (False, Effect.SAFE, 10 * SECOND, False),
]


@pytest.mark.parametrize(("intended", "effect", "now", "runs"), RESUMES)
def test_a_restart_resumes_an_open_call_only_if_that_is_safe_and_in_time(
    intended: bool, effect: Effect, now: int, runs: bool
) -> None:
    what = recovery_time_left_us(replace(OPEN, intended=intended), effect, now)
    assert what == 10 * SECOND - now if runs else isinstance(what, Failed)


FATES = [
    (Served(b"x", "w", "1"), 1, Status.SUCCEEDED),
    (Failed(Failure.FUNCTION, "m", b"t"), 1, Status.FAILED),
    (Failed(Failure.DEADLINE, "m"), 1, Status.TIMED_OUT),
    (Failed(Failure.STOPPED, "m"), 1, Status.STOPPED),
    (Failed(Failure.RESTART, "m"), 1, Status.FAILED),
    (Rejected("r"), 1, Status.FAILED),
    (Rejected("r"), 10 * SECOND, Status.TIMED_OUT),
]


@pytest.mark.parametrize(("final", "now", "status"), FATES)
def test_each_final_answer_gives_its_status(final: Any, now: int, status: Status) -> None:
    fate = with_final_status(OPEN, final, now)
    assert fate.status is status
    assert fate.ended_at == now
    assert bool(fate.error_type) == (status is not Status.SUCCEEDED)


def test_numbers_are_the_same_everywhere_and_differ_between_names() -> None:
    assert number_of("worker-1", 32) == number_of("worker-1", 32) < 1 << 32
    tiny = NumberedNames(2, ["a", "b", "c"])
    assert len({tiny.number(n) for n in "abc"}) == 3
    assert all(tiny.name(tiny.number(n)) == n for n in "abc")
