"""The table in any order of events: keepers, relays and members on a network that loses, doubles and delays,
while entries flip and all of them start anew; and that rules broken on purpose are found."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import ClassVar

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test
from immutables import Map
from msgspec.structs import replace

from walnutpost.configstore import (
    ApplyOutcome,
    ChangeSet,
    ConfigStore,
    Entry,
    Mutation,
    WatchRequest,
    WatchResponse,
    WatchState,
    decode,
    encode,
    respond,
)
from walnutpost.configstore.outcome import SyncEventKind
from walnutpost.configstore.snapshot_load import StoreLoad
from walnutpost.configstore.store_sync import StoreSync

KEYS = [f"{kind}/{name}" for kind in ("class", "function") for name in "abcdef"]
LIMITS = {"max_log_entries": 5, "max_log_bytes": 100_000}
NO_LOG = {"max_log_entries": 0, "max_log_bytes": 0}
FLIPPED = b"!flipped"
Entries = dict[str, Entry]


def observe_nothing(_store: ConfigStore, _entries: Map[str, Entry]) -> None:
    pass


class Watched(ConfigStore):
    """A table that shows to `look` each state that a reader could see, also in the middle of a change set."""

    look: ClassVar[Callable[[ConfigStore, Map[str, Entry]], None]] = staticmethod(observe_nothing)

    @property
    def entries(self) -> Map[str, Entry]:
        return self._entries

    @entries.setter
    def entries(self, entries: Map[str, Entry]) -> None:
        Watched.look(self, entries)
        self._entries = entries

    def commit_at_once(self, change: ChangeSet) -> None:
        """Commit a change set as a store does, also if `_commit` is replaced."""
        super()._commit(change)


@dataclass(eq=False)
class Place:
    """A process that follows: what it asks, and what is on its way to it."""

    follower: WatchState
    asks: int = 0
    wire: list[bytes] = field(default_factory=list)
    seen: int = 0  # the last revision that was held
    acted: int = 0
    flips: set[str] = field(default_factory=set)
    disk: bytes = b""


class World:
    """What was agreed on, and who holds what of it."""

    keepers_of: type[ConfigStore] = ConfigStore
    follower_of: type[WatchState] = WatchState
    owed: Callable[..., WatchResponse | None] = staticmethod(respond)

    def __init__(self) -> None:
        self.now = 1_000_000
        self.revision = 0
        self.history: list[tuple[int, tuple[Mutation, ...]]] = []
        self.states: dict[int, Entries] = {0: {}}
        self.digests: dict[int, int] = {0: 0}
        self.known: set[frozenset[Entry]] = {frozenset()}
        self.keepers = [self.keepers_of(**LIMITS) for _ in range(2)]
        self.copies: dict[int, bytes] = {}
        self.snapshots: dict[int, bytes] = {}
        self.flipped = False
        self.starts = 0
        Watched.look = staticmethod(observe_nothing)
        self.relays = [self.started("") for _ in range(2)]
        self.members = [self.started(f"fe{n}") for n in range(2)]

    def started(self, member: str, disk: bytes = b"") -> Place:
        self.starts += 1
        limits = {} if member else LIMITS
        name = f"{member}.{self.starts}"
        if disk:
            follower = self.follower_of.restore(disk, member, name, self.now, **limits)
            held = follower.store
            follower.store = Watched.from_entries(held.entries, held.revision, max_log_entries=0)
        else:
            follower = self.follower_of(member, name, self.now, **limits)
            follower.store = Watched(**(limits or NO_LOG))
        return Place(follower, seen=follower.store.revision, disk=disk)

    # The history

    def agree(self, ops: tuple[Mutation, ...], skipped: int) -> None:
        """`skipped`: entries of the history that are of something else."""
        self.revision += 1 + skipped
        self.history.append((self.revision, ops))
        state = dict(self.states[max(self.states)])
        for op in ops:
            state.pop(op.key, None)
            if op.value is not None:
                state[op.key] = Entry(op.key, op.value, self.revision)
        self.states[self.revision] = state
        self.known.add(frozenset(state.values()))
        self.digests[self.revision] = ConfigStore.from_entries(state, self.revision).digest

    def apply(self, keeper: int, number: int) -> None:
        table = self.keepers[keeper]
        for revision, ops in [h for h in self.history if h[0] > table.revision][:number]:
            table.propose(revision, ops)
            assert dict(table.entries) == self.states[revision]
            assert table.digest == self.digests[revision]
            taken = self.snapshots.setdefault(revision, table.snapshot())
            assert taken == table.snapshot(), "keepers differ"

    # The network

    def table_asked(self, place: Place) -> ConfigStore:
        if place in self.relays:
            return self.keepers[place.asks]
        return self.relays[place.asks].follower.store

    def ask(self, place: Place, most: int) -> None:
        question = decode(encode(place.follower.next_request(0)), WatchRequest)
        assert place.acted == question.applied_revision <= place.follower.store.revision
        page = self.owed(self.table_asked(place), question, most)
        place.wire.append(encode(page) if page is not None else b"")
        del place.wire[:-6]

    def deliver(self, place: Place, at: int, keep: bool) -> ApplyOutcome:
        data = place.wire[at]
        if not keep:
            del place.wire[at]
        with self.looked_at(place):
            taken = place.follower.handle_response(self.now, decode(data, WatchResponse) if data else None, 0)
        self.heard(place, taken)
        return taken

    def heard(self, place: Place, taken: ApplyOutcome) -> None:
        assert self.flipped or not any(event.kind is SyncEventKind.DIVERGED for event in taken.events), (
            taken.events
        )
        if taken.is_inconsistent:
            place.asks = 1 - place.asks
            place.follower.server_changed()
        for change in taken.changes:
            assert change.revision <= place.follower.store.revision
            assert change.digest == self.digests[change.revision]

    @contextmanager
    def looked_at(self, place: Place) -> Iterator[None]:
        def look(table: ConfigStore, entries: Map[str, Entry]) -> None:
            # Of the table in place: what a load has made is compared first, and seen by nobody until then.
            if table is place.follower.store and frozenset(entries.values()) not in self.known:
                assert any(self.same(place, entries, state) for state in self.states.values()), "half a state"

        Watched.look = staticmethod(look)
        yield
        Watched.look = staticmethod(observe_nothing)

    @staticmethod
    def same(place: Place, entries: Map[str, Entry], state: Entries) -> bool:
        """Apart from what was flipped here and may not have been found yet."""
        differ = {key for key in {*entries, *state} if entries.get(key) != state.get(key)}
        return all(key in place.flips and entries[key].value == FLIPPED for key in differ & {*entries}) and (
            differ <= {*entries}
        )

    def verify(self, place: Place) -> None:
        self.heard(place, place.follower.verify(self.now, 5))

    def flip(self, place: Place, key: str) -> None:
        held = place.follower.store.entries.get(key)
        if held is not None:
            self.flipped = True
            place.flips.add(key)
            flipped = Entry(key, FLIPPED, held.revision)
            place.follower.store.entries = place.follower.store.entries.set(key, flipped)

    def act(self, place: Place, lower: int) -> None:
        """The member says what it acts on, and now and then something that is no news, or can't be."""
        held = place.follower.store.revision
        said = max(0, held - lower)
        place.follower.mark_applied(said)
        place.acted = max(place.acted, said)
        with pytest.raises(ValueError, match="applied revision"):
            place.follower.mark_applied(held + 1)

    # What must hold

    def check(self) -> None:
        for place in (*self.relays, *self.members):
            table = place.follower.store
            assert table.revision >= place.seen, "an older revision after a newer one"
            place.seen = table.revision
            assert self.same(place, table.entries, self.states[table.revision]), "not the agreed state"
            assert table.digest == self.digests[table.revision]
            assert place.acted == place.follower.applied_revision <= table.revision

    def settle(self) -> None:
        """Whatever happened, once all is well every table is the keepers'."""
        self.agree((Mutation(KEYS[0], b"last"),), 0)
        for n in range(2):
            self.apply(n, 10_000)
        places = [*self.relays, *self.members]
        for _ in range(40):
            for place in places:
                self.now += 6_000_000
                for _ in range(300):
                    place.wire.clear()
                    self.ask(place, 200)
                    if not place.wire[0]:
                        break
                    self.deliver(place, 0, False)
                self.verify(place)
                while place.follower.is_verifying:
                    self.verify(place)
                self.check()
            if all(self.settled(place) for place in places):
                return
        raise AssertionError([(p.follower.next_request(0), p.follower.store.revision) for p in places])

    def settled(self, place: Place) -> bool:
        table, keeper = place.follower.store, self.keepers[0]
        return (
            not place.follower.is_loading
            and (table.revision, table.digest, table.entries)
            == (keeper.revision, keeper.digest, keeper.entries)
            and table.compute_bucket_digests() == table.bucket_digests() == keeper.bucket_digests()
        )


