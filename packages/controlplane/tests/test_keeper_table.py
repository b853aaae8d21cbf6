"""The agreed table at keepers as processes: changes, watches, lost disks, cut links, relays' sums."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from test_keeper import NAMES, SECOND, Keepers, play
from walnutpost.configstore.member_registry import MemberRegistry
from walnutpost.configstore.messages import (
    AGE_HEADER,
    WATCH_PATH,
    Mutation,
    WatchRequest,
    WatchResponse,
    decode,
    encode,
)
from walnutpost.configstore.watch_state import WatchState
from walnutpost.consensus import Members
from walnutpost.controlplane import NoAnswer
from walnutpost.eventloop import Loop, WaitTimeoutError
from walnutpost.fleet import CommandResult, Fleet, ForgetMember
from walnutpost.http import BadMessage, Connection, Limits

LIFE = 60 * SECOND  # of a test's wait for one answer: it fails then, whatever else


class Checking(Keepers):
    program = (str(Path(__file__).parent / "keeper_run.py"),)
    times = Keepers.times | {"log_most": 10}


def checked(folder: Path, script: Callable[[Keepers], None]) -> None:
    play(folder, script, Checking)


def op(key: str, value: str | None) -> Mutation:
    return Mutation(key, None if value is None else value.encode())


class Watching:
    """A follower that asks one keeper, question by question, as a relay does. `age`: as last told."""

    def __init__(self, keepers: Keepers, name: str) -> None:
        self.loop: Loop = keepers.loop
        self._keepers, self.name = keepers, name
        self.follower = WatchState("", "", self.loop.now())
        self.age = 10**15
        self.seen: list[int] = []

    def ask(self, hold: int = 0) -> WatchResponse | None:
        """Raises NoAnswer."""
        where = self._keepers.where(self.name)
        try:
            if where is None:
                raise OSError("it is not up")
            with self.loop.timeout(LIFE):
                connection = Connection.open(self.loop, where, limits=Limits(body=1 << 20))
                try:
                    body = encode(self.follower.next_request(hold))
                    response = connection.ask(
                        "POST", WATCH_PATH, {"Content-Type": "application/msgpack"}, body
                    )
                finally:
                    connection.close()
        except (OSError, BadMessage, WaitTimeoutError) as error:
            raise NoAnswer(f"{self.name}: {error}") from error
        assert response.status in (200, 204), response
        self.age = int(response.headers[AGE_HEADER.lower()])
        page = decode(response.body, WatchResponse) if response.status == 200 else None
        self.follower.handle_response(self.loop.now(), page, self.age)
        self.seen.append(self.follower.store.revision)
        assert self.seen == sorted(self.seen), "an older revision after a newer one"
        return page

    def reach(self, revision: int) -> None:
        def reached() -> bool:
            with suppress(NoAnswer):
                self.ask()
            return self.follower.store.revision >= revision

        self._keepers.until(reached)

    def fresh(self) -> None:
        """Until a leader vouches for what this keeper holds, as of now."""

        def vouched() -> bool:
            with suppress(NoAnswer):
                self.ask()
            return self.age < SECOND

        self._keepers.until(vouched)


def entries(keepers: Keepers) -> dict[str, bytes]:
    return {entry.key: entry.value for entry in keepers.client().entries()[1]}


def test_a_change_set_under_a_killed_leader_that_is_asked_again_is_applied_once(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        client = keepers.client()
        assert client.set_entries("first", [op("limit/a", "1"), op("function/f", "x")])[0].ok
        leader = keepers.leader()
        for (_, dialled), relay in keepers.mesh.relays.items():
            if dialled == leader:
                relay.there.hold()  # its followers' words don't arrive: it can't answer
        task = keepers.loop.spawn(
            lambda: keepers.client(patience=30 * SECOND).set_entries("second", [op("limit/a", "2")])
        )
        keepers.loop.sleep(100_000)
        keepers.kill(leader)
        keepers.mesh.heal()
        answer, errors = task.join()
        assert answer.ok and not errors
        # Now the same once more, after another change of the same key: it must not come in again.
        later, _ = keepers.client().set_entries("third", [op("limit/a", "3"), op("function/f", None)])
        assert later.ok and later.index > answer.index
        assert keepers.client().set_entries("second", [op("limit/a", "2")]) == (answer, ())
        assert entries(keepers) == {"limit/a": b"3"}
        keepers.start(leader)
        watching = [Watching(keepers, name) for name in NAMES]
        for each in watching:
            each.reach(later.index)
        assert len({each.follower.store.digest for each in watching}) == 1
        lines = keepers.client().history(keepers.leader(), 0, 1000).lines
        asked = [line for line in lines if line.what == "setentries" and line.answer is not None]
        entered = [line.id for line in asked if line.answer == CommandResult(True, line.index)]
        assert entered == ["first", "second", "third"]

    checked(tmp_path, script)


def test_a_bad_change_set_is_refused_with_place_found_and_wanted_and_never_enters(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        client = keepers.client()
        good, _ = client.set_entries("good", [op("limit/a", "10")], operator="anna")
        cases = {
            "meaning": ([op("limit/b", "5"), op("limit/a", "9")], "limit a: found '9', wanted 10 to 1000"),
            "number": ([op("limit/a", "many")], "limit a: found 'many', wanted 10 to 1000"),
            "key": ([op("no key", "1")], "key 'no key': wanted kind/name"),
            "size": (
                [op("function/f", "x" * 20_000)],
                "key 'function/f': found a value of 20000 bytes, wanted",
            ),
            "empty": ([], "change set: found 0 keys, wanted 1 to 1000"),
            "huge": ([op(f"function/f{n}", "x" * 16_000) for n in range(90)], "bytes, wanted 131072 at most"),
        }
        for id, (ops, told) in cases.items():
            for dry in (True, False):
                answer, errors = client.set_entries(id, ops, dry)
                assert not answer.ok and told in errors[0] and errors[0] in answer.error
                assert len(errors) == 1 and answer.index in (0, good.index)
        answer, errors = client.set_entries("dry", [op("limit/a", "11")], dry=True)
        assert answer.ok and not errors and answer.index == good.index
        assert entries(keepers) == {"limit/a": b"10"} and client.entries("function")[1] == []
        history = client.history(keepers.leader(), 0, 1000).lines
        changes = [line for line in history if line.what == "setentries"]
        assert [line.id for line in changes] == ["good"]
        assert changes[0].told == "ops=limit/a, operator=anna"

    checked(tmp_path, script)


def test_a_watch_at_a_follower_goes_on_after_the_leader_was_killed(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        entered, _ = keepers.client().set_entries("1", [op("limit/a", "1")])
        leader = keepers.leader()
        first, second = (name for name in NAMES if name != leader)
        watching = Watching(keepers, first)
        watching.reach(entered.index)  # one that is fresh within a second may still lack it
        watching.fresh()
        held = watching.follower.store.revision
        assert held > 0 and watching.follower.store.entries["limit/a"].value == b"1"
        task = keepers.loop.spawn(lambda: watching.ask(hold=10 * SECOND))
        keepers.loop.sleep(100_000)
        keepers.kill(leader)
        answer, _ = keepers.client(first, second, patience=30 * SECOND).set_entries("2", [op("limit/a", "2")])
        page = task.join()
        if page is None:  # the election took longer than the hold
            page = watching.ask(hold=10 * SECOND)
        assert page is not None and [change.revision for change in page.changes] == [answer.index]
        assert not page.is_snapshot and watching.follower.store.entries["limit/a"].value == b"2"
        task = keepers.loop.spawn(lambda: watching.ask(hold=10 * SECOND))
        keepers.loop.sleep(100_000)
        answer, _ = keepers.client(first, second).set_entries("held", [op("function/f", "x")])
        later = Watching(keepers, first)
        later.reach(answer.index)
        assert later.ask(hold=2 * SECOND) is None and task.is_done, "it was held, and woken by the change"
        page = task.join()
        assert page is not None and page.revision == answer.index
        # And at another keeper it goes on where it is.
        watching.name = second
        answer, _ = keepers.client(first, second).set_entries("3", [op("limit/a", "3")])
        watching.reach(answer.index)
        watching.fresh()

    checked(tmp_path, script)


def test_a_keeper_with_a_lost_disk_gets_the_table_over_a_slow_link_and_answers_watches(
    tmp_path: Path,
) -> None:
    def script(keepers: Keepers) -> None:
        client = keepers.client()
        for n in range(14):  # more than the log holds, and more than a link carries in an election's time
            ops = [op(f"function/f{n}-{m}", "x" * 16_000) for m in range(7)]
            assert client.set_entries(f"c{n}", ops)[0].ok
        leader = keepers.leader()
        lost = next(name for name in NAMES if name != leader)
        keepers.kill(lost)
        for file in (tmp_path / "keepers").glob(f"{lost}.db*"):
            file.unlink()
        for (_, dialled), relay in keepers.mesh.relays.items():
            if dialled == lost:
                relay.there.rate = 2_000_000
        keepers.start(lost)
        keepers.until(lambda: keepers.where(lost))
        replica = keepers.replica(lost)
        watching = Watching(keepers, lost)
        watching.ask()
        assert watching.age >= 10**15 and not watching.follower.store.entries, "nobody vouches for nothing"
        rest = tuple(name for name in NAMES if name != lost)
        client = keepers.client()
        keepers.until(lambda: client.change("m0", Members(NAMES, (replica,))).ok)
        revision, told = client.entries()
        watching.reach(revision)
        watching.fresh()
        for relay in keepers.mesh.relays.values():
            relay.there.rate = 0
        for n, members in enumerate((Members((*NAMES, replica)), Members((*rest, replica)))):
            keepers.until(lambda m=members, n=n: client.change(f"m{n + 1}", m).ok)  # type: ignore[misc]
        assert len(told) == 14 * 7 and [watching.follower.store.entries[e.key] for e in told] == told
        digests = {client.status().digest, watching.follower.store.digest}
        for name in rest:
            other = Watching(keepers, name)
            other.reach(revision)
            digests.add(other.follower.store.digest)
        assert len(digests) == 1
        assert len(client.here(leader).state) < 100_000, "what is asked of the fleet leaves the table out"
        # All of them end at once, and come back with what their disks hold.
        for name in NAMES:
            keepers.kill(name)
        for name in NAMES:
            keepers.start(name)
        keepers.until(lambda: all(keepers.where(name) for name in NAMES))
        keepers.leader()
        assert keepers.client().status().digest in digests

    checked(tmp_path, script)


@pytest.mark.parametrize("leads", [True, False])
def test_a_keeper_that_is_cut_off_tells_its_age_and_nothing_that_was_not_agreed(
    leads: bool, tmp_path: Path
) -> None:
    def script(keepers: Keepers) -> None:
        agreed, _ = keepers.client().set_entries("1", [op("limit/a", "1")])
        leader = keepers.leader()
        cut = leader if leads else next(name for name in NAMES if name != leader)
        rest = tuple(name for name in NAMES if name != cut)
        watching = Watching(keepers, cut)
        watching.reach(agreed.index)
        watching.fresh()
        keepers.mesh.cut(cut)
        since = keepers.loop.now()
        task = keepers.loop.spawn(lambda: _tried(keepers, cut))
        answer, _ = keepers.client(*rest, patience=30 * SECOND).set_entries("2", [op("limit/a", "2")])
        assert answer.ok and task.join() is None, "without a quorum nothing is agreed"
        ages = []
        for _ in range(3):
            keepers.loop.sleep(300_000)
            asked = keepers.loop.now()
            assert watching.ask() is None and watching.follower.store.revision == agreed.index
            assert watching.age >= asked - since - 100_000
            ages.append(watching.age)
        assert ages[0] < ages[1] < ages[2]
        assert watching.follower.store.entries["limit/a"].value == b"1"
        keepers.mesh.heal()
        watching.reach(answer.index)
        watching.fresh()
        assert watching.follower.store.entries["limit/a"].value == b"2"
        assert entries(keepers) == {"limit/a": b"2"}

    checked(tmp_path, script)


def _tried(keepers: Keepers, name: str) -> object:
    try:
        return keepers.client(name, patience=2 * SECOND).set_entries("lost", [op("limit/a", "7")])
    except NoAnswer:
        return None


class Told:
    """A relay's word of its members, made by hand: each acts on what `act` says."""

    def __init__(self, keepers: Keepers, relay: str) -> None:
        self.keepers = keepers
        self.roster = MemberRegistry(relay, f"{relay}.1")

    def act(self, member: str, revision: int, incarnation: str = "a", leaving: bool = False) -> None:
        question = WatchRequest(member, incarnation, 1, revision, revision, 0, 0, is_leaving=leaving)
        self.roster.observe(self.keepers.loop.now(), question)

    def tell(self, revision: int) -> None:
        """Until the leader has taken all of it."""
        while True:
            heard = self.keepers.client().sums(self.roster.next_summary(self.keepers.loop.now(), revision))
            self.roster.handle_response(heard)
            if not heard.needs_full_report and not self.roster.has_changes:
                return


