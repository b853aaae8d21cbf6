"""Tests of the load-order limit: its reservations, and how the router uses them."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from walnutpost import interface as api
from walnutpost.policy.load_balancing import RESERVED_COPY_ATTEMPTS
from walnutpost.policy.load_order_limit import (
    BUDGET_FRACTION_OVERFLOW,
    BUDGET_FRACTION_QUEUED,
    BUDGET_FRACTION_REFRESH,
    LoadOrderLimit,
)
from walnutpost.testsupport.node.ration_checker import (
    LoadOrderLog,
    SlidingWindowLimit,
    describe_violations,
    find_violations,
)
from walnutpost.testsupport.policy.harness import (
    SECOND_US,
    SETTINGS,
    RouterHarness,
    listed_worker,
    load_orders,
)

Outcome = api.Outcome
WINDOW_US = 2 * SECOND_US
START_US = 100 * SECOND_US


def limited_settings(
    free_orders: float = 2.0, orders_per_request: float = 0.5, window_us: int = WINDOW_US
) -> api.Settings:
    """Return settings with a load-order limit."""
    guards = replace(
        SETTINGS.guards,
        free_load_orders=free_orders,
        load_orders_per_request=orders_per_request,
        load_order_window_us=window_us,
    )
    return replace(SETTINGS, guards=guards, may_miss_restarts=True)


def reserve_all(
    limit: LoadOrderLimit, now_us: int, budget_fraction: float = BUDGET_FRACTION_QUEUED, max_orders: int = 100
) -> int:
    """Reserve as many orders as fit now, up to `max_orders`, and return their number."""
    return sum(limit.reserve(now_us, budget_fraction) for _ in range(max_orders))


def limit_past_first_window(settings: api.Settings | None = None) -> LoadOrderLimit:
    """Return a limit whose process started more than one window ago, so all free orders are available."""
    limit = LoadOrderLimit(settings or limited_settings())
    limit.begin(START_US - WINDOW_US - 1)
    return limit


# --- Reservations -----------------------------------------------------------------------------------------


@pytest.mark.parametrize(("age_us", "available"), [(0, 0), (WINDOW_US, 0), (WINDOW_US + 1, 2)])
def test_free_orders_are_unavailable_for_one_window_after_a_start(age_us: int, available: int) -> None:
    limit = LoadOrderLimit(limited_settings())
    limit.begin(START_US)
    assert reserve_all(limit, START_US + age_us) == available


def test_free_orders_are_available_at_the_start_on_an_ideal_network() -> None:
    limit = LoadOrderLimit(replace(limited_settings(), is_ideal_network=True, may_miss_restarts=False))
    limit.begin(START_US)
    assert reserve_all(limit, START_US) == 2


def test_two_incarnations_in_one_window_stay_within_a_limit_with_fractional_free_orders() -> None:
    """The previous incarnation sent 3 orders just before its end: 2.5 free ones and 0.5 for one request."""
    settings, log = limited_settings(free_orders=2.5, orders_per_request=0.5), LoadOrderLog()

    def deliver_orders(limit: LoadOrderLimit, now_us: int) -> None:
        count = reserve_all(limit, now_us)
        limit.settle(now_us, count)
        for _ in range(count):
            log.log_load_order("front", now_us)

    def count_request(limit: LoadOrderLimit, now_us: int) -> None:
        limit.count_request(now_us)
        log.log_request("front", now_us)

    previous, current = limit_past_first_window(settings), LoadOrderLimit(settings)
    deliver_orders(previous, START_US)
    count_request(previous, START_US + 1)
    deliver_orders(previous, START_US + 1)
    current.begin(START_US + 2)
    count_request(current, START_US + 3)
    deliver_orders(current, START_US + 3)
    breaches = log.violations(SlidingWindowLimit(2.5, 0.5, WINDOW_US))
    assert not breaches, describe_violations(breaches)


def test_an_open_order_counts_until_it_is_answered() -> None:
    limit = limit_past_first_window()
    assert reserve_all(limit, START_US) == 2
    assert reserve_all(limit, START_US + 50 * WINDOW_US) == 0


def test_open_orders_are_limited_to_the_free_orders_until_a_new_request_arrives() -> None:
    """Open orders may all arrive together, long after the requests that preceded them."""
    limit = limit_past_first_window()
    for _ in range(100):
        limit.count_request(START_US)
    assert reserve_all(limit, START_US) == 2


def test_requests_after_the_arrival_of_an_order_allow_further_orders() -> None:
    limit = limit_past_first_window()
    assert reserve_all(limit, START_US) == 2
    limit.settle(START_US, 2)
    for _ in range(4):
        limit.count_request(START_US + 1)
    assert reserve_all(limit, START_US + 1) == 2, "4 requests at 0.5 orders per request"


def test_a_request_at_the_arrival_time_of_an_order_allows_no_further_order() -> None:
    """Both leave the window at the same time."""
    limit = limit_past_first_window()
    assert reserve_all(limit, START_US) == 2
    limit.settle(START_US, 2)
    for _ in range(4):
        limit.count_request(START_US)
    assert reserve_all(limit, START_US) == 0


@pytest.mark.parametrize(("age_us", "available"), [(WINDOW_US, 0), (WINDOW_US + 1, 2)])
def test_an_answered_order_counts_for_one_more_window(age_us: int, available: int) -> None:
    limit = limit_past_first_window()
    assert reserve_all(limit, START_US) == 2
    answered_us = START_US + 3 * WINDOW_US
    limit.settle(answered_us, 2)
    assert reserve_all(limit, answered_us + age_us) == available


@pytest.mark.parametrize(("age_us", "counted"), [(WINDOW_US - 1, 1), (WINDOW_US, 0)])
def test_requests_exactly_one_window_old_do_not_count(age_us: int, counted: int) -> None:
    limit = limit_past_first_window(limited_settings(free_orders=2.0, orders_per_request=1.0))
    arrived_us = START_US + 2
    assert reserve_all(limit, START_US + 1) == 2
    limit.settle(arrived_us - 1, 2)
    limit.count_request(arrived_us)
    limit._forget_before(arrived_us + age_us - WINDOW_US)
    assert len(limit.request_arrivals_us) == counted


def test_an_order_that_was_never_sent_is_released_at_once() -> None:
    limit = limit_past_first_window()
    assert reserve_all(limit, START_US) == 2
    limit.settle(0)
    assert reserve_all(limit, START_US) == 1


def test_a_window_of_zero_disables_the_limit() -> None:
    limit = LoadOrderLimit(limited_settings(free_orders=0.0, orders_per_request=0.0, window_us=0))
    limit.begin(START_US)
    assert reserve_all(limit, START_US, max_orders=50) == 50


@pytest.mark.parametrize(
    ("budget_fraction", "available"),
    [(BUDGET_FRACTION_QUEUED, 10), (BUDGET_FRACTION_OVERFLOW, 8), (BUDGET_FRACTION_REFRESH, 5), (0.0, 0)],
)
def test_each_purpose_has_its_budget_fraction(budget_fraction: float, available: int) -> None:
    limit = limit_past_first_window(limited_settings(free_orders=10.0, orders_per_request=0.0))
    assert reserve_all(limit, START_US, budget_fraction) == available


def test_the_rest_of_the_limit_is_left_for_queued_requests() -> None:
    limit = limit_past_first_window(limited_settings(free_orders=10.0, orders_per_request=0.0))
    assert reserve_all(limit, START_US, BUDGET_FRACTION_REFRESH) == 5
    assert reserve_all(limit, START_US, BUDGET_FRACTION_OVERFLOW) == 3
    assert reserve_all(limit, START_US, BUDGET_FRACTION_QUEUED) == 2


def test_memory_does_not_grow_with_requests_when_no_order_is_reserved() -> None:
    limit = limit_past_first_window()
    for second in range(1, 2_000):
        limit.count_request(START_US + second * SECOND_US)
        assert len(limit.request_arrivals_us) <= WINDOW_US // SECOND_US


def test_memory_does_not_grow_with_orders() -> None:
    limit = limit_past_first_window()
    for round_number in range(500):
        now_us = START_US + round_number * (WINDOW_US + 1)
        assert reserve_all(limit, now_us) == 2
        limit.settle(now_us, 2)
        assert len(limit._order_arrivals_us) <= 2


# --- Use by the router ------------------------------------------------------------------------------------


class LimitedRouterHarness(RouterHarness):
    """A harness whose router has a load-order limit and, by default, is past its first window.

    The results of its load orders carry the number of copies that were ordered.
    """

    def __init__(self, settings: api.Settings | None = None, workers: int = 8, in_first_window: bool = False):
        super().__init__(workers=workers, settings=settings or limited_settings())
        if not in_first_window:
            self.now_us += WINDOW_US + 1
        self.function = 100

    def request_new_function(self, waited_us: int = 0) -> int:
        """Feed a request for a function that has had no request yet; return its number."""
        self.function += 1
        self._last_request_id += 1
        event = api.RequestArrived(
            self._last_request_id,
            0,
            0,
            self.function,
            3 * SECOND_US,
            None,
            300.0,
            2,
            SECOND_US // 2,
            False,
            waited_us,
        )
        self.feed(event)
        return self._last_request_id

    def order_new_functions(self, count: int = 10, waited_us: int = 0) -> list[api.LoadOrder]:
        """Request `count` new functions; return the load orders that the router sends for them."""
        sent: list[api.LoadOrder] = []
        for _ in range(count):
            self.request_new_function(waited_us)
            sent += load_orders(self.last_actions)
        return sent

    def end_order(self, order: api.LoadOrder, outcome: Outcome = Outcome.OK) -> list[api.Action]:
        """End a load order, successfully by default; return the actions."""
        copies = order.copies if outcome is Outcome.OK else 0
        event = api.LoadOrderEnded(order.worker, order.function, outcome, 500_000, copies, order.copies)
        return self.feed(event)

    @property
    def open_orders(self) -> int:
        return self.router.load_orders.limit.open_orders

    @property
    def counted_requests_us(self) -> list[int]:
        """The arrival times of the requests that the limit counts."""
        return self.router.load_orders.limit.request_arrivals_us


def test_the_router_sends_no_orders_in_its_first_window_and_the_free_ones_after_it() -> None:
    harness = LimitedRouterHarness(in_first_window=True)
    assert not harness.order_new_functions()
    harness.now_us += WINDOW_US
    assert not harness.order_new_functions()
    harness.now_us += 1
    assert len(harness.order_new_functions()) == 2


def test_the_router_sends_orders_in_its_first_window_on_an_ideal_network() -> None:
    harness = LimitedRouterHarness(
        replace(limited_settings(), is_ideal_network=True, may_miss_restarts=False), in_first_window=True
    )
    assert len(harness.order_new_functions(1)) == 1


def test_requests_in_the_first_window_count_after_they_are_answered() -> None:
    settings = replace(limited_settings(orders_per_request=1.0), loads_on_miss=True)
    harness = LimitedRouterHarness(settings, in_first_window=True)
    first_request = harness.request_new_function()
    sent = [a for a in harness.last_actions if isinstance(a, api.Send)]
    assert len(sent) == 1, "no order is available, so the request is sent and the worker loads the copy"
    harness.now_us += 1
    harness.feed(api.RequestArrived(999, 0, 0, 1, 3 * SECOND_US, None, 300.0, 2, SECOND_US // 2, False))
    second_send = next(a for a in harness.last_actions if isinstance(a, api.Send))
    harness.end_attempt(first_request, 0, sent[0].worker)
    harness.end_attempt(999, 0, second_send.worker)
    assert len(harness.order_new_functions()) == 1, (
        "a request exactly at the start is as old as the orders counted there and allows none"
    )


def test_unanswered_orders_stay_reserved_beyond_the_window() -> None:
    harness = LimitedRouterHarness()
    assert len(harness.order_new_functions()) == 2
    harness.now_us += 10 * WINDOW_US
    assert not harness.order_new_functions()
    assert harness.open_orders == 2


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.MISS])
@pytest.mark.parametrize(("age_us", "is_available"), [(WINDOW_US, False), (WINDOW_US + 1, True)])
def test_the_router_counts_an_answered_order_for_one_more_window(
    outcome: Outcome, age_us: int, is_available: bool
) -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=1.0, orders_per_request=0.0))
    (order,) = harness.order_new_functions()
    harness.now_us += 3 * WINDOW_US
    harness.end_order(order, outcome)
    harness.now_us += age_us
    assert bool(harness.order_new_functions(1)) is is_available


@pytest.mark.parametrize("outcome", [Outcome.EXPIRED, Outcome.CONNECT_FAILED])
def test_the_router_releases_an_order_that_was_never_sent(outcome: Outcome) -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=1.0, orders_per_request=0.0))
    (order,) = harness.order_new_functions()
    new_orders = load_orders(harness.end_order(order, outcome)) + harness.order_new_functions()
    assert len(new_orders) == 1
    assert harness.open_orders == 1


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_order_that_ends_without_an_answer_stays_reserved(outcome: Outcome) -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=1.0, orders_per_request=0.0))
    (order,) = harness.order_new_functions()
    assert not load_orders(harness.end_order(order, outcome))
    harness.now_us += 20 * WINDOW_US
    assert not harness.order_new_functions()
    assert harness.open_orders == 1


def attempts_only_at_copies(settings: api.Settings) -> api.Settings:
    """Reserve all attempts for workers with a copy.

    Queued requests are then not sent to other workers while no load order is available.
    """
    return replace(settings, limits=replace(settings.limits, max_attempts=RESERVED_COPY_ATTEMPTS))


def unresolved_order(outcome: Outcome) -> tuple[LimitedRouterHarness, api.LoadOrder]:
    """Return a harness and an order that ended without an answer and may still arrive."""
    harness = LimitedRouterHarness(
        attempts_only_at_copies(limited_settings(free_orders=1.0, orders_per_request=0.0))
    )
    (order,) = harness.order_new_functions()
    harness.end_order(order, outcome)
    harness.now_us += 3 * WINDOW_US
    return harness, order


def assert_order_settles(harness: LimitedRouterHarness) -> None:
    """Check that the unresolved order is settled.

    It counts as arriving at the end of the grace period, and for one window after that.
    """
    assert harness.open_orders == 0
    harness.now_us += WINDOW_US + harness.router.context.probe_timeout_us
    assert not harness.order_new_functions(1)
    harness.now_us += 1
    assert harness.order_new_functions(1)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
@pytest.mark.parametrize("answer", [Outcome.OK, Outcome.ERROR, Outcome.FULL])
def test_an_unresolved_order_settles_when_its_worker_answers_a_probe(
    outcome: Outcome, answer: Outcome
) -> None:
    harness, order = unresolved_order(outcome)
    harness.feed(api.LoadOrderEnded(order.worker, order.function, answer, 1_000, 0))
    assert_order_settles(harness)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_unresolved_order_does_not_settle_when_another_worker_answers(outcome: Outcome) -> None:
    harness, order = unresolved_order(outcome)
    other_worker = order.worker % 8 + 1
    harness.feed(api.LoadOrderEnded(other_worker, order.function, Outcome.OK, 1_000, 0))
    harness.now_us += 2 * WINDOW_US
    assert harness.open_orders == 1
    assert not harness.order_new_functions(1)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_unresolved_order_settles_when_its_worker_is_gone(outcome: Outcome) -> None:
    harness, order = unresolved_order(outcome)
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(order.worker, api.WorkerState.GONE))
    assert_order_settles(harness)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_unresolved_order_stays_reserved_while_its_worker_drains(outcome: Outcome) -> None:
    harness, order = unresolved_order(outcome)
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(order.worker, api.WorkerState.DRAINING))
    harness.now_us += 2 * WINDOW_US
    assert harness.open_orders == 1
    assert not harness.order_new_functions(1)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_unresolved_order_settles_when_its_worker_restarts(outcome: Outcome) -> None:
    harness, order = unresolved_order(outcome)
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(order.worker, started_at_us=harness.now_us))
    assert_order_settles(harness)


def attempts_before_unresolved_orders() -> tuple[LimitedRouterHarness, list[api.Send], list[api.LoadOrder]]:
    """Return a harness with attempts in flight at all workers, these attempts, and six later orders.

    The connections of the orders were reset, but the network may still deliver the orders.
    """
    harness = LimitedRouterHarness(
        limited_settings(free_orders=6.0, orders_per_request=0.0), in_first_window=True
    )
    for _ in range(30):
        harness.request_new_function()
    sends = [action for action in harness.all_actions if isinstance(action, api.Send)]
    harness.now_us += WINDOW_US + 1
    unresolved = harness.order_new_functions(30)
    for order in unresolved:
        harness.end_order(order, Outcome.RESET)
    assert len(unresolved) == 6
    assert {order.worker for order in unresolved} <= {send.worker for send in sends}
    return harness, sends, unresolved


def test_an_unresolved_order_stays_reserved_when_its_worker_answers_an_earlier_attempt() -> None:
    """The answer may have left the worker before the network partition that delays the order."""
    harness, sends, unresolved = attempts_before_unresolved_orders()
    harness.now_us += 1
    for send in sends:
        harness.end_attempt(send.request, 0, send.worker)
    assert harness.open_orders == len(unresolved)


def test_unresolved_and_later_orders_that_arrive_together_stay_within_the_limit() -> None:
    harness, sends, unresolved = attempts_before_unresolved_orders()
    harness.now_us += 1
    for send in sends:
        harness.end_attempt(send.request, 0, send.worker)
    harness.now_us += WINDOW_US + 2 * harness.router.context.probe_timeout_us
    arrived = len(unresolved) + len(harness.order_new_functions(30))  # the partition has healed
    breaches = find_violations(
        SlidingWindowLimit.with_network_slack(6.0, 0.0, WINDOW_US), "front", [harness.now_us] * arrived, []
    )
    assert not breaches, describe_violations(breaches)


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET])
def test_an_unresolved_order_stays_reserved_when_its_worker_restarted_before_the_order(
    outcome: Outcome,
) -> None:
    """The worker list reports the restart late; the order is on its way to the new process."""
    harness = LimitedRouterHarness(
        attempts_only_at_copies(limited_settings(free_orders=1.0, orders_per_request=0.0))
    )
    restarted_us = harness.now_us
    harness.now_us += SECOND_US // 10
    (order,) = harness.order_new_functions()
    harness.now_us += SECOND_US // 10
    harness.end_order(order, outcome)
    harness.now_us += SECOND_US // 10
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(order.worker, started_at_us=restarted_us))
    assert harness.open_orders == 1


def test_an_order_on_an_ideal_network_is_settled_only_once() -> None:
    """It is settled when it is sent. Its result must not settle it again."""
    harness = LimitedRouterHarness(
        replace(limited_settings(), is_ideal_network=True, may_miss_restarts=False)
    )
    (order,) = harness.order_new_functions(1)
    harness.end_order(order)
    assert harness.open_orders == 0


def test_an_order_to_a_worker_that_has_left_settles_when_it_ends() -> None:
    harness = LimitedRouterHarness(
        attempts_only_at_copies(limited_settings(free_orders=1.0, orders_per_request=0.0))
    )
    (order,) = harness.order_new_functions()
    harness.send_worker_list(api.ListKind.DELTA, listed_worker(order.worker, api.WorkerState.GONE))
    assert harness.open_orders == 1
    harness.end_order(order, Outcome.RESET)
    assert harness.open_orders == 0


def test_the_end_of_a_probe_does_not_settle_an_order() -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=1.0, orders_per_request=0.0))
    (order,) = harness.order_new_functions()
    harness.feed(api.LoadOrderEnded(order.worker, order.function, Outcome.OK, 1_000, 1, 0))
    assert harness.open_orders == 1


def test_a_worker_with_an_overdue_order_gets_no_further_orders_but_others_do() -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=50.0, orders_per_request=0.0))
    overdue_worker = harness.order_new_functions(1)[0].worker
    harness.now_us += 4 * SECOND_US  # the usual load time is half a second
    later = harness.order_new_functions(40)
    assert later
    assert overdue_worker not in {order.worker for order in later}


def test_a_worker_that_answers_after_an_overdue_order_gets_further_orders() -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=50.0, orders_per_request=0.0))
    (first,) = harness.order_new_functions(1)
    harness.now_us += 4 * SECOND_US
    harness.feed(api.LoadOrderEnded(first.worker, first.function, Outcome.OK, 1_000, 0))
    assert first.worker in {order.worker for order in harness.order_new_functions(40)}


# --- Counted requests -------------------------------------------------------------------------------------


def request_in_flight(waited_us: int = 0) -> tuple[LimitedRouterHarness, int, int]:
    """Return a harness, its only request, and the worker at which that request is in flight."""
    harness = LimitedRouterHarness(limited_settings(free_orders=2.0, orders_per_request=0.5))
    request = harness.request_new_function(waited_us)
    (order,) = load_orders(harness.last_actions)
    sent = [a for a in harness.end_order(order) if isinstance(a, api.Send)]
    return harness, request, sent[0].worker


@pytest.mark.parametrize("outcome", [Outcome.OK, Outcome.FULL, Outcome.MISS])
def test_a_request_counts_from_its_arrival_after_a_worker_proves_it_genuine(outcome: Outcome) -> None:
    harness, request, worker_id = request_in_flight()
    arrived_us = harness.now_us
    assert harness.counted_requests_us == []
    harness.now_us += SECOND_US
    harness.end_attempt(request, 0, worker_id, outcome)
    assert harness.counted_requests_us == [arrived_us]


def test_a_request_that_waited_counts_from_its_earliest_possible_arrival() -> None:
    harness, request, worker_id = request_in_flight(waited_us=300_000)
    harness.end_attempt(request, 0, worker_id)
    assert harness.counted_requests_us == [harness.now_us - 300_000]


@pytest.mark.parametrize(
    "outcome",
    [
        Outcome.ERROR,
        Outcome.TIMEOUT,
        Outcome.RESET,
        Outcome.CONNECT_FAILED,
        Outcome.EXPIRED,
        Outcome.CANCELLED,
    ],
)
def test_a_request_that_no_worker_proves_genuine_does_not_count(outcome: Outcome) -> None:
    harness, request, worker_id = request_in_flight()
    harness.end_attempt(request, 0, worker_id, outcome)
    assert harness.counted_requests_us == []


def test_a_request_that_workers_answer_repeatedly_counts_once() -> None:
    harness, request, worker_id = request_in_flight()
    arrived_us = harness.now_us
    attempt = 0
    for _ in range(6):
        actions = harness.end_attempt(request, attempt, worker_id, Outcome.FULL)
        retries = [a for a in actions if isinstance(a, api.Send) and a.request == request]
        if retries:
            attempt, worker_id = attempt + 1, retries[0].worker
        else:
            for order in load_orders(actions):
                for sent in (a for a in harness.end_order(order) if isinstance(a, api.Send)):
                    attempt, worker_id = attempt + 1, sent.worker
    assert attempt > 0
    assert harness.counted_requests_us == [arrived_us]


def test_a_cancelled_request_does_not_count() -> None:
    harness = LimitedRouterHarness()
    harness.feed(api.RequestCancelled(harness.request_new_function()))
    harness.advance_time(5 * SECOND_US)
    assert harness.counted_requests_us == []


def test_a_request_cancelled_in_flight_does_not_count_when_its_attempt_is_cancelled() -> None:
    harness, request, worker_id = request_in_flight()
    harness.feed(api.RequestCancelled(request))
    harness.end_attempt(request, 0, worker_id, Outcome.CANCELLED)
    assert harness.counted_requests_us == []


def test_a_cancelled_request_does_not_count_when_an_answer_crosses_the_cancellation() -> None:
    harness, request, worker_id = request_in_flight()
    harness.feed(api.RequestCancelled(request))
    harness.end_attempt(request, 0, worker_id, Outcome.OK)
    assert harness.counted_requests_us == []


def test_an_answered_request_still_counts_after_it_is_cancelled() -> None:
    harness, request, worker_id = request_in_flight()
    harness.end_attempt(request, 0, worker_id)
    assert len(harness.counted_requests_us) == 1
    harness.feed(api.RequestCancelled(request))
    assert len(harness.counted_requests_us) == 1


def test_a_request_that_is_never_answered_does_not_count() -> None:
    harness = LimitedRouterHarness(limited_settings(free_orders=0.0))
    harness.request_new_function()
    harness.advance_time(5 * SECOND_US)
    assert harness.counted_requests_us == []


def test_every_request_counts_on_arrival_on_an_ideal_network() -> None:
    harness = LimitedRouterHarness(
        replace(limited_settings(), is_ideal_network=True, may_miss_restarts=False)
    )
    harness.request_new_function()
    assert harness.counted_requests_us == [harness.now_us]


def test_memory_does_not_grow_with_answered_requests() -> None:
    harness, request, worker_id = request_in_flight()
    for _ in range(300):
        harness.end_attempt(request, 0, worker_id)
        harness.now_us += SECOND_US
        request = harness.send_request(function=harness.function)
        sent = [a for a in harness.last_actions if isinstance(a, api.Send) and a.request == request]
        for order in load_orders(harness.last_actions):
            harness.end_order(order)
        worker_id = sent[0].worker
    assert 1 <= len(harness.counted_requests_us) <= WINDOW_US // SECOND_US + 1


ORDER_OUTCOMES = [
    Outcome.OK,
    Outcome.OK,
    Outcome.FULL,
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.RESET,
    Outcome.EXPIRED,
    Outcome.CONNECT_FAILED,
]


@pytest.mark.parametrize("seed", range(5))
def test_no_reservation_stays_open_after_all_orders_end_and_all_workers_answer(seed: int) -> None:
    random = Random(seed)
    harness = LimitedRouterHarness(limited_settings(free_orders=20.0), workers=6)
    open_orders: list[api.LoadOrder] = []
    order_count, started_us = 0, dict.fromkeys(range(1, 7), 0)
    for _ in range(1_500):
        harness.now_us += random.randrange(SECOND_US // 4)
        choice = random.random()
        if choice < 0.6 or not open_orders:
            harness.request_new_function()
        elif choice < 0.95:
            harness.end_order(
                open_orders.pop(random.randrange(len(open_orders))), random.choice(ORDER_OUTCOMES)
            )
        else:
            worker_id, state = random.randint(1, 6), random.choice(list(api.WorkerState))
            started_us[worker_id] = max(started_us[worker_id], harness.now_us * random.randint(0, 1))
            harness.send_worker_list(
                api.ListKind.DELTA, listed_worker(worker_id, state, started_us[worker_id])
            )
        open_orders += load_orders(harness.last_actions)
        order_count += len(load_orders(harness.last_actions))
        assert harness.open_orders >= len(open_orders)
    while open_orders:
        harness.end_order(open_orders.pop(), random.choice(ORDER_OUTCOMES))
        open_orders += load_orders(harness.last_actions)
    unresolved = sum(len(w.unresolved_orders_us) for w in harness.router.endpoints.workers.values())
    assert order_count > 50
    assert harness.open_orders == unresolved
    for worker_id in range(1, 7):
        harness.feed(api.LoadOrderEnded(worker_id, 1, Outcome.OK, 1_000, 0))
    while new_orders := load_orders(harness.advance_time(SECOND_US)):
        for order in new_orders:
            harness.end_order(order)
    assert harness.open_orders == 0
