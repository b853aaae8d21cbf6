"""How change sets come in: checked against the table that they change, one at a time, in whatever order."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import pytest

from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.consensus import NOT_LEADER
from walnutpost.controlplane import wire
from walnutpost.controlplane.changes import BODY_MOST, Changes
from walnutpost.eventloop import Loop, Task, VirtualClock
from walnutpost.fleet import ApplyChangeSet, CommandResult, Fleet, decode, encode

PATIENCE = 1_000_000


class Log:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def error(self, event: str, **fields: Any) -> None:
        self.lines.append(f"{event} {fields}")


class World:
    """A history that is agreed on after a while, into which other leaders' change sets come as well."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.fleet, self.log = loop, Fleet(), Log()
        self.index = 0
        self.before: list[Sequence[Mutation]] = []  # enters first, before the next proposal
        self.while_confirming: list[Sequence[Mutation]] = []
        self.proposed: list[ApplyChangeSet] = []
        self.leads = True
        self.checked: list[int] = []  # against which revision
        self.changes = Changes(
            loop, lambda: self.fleet, self.propose, self.confirm, self.check, PATIENCE, self.log
        )
        self.wait = 1000

    def enter(self, ops: Sequence[Mutation], id: str = "") -> CommandResult:
        self.index += 1
        return self.fleet.apply(
            self.index, id, encode(ApplyChangeSet(tuple(ops), self.fleet.table.revision, "other"))
        )

    def propose(self, id: str, command: bytes) -> wire.Told:
        self.loop.sleep(self.wait)
        if not self.leads:
            return wire.Told(None, True, NOT_LEADER, "k2")
        if self.before:
            self.enter(self.before.pop(0))
        change = decode(command)
        assert isinstance(change, ApplyChangeSet)
        self.proposed.append(change)
        self.index += 1
        return wire.Told(self.fleet.apply(self.index, id, command))

    def confirm(self) -> wire.Told:
        self.loop.sleep(self.wait)
        if self.while_confirming:
            self.enter(self.while_confirming.pop(0))
        return wire.Told() if self.leads else wire.Told(None, True, NOT_LEADER, "k2")

    def check(self, table: ConfigStore, ops: Sequence[Mutation]) -> list[str]:
        """A reference must name what stands."""
        self.checked.append(table.revision)
        if any(op.value == b"fail" for op in ops):
            raise RuntimeError("a fault of the check")
        return [
            f"{op.key}: found {op.value!r}, wanted a class that stands"
            for op in ops
            if op.value is not None
            and op.value.startswith(b"class/")
            and op.value.decode() not in table.entries
        ]

    def order(self, id: str, *ops: Mutation, dry: bool = False) -> wire.Told:
        return self.changes.order(wire.encode(wire.SetOrder(id, ops, dry, "anna")))


def played(script: Callable[[World], None]) -> None:
    loop = Loop(VirtualClock())
    loop.run(lambda: script(World(loop)))


CLASS = Mutation("class/a", b"1")
REFERS = Mutation("function/f", b"class/a")


def test_a_change_set_is_checked_against_the_table_that_it_changes() -> None:
    def script(world: World) -> None:
        told = world.order("1", REFERS)
        assert told.answer == CommandResult(
            False, 0, "function/f: found b'class/a', wanted a class that stands"
        )
        assert told.errors == (told.answer.error,) and not world.proposed
        assert world.order("1", CLASS).answer == CommandResult(True, 1), "a refusal is not remembered"
        assert world.order("2", REFERS).answer == CommandResult(True, 2)
        assert world.proposed[-1] == ApplyChangeSet((REFERS,), 1, "anna")
        assert world.order("2", CLASS).answer == CommandResult(True, 2), "the same id is the same change set"

    played(script)


def test_one_that_was_overtaken_is_checked_anew() -> None:
    """The class that it refers to is deleted between its check and its entry: it must not come in."""

    def script(world: World) -> None:
        world.order("1", CLASS)
        world.before = [[Mutation("class/a", None)]]
        told = world.order("2", REFERS)
        assert told.answer is not None and not told.answer.ok and "wanted a class" in told.errors[0]
        assert not world.fleet.table.entries and world.checked == [0, 1, 2]
        world.before = [[Mutation("class/b", b"1")], [Mutation("class/c", b"1")]]
        told = world.order("3", CLASS)
        assert told.answer is not None and told.answer.ok and len(world.fleet.table.entries) == 3

    played(script)


