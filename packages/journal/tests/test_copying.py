"""An origin and its holders under lost messages, lost disks and changed places: nothing is told too early."""

from __future__ import annotations

from random import Random
from typing import ClassVar

import pytest

from walnutpost.journal import Behind, Copying, Due, Kept, Lost, Placed, Post, Terms, Told, Wanted, Written
from walnutpost.journal.copying import Effect, Input

MS = 1000
TERMS = Terms(lost_after=2000 * MS, pause=100 * MS, backlog=10_000)


class World:
    """Three holders and a network that loses and delays as the seed says."""

    kind: ClassVar[type[Copying]] = Copying

    def __init__(self, seed: int) -> None:
        self.random, self.now = Random(seed), 0
        self.names = {name: f"{name}-0" for name in "xyz"}
        self.disks = dict.fromkeys("xyz", 0)
        self.machine = self.kind(TERMS, 0)
        self.wanted: dict[int, Wanted] = {}
        self.told = 0
        self.on_way: list[tuple[int, Input]] = []
        self.feed(Placed(("x", "y")))

    def feed(self, event: Input) -> None:
        effects: list[Effect] = self.machine.handle(self.now, event)
        posted = [e.holder for e in effects if isinstance(e, Post)]
        assert len(posted) == len(set(posted))
        for effect in effects:
            match effect:
                case Told(token, copies, enough):
                    want = self.wanted.pop(token)
                    have = sum(self.disks[h] >= want.seq for h in self.machine.reached())
                    assert have >= copies, f"told of {copies} copies where {have} are"
                    assert enough == (copies >= want.copies)
                    assert enough or want.less or self.now >= want.until
                    self.told += 1
                case Post(holder, after):
                    self.post(holder, after)

    def post(self, holder: str, after: int | None) -> None:
        roll = self.random.random()
        after_it = self.now + self.random.randrange(1, 300) * MS
        if roll < 0.15:
            return self.on_way.append((after_it, Lost(holder)))
        if after is not None and after <= self.disks[holder]:
            upto = min(self.machine.last, after + self.random.randrange(1, 6))
            self.disks[holder] = max(self.disks[holder], upto)
        if roll < 0.25:  # it was written, and the answer was lost
            return self.on_way.append((after_it, Lost(holder)))
        return self.on_way.append((after_it, Kept(holder, self.names[holder], self.disks[holder])))

    def step(self) -> None:
        due = self.machine.due
        times = [at for at, _ in self.on_way] + ([due] if due is not None else [])
        self.now = max(self.now, min([*times, self.now + 500 * MS]))
        for item in [i for i in self.on_way if i[0] <= self.now]:
            self.on_way.remove(item)
            self.feed(item[1])
        self.feed(Due())
        roll = self.random.random()
        if roll < 0.3:
            self.feed(Written(self.machine.last + self.random.randrange(1, 4), 100))
        elif roll < 0.6:
            token = len(self.wanted) + self.told
            seq = self.machine.last + self.random.randrange(-1, 3)
            span = self.random.choice((50, 5000)) * MS
            want = Wanted(token, max(1, seq), self.random.randrange(3), roll < 0.4, self.now + span)
            self.wanted[token] = want
            self.feed(want)
        elif roll < 0.63:
            self.feed(Placed(tuple(self.random.sample("xyz", 2))))


class TellsAtOnce(Copying):
    """Accepted before it is copied."""

    def copies(self, seq: int) -> int:
        return len(self._holders)


class TrustsTheName(Copying):
    """What a holder once had is taken to be there for good, whatever its disk says now."""

    def _kept(self, holder: str, disk: str, seq: int) -> None:
        super()._kept(holder, disk, max(seq, self._holders[holder].seq))


def play(kind: type[Copying], seeds: int, steps: int = 150) -> int:
    told = 0
    for seed in range(seeds):
        world = type("W", (World,), {"kind": kind})(seed)
        for _ in range(steps):
            world.step()
        world.now += 10_000 * MS
        world.feed(Written(world.machine.last + 3, 100))
        world.feed(Due())
        assert not world.wanted, "someone was left waiting"
        told += world.told
    return told


def test_told_only_when_the_copies_stand_and_never_forgotten() -> None:
    assert play(Copying, 60) > 1500


@pytest.mark.parametrize("wrong", [TellsAtOnce])
def test_a_wrong_rule_is_found(wrong: type[Copying]) -> None:
    with pytest.raises(AssertionError, match="told of"):
        play(wrong, 60)


