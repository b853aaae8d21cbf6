"""Keepers as processes: killed, paused, cut off one way, slow, their disks lost."""

from __future__ import annotations

import json
import resource
import signal
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from walnutpost.consensus import Members
from walnutpost.controlplane import KeeperClient, NoAnswer
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.mesh import Mesh
from walnutpost.fleet import FRONT_END, DisruptionBudget, Fleet, RegisterMember, RequestPermit, SetBudgets

SECOND = 1_000_000
NAMES = ("k1", "k2", "k3")
TIMES = {"election_ms": 400, "heartbeat_ms": 60, "lease_ms": 60_000, "log_most": 40}


class Keepers:
    """Three processes of `program`, keepers; each reaches each other one through a relay of its own."""

    program: tuple[str, ...] = ("-m", "walnutpost.cli")
    times: dict[str, int] = TIMES

    def __init__(self, loop: Loop, folder: Path) -> None:
        self.loop, self.folder = loop, folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.starts = dict.fromkeys(NAMES, 0)
        self.mesh = Mesh(loop, NAMES, self.where)
        for name in NAMES:
            self.start(name, "--found")
        self.until(lambda: all(self.where(name) for name in NAMES))

    def start(self, name: str, *options: str) -> None:
        self.starts[name] += 1
        at = {n: self.mesh.address(name, n) for n in NAMES if n != name} | {name: ("127.0.0.1", 1)}
        lines = [{"name": n, "address": "{}:{}".format(*at[n])} for n in NAMES]
        own = next(line for line in lines if line["name"] == name)
        own["listen"] = "127.0.0.1:0"
        config = self.folder / f"{name}.json"
        config.write_text(json.dumps({"keepers": lines, **self.times}))
        with self._log(name).open("wb") as out:
            command = [sys.executable, *self.program, "--log", "json", "keeper", str(config)]
            self.running[name] = subprocess.Popen(
                [*command, "--name", name, *options], stdout=out, stderr=out
            )

    def _log(self, name: str) -> Path:
        return self.folder / f"{name}.{self.starts[name]}.log"

    def _lines(self, name: str) -> list[dict[str, str]]:
        out = []
        with suppress(OSError):
            for line in self._log(name).read_text().splitlines():
                with suppress(ValueError):
                    out.append(json.loads(line))
        return out

    def where(self, name: str) -> tuple[str, int] | None:
        if name not in self.running:
            return None
        told = next((line for line in self._lines(name) if line["event"] == "keeper"), None)
        return None if told is None else ("127.0.0.1", int(told["address"].rpartition(":")[2]))

    def replica(self, name: str) -> str:
        return next(line["replica"] for line in self._lines(name) if line["event"] == "keeper")

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def until(self, condition: Callable[[], object]) -> None:
        for _ in range(3000):
            if condition():
                return
            self.loop.sleep(10_000)
        raise AssertionError("it never came to that")

    def client(self, *names: str, patience: int = 20 * SECOND) -> KeeperClient:
        known = {n: w for n in names or NAMES if (w := self.where(n)) is not None}
        return KeeperClient(self.loop, known, patience, 2 * SECOND)

    def operator(self, *words: str) -> str:
        """What `walnutpost fleet` prints of all."""
        lines = [{"name": n, "address": "{}:{}".format(*w)} for n in NAMES if (w := self.where(n))]
        config = self.folder / "operator.json"
        config.write_text(json.dumps({"keepers": lines}))
        run = [sys.executable, "-m", "walnutpost.cli", "fleet", words[0], str(config), *words[1:]]
        return self.loop.run_blocking(
            lambda: subprocess.run(run, check=True, capture_output=True, text=True)
        ).stdout

    def leader(self, *names: str) -> str:
        found = ""

        def led() -> bool:
            nonlocal found
            with suppress(NoAnswer):
                found = self.client(*names, patience=SECOND).state()[0].keeper
            return bool(found)

        self.until(led)
        return found

    def end(self) -> None:
        for name in list(self.running):
            self.kill(name)


