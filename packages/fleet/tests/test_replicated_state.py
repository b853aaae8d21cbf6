"""Replicas have the same state, with the config store within it, and the same results for all bytes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import get_args

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

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
from walnutpost.testsupport.fleet.state_machine_harness import (
    FleetHarness,
)


def mutation(name: str, value: str | None = "1") -> Mutation:
    return Mutation(f"function/{name}", None if value is None else value.encode())


@dataclass
class ReplicatedLog:
    """Committed commands, and the replicas that apply them."""

    fleets: list[Fleet] = field(default_factory=lambda: [Fleet()])
    entries: list[tuple[str, bytes]] = field(default_factory=list)  # request id and content

    def do(self, command: Command, request_id: str = "") -> CommandResult:
        self.entries.append((request_id or f"i{len(self.entries)}", encode(command)))
        results = {fleet.apply(len(self.entries), *self.entries[-1]) for fleet in self.fleets}
        assert len(results) == 1
        return results.pop()

    def set(
        self, *mutations: Mutation, base_revision: int | None = None, request_id: str = ""
    ) -> CommandResult:
        revision = self.fleets[0].config_store.revision if base_revision is None else base_revision
        return self.do(ApplyChangeSet(mutations, revision, "anna"), request_id)

    @property
    def fleet(self) -> Fleet:
        return self.fleets[0]


@dataclass(frozen=True)
class Step:
    """A command under one of a few request ids, after which a replica may be restored from a snapshot."""

    request_id: int
    command: Command
    restart: int


names = st.sampled_from(["f1", "f2", "f3", "f4"])
mutations = st.builds(mutation, names, st.sampled_from(["1", "2", None]))
followers = st.tuples(names, st.sampled_from(["a", "b"]))
change_sets = st.builds(
    ApplyChangeSet, st.lists(mutations, max_size=3).map(tuple), st.integers(0, 3), st.just("anna")
)  # half of `base_revision`: how many change sets it is too old
follower_updates = st.builds(
    UpdateFollowers, st.lists(followers, max_size=2).map(tuple), st.lists(followers, max_size=2).map(tuple)
)
other_commands = st.one_of(
    st.builds(ForgetMember, names),
    st.builds(RegisterMember, names, st.just(FRONT_END), st.just("z"), st.sampled_from(["a", "b"])),
    st.builds(StoreVersion, names, st.just(b"content")),
)
commands = st.one_of(change_sets, change_sets, follower_updates, other_commands)
steps = st.lists(st.builds(Step, st.integers(0, 15), commands, st.integers(0, 5)), max_size=40)


def with_base_revision(command: Command, revisions: list[int]) -> Command:
    """Return a change set for a revision that existed; any other command as it is."""
    if not isinstance(command, ApplyChangeSet):
        return command
    base_revision = revisions[max(0, len(revisions) - 1 - command.base_revision // 2)]
    return ApplyChangeSet(command.mutations, base_revision, command.operator)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(steps)
def test_replicas_when_restored_from_snapshots_at_any_time_have_the_same_state(steps: list[Step]) -> None:
    """The first replica applies all entries, the second is restored from its own snapshots, the third from
    those of the first, and one more applies the complete log at the end.

    With few request ids, many commands are repeated.
    """
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(retention, "MAX_REMEMBERED_RESULTS", 5)
        patch.setattr(retention, "MAX_VERSIONS", 2)
        log = ReplicatedLog([Fleet(), Fleet(), Fleet()])
        revisions = [0]
        for step in steps:
            log.do(with_base_revision(step.command, revisions), f"id{step.request_id}")
            if log.fleet.config_store.revision > revisions[-1]:
                revisions.append(log.fleet.config_store.revision)
            if step.restart == 0:
                log.fleets[1] = Fleet.restore(log.fleets[1].snapshot())
            elif step.restart == 1:
                log.fleets[2] = Fleet.restore(log.fleet.snapshot())
            assert len({fleet.snapshot() for fleet in log.fleets}) == 1
            assert len({fleet.config_store.digest for fleet in log.fleets}) == 1
        last = Fleet()
        for index, entry in enumerate(log.entries, 1):
            last.apply(index, *entry)
        assert last.snapshot() == log.fleet.snapshot()
        assert sum(log.fleet.config_store.compute_bucket_digests()) % 2**64 == log.fleet.config_store.digest


def test_change_set_when_valid_gives_all_its_entries_the_index_of_the_log_entry() -> None:
    log = ReplicatedLog()
    log.do(HaltPlan("x"))
    result = log.set(mutation("a"), mutation("b"))
    table = log.fleet.config_store
    assert result.ok
    assert result.index == table.revision == 2
    assert {e.key: e.revision for e in table.entries.values()} == {"function/a": 2, "function/b": 2}


@pytest.mark.parametrize(
    ("mutations", "error"),
    [
        ((mutation("a", "2"), Mutation("not a key", b"")), "not a key"),
        ((mutation("a", "2"), mutation("a", "3")), "2 times"),
        ((), "0 keys"),
        ((mutation("c", "x" * 20_000),), "20000 bytes"),
    ],
    ids=["invalid key", "one key twice", "empty", "too large"],
)
def test_change_set_when_one_mutation_is_invalid_changes_nothing(
    mutations: tuple[Mutation, ...], error: str
) -> None:
    log = ReplicatedLog()
    log.do(HaltPlan("x"))
    log.set(mutation("a"), mutation("b"))
    before = log.fleet.config_store.entries
    result = log.set(*mutations)
    assert not result.ok
    assert error in result.error
    assert log.fleet.config_store.entries is before
    assert log.fleet.config_store.revision == 2


def test_change_set_when_validated_against_an_older_revision_is_rejected_and_may_be_retried() -> None:
    log = ReplicatedLog()
    log.set(mutation("a"))
    log.set(mutation("b"))
    rejected = log.set(mutation("a", None), base_revision=1, request_id="x")
    assert not rejected.ok
    assert rejected.error == CHANGED_MEANWHILE
    assert "x" not in log.fleet.state.results
    result = log.set(mutation("a", None), request_id="x")
    assert result.ok
    assert list(log.fleet.config_store.entries) == ["function/b"]
    log.set(mutation("a", "3"))
    assert log.set(mutation("a", None), request_id="x") == result, "a repeated command is not applied again"
    assert log.set(mutation("a", None), base_revision=1, request_id="x") == result
    assert log.fleet.config_store.entries["function/a"].value == b"3"


def test_follower_when_another_incarnation_leaves_stays() -> None:
    log = ReplicatedLog()
    log.do(UpdateFollowers((("f1", "a"), ("f2", "a"))))
    log.do(UpdateFollowers((("f1", "b"),), (("f2", "other"),)))
    assert log.fleet.state.followers == {"f1": "b", "f2": "a"}, "another process of that name has ended"
    log.do(UpdateFollowers((), (("f2", "a"), ("f9", "a"))))
    assert log.fleet.state.followers == {"f1": "b"}
    log.do(RegisterMember("f1", FRONT_END, "z", "b"))
    assert log.do(ForgetMember("f1")).ok
    assert not log.fleet.state.followers
    assert not log.fleet.state.members
    log.do(UpdateFollowers((("r", "a"),)))
    assert log.do(ForgetMember("r")).ok
    assert not log.do(ForgetMember("r")).ok


def test_snapshot_when_written_by_a_version_without_config_store_is_read() -> None:
    """In its snapshots dicts were sorted by name."""
    results = {"a": CommandResult(True, 9), "b": CommandResult(True, 3), "c": CommandResult(False, 7, "no")}
    snapshot = {
        "index": 9,
        "listed": 2,
        "members": {"m": {"kind": FRONT_END, "zone": "z", "incarnation": "m.1"}},
        "permits": {},
        "plans": {},
        "versions": {"v1": b"x"},
        "budgets": [],
        "halted": "for a while",
        "alone": [],
        "answers": results,
    }
    fleet = Fleet.restore(msgspec.msgpack.encode(snapshot))
    assert fleet.state.members["m"].incarnation == "m.1"
    assert fleet.state.halt_reason == "for a while"
    assert not fleet.config_store.entries
    assert fleet.config_store.revision == 0
    assert not fleet.state.followers
    assert list(fleet.state.results) == ["b", "c", "a"], "the oldest comes first"
    assert fleet.apply(10, "x", encode(ApplyChangeSet((mutation("a"),), 0))).ok
    enter = bytes.fromhex("9301") + msgspec.msgpack.encode(("Enter", "m", "worker", "z", "m.1")) + b"\x00"
    assert decode(enter) == RegisterMember("m", "worker", "z", "m.1")
    heard = bytes.fromhex("9201") + msgspec.msgpack.encode(("Heard", "m", "m.1"))
    assert decode(heard) == MarkResponsive("m", "m.1")


def test_snapshot_when_taken_without_the_config_store_holds_the_rest() -> None:
    log = ReplicatedLog()
    log.set(mutation("a", "x" * 10_000))
    log.do(UpdateFollowers((("f", "1"),)))
    data = log.fleet.snapshot(config_store=False)
    assert len(data) < 1000
    assert Fleet.restore(data).state == log.fleet.state
    assert not Fleet.restore(data).config_store.entries
    assert Fleet.restore(log.fleet.snapshot()).config_store.entries == log.fleet.config_store.entries


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: data[:-1],
        lambda data: data.replace(b"value", b"valve", 1),
        lambda _: b"noise",
    ],
    ids=["cut off", "other content", "no snapshot"],
)
def test_snapshot_when_damaged_raises_an_error(damage: Callable[[bytes], bytes]) -> None:
    log = ReplicatedLog()
    log.set(mutation("a", "value"))
    damaged = damage(log.fleet.snapshot())
    with pytest.raises(InvalidStateError):
        Fleet.restore(damaged)


def test_snapshot_when_its_text_is_no_utf_8_raises_an_error() -> None:
    log = ReplicatedLog()
    log.do(HaltPlan("stopped"))
    damaged = log.fleet.snapshot().replace(b"stopped", b"\xff\xfe\xfdpped")
    with pytest.raises(InvalidStateError):
        Fleet.restore(damaged)


def test_snapshot_when_empty_is_read_as_an_empty_state() -> None:
    assert Fleet.restore(b"").config_store.revision == 0


@pytest.mark.parametrize(
    "data",
    [
        encode(HaltPlan("why")).replace(b"why", b"\xff\xfe\xfd"),
        b"\x94\x01\x93\xa4Halt\xa0\xa0\x00" + b"\x91" * 100_000 + b"\x00",
    ],
    ids=["text that is no UTF-8", "a later version's, nested too deeply"],
)
def test_command_when_it_cannot_be_decoded_is_rejected(data: bytes) -> None:
    result = Fleet().apply(1, "", data)
    assert not result.ok
    assert "not a command" in result.error


def test_config_store_when_it_compacts_does_so_at_the_same_entry_on_all_replicas() -> None:
    log = ReplicatedLog()
    log.fleets = [
        Fleet(config_store=ConfigStore(max_log_entries=4)),
        Fleet(config_store=ConfigStore(max_log_entries=4)),
    ]
    for n in range(10):
        log.set(mutation(f"f{n}"))
        assert len({fleet.snapshot() for fleet in log.fleets}) == 1
    assert log.fleet.config_store.compacted_revision == 6


def test_command_when_repeated_gets_its_first_result() -> None:
    harness = FleetHarness(4, DisruptionBudget(FRONT_END, max_unavailable=1))
    first = harness.do(RequestPermit("m0", "agent", "test"), "x")
    assert first.ok
    assert harness.do(RequestPermit("m0", "agent", "test"), "x") == first


@pytest.mark.parametrize(
    "data",
    [b"", b"noise", encode(HaltPlan("x")).replace(b"\x01", b"\x02", 1)],
    ids=["empty", "no command", "another format"],
)
def test_command_when_invalid_changes_nothing(data: bytes) -> None:
    harness = FleetHarness(4, DisruptionBudget(FRONT_END, max_unavailable=1))
    harness.do(RequestPermit("m0", "agent", "test"), "x")
    before = harness.fleet.state.permits.copy()
    assert not harness.fleet.apply(99, "", data).ok
    assert harness.fleet.state.permits == before
    assert not harness.fleet.state.halt_reason


def test_each_type_of_command_has_a_handler() -> None:
    assert set(HANDLERS) == set(get_args(Command))
