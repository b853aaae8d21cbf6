"""Which relay a member asks: spread, back-off and the way home, on virtual time."""

from __future__ import annotations

import itertools
from collections import Counter
from heapq import heappop, heappush
from random import Random

import pytest

from walnutpost.configstore.relay_selection import (
    FRESHNESS_TIMEOUT_US,
    MAX_FIRST_RETRY_DELAY_US,
    MAX_RETRY_DELAY_US,
    MIN_RETRY_DELAY_US,
    RETURN_AFTER_US,
    SECOND_US,
    RelaySelector,
    preference_order,
)

RELAYS = {f"r{n}": "a" for n in range(1, 6)}
MEMBERS = [f"front-{n}" for n in range(900)]


def firsts(relays: dict[str, str]) -> dict[str, str]:
    return {member: preference_order(member, relays, "a")[0] for member in MEMBERS}


def test_preference_order_spreads_members_evenly() -> None:
    counts = Counter(firsts(RELAYS).values())
    assert len(counts) == 5, counts
    assert all(abs(count - 180) <= 36 for count in counts.values()), counts


def test_a_lost_relay_moves_only_its_members_and_spreads_them() -> None:
    before = firsts(RELAYS)
    after = firsts({name: zone for name, zone in RELAYS.items() if name != "r3"})
    moved = Counter(after[member] for member in MEMBERS if before[member] == "r3")
    assert all(after[member] == before[member] for member in MEMBERS if before[member] != "r3")
    fair = sum(moved.values()) / 4
    assert len(moved) == 4, moved
    assert all(0.6 * fair <= count <= 1.4 * fair for count in moved.values()), moved


def test_preference_order_puts_the_own_region_first() -> None:
    relays = {"r1": "a", "r2": "b", "r3": "c", "r4": "a", "r5": "b"}
    for member in MEMBERS[:100]:
        found = preference_order(member, relays, "b")
        assert set(found[:2]) == {"r2", "r5"}
        assert sorted(found) == sorted(relays)
    assert {preference_order(member, relays, "b")[0] for member in MEMBERS[:100]} == {"r2", "r5"}
    assert {preference_order(member, relays, "b")[2] for member in MEMBERS[:100]} == {"r1", "r3", "r4"}
    assert set(preference_order("m", relays, "nowhere")) == set(relays)


def test_a_selector_without_relays_raises() -> None:
    with pytest.raises(ValueError, match="relays: found none, wanted at least one"):
        RelaySelector("m", {}, "a", Random(1))