def play(folder: Path, script: Callable[[Keepers], None], kind: type[Keepers] = Keepers) -> None:
    loop, held = Loop(), list[Keepers]()

    def body() -> None:
        held.append(kind(loop, folder))
        script(held[0])

    try:
        loop.run(body)
    finally:
        for keepers in held:
            keepers.end()


def found(keepers: Keepers, members: int = 3) -> KeeperClient:
    """A fleet with a budget of one."""
    client = keepers.client()
    client.command("budget", SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),)))
    for n in range(members):
        assert client.command(f"m{n}", RegisterMember(f"m{n}", FRONT_END, "a", "1")).ok
    return client


def test_a_leader_killed_in_the_middle_of_a_grant_leaves_one_permit(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        found(keepers)
        leader = keepers.leader()
        for (_, dialled), relay in keepers.mesh.relays.items():
            if dialled == leader:
                relay.there.hold()  # its followers' words don't arrive: it can't answer
        task = keepers.loop.spawn(
            lambda: keepers.client(patience=30 * SECOND).command(
                "ask-1", RequestPermit("m0", "agent", "test")
            )
        )
        keepers.loop.sleep(50_000)
        keepers.kill(leader)
        keepers.mesh.heal()
        answer = task.join()
        assert answer.ok and keepers.client().command("ask-1", RequestPermit("m0", "agent", "test")) == answer
        assert (
            "1 of 1 front_ends are out: m0"
            in keepers.client().command("ask-2", RequestPermit("m1", "b", "t")).error
        )
        keepers.start(leader)
        keepers.until(lambda: keepers.where(leader))
        newest = keepers.client().state()[0].index
        keepers.until(lambda: keepers.client().here(leader).index >= newest)

    play(tmp_path, script)


def test_a_leader_that_is_heard_no_more_gives_way_and_its_old_state_is_not_told(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        found(keepers)
        old = keepers.leader()
        keepers.mesh.mute(old)
        others = tuple(n for n in NAMES if n != old)
        new = keepers.leader(*others)
        assert new != old
        assert keepers.client(*others).command("x", RequestPermit("m0", "agent", "test")).ok
        with pytest.raises(NoAnswer):
            keepers.client(old, patience=SECOND).state()
        keepers.mesh.heal()
        keepers.mesh.cut(new)  # and then the next one, both ways
        last = keepers.leader(*(n for n in NAMES if n != new))
        client = keepers.client(last)
        assert not client.command("y", RequestPermit("m0", "other", "test")).ok
        assert keepers.client().here(new).index < client.state()[0].index
        keepers.mesh.heal()
        keepers.until(lambda: keepers.client().here(new).index >= client.state()[0].index)

    play(tmp_path, script)


def test_without_a_quorum_nothing_is_agreed_and_with_one_again_all_goes_on(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        found(keepers)
        leader = keepers.leader()
        others = [n for n in NAMES if n != leader]
        for name in others:
            keepers.signal(name, signal.SIGSTOP)
        with pytest.raises(NoAnswer):
            keepers.client(leader, patience=3 * SECOND).command("lost", RequestPermit("m0", "agent", "test"))
        for name in others:
            keepers.signal(name, signal.SIGCONT)
        answer = keepers.client().command("lost", RequestPermit("m0", "agent", "test"))
        assert answer.ok and len(keepers.client().state()[1].state.permits) == 1

    play(tmp_path, script)


def test_a_keeper_that_lost_its_disk_counts_for_nothing_until_it_is_taken_in(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        client = found(keepers)
        for n in range(60):  # more than the log holds
            client.command(f"e{n}", RegisterMember("m9", FRONT_END, "a", str(n)))
        leader = keepers.leader()
        lost, other = (n for n in NAMES if n != leader)
        keepers.kill(lost)
        for file in (tmp_path / "keepers").glob(f"{lost}.db*"):
            file.unlink()
        keepers.start(lost)
        keepers.until(lambda: keepers.where(lost))
        replica = keepers.replica(lost)
        assert replica.startswith(f"{lost}#")
        keepers.kill(other)
        with pytest.raises(NoAnswer):
            keepers.client(leader, lost, patience=3 * SECOND).state()
        keepers.start(other)
        keepers.until(lambda: keepers.where(other))
        client = keepers.client()
        client.state()
        rest = tuple(n for n in NAMES if n != lost)
        for n, members in enumerate(
            (Members(NAMES, (replica,)), Members((*NAMES, replica)), Members((*rest, replica)))
        ):
            keepers.until(lambda m=members, n=n: client.change(f"c{n}", m).ok)  # type: ignore[misc]
        newest = client.state()[0].index
        keepers.until(lambda: keepers.client().here(lost).index >= newest)
        keepers.kill(other)
        view, fleet = keepers.client(leader, lost).state()
        assert view.index >= newest and fleet.state.members["m9"].incarnation == "59"

    play(tmp_path, script)


def test_slow_links_and_a_break_within_a_message_change_nothing_but_time(tmp_path: Path) -> None:
    def script(keepers: Keepers) -> None:
        client = found(keepers)
        keepers.leader()
        keepers.mesh.slow(40_000)
        for relay in keepers.mesh.relays.values():
            relay.there.left = 700
        for n in range(10):
            assert client.command(f"s{n}", RegisterMember(f"m{n}", FRONT_END, "b", "2")).ok
        for relay in keepers.mesh.relays.values():
            relay.heal()
        newest = client.state()[0].index
        keepers.until(lambda: all(keepers.client().here(n).index >= newest for n in NAMES))
        states = {keepers.client().here(n).state for n in NAMES}
        assert len(states) == 1

    play(tmp_path, script)


def test_a_keeper_whose_disk_is_full_waits_for_room_and_one_whose_log_is_torn_comes_back(
    tmp_path: Path,
) -> None:
    def script(keepers: Keepers) -> None:
        client = keepers.client()
        assert client.command("1", SetBudgets((DisruptionBudget(FRONT_END, max_unavailable=1),))).ok
        full = next(n for n in NAMES if n != keepers.leader())
        process = keepers.running[full]
        roomy = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (4096, roomy[1]))
        for n in range(40):
            assert client.command(f"m{n}", RegisterMember(f"f{n}", FRONT_END, "a", f"f{n}.1")).ok
        keepers.until(lambda: full in client.failing_disks())
        assert f"keeper {full}: its disk fails" in keepers.operator("status")
        named = json.loads(keepers.operator("status", "--format", "json"))["failing_disks"]
        assert list(named) == [full]
        with pytest.raises(NoAnswer):  # it answers nothing that it does not hold
            keepers.client(full, patience=SECOND).state()
        assert not _holds(keepers, full, 40) and process.poll() is None
        resource.prlimit(process.pid, resource.RLIMIT_FSIZE, roomy)
        torn = next(n for n in NAMES if n not in (full, keepers.leader()))
        keepers.until(lambda: _holds(keepers, full, 40))
        keepers.kill(torn)
        log = tmp_path / "keepers" / f"{torn}.db-wal"
        with log.open("r+b") as file:
            file.truncate(log.stat().st_size - 777)  # within the last of its pages
        keepers.start(torn)
        keepers.until(lambda: keepers.where(torn))
        assert client.command("last", RegisterMember("f40", FRONT_END, "a", "f40.1")).ok
        keepers.until(lambda: all(_holds(keepers, name, 41) for name in NAMES))
        told = [keepers.client(name).history(name, 0, 1000) for name in NAMES]
        last = {h.lines[-1] for h in told}
        assert len(last) == 1 and max(len(h.lines) for h in told) > 41
        newest = last.pop().index
        assert newest >= 43  # each election on the way has added an entry
        for history in told:  # one that was sent the whole state says from where on it knows it
            assert [line.index for line in history.lines] == list(range(history.first, newest + 1))

    play(tmp_path, script)


def _holds(keepers: Keepers, name: str, members: int) -> bool:
    if keepers.where(name) is None:
        return False
    with suppress(NoAnswer):
        return len(Fleet.restore(keepers.client(name).here(name).state).state.members) == members
    return False
