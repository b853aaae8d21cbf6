"""The load-order limit: reservations by themselves, and the router's use of them."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from walnutpost import interface as api
from walnutpost.policy.load_balancing import ATTEMPTS_FOR_COPIES
from walnutpost.policy.load_order_limit import (
    BUDGET_FRACTION_OVERFLOW,
    BUDGET_FRACTION_QUEUED,
    BUDGET_FRACTION_REFRESH,
    LoadOrderLimit,
)
from walnutpost.testsupport.node.ration_checker import Ration, RationLog, breaches_of, describe_breaches
from walnutpost.testsupport.policy.harness import SECOND, SETTINGS, Rig, orders, worker

Outcome = api.Outcome
WINDOW = 2 * SECOND
START = 100 * SECOND


def rationed(free: float = 2.0, share: float = 0.5, window: int = WINDOW) -> api.Settings:
    guards = replace(
        SETTINGS.guards, free_load_orders=free, load_orders_per_request=share, load_order_window_us=window
    )
    return replace(SETTINGS, guards=guards, are_restarts_unseen=True)


def reserved(limit: LoadOrderLimit, now: int, part: float = BUDGET_FRACTION_QUEUED, tries: int = 100) -> int:
    """How many orders fit at this moment, all of which are taken."""
    return sum(limit.reserve(now, part) for _ in range(tries))


def fresh_limit(settings: api.Settings | None = None) -> LoadOrderLimit:
    """A limit whose process began so long ago that its start costs nothing any more."""
    limit = LoadOrderLimit(settings or rationed())
    limit.begin(START - WINDOW - 1)
    return limit


# --- the reservations -------------------------------------------------------------------------------------


@pytest.mark.parametrize(("later", "free"), [(0, 0), (WINDOW, 0), (WINDOW + 1, 2)])
def test_a_start_has_the_free_orders_used_up_for_one_window(later: int, free: int) -> None:
    limit = LoadOrderLimit(rationed())
    limit.begin(START)
    assert reserved(limit, START + later) == free


def test_a_start_on_an_ideal_network_has_the_free_orders() -> None:
    limit = LoadOrderLimit(replace(rationed(), is_ideal_network=True, are_restarts_unseen=False))
    limit.begin(START)
    assert reserved(limit, START) == 2


def test_two_incarnations_in_one_window_stay_within_a_limit_with_fractional_free_orders() -> None:
    """The former life used 3, of 2.5 and the share of one request, just before its end."""
    settings, log = rationed(free=2.5, share=0.5), RationLog()

    def arrive(limit: LoadOrderLimit, now: int) -> None:
        orders_now = reserved(limit, now)
        limit.settle(now, orders_now)
        for _ in range(orders_now):
            log.order_arrived("front", now)

    def count_request(limit: LoadOrderLimit, now: int) -> None:
        limit.count_request(now)
        log.request_written("front", now)

    former, next_one = fresh_limit(settings), LoadOrderLimit(settings)
    arrive(former, START)
    count_request(former, START + 1)
    arrive(former, START + 1)
    next_one.begin(START + 2)
    count_request(next_one, START + 3)
    arrive(next_one, START + 3)
    found = log.breaches(Ration(2.5, 0.5, WINDOW))
    assert not found, describe_breaches(found)


def test_an_open_order_counts_for_as_long_as_it_is_unanswered() -> None:
    limit = fresh_limit()
    assert reserved(limit, START) == 2
    assert reserved(limit, START + 50 * WINDOW) == 0


def test_all_open_orders_are_at_most_the_free_ones_where_no_request_came_since() -> None:
    """They may arrive together, long after the requests that came before."""
    limit = fresh_limit()
    for _ in range(100):
        limit.count_request(START)
    assert reserved(limit, START) == 2


def test_orders_that_arrived_leave_capacity_for_requests_that_came_after_them() -> None:
    limit = fresh_limit()
    assert reserved(limit, START) == 2
    limit.settle(START, 2)
    for _ in range(4):
        limit.count_request(START + 1)
    assert reserved(limit, START + 1) == 2, "4 requests at a share of 0.5"


def test_a_request_of_the_moment_an_order_arrived_is_one_window_old_with_it() -> None:
    limit = fresh_limit()
    assert reserved(limit, START) == 2
    limit.settle(START, 2)
    for _ in range(4):
        limit.count_request(START)
    assert reserved(limit, START) == 0


@pytest.mark.parametrize(("age", "fits"), [(WINDOW, 0), (WINDOW + 1, 2)])
def test_an_order_counts_from_its_answer_for_one_window_more(age: int, fits: int) -> None:
    limit = fresh_limit()
    assert reserved(limit, START) == 2
    answered = START + 3 * WINDOW
    limit.settle(answered, 2)
    assert reserved(limit, answered + age) == fits


@pytest.mark.parametrize(("age", "fits"), [(WINDOW - 1, 1), (WINDOW, 0)])
def test_requests_exactly_one_window_old_do_not_count(age: int, fits: int) -> None:
    limit = fresh_limit(rationed(free=2.0, share=1.0))
    came = START + 2
    assert reserved(limit, START + 1) == 2
    limit.settle(came - 1, 2)
    limit.count_request(came)
    limit._forget_before(came + age - WINDOW)
    assert len(limit.request_arrivals_us) == fits


def test_an_order_that_was_never_sent_is_given_back_at_once() -> None:
    limit = fresh_limit()
    assert reserved(limit, START) == 2
    limit.settle(0)
    assert reserved(limit, START) == 1


def test_without_a_window_there_is_no_limit() -> None:
    limit = LoadOrderLimit(rationed(free=0.0, share=0.0, window=0))
    limit.begin(START)
    assert reserved(limit, START, tries=50) == 50


@pytest.mark.parametrize(
    ("part", "fits"),
    [(BUDGET_FRACTION_QUEUED, 10), (BUDGET_FRACTION_OVERFLOW, 8), (BUDGET_FRACTION_REFRESH, 5), (0.0, 0)],
)
def test_each_purpose_has_its_budget_fraction(part: float, fits: int) -> None:
    limit = fresh_limit(rationed(free=10.0, share=0.0))
    assert reserved(limit, START, part) == fits


def test_the_rest_of_the_limit_is_left_for_queued_requests() -> None:
    limit = fresh_limit(rationed(free=10.0, share=0.0))
    assert reserved(limit, START, BUDGET_FRACTION_REFRESH) == 5
    assert reserved(limit, START, BUDGET_FRACTION_OVERFLOW) == 3
    assert reserved(limit, START, BUDGET_FRACTION_QUEUED) == 2


def test_memory_does_not_grow_with_requests_where_no_order_is_reserved() -> None:
    limit = fresh_limit()
    for second in range(1, 2_000):
        limit.count_request(START + second * SECOND)
        assert len(limit.request_arrivals_us) <= WINDOW // SECOND


def test_memory_does_not_grow_with_orders() -> None:
    limit = fresh_limit()
    for turn in range(500):
        now = START + turn * (WINDOW + 1)
        assert reserved(limit, now) == 2
        limit.settle(now, 2)
        assert len(limit._arrivals_us) <= 2


# --- the router's use -------------------------------------------------------------------------------------


class RationRig(Rig):
    """A router past the first window of its life, whose transport tells of each order what it wanted."""

    def __init__(self, settings: api.Settings | None = None, workers: int = 8, first_window: bool = False):
        super().__init__(workers=workers, settings=settings or rationed())
        if not first_window:
            self.now += WINDOW + 1
        self.function = 100

    def ask_new(self, waited: int = 0) -> int:
        """A request for a function that no other named."""
        self.function += 1
        self._next += 1
        event = api.RequestArrived(
            self._next, 0, 0, self.function, 3 * SECOND, None, 300.0, 2, SECOND // 2, False, waited
        )
        self.feed(event)
        return self._next

    def ordered(self, requests: int = 10, waited: int = 0) -> list[api.LoadOrder]:
        """The orders for so many new functions."""
        found: list[api.LoadOrder] = []
        for _ in range(requests):
            self.ask_new(waited)
            found += orders(self.actions)
        return found

    def order_ended(self, order: api.LoadOrder, outcome: Outcome = Outcome.OK) -> list[api.Action]:
        stood = order.copies if outcome is Outcome.OK else 0
        event = api.LoadOrderEnded(order.worker, order.function, outcome, 500_000, stood, order.copies)
        return self.feed(event)

    @property
    def open_orders(self) -> int:
        return self.router.load_orders.limit.open_orders

    @property
    def counted(self) -> list[int]:
        return self.router.load_orders.limit.request_arrivals_us


def test_the_first_window_after_a_start_has_no_orders_and_the_next_has_the_free_ones() -> None:
    rig = RationRig(first_window=True)
    assert not rig.ordered()
    rig.now += WINDOW
    assert not rig.ordered()
    rig.now += 1
    assert len(rig.ordered()) == 2


def test_the_first_window_orders_at_once_on_an_ideal_network() -> None:
    rig = RationRig(replace(rationed(), is_ideal_network=True, are_restarts_unseen=False), first_window=True)
    assert len(rig.ordered(1)) == 1


def test_requests_of_the_first_window_count_once_answered() -> None:
    settings = replace(rationed(share=1.0), loads_on_miss=True)
    rig = RationRig(settings, first_window=True)
    rid = rig.ask_new()
    sent = [a for a in rig.actions if isinstance(a, api.Send)]
    assert len(sent) == 1, "with the ration spent it loads on the miss"
    rig.now += 1
    rig.feed(api.RequestArrived(999, 0, 0, 1, 3 * SECOND, None, 300.0, 2, SECOND // 2, False))
    second = next(a for a in rig.actions if isinstance(a, api.Send))
    rig.attempt_ended(rid, 0, sent[0].worker)
    rig.attempt_ended(999, 0, second.worker)
    assert len(rig.ordered()) == 1, "the request of the very moment of the start is as old as what it charges"


def test_unanswered_orders_stay_reserved_beyond_the_window() -> None:
    rig = RationRig()
    assert len(rig.ordered()) == 2
    rig.now += 10 * WINDOW
    assert not rig.ordered()
    assert rig.open_orders == 2


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS])
@pytest.mark.parametrize(("age", "room"), [(WINDOW, False), (WINDOW + 1, True)])
def test_an_answered_order_counts_one_window_more(outcome: Outcome, age: int, room: bool) -> None:
    rig = RationRig(rationed(free=1.0, share=0.0))
    (order,) = rig.ordered()
    rig.now += 3 * WINDOW
    rig.order_ended(order, outcome)
    rig.now += age
    assert bool(rig.ordered(1)) is room


@pytest.mark.parametrize("outcome", [Outcome.MOOT, Outcome.CONNECT_FAILED])
def test_an_order_that_was_never_sent_is_given_back_by_the_router(outcome: Outcome) -> None:
    rig = RationRig(rationed(free=1.0, share=0.0))
    (order,) = rig.ordered()
    again = orders(rig.order_ended(order, outcome)) + rig.ordered()
    assert len(again) == 1
    assert rig.open_orders == 1


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_order_without_an_answer_stays_charged(outcome: Outcome) -> None:
    rig = RationRig(rationed(free=1.0, share=0.0))
    (order,) = rig.ordered()
    assert not orders(rig.order_ended(order, outcome))
    rig.now += 20 * WINDOW
    assert not rig.ordered()
    assert rig.open_orders == 1


def patient(settings: api.Settings) -> api.Settings:
    """Held requests keep all attempts for copies: none is out at a worker while the ration is spent."""
    return replace(settings, limits=replace(settings.limits, max_attempts=ATTEMPTS_FOR_COPIES))


def late_order(outcome: Outcome) -> tuple[RationRig, api.LoadOrder]:
    rig = RationRig(patient(rationed(free=1.0, share=0.0)))
    (order,) = rig.ordered()
    rig.order_ended(order, outcome)
    rig.now += 3 * WINDOW
    return rig, order


def settles(rig: RationRig) -> None:
    """The late order now counts as one that arrived a grace later, and for one window."""
    assert rig.open_orders == 0
    rig.now += WINDOW + rig.router.context.grace_us
    assert not rig.ordered(1)
    rig.now += 1
    assert rig.ordered(1)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
@pytest.mark.parametrize("answer", [Outcome.OK, Outcome.ERROR, Outcome.FULL])
def test_a_late_order_settles_when_its_worker_answers_a_probe(outcome: Outcome, answer: Outcome) -> None:
    rig, order = late_order(outcome)
    rig.feed(api.LoadOrderEnded(order.worker, order.function, answer, 1_000, 0))
    settles(rig)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_a_late_order_does_not_settle_when_another_worker_answers(outcome: Outcome) -> None:
    rig, order = late_order(outcome)
    other = order.worker % 8 + 1
    rig.feed(api.LoadOrderEnded(other, order.function, Outcome.OK, 1_000, 0))
    rig.now += 2 * WINDOW
    assert rig.open_orders == 1
    assert not rig.ordered(1)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_a_late_order_settles_when_its_worker_is_forgotten_as_gone(outcome: Outcome) -> None:
    rig, order = late_order(outcome)
    rig.list_workers(api.ListKind.DELTA, worker(order.worker, api.WorkerState.GONE))
    settles(rig)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_a_late_order_stays_charged_while_its_worker_drains(outcome: Outcome) -> None:
    rig, order = late_order(outcome)
    rig.list_workers(api.ListKind.DELTA, worker(order.worker, api.WorkerState.DRAINING))
    rig.now += 2 * WINDOW
    assert rig.open_orders == 1
    assert not rig.ordered(1)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_a_late_order_settles_when_its_worker_restarts(outcome: Outcome) -> None:
    rig, order = late_order(outcome)
    rig.list_workers(api.ListKind.DELTA, worker(order.worker, started=rig.now))
    settles(rig)


def out_before_late_orders() -> tuple[RationRig, list[api.Send], list[api.LoadOrder]]:
    """Attempts are out at all workers; then come six orders, whose connections break and hold them back."""
    rig = RationRig(rationed(free=6.0, share=0.0), first_window=True)
    for _ in range(30):
        rig.ask_new()
    sent = [action for action in rig.all if isinstance(action, api.Send)]
    rig.now += WINDOW + 1
    late = rig.ordered(30)
    for order in late:
        rig.order_ended(order, Outcome.RESET)
    assert len(late) == 6
    assert {order.worker for order in late} <= {send.worker for send in sent}
    return rig, sent, late


def test_a_late_order_stays_charged_when_its_worker_answers_what_was_sent_before_it() -> None:
    """Such an answer may have been on its way since before the cut that holds the order."""
    rig, sent, late = out_before_late_orders()
    rig.now += 1
    for send in sent:
        rig.attempt_ended(send.request, 0, send.worker)
    assert rig.open_orders == len(late)


def test_late_orders_and_those_after_them_arrive_together_within_the_limit() -> None:
    rig, sent, late = out_before_late_orders()
    rig.now += 1
    for send in sent:
        rig.attempt_ended(send.request, 0, send.worker)
    rig.now += WINDOW + 2 * rig.router.context.grace_us
    arrived = len(late) + len(rig.ordered(30))  # the cut heals now
    found = breaches_of(Ration.on_sockets(6.0, 0.0, WINDOW), "front", [rig.now] * arrived, [])
    assert not found, describe_breaches(found)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_a_late_order_stays_charged_when_its_worker_restarted_before_it(outcome: Outcome) -> None:
    """The list tells of a restart later than it was; the order is on its way to the new life."""
    rig = RationRig(patient(rationed(free=1.0, share=0.0)))
    restarted = rig.now
    rig.now += SECOND // 10
    (order,) = rig.ordered()
    rig.now += SECOND // 10
    rig.order_ended(order, outcome)
    rig.now += SECOND // 10
    rig.list_workers(api.ListKind.DELTA, worker(order.worker, started=restarted))
    assert rig.open_orders == 1


def test_an_ideal_network_that_tells_what_an_order_wanted_settles_it_once() -> None:
    rig = RationRig(replace(rationed(), is_ideal_network=True, are_restarts_unseen=False))
    (order,) = rig.ordered(1)
    rig.order_ended(order)
    assert rig.open_orders == 0


def test_an_order_to_a_worker_that_left_meanwhile_settles_with_its_end() -> None:
    rig = RationRig(patient(rationed(free=1.0, share=0.0)))
    (order,) = rig.ordered()
    rig.list_workers(api.ListKind.DELTA, worker(order.worker, api.WorkerState.GONE))
    assert rig.open_orders == 1
    rig.order_ended(order, Outcome.RESET)
    assert rig.open_orders == 0


def test_a_probe_that_ends_settles_no_order() -> None:
    rig = RationRig(rationed(free=1.0, share=0.0))
    (order,) = rig.ordered()
    rig.feed(api.LoadOrderEnded(order.worker, order.function, Outcome.OK, 1_000, 1, 0))
    assert rig.open_orders == 1


def test_a_worker_silent_since_an_overdue_order_gets_no_further_one_and_another_does() -> None:
    rig = RationRig(rationed(free=50.0, share=0.0))
    silent = rig.ordered(1)[0].worker
    rig.now += 4 * SECOND  # the usual load is half a second
    later = rig.ordered(40)
    assert later
    assert silent not in {order.worker for order in later}


def test_a_worker_that_answered_since_gets_further_orders() -> None:
    rig = RationRig(rationed(free=50.0, share=0.0))
    (first,) = rig.ordered(1)
    rig.now += 4 * SECOND
    rig.feed(api.LoadOrderEnded(first.worker, first.function, Outcome.OK, 1_000, 0))
    assert first.worker in {order.worker for order in rig.ordered(40)}


# --- the requests that count ------------------------------------------------------------------------------


def asked(waited: int = 0) -> tuple[RationRig, int, int]:
    """A request that is out at a worker, alone in its router."""
    rig = RationRig(rationed(free=2.0, share=0.5))
    request = rig.ask_new(waited)
    (order,) = orders(rig.actions)
    sent = [a for a in rig.order_ended(order) if isinstance(a, api.Send)]
    return rig, request, sent[0].worker


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.FULL, Outcome.MISS])
def test_a_request_counts_from_its_arrival_once_a_worker_proved_it_genuine(outcome: Outcome) -> None:
    rig, request, where = asked()
    came = rig.now
    assert rig.counted == []
    rig.now += SECOND
    rig.attempt_ended(request, 0, where, outcome)
    assert rig.counted == [came]


def test_a_request_that_waited_counts_from_the_earliest_moment_it_may_have_come() -> None:
    rig, request, where = asked(waited=300_000)
    rig.attempt_ended(request, 0, where)
    assert rig.counted == [rig.now - 300_000]


@pytest.mark.parametrize(
    "outcome",
    [Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.CANCELLED],
)
def test_a_request_that_no_worker_proved_genuine_does_not_count(outcome: Outcome) -> None:
    rig, request, where = asked()
    rig.attempt_ended(request, 0, where, outcome)
    assert rig.counted == []


def test_a_request_counts_once_however_often_workers_answer_it() -> None:
    rig, request, where = asked()
    came = rig.now
    attempt = 0
    for _ in range(6):
        actions = rig.attempt_ended(request, attempt, where, Outcome.FULL)
        again = [a for a in actions if isinstance(a, api.Send) and a.request == request]
        if again:
            attempt, where = attempt + 1, again[0].worker
        else:
            for order in orders(actions):
                for sent in (a for a in rig.order_ended(order) if isinstance(a, api.Send)):
                    attempt, where = attempt + 1, sent.worker
    assert attempt > 0
    assert rig.counted == [came]


def test_a_request_that_is_cancelled_does_not_count() -> None:
    rig = RationRig()
    rig.feed(api.RequestCancelled(rig.ask_new()))
    rig.pass_time(5 * SECOND)
    assert rig.counted == []


def test_a_request_cancelled_while_in_flight_does_not_count_by_its_cancelled_attempt() -> None:
    rig, request, where = asked()
    rig.feed(api.RequestCancelled(request))
    rig.attempt_ended(request, 0, where, Outcome.CANCELLED)
    assert rig.counted == []


def test_a_cancelled_request_does_not_count_by_an_answer_that_crossed_the_cancel() -> None:
    rig, request, where = asked()
    rig.feed(api.RequestCancelled(request))
    rig.attempt_ended(request, 0, where, Outcome.OK)
    assert rig.counted == []


def test_cancelling_an_answered_request_leaves_the_others_counted() -> None:
    rig, request, where = asked()
    rig.attempt_ended(request, 0, where)
    assert len(rig.counted) == 1
    rig.feed(api.RequestCancelled(request))
    assert len(rig.counted) == 1


def test_a_request_that_is_never_answered_does_not_count() -> None:
    rig = RationRig(rationed(free=0.0))
    rig.ask_new()
    rig.pass_time(5 * SECOND)
    assert rig.counted == []


def test_every_request_counts_as_it_comes_on_an_ideal_network() -> None:
    rig = RationRig(replace(rationed(), is_ideal_network=True, are_restarts_unseen=False))
    rig.ask_new()
    assert rig.counted == [rig.now]


def test_requests_of_a_long_day_leave_no_memory() -> None:
    rig, request, where = asked()
    for _ in range(300):
        rig.attempt_ended(request, 0, where)
        rig.now += SECOND
        request = rig.ask(function=rig.function)
        sent = [a for a in rig.actions if isinstance(a, api.Send) and a.request == request]
        for order in orders(rig.actions):
            rig.order_ended(order)
        where = sent[0].worker
    assert 1 <= len(rig.counted) <= WINDOW // SECOND + 1


ENDS = [
    Outcome.OK,
    Outcome.OK,
    Outcome.FULL,
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.RESET,
    Outcome.MOOT,
    Outcome.CONNECT_FAILED,
]


@pytest.mark.parametrize("seed", range(5))
def test_once_every_order_ended_and_every_worker_answered_no_reservation_stays_open(seed: int) -> None:
    random = Random(seed)
    rig = RationRig(rationed(free=20.0), workers=6)
    out: list[api.LoadOrder] = []
    given, starts = 0, dict.fromkeys(range(1, 7), 0)
    for _ in range(1_500):
        rig.now += random.randrange(SECOND // 4)
        choice = random.random()
        if choice < 0.6 or not out:
            rig.ask_new()
        elif choice < 0.95:
            rig.order_ended(out.pop(random.randrange(len(out))), random.choice(ENDS))
        else:
            wid, state = random.randint(1, 6), random.choice(list(api.WorkerState))
            starts[wid] = max(starts[wid], rig.now * random.randint(0, 1))
            rig.list_workers(api.ListKind.DELTA, worker(wid, state, starts[wid]))
        out += orders(rig.actions)
        given += len(orders(rig.actions))
        assert rig.open_orders >= len(out)
    while out:
        rig.order_ended(out.pop(), random.choice(ENDS))
        out += orders(rig.actions)
    late = sum(len(w.unresolved_orders_us) for w in rig.router.endpoints.workers.values())
    assert given > 50
    assert rig.open_orders == late
    for wid in range(1, 7):
        rig.feed(api.LoadOrderEnded(wid, 1, Outcome.OK, 1_000, 0))
    while more := orders(rig.pass_time(SECOND)):
        for order in more:
            rig.order_ended(order)
    assert rig.open_orders == 0