PLACES = st.integers(0, 3)  # the relays, then the members
TWO = st.integers(0, 1)
MOST = st.sampled_from([30, 100, 100_000])
CHANGED = st.dictionaries(
    st.sampled_from(KEYS), st.one_of(st.none(), st.sampled_from([b"", b"1", b"2"])), min_size=1, max_size=4
)


class Orders(RuleBasedStateMachine):
    world_of: type[World] = World
    flips = True

    def __init__(self) -> None:
        super().__init__()
        self.world = self.world_of()

    def place(self, at: int) -> Place:
        return [*self.world.relays, *self.world.members][at]

    @initialize(changes=st.lists(CHANGED, min_size=1, max_size=9), held=st.booleans())
    def begin(self, changes: list[dict[str, bytes | None]], held: bool) -> None:
        for changed in changes:
            self.change(changed, 0, (True, True))
        for place in range(4 if held else 0):
            self.carry(place, 100_000, 9)

    @rule(changed=CHANGED, skipped=TWO, applied=st.tuples(st.booleans(), st.booleans()))
    def change(self, changed: dict[str, bytes | None], skipped: int, applied: tuple[bool, bool]) -> None:
        self.world.agree(tuple(Mutation(key, value) for key, value in changed.items()), skipped)
        for keeper, now in enumerate(applied):
            if now:
                self.world.apply(keeper, 100)

    @rule(changes=st.lists(CHANGED, min_size=2, max_size=7), keeper=TWO)
    def burst(self, changes: list[dict[str, bytes | None]], keeper: int) -> None:
        """As many as pass the floor, now and then."""
        for changed in changes:
            self.change(changed, 0, (keeper == 0, keeper == 1))

    @rule(keeper=TWO, number=st.integers(1, 3))
    def apply(self, keeper: int, number: int) -> None:
        self.world.apply(keeper, number)

    @rule(keeper=TWO, of=TWO, anew=st.booleans())
    def snapshot(self, keeper: int, of: int, anew: bool) -> None:
        """A keeper starts anew from its own snapshot, or another one's."""
        if not anew:
            self.world.copies[keeper] = self.world.keepers[keeper].snapshot()
        elif of in self.world.copies:
            self.world.keepers[keeper] = self.world.keepers_of.restore(self.world.copies[of], **LIMITS)

    @rule(place=PLACES, most=MOST)
    def ask(self, place: int, most: int) -> None:
        self.world.ask(self.place(place), most)

    @rule(place=PLACES, most=MOST, times=st.integers(1, 9), to=TWO)
    def carry(self, place: int, most: int, times: int, to: int | None = None) -> None:
        """Some questions and answers one after the other, of any server."""
        if to is not None:
            self.move(place, to)
        for _ in range(times):
            self.world.ask(self.place(place), most)
            self.world.deliver(self.place(place), -1, False)

    @rule(most=MOST, times=st.integers(1, 9))
    def carry_all(self, most: int, times: int) -> None:
        for place in range(4):
            self.carry(place, most, times)

    @rule(place=PLACES, at=st.integers(0, 2), keep=st.booleans())
    def deliver(self, place: int, at: int, keep: bool) -> None:
        if at < len(self.place(place).wire):
            self.world.deliver(self.place(place), at, keep)

    @rule(place=PLACES, most=MOST, back=st.integers(0, 4), after=st.sampled_from([None, *KEYS]))
    def stray(self, place: int, most: int, back: int, after: str | None) -> None:
        """The answer to a question of somebody who stands elsewhere."""
        at = self.place(place)
        table = self.world.table_asked(at)
        agreed = [revision for revision in self.world.states if revision <= table.revision]
        question = replace(
            at.follower.next_request(0), revision=agreed[-1 - back % len(agreed)], after_key=after
        )
        page = respond(table, question, most)
        if page is not None:
            at.wire.append(encode(page))
            self.world.deliver(at, -1, False)

    @rule(place=PLACES, to=TWO)
    def move(self, place: int, to: int) -> None:
        self.place(place).asks = to
        self.place(place).follower.server_changed()

    @rule(place=PLACES, with_disk=st.booleans())
    def start(self, place: int, with_disk: bool) -> None:
        """What was on its way to the process before may still reach this one."""
        before = self.place(place)
        if place < 2:
            anew = self.world.relays[place] = self.world.started("")
        else:
            disk = before.disk if with_disk else b""
            anew = self.world.members[place - 2] = self.world.started(f"fe{place}", disk)
        anew.wire, anew.asks = before.wire, before.asks

    @rule(at=TWO, lower=st.integers(0, 2))
    def act(self, at: int, lower: int) -> None:
        member = self.world.members[at]
        self.world.act(member, lower)
        if not member.flips:
            member.disk = member.follower.snapshot()

    @rule(place=PLACES, later=st.integers(0, 6_000_000), times=st.integers(1, 4))
    def verify(self, place: int, later: int, times: int) -> None:
        self.world.now += later
        for _ in range(times):
            self.world.verify(self.place(place))

    @rule(place=PLACES, key=st.sampled_from(KEYS), changed=CHANGED, found=st.booleans())
    def flip(self, place: int, key: str, changed: dict[str, bytes | None], found: bool) -> None:
        """`found`: with the next change, after which the follower counts again."""
        if not self.flips:
            return
        self.world.flip(self.place(place), key)
        if found:
            self.change(changed, 0, (True, True))
            self.carry_all(100_000, 1)
            self.verify(place, 6_000_000, 4)
            self.carry(place, 30, 2)

    @invariant()
    def check(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        self.world.settle()


class SoundOrders(Orders):
    """Nothing flips: then nothing is ever called diverged."""

    flips = False


def run(machine: type[Orders], examples: int, *phases: Phase) -> None:
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        machine,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=60,
            deadline=None,
            database=None,
            phases=phases or tuple(Phase),
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize("machine", [Orders, SoundOrders])
def test_in_any_order_of_events_each_store_is_the_committed_one(machine: type[Orders]) -> None:
    """Looked at after each event, and at each state that a reader could see."""
    run(machine, 150)


# Wrong rules


def halves(patch: pytest.MonkeyPatch) -> None:
    """Entries are put in place one by one."""

    def one_by_one(self: Watched, change: ChangeSet) -> None:
        before = self.entries
        for op in change.mutations[:-1]:
            held = self.entries
            self.entries = (
                held.set(op.key, Entry(op.key, op.value, change.revision))
                if op.value is not None
                else held.delete(op.key)
                if op.key in held
                else held
            )
        self._entries = before
        self.commit_at_once(change)

    patch.setattr(Watched, "_commit", one_by_one)


def cut_in_two(patch: pytest.MonkeyPatch) -> None:
    """A change set that does not fit is sent in two pages."""

    def cut(table: ConfigStore, question: WatchRequest, most: int) -> WatchResponse | None:
        page = respond(table, question, most)
        if page is not None and len(page.changes) == 1 and len(page.changes[0].mutations) > 1:
            change = page.changes[0]
            return replace(
                page,
                changes=(
                    replace(change, mutations=change.mutations[:1]),
                    replace(change, mutations=change.mutations[1:]),
                ),
            )
        return page

    patch.setattr(World, "owed", staticmethod(cut))


def takes_older_change_sets(patch: pytest.MonkeyPatch) -> None:
    def apply(self: ConfigStore, change: ChangeSet) -> None:
        self._commit(change)

    patch.setattr(ConfigStore, "apply", apply)


def takes_change_sets_after_a_gap(patch: pytest.MonkeyPatch) -> None:
    answered = WatchState.handle_response

    def any_since(self: WatchState, now: int, page: WatchResponse | None, age: int | None) -> ApplyOutcome:
        return answered(self, now, replace(page, since_revision=0) if page is not None else None, age)

    patch.setattr(WatchState, "handle_response", any_since)


def takes_any_page_of_the_whole_state(patch: pytest.MonkeyPatch) -> None:
    handle_page = StoreSync.handle_page

    def any_after(self: StoreSync, page: WatchResponse) -> ApplyOutcome:
        if page.is_snapshot and self.load is not None and self.load.after_key is not None:
            page = replace(page, after_key=self.load.after_key)
        return handle_page(self, page)

    patch.setattr(StoreSync, "handle_page", any_after)


def in_force_before_it_is_complete(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreLoad, "is_complete", property(lambda load: load.has_all_pages))


def not_compared(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(StoreLoad, "has_committed_digest", lambda _load, _store: True)


def neither_complete_nor_compared(patch: pytest.MonkeyPatch) -> None:
    in_force_before_it_is_complete(patch)
    not_compared(patch)


def change_sets_are_not_compared(patch: pytest.MonkeyPatch) -> None:
    def without_comparison(self: Watched, change: ChangeSet) -> None:
        self.commit_at_once(replace(change, digest=self._digest_after(change.revision, change.mutations)))

    patch.setattr(Watched, "_commit", without_comparison)


def lays_from_the_highest_page(patch: pytest.MonkeyPatch) -> None:
    handle_page = StoreSync.handle_page

    def highest(self: StoreSync, page: WatchResponse) -> ApplyOutcome:
        taken = handle_page(self, page)
        load = self.load
        if load is not None and page.is_last_page and load.has_all_pages:
            load.replayed_revision = load.target_revision
        return taken

    patch.setattr(StoreSync, "handle_page", highest)


def begins_from_what_is_held(patch: pytest.MonkeyPatch) -> None:
    """Then what was deleted meanwhile comes back."""
    begin = StoreLoad.start_snapshot

    def from_held(store: ConfigStore) -> StoreLoad:
        load = begin(store)
        load.entries.update(store.entries)
        return load

    patch.setattr(StoreLoad, "start_snapshot", from_held)


def an_older_relay_answers(patch: pytest.MonkeyPatch) -> None:
    """As if a table that differs were always the newer one; and its answer is taken."""

    def whole(table: ConfigStore, question: WatchRequest, most: int) -> WatchResponse | None:
        if question.revision > table.revision > 0:
            return respond(table, replace(question, revision=0, after_key=""), 100_000)
        return respond(table, question, most)

    handle_page = StoreSync.handle_page

    def taken_over(self: StoreSync, page: WatchResponse) -> ApplyOutcome:
        if page.is_snapshot and page.is_last_page and page.after_key == "":
            self.load = None
            entries = {entry.key: entry for entry in page.entries}
            self.store = Watched.from_entries(entries, page.revision, max_log_entries=0)
            return ApplyOutcome(is_store_replaced=True)
        return handle_page(self, page)

    patch.setattr(World, "owed", staticmethod(whole))
    patch.setattr(StoreSync, "handle_page", taken_over)


def in_force_goes_back(patch: pytest.MonkeyPatch) -> None:
    def acting(self: WatchState, revision: int) -> None:
        if revision > self.store.revision:
            raise ValueError(f"applied revision {revision}")
        self.applied_revision = revision

    patch.setattr(WatchState, "mark_applied", acting)


def in_force_is_what_is_held(patch: pytest.MonkeyPatch) -> None:
    """Said before the member acts on it."""
    question = WatchState.next_request
    patch.setattr(
        WatchState,
        "next_request",
        lambda self, hold: replace(question(self, hold), applied_revision=self.store.revision),
    )


def in_force_may_be_more_than_is_held(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        WatchState, "mark_applied", lambda self, revision: setattr(self, "applied_revision", revision)
    )


def the_floor_is_each_keepers_own(patch: pytest.MonkeyPatch) -> None:
    """It forgets the log when it starts anew."""
    restore = ConfigStore.restore.__func__  # type: ignore[attr-defined]

    def without_log(cls: type[ConfigStore], /, data: bytes, *limits: int, **more: int) -> ConfigStore:
        table = restore(cls, data, *limits, **more)
        return cls.from_entries(table.entries, table.revision, (), None, *limits, **more)

    patch.setattr(ConfigStore, "restore", classmethod(without_log))


def nothing_is_counted_again(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(WatchState, "verify", lambda _self, _now, _max_entries: ApplyOutcome())


def a_range_is_added_to(patch: pytest.MonkeyPatch) -> None:
    """What stands in it and should not, stays."""

    def added(self: StoreSync, page: WatchResponse) -> ApplyOutcome:
        load = self.load
        if load is None or not set(page.repaired_buckets) <= load.wanted_buckets:
            return ApplyOutcome()
        load.entries |= {entry.key: entry for entry in page.entries if entry.key not in load.entries}
        load.wanted_buckets -= set(page.repaired_buckets)
        load.record_position(page)
        return self._finish_load(load)

    patch.setattr(StoreSync, "_handle_repair", added)


@pytest.mark.parametrize(
    ("wrong", "machine"),
    [
        (halves, SoundOrders),
        (cut_in_two, SoundOrders),
        (takes_older_change_sets, SoundOrders),
        (takes_change_sets_after_a_gap, SoundOrders),
        (takes_any_page_of_the_whole_state, SoundOrders),
        (in_force_before_it_is_complete, SoundOrders),
        (not_compared, Orders),
        (neither_complete_nor_compared, SoundOrders),
        (change_sets_are_not_compared, Orders),
        (lays_from_the_highest_page, SoundOrders),
        (begins_from_what_is_held, SoundOrders),
        (an_older_relay_answers, SoundOrders),
        (in_force_goes_back, SoundOrders),
        (in_force_is_what_is_held, SoundOrders),
        (in_force_may_be_more_than_is_held, SoundOrders),
        (the_floor_is_each_keepers_own, SoundOrders),
        (nothing_is_counted_again, Orders),
        (a_range_is_added_to, Orders),
    ],
)
def test_a_rule_broken_on_purpose_is_found(
    wrong: Callable[[pytest.MonkeyPatch], None], machine: type[Orders], monkeypatch: pytest.MonkeyPatch
) -> None:
    wrong(monkeypatch)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        run(machine, 300, Phase.generate)  # the first one found is enough
