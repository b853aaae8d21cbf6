"""Replicas agree on the state, the config store within it, and what they make of other versions' bytes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import get_args

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from state_machine_rig import (
    FleetRig,
)
from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.fleet import (
    CHANGED_MEANWHILE,
    FRONT_END,
    ApplyChangeSet,
    Command,
    CommandResult,
    DisruptionBudget,
    Fleet,
    ForgetMember,
    HaltPlan,
    InvalidStateError,
    MarkResponsive,
    RegisterMember,
    RequestPermit,
    StoreVersion,
    UpdateFollowers,
    decode,
    encode,
    retention,
)
from walnutpost.fleet.machine import HANDLERS


def op(name: str, value: str | None = "1") -> Mutation:
    return Mutation(f"function/{name}", None if value is None else value.encode())


@dataclass
class History:
    """Commands as agreed, and the replicas that apply them."""

    fleets: list[Fleet] = field(default_factory=lambda: [Fleet()])
    entries: list[tuple[str, bytes]] = field(default_factory=list)

    def do(self, command: Command, id: str = "") -> CommandResult:
        self.entries.append((id or f"i{len(self.entries)}", encode(command)))
        answers = {fleet.apply(len(self.entries), *self.entries[-1]) for fleet in self.fleets}
        assert len(answers) == 1
        return answers.pop()

    def set(self, *ops: Mutation, base: int | None = None, id: str = "") -> CommandResult:
        revision = self.fleets[0].table.revision
        return self.do(ApplyChangeSet(ops, revision if base is None else base, "anna"), id)

    @property
    def fleet(self) -> Fleet:
        return self.fleets[0]


names = st.sampled_from(["f1", "f2", "f3", "f4"])


ops = st.builds(op, names, st.sampled_from(["1", "2", None]))


pairs = st.tuples(names, st.sampled_from(["a", "b"]))


changes = st.builds(
    ApplyChangeSet, st.lists(ops, max_size=3).map(tuple), st.integers(0, 3), st.just("anna")
)  # `base`: so many change sets too old


rosters = st.builds(
    UpdateFollowers, st.lists(pairs, max_size=2).map(tuple), st.lists(pairs, max_size=2).map(tuple)
)


others = st.one_of(
    st.builds(ForgetMember, names),
    st.builds(RegisterMember, names, st.just(FRONT_END), st.just("z"), st.sampled_from(["a", "b"])),
    st.builds(StoreVersion, names, st.just(b"content")),
)


commands = st.one_of(changes, changes, rosters, others)


steps = st.lists(st.tuples(st.integers(0, 15), commands, st.integers(0, 5)), max_size=40)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(steps)
def test_replicas_when_restored_from_snapshots_at_any_time_agree_on_the_state(
    steps: list[tuple[int, Command, int]],
) -> None:
    """One replica applies all; one is read back from its own snapshots; one is sent those of the first now
    and then; one reads all of the history again at the end. Few ids, so many commands come again."""
    kept = retention.MAX_REMEMBERED_RESULTS, retention.MAX_VERSIONS
    retention.MAX_REMEMBERED_RESULTS, retention.MAX_VERSIONS = 5, 2
    try:
        history = History([Fleet(), Fleet(), Fleet()])
        revisions = [0]
        for id, command, restart in steps:
            if isinstance(command, ApplyChangeSet):
                base = revisions[max(0, len(revisions) - 1 - command.base_revision // 2)]
                command = ApplyChangeSet(command.mutations, base, command.operator)
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
        assert sum(history.fleet.table.compute_bucket_digests()) % 2**64 == history.fleet.table.digest
    finally:
        retention.MAX_REMEMBERED_RESULTS, retention.MAX_VERSIONS = kept


def test_change_set_when_one_mutation_is_invalid_changes_nothing() -> None:
    history = History()
    history.do(HaltPlan("x"))
    answer = history.set(op("a"), op("b"))
    table = history.fleet.table
    assert answer.ok
    assert answer.index == table.revision == 2
    assert {e.key: e.revision for e in table.entries.values()} == {"function/a": 2, "function/b": 2}
    before = table.entries
    for wrong, why in (
        ((op("a", "2"), Mutation("not a key", b"")), "not a key"),
        ((op("a", "2"), op("a", "3")), "2 times"),
        ((), "0 keys"),
        ((op("c", "x" * 20_000),), "20000 bytes"),
    ):
        refused = history.set(*wrong)
        assert not refused.ok
        assert why in refused.error
    assert history.fleet.table.entries is before
    assert history.fleet.table.revision == 2


def test_change_set_when_validated_against_an_older_revision_is_rejected_and_may_be_retried() -> None:
    history = History()
    history.set(op("a"))
    history.set(op("b"))
    refused = history.set(op("a", None), base=1, id="x")
    assert not refused.ok
    assert refused.error == CHANGED_MEANWHILE
    assert "x" not in history.fleet.state.results
    answer = history.set(op("a", None), id="x")
    assert answer.ok
    assert list(history.fleet.table.entries) == ["function/b"]
    history.set(op("a", "3"))
    assert history.set(op("a", None), id="x") == answer, "asked again, it is not applied again"
    assert history.set(op("a", None), base=1, id="x") == answer
    assert history.fleet.table.entries["function/a"].value == b"3"


def test_follower_when_another_incarnation_leaves_stays() -> None:
    history = History()
    history.do(UpdateFollowers((("f1", "a"), ("f2", "a"))))
    history.do(UpdateFollowers((("f1", "b"),), (("f2", "other"),)))
    assert history.fleet.state.followers == {"f1": "b", "f2": "a"}, "another process of that name has ended"
    history.do(UpdateFollowers((), (("f2", "a"), ("f9", "a"))))
    assert history.fleet.state.followers == {"f1": "b"}
    history.do(RegisterMember("f1", FRONT_END, "z", "b"))
    assert history.do(ForgetMember("f1")).ok
    assert not history.fleet.state.followers
    assert not history.fleet.state.members
    history.do(UpdateFollowers((("r", "a"),)))
    assert history.do(ForgetMember("r")).ok
    assert not history.do(ForgetMember("r")).ok


def test_snapshot_when_written_by_a_version_without_config_store_is_read() -> None:
    """Its snapshot, whose dicts were sorted by name, and its commands."""
    answers = {"a": CommandResult(True, 9), "b": CommandResult(True, 3), "c": CommandResult(False, 7, "no")}
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
    assert fleet.state.members["m"].incarnation == "m.1"
    assert fleet.state.halt_reason == "for a while"
    assert not fleet.table.entries
    assert fleet.table.revision == 0
    assert not fleet.state.followers
    assert list(fleet.state.results) == ["b", "c", "a"], "the oldest is to go first"
    assert fleet.apply(10, "x", encode(ApplyChangeSet((op("a"),), 0))).ok
    enter = bytes.fromhex("9301") + msgspec.msgpack.encode(("Enter", "m", "worker", "z", "m.1")) + b"\x00"
    assert decode(enter) == RegisterMember("m", "worker", "z", "m.1")
    heard = bytes.fromhex("9201") + msgspec.msgpack.encode(("Heard", "m", "m.1"))
    assert decode(heard) == MarkResponsive("m", "m.1")


def test_snapshot_when_taken_without_the_config_store_holds_the_rest() -> None:
    history = History()
    history.set(op("a", "x" * 10_000))
    history.do(UpdateFollowers((("f", "1"),)))
    data = history.fleet.snapshot(table=False)
    assert len(data) < 1000
    assert Fleet.restore(data).state == history.fleet.state
    assert not Fleet.restore(data).table.entries
    assert Fleet.restore(history.fleet.snapshot()).table.entries == history.fleet.table.entries


def test_snapshot_when_damaged_raises_an_error() -> None:
    history = History()
    history.set(op("a", "value"))
    data = history.fleet.snapshot()
    for wrong in (data[:-1], data.replace(b"value", b"valve", 1), b"noise"):
        with pytest.raises(InvalidStateError):
            Fleet.restore(wrong)
    assert Fleet.restore(b"").table.revision == 0


def test_command_when_it_can_not_be_decoded_is_rejected() -> None:
    """Text that is no UTF-8, and a command of a later version with more nested in it than can be read."""
    history = History()
    for data in (
        encode(HaltPlan("why")).replace(b"why", b"\xff\xfe\xfd"),
        b"\x94\x01\x93\xa4Halt\xa0\xa0\x00" + b"\x91" * 100_000 + b"\x00",
    ):
        answer = history.fleet.apply(1, "", data)
        assert not answer.ok
        assert "not a command" in answer.error
    history.do(HaltPlan("stopped"))
    state = history.fleet.snapshot().replace(b"stopped", b"\xff\xfe\xfdpped")
    with pytest.raises(InvalidStateError):
        Fleet.restore(state)


def test_config_store_when_it_compacts_does_so_at_the_same_entry_on_all_replicas() -> None:
    history = History()
    history.fleets = [
        Fleet(table=ConfigStore(max_log_entries=4)),
        Fleet(table=ConfigStore(max_log_entries=4)),
    ]
    for n in range(10):
        history.set(op(f"f{n}"))
        assert len({fleet.snapshot() for fleet in history.fleets}) == 1
    assert history.fleet.table.compacted_revision == 6


def test_command_when_repeated_gets_its_first_result_and_when_invalid_changes_nothing() -> None:
    rig = FleetRig(4, DisruptionBudget(FRONT_END, max_unavailable=1))
    first = rig.do(RequestPermit("m0", "agent", "test"), "x")
    assert first.ok
    assert rig.do(RequestPermit("m0", "agent", "test"), "x") == first
    before = rig.fleet.state.permits.copy()
    for data in (b"", b"noise", encode(HaltPlan("x")).replace(b"\x01", b"\x02", 1)):
        assert not rig.fleet.apply(99, "", data).ok
    assert rig.fleet.state.permits == before
    assert not rig.fleet.state.halt_reason


def test_each_type_of_command_has_a_handler() -> None:
    assert set(HANDLERS) == set(get_args(Command))
