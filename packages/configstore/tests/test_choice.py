"""Which relay a member asks: spread, back-off and the way home, on virtual time."""

from __future__ import annotations

import itertools
from collections import Counter
from heapq import heappop, heappush
from random import Random

import pytest

from walnutpost.configstore.choice import CAP, FIRST, HEARD, HOME, LEAST, SECOND, Choice, order

RELAYS = {f"r{n}": "a" for n in range(1, 6)}
MEMBERS = [f"front-{n}" for n in range(900)]


def firsts(relays: dict[str, str]) -> dict[str, str]:
    return {member: order(member, relays, "a")[0] for member in MEMBERS}


def test_members_spread_evenly() -> None:
    counts = Counter(firsts(RELAYS).values())
    assert len(counts) == 5 and all(abs(count - 180) <= 36 for count in counts.values()), counts


def test_a_lost_relay_moves_its_members_only_and_spreads_them() -> None:
    before = firsts(RELAYS)
    after = firsts({name: zone for name, zone in RELAYS.items() if name != "r3"})
    moved = Counter(after[member] for member in MEMBERS if before[member] == "r3")
    assert all(after[member] == before[member] for member in MEMBERS if before[member] != "r3")
    fair = sum(moved.values()) / 4
    assert len(moved) == 4 and all(0.6 * fair <= count <= 1.4 * fair for count in moved.values()), moved


def test_the_own_region_comes_first() -> None:
    relays = {"r1": "a", "r2": "b", "r3": "c", "r4": "a", "r5": "b"}
    for member in MEMBERS[:100]:
        found = order(member, relays, "b")
        assert set(found[:2]) == {"r2", "r5"} and sorted(found) == sorted(relays)
    assert {order(member, relays, "b")[0] for member in MEMBERS[:100]} == {"r2", "r5"}
    assert {order(member, relays, "b")[2] for member in MEMBERS[:100]} == {"r1", "r3", "r4"}
    assert set(order("m", relays, "nowhere")) == set(relays)


def test_a_choice_of_nothing_is_refused() -> None:
    with pytest.raises(ValueError, match="relays: none, wanted at least one"):
        Choice("m", {}, "a", Random(1))