def with_two(*, copies: int, seq: int) -> Copying:
    machine = Copying(TERMS, 0)
    machine.handle(0, Placed(("x", "y")))
    machine.handle(0, Written(seq, 100))
    for holder in "xy"[:copies]:
        machine.handle(1, Kept(holder, f"{holder}-0", 0))
        machine.handle(1, Kept(holder, f"{holder}-0", seq))
    return machine


@pytest.mark.parametrize(("kind", "copies"), [(Copying, 0), (TrustsTheName, 1)])
def test_a_holder_that_lost_its_disk_counts_for_what_the_new_one_has(
    kind: type[Copying], copies: int
) -> None:
    machine = kind(TERMS, 0)
    machine.handle(0, Placed(("x",)))
    machine.handle(0, Written(5, 100))
    machine.handle(1, Kept("x", "x-0", 0))
    machine.handle(1, Kept("x", "x-0", 5))
    assert machine.copies(5) == 1 and not machine.behind
    again = machine.handle(2, Kept("x", "x-1", 0))
    assert machine.copies(5) == copies
    assert (Post("x", 0) in again) == (copies == 0)  # sent anew from the start; the wrong rule never would


def test_less_is_told_only_once_what_lacks_is_out_of_reach() -> None:
    machine = with_two(copies=1, seq=1)
    machine.handle(TERMS.lost_after - 2, Kept("x", "x-0", 1))
    machine.handle(TERMS.lost_after - 1, Written(2, 100))
    told = machine.handle(TERMS.lost_after + 1, Wanted(1, 2, 2, True, 10**9))  # y is out of reach, x is not
    assert not [e for e in told if isinstance(e, Told)]
    assert Told(1, 1, False) in machine.handle(TERMS.lost_after + 2, Kept("x", "x-0", 2))
    machine = with_two(copies=1, seq=1)
    assert not [e for e in machine.handle(2, Wanted(1, 1, 2, True, 10**9)) if isinstance(e, Told)]
    assert Told(1, 1, False) in machine.handle(TERMS.lost_after, Due())
    machine = with_two(copies=1, seq=1)
    machine.handle(2, Wanted(1, 1, 2, False, 3 * TERMS.lost_after))
    assert not [e for e in machine.handle(TERMS.lost_after, Due()) if isinstance(e, Told)]
    assert Told(1, 1, False) in machine.handle(3 * TERMS.lost_after, Due())


def test_room_ends_with_reach_and_with_what_waits_and_says_when_to_come_again() -> None:
    machine = with_two(copies=2, seq=1)
    assert machine.waits(2, False, 500) is None
    machine.handle(3, Written(2, 9_800))  # not copied yet
    assert machine.waits(1, False, 100) is None
    wait = machine.waits(1, False, 10_000)
    assert wait is not None and wait >= TERMS.pause
    machine.handle(4, Kept("x", "x-0", 2))
    assert machine.waits(1, False, 10_000) is None and machine.waits(2, False, 10_000) is not None
    machine.now = 4 + TERMS.lost_after - 1  # x is still near, y out of reach
    assert machine.waits(1, False, 10) is None and machine.waits(2, False, 10) is not None
    assert machine.waits(2, True, 10) is None


def test_a_holder_that_knows_more_than_this_disk_ends_the_numbering() -> None:
    machine = Copying(TERMS, 0, last=7)
    machine.handle(0, Placed(("x",)))
    assert Behind("x", 9) in machine.handle(1, Kept("x", "x-0", 9))
    assert machine.waits(0, True, 1) is not None


def test_numbers_given_out_before_a_holder_spoke_are_not_taken_for_the_lines_it_has() -> None:
    machine = Copying(TERMS, 0, last=7)
    machine.handle(0, Placed(("x",)))
    machine.handle(1, Written(9, 100))  # numbered since the start, and not sent anywhere
    assert Behind("x", 9) in machine.handle(2, Kept("x", "x-0", 9))
    machine = Copying(TERMS, 0, last=7)
    machine.handle(0, Placed(("x",)))
    machine.handle(1, Written(9, 100))
    assert Post("x", 7) in machine.handle(2, Kept("x", "x-0", 7))
    assert not machine.handle(3, Kept("x", "x-0", 9)) and not machine.behind


def test_after_a_start_a_holder_is_asked_before_anything_is_sent() -> None:
    machine = Copying(TERMS, 0, last=7)
    assert machine.handle(0, Placed(("x",))) == [Post("x", None)]
    assert machine.handle(1, Kept("x", "x-0", 4)) == [Post("x", 4)]
    assert machine.handle(2, Lost("x")) == []
    assert machine.handle(2 + TERMS.pause, Due()) == [Post("x", 4)]