def test_a_refusal_is_told_only_of_a_table_that_is_confirmed_to_be_the_newest() -> None:
    def script(world: World) -> None:
        world.while_confirming = [[CLASS]]
        told = world.order("1", REFERS)  # refused by what was held here, but another leader had gone on
        assert told.answer is not None and told.answer.ok and not told.errors
        world.leads = False
        for dry in (True, False):
            told = world.order("2", Mutation("function/g", b"class/x"), dry=dry)
            assert told == wire.Told(None, True, NOT_LEADER, "k2")

    played(script)


def test_a_dry_run_is_checked_and_does_not_enter() -> None:
    def script(world: World) -> None:
        world.order("1", CLASS)
        assert world.order("2", REFERS, dry=True).answer == CommandResult(True, 1)
        assert len(world.proposed) == 1 and "2" not in world.fleet.state.results
        assert world.order("2", REFERS, dry=False).answer == CommandResult(True, 2)
        assert world.order("2", REFERS, dry=True).answer == CommandResult(True, 2)

    played(script)


def test_keys_that_have_changed_since_they_were_read_are_named() -> None:
    def script(world: World) -> None:
        for n in (1, 2, 3):
            world.order(f"{n}", Mutation(f"class/{n}", b"1"))
        ops = (Mutation("class/1", b"2"), Mutation("class/3", b"2"), Mutation("class/4", b"2"))
        told = world.changes.order(wire.encode(wire.SetOrder("x", ops, seen=2)))
        assert told.errors == ("class/3: found revision 3, wanted none after 2: it has changed meanwhile",)
        assert len(world.proposed) == 3
        assert world.changes.order(wire.encode(wire.SetOrder("x", ops, seen=3))).answer == CommandResult(
            True, 4
        )

    played(script)


def test_one_after_the_other_in_the_order_of_asking_each_checked_with_the_one_before_it_in() -> None:
    def script(world: World) -> None:
        tasks = [
            world.loop.spawn(lambda n=n: world.order(f"{n}", Mutation(f"class/{n}", b"1"))) for n in range(20)
        ]
        assert [task.join().answer for task in tasks] == [CommandResult(True, n + 1) for n in range(20)]
        assert world.checked == list(range(20)) and len(world.proposed) == 20

    played(script)


def test_one_that_waits_too_long_for_its_turn_says_so_and_leaves_the_turn_to_others() -> None:
    def script(world: World) -> None:
        def asked(name: str) -> Task[wire.Told]:
            return world.loop.spawn(lambda: world.order(name, Mutation(f"class/{name}", b"1")))

        world.wait = PATIENCE + 1000
        first, second = asked("first"), asked("second")
        cancelled = asked("cancelled")
        world.loop.sleep(PATIENCE // 2)
        cancelled.cancel()
        late = asked("late")
        assert first.join().answer == CommandResult(True, 1)
        told = second.join()
        assert told.answer is None and not told.sure and told.why == "other change sets are under way"
        assert late.join().answer == CommandResult(True, 2)
        assert world.order("again", CLASS).answer == CommandResult(True, 3), "the turn is free"
        assert [c.mutations[0].key for c in world.proposed] == ["class/first", "class/late", "class/a"]

    played(script)


def test_a_check_that_fails_lets_nothing_in_and_the_next_one_has_its_turn() -> None:
    def script(world: World) -> None:
        told = world.order("1", Mutation("function/f", b"fail"))
        assert told.answer is not None and not told.answer.ok and "a fault of the check" in told.errors[0]
        assert len(world.log.lines) == 1 and not world.proposed
        assert world.order("1", CLASS).answer == CommandResult(True, 1)

    played(script)


def test_one_that_is_overtaken_for_ever_gives_up_without_a_claim() -> None:
    def script(world: World) -> None:
        world.before = [[Mutation(f"class/{n}", b"1")] for n in range(1000)]
        told = world.order("1", CLASS)
        assert told.answer is None and not told.sure and "came in between" in told.why

    played(script)


def test_bodies_that_are_no_orders() -> None:
    def script(world: World) -> None:
        told = world.changes.order(b"x" * (BODY_MOST + 1))
        assert told.errors == (f"change set: found {BODY_MOST + 1} bytes, wanted 131072 at most",)
        for body in (b"noise", wire.encode(wire.SetOrder("", (CLASS,)))):
            with pytest.raises(wire.BadWire):
                world.changes.order(body)
        assert not world.proposed

    played(script)
