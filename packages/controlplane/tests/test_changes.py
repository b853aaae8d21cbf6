"""Change sets at one replica: validated against the revision that they change, one at a time."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest

from walnutpost.configstore.messages import Mutation
from walnutpost.configstore.store import ConfigStore
from walnutpost.consensus import NOT_LEADER
from walnutpost.controlplane import MalformedMessageError, wire
from walnutpost.controlplane.changes import MAX_REQUEST_BYTES, ChangeCoordinator
from walnutpost.eventloop import Loop, Task, VirtualClock
from walnutpost.fleet import ApplyChangeSet, CommandResult, Fleet, decode, encode

LOCK_TIMEOUT_US = 1_000_000


class Log:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def error(self, event: str, **fields: object) -> None:
        self.lines.append(f"{event} {fields}")

    info = warning = error


class SimulatedReplica:
    """Commits after a while; other leaders' change sets are committed in between, as a test says."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.fleet, self.log = loop, Fleet(), Log()
        self.index = 0
        self.before: list[Sequence[Mutation]] = []  # committed first, before the next proposal
        self.while_confirming: list[Sequence[Mutation]] = []
        self.proposed: list[ApplyChangeSet] = []
        self.is_leader = True
        self.checked: list[int] = []  # revisions that were checked against
        self.changes = ChangeCoordinator(
            loop, lambda: self.fleet, self, self.check, LOCK_TIMEOUT_US, self.log
        )
        self.commit_time_us = 1000

    def commit(self, mutations: Sequence[Mutation], request_id: str = "") -> CommandResult:
        self.index += 1
        return self.fleet.apply(
            self.index,
            request_id,
            encode(ApplyChangeSet(tuple(mutations), self.fleet.config_store.revision, "other")),
        )

    def submit_command(self, request_id: str, command: bytes) -> wire.CommandReply:
        self.loop.sleep(self.commit_time_us)
        if not self.is_leader:
            return wire.CommandReply(reason=NOT_LEADER, leader="k2")
        if self.before:
            self.commit(self.before.pop(0))
        change = decode(command)
        assert isinstance(change, ApplyChangeSet)
        self.proposed.append(change)
        self.index += 1
        return wire.CommandReply(self.fleet.apply(self.index, request_id, command))

    def confirm(self) -> wire.CommandReply:
        self.loop.sleep(self.commit_time_us)
        if self.while_confirming:
            self.commit(self.while_confirming.pop(0))
        return wire.CommandReply() if self.is_leader else wire.CommandReply(reason=NOT_LEADER, leader="k2")

    def check(self, table: ConfigStore, mutations: Sequence[Mutation]) -> list[str]:
        """A reference must name an existing key."""
        self.checked.append(table.revision)
        if any(mutation.value == b"fail" for mutation in mutations):
            raise RuntimeError("a fault of the check")
        return [
            f"{mutation.key}: found {mutation.value!r}, wanted a class that exists"
            for mutation in mutations
            if mutation.value is not None
            and mutation.value.startswith(b"class/")
            and mutation.value.decode() not in table.entries
        ]

    def submit(self, request_id: str, *mutations: Mutation, is_dry_run: bool = False) -> wire.CommandReply:
        return self.changes.submit(
            wire.encode(wire.ChangeSetRequest(request_id, mutations, is_dry_run, "anna"))
        )


def play(script: Callable[[SimulatedReplica], None]) -> None:
    loop = Loop(VirtualClock())
    loop.run(lambda: script(SimulatedReplica(loop)))


CLASS = Mutation("class/a", b"1")
REFERENCE = Mutation("function/f", b"class/a")


def test_change_set_is_validated_against_the_revision_that_it_changes() -> None:
    def script(replica: SimulatedReplica) -> None:
        reply = replica.submit("1", REFERENCE)
        assert reply.result == CommandResult(
            False, 0, "function/f: found b'class/a', wanted a class that exists"
        )
        assert reply.errors == (reply.result.error,)
        assert not replica.proposed
        assert replica.submit("1", CLASS).result == CommandResult(True, 1), "a rejection is not remembered"
        assert replica.submit("2", REFERENCE).result == CommandResult(True, 2)
        assert replica.proposed[-1] == ApplyChangeSet((REFERENCE,), 1, "anna")
        assert replica.submit("2", CLASS).result == CommandResult(True, 2), (
            "the same id is the same change set"
        )

    play(script)


def test_change_set_with_another_committed_before_it_is_validated_again() -> None:
    """The class that it refers to is deleted between its check and its commit."""

    def script(replica: SimulatedReplica) -> None:
        replica.submit("1", CLASS)
        replica.before = [[Mutation("class/a", None)]]
        reply = replica.submit("2", REFERENCE)
        assert reply.result is not None
        assert not reply.result.ok
        assert "wanted a class" in reply.errors[0]
        assert not replica.fleet.config_store.entries
        assert replica.checked == [0, 1, 2]
        replica.before = [[Mutation("class/b", b"1")], [Mutation("class/c", b"1")]]
        reply = replica.submit("3", CLASS)
        assert reply.result is not None
        assert reply.result.ok
        assert len(replica.fleet.config_store.entries) == 3

    play(script)


