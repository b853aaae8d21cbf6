"""The checker of the load order limit finds violations and accepts runs that keep the limit."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from walnutpost.testsupport.node.ration_checker import (
    LimitViolation,
    LoadOrderLog,
    SlidingWindowLimit,
    describe_violations,
    find_violations,
)

SECOND_US = 1_000_000
WINDOW_US = 2 * SECOND_US
LIMIT = SlidingWindowLimit(free_loads=3, load_share=0.2, window_us=WINDOW_US)
LIMIT_WITH_SLACK = SlidingWindowLimit.with_network_slack(free_loads=3, load_share=0.2, window_us=WINDOW_US)


def test_one_order_above_the_free_loads_is_a_violation() -> None:
    assert find_violations(LIMIT, "n0", [10, 20, 30], []) == []
    assert find_violations(LIMIT, "n0", [10, 20, 30, 40], []) == [LimitViolation("n0", 40, 4, 3.0)]


def test_requests_allow_orders_by_the_load_share_but_only_whole_ones() -> None:
    assert find_violations(LIMIT, "n0", [50] * 4, range(5)) == []
    assert find_violations(LIMIT, "n0", [50] * 4, range(4)) == [LimitViolation("n0", 50, 4, 3.8)]


def test_network_slack_is_15_percent_plus_one_order() -> None:
    assert LIMIT_WITH_SLACK.allowance(10) == 1.15 * 5 + 1
    assert find_violations(LIMIT_WITH_SLACK, "n0", [50] * 6, range(10)) == []
    assert [v.count for v in find_violations(LIMIT_WITH_SLACK, "n0", [50] * 8, range(10))] == [7, 8]


def test_order_counts_up_to_an_age_of_exactly_one_window() -> None:
    assert find_violations(LIMIT, "n0", [0, 0, 0, WINDOW_US], []) == [LimitViolation("n0", WINDOW_US, 4, 3.0)]
    assert find_violations(LIMIT, "n0", [0, 0, 0, WINDOW_US + 1], []) == []


def test_request_that_is_one_window_old_allows_no_orders() -> None:
    orders = [WINDOW_US] * 4
    assert [v.count for v in find_violations(LIMIT, "n0", orders, [0] * 5)] == [4]
    assert find_violations(LIMIT, "n0", orders, [1] * 5) == []


def test_request_sent_after_the_order_arrived_does_not_allow_it() -> None:
    assert find_violations(LIMIT, "n0", [50] * 4, [50] * 5) == []
    assert [v.count for v in find_violations(LIMIT, "n0", [50] * 4, [51] * 5)] == [4]


def test_front_ends_are_checked_separately_but_restarts_together() -> None:
    log = LoadOrderLog()
    for at in (10, 20):
        log.log_load_order("n0", at)
        log.log_load_order("n1", at)
    log.log_load_order("n0", 30)  # from the restarted front end
    assert log.violations(LIMIT) == []
    for _ in range(100):
        log.log_request("n1", 5)  # at another front end
    log.log_load_order("n0", 40)
    assert log.violations(LIMIT) == [LimitViolation("n0", 40, 4, 3.0)]


def test_orders_that_use_exactly_the_limit_are_no_violation() -> None:
    """One in five requests, sent every 10 ms, causes an order, so that a window always starts at an order.

    The additional orders that the free loads allow arrive all at once.
    """
    requests = [n * 10_000 for n in range(1000)]
    regular_orders = [at for n, at in enumerate(requests) if n % 5 == 4]
    assert find_violations(LIMIT, "n0", [*regular_orders, *[5 * SECOND_US] * 2], requests) == []
    violations = find_violations(LIMIT, "n0", [*regular_orders, *[5 * SECOND_US] * 3], requests)
    assert violations
    assert 5 * SECOND_US <= violations[0].at_us <= 7 * SECOND_US


def test_orders_spread_out_at_sending_but_delivered_together_are_a_violation() -> None:
    requests = [n * 100_000 for n in range(60)]
    order_times = [n * 500_000 for n in range(12)]
    assert find_violations(LIMIT_WITH_SLACK, "n0", order_times, requests) == []
    assert find_violations(LIMIT_WITH_SLACK, "n0", [6 * SECOND_US] * 12, requests)


def test_violations_are_described_with_count_and_allowance() -> None:
    assert describe_violations([]) == "no violation"
    text = describe_violations(find_violations(LIMIT, "n0", [50] * 4, range(4)))
    assert "n0" in text
    assert "4 orders" in text
    assert "3.80 allowed" in text


EVENT_TIMES = st.lists(st.integers(0, 60), max_size=40)


@given(
    orders=EVENT_TIMES,
    requests=EVENT_TIMES,
    free_loads=st.sampled_from((0, 1, 2.5, 4)),
    load_share=st.sampled_from((0.0, 0.1, 0.2, 0.5, 1.0)),
    window_us=st.integers(1, 30),
    has_slack=st.booleans(),
)
def test_checker_agrees_with_a_direct_implementation_of_the_limit(
    orders: list[int],
    requests: list[int],
    free_loads: float,
    load_share: float,
    window_us: int,
    has_slack: bool,
) -> None:
    """The direct implementation counts over all pairs, without sorting or searching."""
    limit = (
        SlidingWindowLimit.with_network_slack(free_loads, load_share, window_us)
        if has_slack
        else SlidingWindowLimit(free_loads, load_share, window_us)
    )
    slack_factor, slack_orders = (1.15, 1.0) if has_slack else (1.0, 0.0)
    expected: list[tuple[int, int]] = []
    for at in set(orders):
        earlier_orders = sum(1 for t in orders if at - window_us <= t < at)
        recent_requests = sum(1 for t in requests if at - window_us < t <= at)
        allowed = slack_factor * (free_loads + load_share * recent_requests) + slack_orders
        simultaneous = sum(1 for t in orders if t == at)
        expected += [
            (at, earlier_orders + n)
            for n in range(1, simultaneous + 1)
            if earlier_orders + n > allowed + 1e-9
        ]
    found = find_violations(limit, "n0", orders, requests)
    assert sorted((v.at_us, v.count) for v in found) == sorted(expected)
