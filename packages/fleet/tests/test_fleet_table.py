"""The agreed table in the fleet's state: the same at each replica, however often read back from snapshots."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from walnutpost.configstore.messages import Op
from walnutpost.configstore.table import Table
from walnutpost.fleet import (
    FRONT_END,
    MEANWHILE,
    Answer,
    BadState,
    Command,
    Enter,
    Fleet,
    Followers,
    Forget,
    Halt,
    Heard,
    Keep,
    SetEntries,
    decode,
    encode,
    machine,
)


def op(name: str, value: str | None = "1") -> Op:
    return Op(f"function/{name}", None if value is None else value.encode())


@dataclass
class History:
    """Commands as agreed, and the replicas that apply them."""

    fleets: list[Fleet] = field(default_factory=lambda: [Fleet()])
    entries: list[tuple[str, bytes]] = field(default_factory=list)

    def do(self, command: Command, id: str = "") -> Answer:
        self.entries.append((id or f"i{len(self.entries)}", encode(command)))
        answers = {fleet.apply(len(self.entries), *self.entries[-1]) for fleet in self.fleets}
        assert len(answers) == 1
        return answers.pop()

    def set(self, *ops: Op, base: int | None = None, id: str = "") -> Answer:
        revision = self.fleets[0].table.revision
        return self.do(SetEntries(ops, revision if base is None else base, "anna"), id)

    @property
    def fleet(self) -> Fleet:
        return self.fleets[0]


# Any order

names = st.sampled_from(["f1", "f2", "f3", "f4"])
ops = st.builds(op, names, st.sampled_from(["1", "2", None]))
pairs = st.tuples(names, st.sampled_from(["a", "b"]))
changes = st.builds(
    SetEntries, st.lists(ops, max_size=3).map(tuple), st.integers(0, 3), st.just("anna")
)  # `base`: so many change sets too old
rosters = st.builds(Followers, st.lists(pairs, max_size=2).map(tuple), st.lists(pairs, max_size=2).map(tuple))
others = st.one_of(
    st.builds(Forget, names),
    st.builds(Enter, names, st.just(FRONT_END), st.just("z"), st.sampled_from(["a", "b"])),
    st.builds(Keep, names, st.just(b"content")),
)
commands = st.one_of(changes, changes, rosters, others)
steps = st.lists(st.tuples(st.integers(0, 15), commands, st.integers(0, 5)), max_size=40)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(steps)
def test_the_same_commands_give_the_same_state_with_snapshots_in_between(
    steps: list[tuple[int, Command, int]],
) -> None:
    """One replica applies all; one is read back from its own snapshots; one is sent those of the first now
    and then; one reads all of the history again at the end. Few ids, so many commands come again."""
    kept = machine.ANSWERS_MOST, machine.VERSIONS_MOST
    machine.ANSWERS_MOST, machine.VERSIONS_MOST = 5, 2
    try:
        history = History([Fleet(), Fleet(), Fleet()])
        revisions = [0]
        for id, command, restart in steps:
            if isinstance(command, SetEntries):
                base = revisions[max(0, len(revisions) - 1 - command.base // 2)]
                command = SetEntries(command.ops, base, command.operator)
            history.do(command, f"id{id}")
            if history.fleet.table.revision > revisions[-1]:
                revisions.append(history.fleet.table.revision)
            if restart == 0:
                history.fleets[1] = Fleet.restore(history.fleets[1].snapshot())
            elif restart == 1:
                history.fleets[2] = Fleet.restore(history.fleet.snapshot())
            assert len({fleet.snapshot() for fleet in history.fleets}) == 1
            assert len({fleet.table.digest for fleet in history.fleets}) == 1
        again = Fleet()
        for index, entry in enumerate(history.entries, 1):
            again.apply(index, *entry)
        assert again.snapshot() == history.fleet.snapshot()
        assert sum(history.fleet.table.recount()) % 2**64 == history.fleet.table.digest
    finally:
        machine.ANSWERS_MOST, machine.VERSIONS_MOST = kept


# Change sets


def test_a_change_set_enters_whole_at_the_revision_of_its_entry() -> None:
    history = History()
    history.do(Halt("x"))
    answer = history.set(op("a"), op("b"))
    table = history.fleet.table
    assert answer.done and answer.index == table.revision == 2
    assert {e.key: e.revision for e in table.entries.values()} == {"function/a": 2, "function/b": 2}
    before = table.entries
    for wrong, why in (
        ((op("a", "2"), Op("not a key", b"")), "not a key"),
        ((op("a", "2"), op("a", "3")), "2 times"),
        ((), "0 keys"),
        ((op("c", "x" * 20_000),), "20000 bytes"),
    ):
        refused = history.set(*wrong)
        assert not refused.done and why in refused.why
    assert history.fleet.table.entries is before and history.fleet.table.revision == 2


def test_a_change_set_that_was_checked_against_an_older_table_does_not_enter_and_may_be_asked_again() -> None:
    history = History()
    history.set(op("a"))
    history.set(op("b"))
    refused = history.set(op("a", None), base=1, id="x")
    assert not refused.done and refused.why == MEANWHILE and "x" not in history.fleet.state.answers
    answer = history.set(op("a", None), id="x")
    assert answer.done and list(history.fleet.table.entries) == ["function/b"]
    history.set(op("a", "3"))
    assert history.set(op("a", None), id="x") == answer, "asked again, it is not applied again"
    assert history.set(op("a", None), base=1, id="x") == answer
    assert history.fleet.table.entries["function/a"].value == b"3"


# Followers


def test_who_follows_is_agreed_by_name_as_one_process() -> None:
    history = History()
    history.do(Followers((("f1", "a"), ("f2", "a"))))
    history.do(Followers((("f1", "b"),), (("f2", "other"),)))
    assert history.fleet.state.followers == {"f1": "b", "f2": "a"}, "another process of that name has ended"
    history.do(Followers((), (("f2", "a"), ("f9", "a"))))
    assert history.fleet.state.followers == {"f1": "b"}
    history.do(Enter("f1", FRONT_END, "z", "b"))
    assert history.do(Forget("f1")).done and not history.fleet.state.followers
    assert not history.fleet.state.members
    history.do(Followers((("r", "a"),)))
    assert history.do(Forget("r")).done and not history.do(Forget("r")).done


# Other versions, and bytes that are not whole


def test_what_a_version_without_a_table_wrote_is_read() -> None:
    """Its snapshot, whose dicts were sorted by name, and its commands."""
    answers = {"a": Answer(True, 9), "b": Answer(True, 3), "c": Answer(False, 7, "no")}
    old = {
        "index": 9,
        "listed": 2,
        "members": {"m": {"kind": FRONT_END, "zone": "z", "incarnation": "m.1"}},
        "permits": {},
        "plans": {},
        "versions": {"v1": b"x"},
        "budgets": [],
        "halted": "for a while",
        "alone": [],
        "answers": answers,
    }
    fleet = Fleet.restore(msgspec.msgpack.encode(old))
    assert fleet.state.members["m"].incarnation == "m.1" and fleet.state.halted == "for a while"
    assert not fleet.table.entries and fleet.table.revision == 0 and not fleet.state.followers
    assert list(fleet.state.answers) == ["b", "c", "a"], "the oldest is to go first"
    assert fleet.apply(10, "x", encode(SetEntries((op("a"),), 0))).done
    enter = bytes.fromhex("9301") + msgspec.msgpack.encode(("Enter", "m", "worker", "z", "m.1")) + b"\x00"
    assert decode(enter) == Enter("m", "worker", "z", "m.1")
    heard = bytes.fromhex("9201") + msgspec.msgpack.encode(("Heard", "m", "m.1"))
    assert decode(heard) == Heard("m", "m.1")


def test_a_state_may_be_told_without_its_table() -> None:
    history = History()
    history.set(op("a", "x" * 10_000))
    history.do(Followers((("f", "1"),)))
    data = history.fleet.snapshot(table=False)
    assert len(data) < 1000 and Fleet.restore(data).state == history.fleet.state
    assert not Fleet.restore(data).table.entries
    assert Fleet.restore(history.fleet.snapshot()).table.entries == history.fleet.table.entries


def test_a_snapshot_that_is_not_whole_is_not_taken_for_a_state() -> None:
    history = History()
    history.set(op("a", "value"))
    data = history.fleet.snapshot()
    for wrong in (data[:-1], data.replace(b"value", b"valve", 1), b"noise"):
        with pytest.raises(BadState):
            Fleet.restore(wrong)
    assert Fleet.restore(b"").table.revision == 0


def test_a_command_that_can_not_be_read_is_refused_and_ends_no_keeper() -> None:
    """Text that is no UTF-8, and a command of a later version with more nested in it than can be read."""
    history = History()
    for data in (
        encode(Halt("why")).replace(b"why", b"\xff\xfe\xfd"),
        b"\x94\x01\x93\xa4Halt\xa0\xa0\x00" + b"\x91" * 100_000 + b"\x00",
    ):
        answer = history.fleet.apply(1, "", data)
        assert not answer.done and "not a command" in answer.why
    history.do(Halt("stopped"))
    state = history.fleet.snapshot().replace(b"stopped", b"\xff\xfe\xfdpped")
    with pytest.raises(BadState):
        Fleet.restore(state)


def test_a_table_that_moves_its_floor_does_so_at_the_same_entry_everywhere() -> None:
    history = History()
    history.fleets = [Fleet(table=Table(log_most=4)), Fleet(table=Table(log_most=4))]
    for n in range(10):
        history.set(op(f"f{n}"))
        assert len({fleet.snapshot() for fleet in history.fleets}) == 1
    assert history.fleet.table.floor == 6