def test_who_follows_is_agreed_and_the_leader_claims_no_more_than_each_has_said(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        client = keepers.client()
        first, _ = client.set_entries("1", [op("limit/a", "1")])
        names = [f"f{n}" for n in range(40)]
        one, two = Told(keepers, "r1"), Told(keepers, "r2")
        for n, name in enumerate(names):
            (one if n % 2 else two).act(name, first.index)

        def tell(revision: int) -> None:
            one.tell(revision)
            two.tell(revision)

        tell(first.index)
        keepers.until(lambda: client.status().member_count == 40)
        status = client.status()
        assert status.min_applied_revision == first.index and not status.lagging and len(status.relays) == 2
        second, _ = client.set_entries("2", [op("limit/a", "2")])
        status = client.status()
        assert (
            status.revision == second.index
            and status.min_applied_revision == first.index
            and status.lagging_count == 40
        )
        assert {m.member for m in status.lagging} == set(names)
        for n, name in enumerate(names[:-1]):
            (one if n % 2 else two).act(name, second.index)

        def named() -> bool:  # a relay names who is late, and speaks for all of its members at once before
            tell(second.index)
            assert client.status().min_applied_revision == first.index
            return [m.member for m in client.status().lagging] == ["f39"]

        keepers.until(named)
        status = client.status()
        assert status.latencies[-1].revision == second.index and status.latencies[-1].latency_us is None
        (one if 39 % 2 else two).act("f39", second.index)
        tell(second.index)
        status = client.status()
        assert (
            not status.lagging
            and status.min_applied_revision == second.index
            and status.latencies[-1].latency_us is not None
        )

        # A new leader has heard of nobody, and knows by the history of whom it has to hear.
        keepers.kill(keepers.leader())
        client = keepers.client(patience=30 * SECOND)
        status = client.status()
        assert status.member_count == 40 and status.min_applied_revision == 0 and status.lagging_count == 40
        one.tell(second.index)
        assert client.status().lagging_count == 20 and client.status().min_applied_revision == 0
        two.tell(second.index)
        assert client.status().min_applied_revision == second.index and not client.status().lagging

        # One ends, one comes back as another process, one is gone for good.
        one.act("f1", second.index, leaving=True)
        one.act("f3", 0, "b")
        tell(second.index)
        keepers.until(
            lambda: client.status().member_count == 39 and client.status().min_applied_revision == 0
        )
        assert [(m.member, m.incarnation) for m in client.status().lagging] == [("f3", "b")]
        one.roster = MemberRegistry("r1", "r1.2")  # restarted; f5 does not turn to it any more
        third, _ = client.set_entries("3", [op("limit/a", "3")])
        for n, name in enumerate(names):
            if name not in ("f1", "f5"):
                (one if n % 2 else two).act(name, third.index, "b" if name == "f3" else "a")
        tell(third.index)
        status = client.status()
        assert [m.member for m in status.lagging] == ["f5"] and status.min_applied_revision == second.index
        assert client.command("gone", ForgetMember("f5")).ok
        assert not client.status().lagging and client.status().min_applied_revision == third.index
        followers = client.state()[1].state.followers
        assert len(followers) == 38 and followers["f3"] == "b" and not {"f1", "f5"} & set(followers)
        other = next(name for name in keepers.running if name != keepers.leader())
        keepers.until(lambda: Fleet.restore(client.here(other).state).state.followers == followers)

    checked(tmp_path, script)


def test_only_the_leader_takes_sums_and_tells_the_status_and_bad_questions_get_an_answer(
    tmp_path: Path,
) -> None:
    def script(keepers: Keepers) -> None:
        keepers.client().set_entries("1", [op("limit/a", "1")])
        leader = keepers.leader()
        follower = next(name for name in NAMES if name != leader)

        def asked(name: str, method: str, target: str, body: bytes) -> tuple[int, bytes]:
            where = keepers.where(name)
            assert where is not None
            with keepers.loop.timeout(LIFE):
                connection = Connection.open(keepers.loop, where)
                try:
                    response = connection.ask(method, target, {}, body)
                finally:
                    connection.close()
            return response.status, response.body

        sums = encode(MemberRegistry("r", "r.1").next_summary(0, 0))
        for method, target, body in (
            ("POST", "/table/1/sums", sums),
            ("GET", "/table/1/status", b""),
            ("GET", "/table/1/entries", b""),
        ):
            status, told = asked(follower, method, target, body)
            assert status == 421 and leader.encode() in told, target
            assert asked(leader, method, target, body)[0] == 200
        for target in ("/table/1/sums", "/table/1/watch", "/table/1/change", "/fleet/1/commands"):
            for name in (leader, follower):
                for noise in (b"\xc1 noise", b"\x81\xa2id\xa3\xff\xfe\xfd", b"\x91" * 100_000):
                    assert asked(name, "POST", target, noise)[0] == 400, target
        assert keepers.client().entries(key="limit/a")[1][0].value == b"1"
        assert keepers.client().entries(key="limit/b")[1] == []
        assert keepers.client().status().relays[0][0] == "r"

    checked(tmp_path, script)