def test_first_failure_is_retried_elsewhere_within_half_a_second() -> None:
    waits = []
    for member in MEMBERS:
        choice = RelaySelector(member, RELAYS, "a", Random(member))
        lost = choice.start(0)
        choice.record_success(1 * SECOND_US)
        retry = choice.record_failure(2 * SECOND_US, lost)
        there, wait = retry.relay, retry.delay_us
        assert there == choice.relay == preference_order(member, RELAYS, "a")[1] != lost
        assert 0 <= wait < MAX_FIRST_RETRY_DELAY_US
        waits.append(wait)
    tenths = Counter(wait // (SECOND_US // 10) for wait in waits)
    assert sorted(tenths) == [0, 1, 2, 3, 4], tenths
    assert max(tenths.values()) < 1.3 * 180, tenths


def test_each_relay_is_tried_before_one_is_tried_again() -> None:
    choice = RelaySelector("m", RELAYS, "a", Random(1))
    now, relay, tried = 0, choice.start(0), []
    for _ in range(10):
        tried.append(relay)
        retry = choice.record_failure(now, relay)
        relay, wait = retry.relay, retry.delay_us
        now += wait
    assert tried == preference_order("m", RELAYS, "a") * 2


def test_retry_delays_stay_within_the_freshness_timeout() -> None:
    """Two more questions fit in, however late it is, as long as the least wait lets them."""
    for seed in range(200):
        for gone_by in range(0, 9 * SECOND_US, SECOND_US // 2):
            choice = RelaySelector("m", RELAYS, "a", Random(seed))
            relay = choice.start(100 * SECOND_US)
            for heard in (100 * SECOND_US, 200 * SECOND_US):
                for _ in range(4):
                    retry = choice.record_failure(heard + gone_by, relay)
                    relay, wait = retry.relay, retry.delay_us
                assert (
                    MIN_RETRY_DELAY_US
                    <= wait
                    <= max(
                        2 * MIN_RETRY_DELAY_US, min(MAX_RETRY_DELAY_US, (FRESHNESS_TIMEOUT_US - gone_by) // 2)
                    )
                )
                choice.record_success(200 * SECOND_US)


def test_a_success_resets_the_backoff() -> None:
    choice = RelaySelector("m", RELAYS, "a", Random(1))
    relay = choice.start(0)
    for _ in range(5):
        relay = choice.record_failure(SECOND_US, relay).relay
    choice.record_success(SECOND_US)
    retry = choice.record_failure(2 * SECOND_US, relay)
    relay, wait = retry.relay, retry.delay_us
    assert wait < MAX_FIRST_RETRY_DELAY_US
    assert relay == preference_order("m", RELAYS, "a")[1]


def test_retries_after_all_relays_were_lost_are_spread_and_bounded() -> None:
    """900 members, every relay refusing at once for a minute; the time of each question is counted."""
    back = 60 * SECOND_US
    asked: dict[str, list[int]] = {}
    came: dict[str, int] = {}
    at: Counter[str] = Counter()
    due: list[tuple[int, str, str]] = []
    choices = {}
    for member in MEMBERS:
        choice = choices[member] = RelaySelector(member, RELAYS, "a", Random(member))
        relay = choice.start(0)
        choice.record_success(SECOND_US)
        retry = choice.record_failure(SECOND_US, relay)
        there, wait = retry.relay, retry.delay_us
        heappush(due, (SECOND_US + wait, member, there))
    while due:
        now, member, relay = heappop(due)
        asked.setdefault(member, []).append(now)
        assert len(asked[member]) <= 75  # in a minute
        if now >= back:
            came[member] = now
            at[relay] += 1
            choices[member].record_success(now)
            continue
        retry = choices[member].record_failure(now, relay)
        there, wait = retry.relay, retry.delay_us
        assert wait <= MAX_RETRY_DELAY_US
        heappush(due, (now + wait, member, there))
    slots = Counter((now - back) // (SECOND_US // 10) for now in came.values())
    # Waits run from 0.25 to 2 s, so the next question falls within 2 s, at most 1 in 11 in a tenth of one.
    assert len(came) == 900, slots
    assert max(slots) < 20, slots
    assert max(slots.values()) <= 900 / 11 * 1.4, slots
    assert len(slots) >= 18, (slots, at)
    assert all(abs(count - 180) <= 54 for count in at.values()), (slots, at)
    for times in asked.values():
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert min(gaps) >= MIN_RETRY_DELAY_US


def test_members_return_to_the_preferred_relay_spread_over_a_minute() -> None:
    times = []
    for member in MEMBERS[:300]:
        choice = RelaySelector(member, RELAYS, "a", Random(member))
        home = choice.start(0)
        choice.record_failure(0, home)
        now = back = 0
        while (found := choice.return_to_preferred(now)) is None:
            choice.record_success(now)
            back, now = now, now + SECOND_US
        assert found == home == choice.relay
        assert RETURN_AFTER_US <= now <= 2 * RETURN_AFTER_US + SECOND_US > back
        assert choice.return_to_preferred(now) is None  # it is on its way
        choice.record_success(now)
        assert choice.return_to_preferred(now + 10 * RETURN_AFTER_US) is None
        times.append(now)
    seconds = Counter((now - RETURN_AFTER_US) // (6 * SECOND_US) for now in times)
    assert len(seconds) >= 10, seconds
    assert max(seconds.values()) <= 60, seconds


def test_a_preferred_relay_that_still_fails_is_tried_again_later() -> None:
    choice = RelaySelector("m", RELAYS, "a", Random(3))
    home = choice.start(0)
    elsewhere = choice.record_failure(0, home).relay
    now, tries = 0, []
    while now < 600 * SECOND_US:
        choice.record_success(now)
        if choice.return_to_preferred(now) is not None:
            tries.append(now)
            retry = choice.record_failure(now, home)
            back, wait = retry.relay, retry.delay_us
            assert back == elsewhere
            assert wait < MAX_FIRST_RETRY_DELAY_US
        now += SECOND_US
    gaps = [b - a for a, b in itertools.pairwise(tries)]
    assert len(tries) >= 4
    assert all(RETURN_AFTER_US <= gap <= 2 * RETURN_AFTER_US + 2 * SECOND_US for gap in gaps)


def test_a_preferred_relay_that_has_just_failed_is_not_returned_to_at_once() -> None:
    choice = RelaySelector("m", RELAYS, "a", Random(3))
    home = choice.start(0)
    there = choice.record_failure(0, home).relay
    choice.record_success(0)
    back = choice.record_failure(59 * SECOND_US, there).relay
    assert back == home
    elsewhere = choice.record_failure(59 * SECOND_US, home).relay
    choice.record_success(59 * SECOND_US)
    assert elsewhere not in (home, there)
    assert choice.return_to_preferred(118 * SECOND_US) is None


def test_a_member_at_its_preferred_relay_does_not_return() -> None:
    choice = RelaySelector("m", RELAYS, "a", Random(3))
    choice.start(0)
    for now in range(0, 600 * SECOND_US, SECOND_US):
        choice.record_success(now)
        assert choice.return_to_preferred(now) is None