def test_rejection_is_returned_only_for_a_state_that_is_confirmed_to_be_the_newest() -> None:
    def script(replica: SimulatedReplica) -> None:
        replica.while_confirming = [[CLASS]]
        reply = replica.submit(
            "1", REFERENCE
        )  # invalid by the state here, but another leader has committed more
        assert reply.result is not None
        assert reply.result.ok
        assert not reply.errors
        replica.is_leader = False
        for is_dry_run in (True, False):
            reply = replica.submit("2", Mutation("function/g", b"class/x"), is_dry_run=is_dry_run)
            assert reply == wire.CommandReply(reason=NOT_LEADER, leader="k2")

    play(script)


def test_dry_run_is_validated_and_not_committed() -> None:
    def script(replica: SimulatedReplica) -> None:
        replica.submit("1", CLASS)
        assert replica.submit("2", REFERENCE, is_dry_run=True).result == CommandResult(True, 1)
        assert len(replica.proposed) == 1
        assert "2" not in replica.fleet.state.results
        assert replica.submit("2", REFERENCE, is_dry_run=False).result == CommandResult(True, 2)
        assert replica.submit("2", REFERENCE, is_dry_run=True).result == CommandResult(True, 2)

    play(script)


def test_change_set_of_keys_that_changed_since_they_were_read_is_rejected_and_names_them() -> None:
    def script(replica: SimulatedReplica) -> None:
        for n in (1, 2, 3):
            replica.submit(f"{n}", Mutation(f"class/{n}", b"1"))
        mutations = (Mutation("class/1", b"2"), Mutation("class/3", b"2"), Mutation("class/4", b"2"))
        reply = replica.changes.submit(wire.encode(wire.ChangeSetRequest("x", mutations, read_revision=2)))
        assert reply.errors == ("class/3: found revision 3, wanted none after 2: it has changed meanwhile",)
        assert len(replica.proposed) == 3
        assert replica.changes.submit(
            wire.encode(wire.ChangeSetRequest("x", mutations, read_revision=3))
        ).result == CommandResult(True, 4)

    play(script)


def test_concurrent_change_sets_are_applied_in_their_order_each_validated_after_the_one_before() -> None:
    def script(replica: SimulatedReplica) -> None:
        tasks = [
            replica.loop.spawn(lambda n=n: replica.submit(f"{n}", Mutation(f"class/{n}", b"1")))
            for n in range(20)
        ]
        assert [task.join().result for task in tasks] == [CommandResult(True, n + 1) for n in range(20)]
        assert replica.checked == list(range(20))
        assert len(replica.proposed) == 20

    play(script)


def test_change_set_that_waits_too_long_gives_up_and_those_after_it_are_applied() -> None:
    def script(replica: SimulatedReplica) -> None:
        def submit(name: str) -> Task[wire.CommandReply]:
            return replica.loop.spawn(lambda: replica.submit(name, Mutation(f"class/{name}", b"1")))

        replica.commit_time_us = LOCK_TIMEOUT_US + 1000
        first, second = submit("first"), submit("second")
        cancelled = submit("cancelled")
        replica.loop.sleep(LOCK_TIMEOUT_US // 2)
        cancelled.cancel()
        late = submit("late")
        assert first.join().result == CommandResult(True, 1)
        reply = second.join()
        assert reply.result is None
        assert not reply.outcome_known
        assert reply.reason == "other change sets are under way"
        assert late.join().result == CommandResult(True, 2)
        assert replica.submit("again", CLASS).result == CommandResult(True, 3), "the lock is free"
        assert [c.mutations[0].key for c in replica.proposed] == ["class/first", "class/late", "class/a"]

    play(script)


def test_check_that_raises_rejects_its_change_set_and_the_next_one_is_applied() -> None:
    def script(replica: SimulatedReplica) -> None:
        reply = replica.submit("1", Mutation("function/f", b"fail"))
        assert reply.result is not None
        assert not reply.result.ok
        assert "a fault of the check" in reply.errors[0]
        assert len(replica.log.lines) == 1
        assert not replica.proposed
        assert replica.submit("1", CLASS).result == CommandResult(True, 1)

    play(script)


def test_change_set_that_is_always_overtaken_gives_up_with_an_unknown_outcome() -> None:
    def script(replica: SimulatedReplica) -> None:
        replica.before = [[Mutation(f"class/{n}", b"1")] for n in range(1000)]
        reply = replica.submit("1", CLASS)
        assert reply.result is None
        assert not reply.outcome_known
        assert "came in between" in reply.reason

    play(script)


def test_body_that_is_no_change_set_is_rejected() -> None:
    def script(replica: SimulatedReplica) -> None:
        reply = replica.changes.submit(b"x" * (MAX_REQUEST_BYTES + 1))
        assert reply.errors == (f"change set: found {MAX_REQUEST_BYTES + 1} bytes, wanted 131072 at most",)
        for body in (b"noise", wire.encode(wire.ChangeSetRequest("", (CLASS,)))):
            with pytest.raises(MalformedMessageError):
                replica.changes.submit(body)
        assert not replica.proposed

    play(script)
