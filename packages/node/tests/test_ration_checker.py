"""The checker of the load ration finds planted breaches, and passes days that keep the rule."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from walnutpost.testsupport.node.ration_checker import (
    LimitViolation,
    Ration,
    RationLog,
    breaches_of,
    describe_breaches,
)

SECOND = 1_000_000
WINDOW = 2 * SECOND
PLAIN = Ration(free_loads=3, load_share=0.2, window_us=WINDOW)
SOCKETS = Ration.on_sockets(free_loads=3, load_share=0.2, window_us=WINDOW)


def test_one_order_more_than_the_free_loads_is_a_breach() -> None:
    assert breaches_of(PLAIN, "n0", [10, 20, 30], []) == []
    assert breaches_of(PLAIN, "n0", [10, 20, 30, 40], []) == [LimitViolation("n0", 40, 4, 3.0)]


def test_requests_give_ground_by_the_share_and_not_below_a_whole_order() -> None:
    assert breaches_of(PLAIN, "n0", [50] * 4, range(5)) == []
    assert breaches_of(PLAIN, "n0", [50] * 4, range(4)) == [LimitViolation("n0", 50, 4, 3.8)]


def test_the_slack_of_sockets_is_fifteen_in_a_hundred_and_one_order() -> None:
    assert SOCKETS.allowance(10) == 1.15 * 5 + 1
    assert breaches_of(SOCKETS, "n0", [50] * 6, range(10)) == []
    assert [b.count for b in breaches_of(SOCKETS, "n0", [50] * 8, range(10))] == [7, 8]


def test_an_order_one_window_old_counts_and_one_older_does_not() -> None:
    assert breaches_of(PLAIN, "n0", [0, 0, 0, WINDOW], []) == [LimitViolation("n0", WINDOW, 4, 3.0)]
    assert breaches_of(PLAIN, "n0", [0, 0, 0, WINDOW + 1], []) == []


def test_a_request_one_window_old_gives_no_ground_and_a_later_one_does() -> None:
    orders = [WINDOW] * 4
    assert [b.count for b in breaches_of(PLAIN, "n0", orders, [0] * 5)] == [4]
    assert breaches_of(PLAIN, "n0", orders, [1] * 5) == []


def test_a_request_written_after_the_order_arrived_gives_no_ground() -> None:
    assert breaches_of(PLAIN, "n0", [50] * 4, [50] * 5) == []
    assert [b.count for b in breaches_of(PLAIN, "n0", [50] * 4, [51] * 5)] == [4]


def test_each_front_end_is_judged_by_its_own_and_two_lives_of_one_name_together() -> None:
    log = RationLog()
    for at in (10, 20):
        log.order_arrived("n0", at)
        log.order_arrived("n1", at)
    log.order_arrived("n0", 30)  # by the next life under the name
    assert log.breaches(PLAIN) == []
    for _ in range(100):
        log.request_written("n1", 5)  # another's
    log.order_arrived("n0", 40)
    assert log.breaches(PLAIN) == [LimitViolation("n0", 40, 4, 3.0)]


def test_a_day_that_spends_its_whole_ration_and_no_more_keeps_the_rule() -> None:
    """A request each 10 ms, of which one in five brings an order, so that a window's border falls on one;
    what the free loads leave beside that arrives at once."""
    requests = [n * 10_000 for n in range(1000)]
    steady = [at for n, at in enumerate(requests) if n % 5 == 4]
    assert breaches_of(PLAIN, "n0", [*steady, *[5 * SECOND] * 2], requests) == []
    late = breaches_of(PLAIN, "n0", [*steady, *[5 * SECOND] * 3], requests)
    assert late
    assert 5 * SECOND <= late[0].at_us <= 7 * SECOND


def test_orders_held_back_and_delivered_together_are_found_whatever_their_decisions_were() -> None:
    requests = [n * 100_000 for n in range(60)]
    decided = [n * 500_000 for n in range(12)]
    assert breaches_of(SOCKETS, "n0", decided, requests) == []
    assert breaches_of(SOCKETS, "n0", [6 * SECOND] * 12, requests)


def test_breaches_are_described_with_count_and_allowance() -> None:
    assert describe_breaches([]) == "no violation"
    text = describe_breaches(breaches_of(PLAIN, "n0", [50] * 4, range(4)))
    assert "n0" in text
    assert "4 orders" in text
    assert "3.80 allowed" in text


TIMES = st.lists(st.integers(0, 60), max_size=40)


@given(
    orders=TIMES,
    requests=TIMES,
    free=st.sampled_from((0, 1, 2.5, 4)),
    share=st.sampled_from((0.0, 0.1, 0.2, 0.5, 1.0)),
    window=st.integers(1, 30),
    sockets=st.booleans(),
)
def test_the_checker_agrees_with_the_rule_written_out(
    orders: list[int], requests: list[int], free: float, share: float, window: int, sockets: bool
) -> None:
    """The rule as a sum over all pairs, with no sorting and no search."""
    ration = Ration.on_sockets(free, share, window) if sockets else Ration(free, share, window)
    wider, more = (1.15, 1.0) if sockets else (1.0, 0.0)
    expected: list[tuple[int, int]] = []
    for at in set(orders):
        before = sum(1 for t in orders if at - window <= t < at)
        ground = sum(1 for t in requests if at - window < t <= at)
        allowed = wider * (free + share * ground) + more
        together = sum(1 for t in orders if t == at)
        expected += [(at, before + n) for n in range(1, together + 1) if before + n > allowed + 1e-9]
    found = breaches_of(ration, "n0", orders, requests)
    assert sorted((b.at_us, b.count) for b in found) == sorted(expected)