def test_the_first_question_elsewhere_comes_within_half_a_second() -> None:
    waits = []
    for member in MEMBERS:
        choice = Choice(member, RELAYS, "a", Random(member))
        lost = choice.first(0)
        choice.answered(1 * SECOND)
        there, wait = choice.failed(2 * SECOND, lost)
        assert there == choice.relay == order(member, RELAYS, "a")[1] != lost and 0 <= wait < FIRST
        waits.append(wait)
    tenths = Counter(wait // (SECOND // 10) for wait in waits)
    assert sorted(tenths) == [0, 1, 2, 3, 4] and max(tenths.values()) < 1.3 * 180, tenths


def test_each_relay_is_tried_before_one_is_tried_again() -> None:
    choice = Choice("m", RELAYS, "a", Random(1))
    now, relay, tried = 0, choice.first(0), []
    for _ in range(10):
        tried.append(relay)
        relay, wait = choice.failed(now, relay)
        now += wait
    assert tried == order("m", RELAYS, "a") * 2


def test_waits_stay_within_what_is_left_of_the_deadline() -> None:
    """Two more questions fit in, however late it is, as long as the least wait lets them."""
    for seed in range(200):
        for gone_by in range(0, 9 * SECOND, SECOND // 2):
            choice = Choice("m", RELAYS, "a", Random(seed))
            relay = choice.first(100 * SECOND)
            for heard in (100 * SECOND, 200 * SECOND):
                for _ in range(4):
                    relay, wait = choice.failed(heard + gone_by, relay)
                assert LEAST <= wait <= max(2 * LEAST, min(CAP, (HEARD - gone_by) // 2))
                choice.answered(200 * SECOND)


def test_an_answer_begins_the_waits_anew() -> None:
    choice = Choice("m", RELAYS, "a", Random(1))
    relay = choice.first(0)
    for _ in range(5):
        relay, _ = choice.failed(SECOND, relay)
    choice.answered(SECOND)
    relay, wait = choice.failed(2 * SECOND, relay)
    assert wait < FIRST and relay == order("m", RELAYS, "a")[1]  # the first had come round again


def test_all_relays_lost_and_back_are_asked_spread_out_and_by_nobody_too_often() -> None:
    """900 members, every relay refusing at once for a minute; the time of each question is counted."""
    back = 60 * SECOND
    asked: dict[str, list[int]] = {}
    came: dict[str, int] = {}
    at: Counter[str] = Counter()
    due: list[tuple[int, str, str]] = []
    choices = {}
    for member in MEMBERS:
        choice = choices[member] = Choice(member, RELAYS, "a", Random(member))
        relay = choice.first(0)
        choice.answered(SECOND)
        there, wait = choice.failed(SECOND, relay)
        heappush(due, (SECOND + wait, member, there))
    while due:
        now, member, relay = heappop(due)
        asked.setdefault(member, []).append(now)
        assert len(asked[member]) <= 75  # in a minute
        if now >= back:
            came[member] = now
            at[relay] += 1
            choices[member].answered(now)
            continue
        there, wait = choices[member].failed(now, relay)
        assert wait <= CAP
        heappush(due, (now + wait, member, there))
    slots = Counter((now - back) // (SECOND // 10) for now in came.values())
    # Waits run from 0.25 to 2 s, so the next question falls within 2 s, at most 1 in 11 in a tenth of one.
    assert len(came) == 900 and max(slots) < 20 and max(slots.values()) <= 900 / 11 * 1.4, slots
    assert len(slots) >= 18 and all(abs(count - 180) <= 54 for count in at.values()), (slots, at)
    for times in asked.values():
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert min(gaps) >= LEAST


def test_it_goes_home_after_a_while_spread_over_a_minute() -> None:
    times = []
    for member in MEMBERS[:300]:
        choice = Choice(member, RELAYS, "a", Random(member))
        home = choice.first(0)
        choice.failed(0, home)
        now = back = 0
        while (found := choice.home(now)) is None:
            choice.answered(now)
            back, now = now, now + SECOND
        assert found == home == choice.relay and HOME <= now <= 2 * HOME + SECOND > back
        assert choice.home(now) is None  # it is on its way
        choice.answered(now)
        assert choice.home(now + 10 * HOME) is None
        times.append(now)
    seconds = Counter((now - HOME) // (6 * SECOND) for now in times)
    assert len(seconds) >= 10 and max(seconds.values()) <= 60, seconds


def test_a_home_that_still_fails_is_tried_again_a_while_later() -> None:
    choice = Choice("m", RELAYS, "a", Random(3))
    home = choice.first(0)
    elsewhere, _ = choice.failed(0, home)
    now, tries = 0, []
    while now < 600 * SECOND:
        choice.answered(now)
        if choice.home(now) is not None:
            tries.append(now)
            back, wait = choice.failed(now, home)
            assert back == elsewhere and wait < FIRST
        now += SECOND
    gaps = [b - a for a, b in itertools.pairwise(tries)]
    assert len(tries) >= 4 and all(HOME <= gap <= 2 * HOME + 2 * SECOND for gap in gaps)


def test_a_home_that_has_just_failed_is_left_alone_for_a_while() -> None:
    choice = Choice("m", RELAYS, "a", Random(3))
    home = choice.first(0)
    there, _ = choice.failed(0, home)
    choice.answered(0)
    back, _ = choice.failed(59 * SECOND, there)
    assert back == home
    elsewhere, _ = choice.failed(59 * SECOND, home)
    choice.answered(59 * SECOND)
    assert elsewhere not in (home, there) and choice.home(118 * SECOND) is None


def test_a_member_at_its_first_choice_has_nowhere_to_go() -> None:
    choice = Choice("m", RELAYS, "a", Random(3))
    choice.first(0)
    for now in range(0, 600 * SECOND, SECOND):
        choice.answered(now)
        assert choice.home(now) is None
