"""A fleet of processes, each of which runs the program of one of two releases.

The former release is `release_b43418d.tar.xz`, made once from its commit; a checkout needs no history for it:

    git archive b43418d packages | tar x
    find packages -path '*/src/*' -type f | LC_ALL=C sort | tar c --mtime=@0 --mode=644 -T - | xz -9e

Here are used command lines, configuration files, HTTP and `--format json` alone, what operators have of a
release: no module of either is imported.
"""

from __future__ import annotations

import http.client
import json
import socket
import subprocess
import sys
import sysconfig
import tarfile
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec

from walnutpost.testsupport.eventloop.loopback import free_address
from walnutpost.testsupport.folders import REPOSITORY

ARCHIVE = REPOSITORY / "tests" / "release_b43418d.tar.xz"
CONDITION_LIMIT_S = 90.0  # a failure says what was waited for; a test that passes takes far less
COMMAND_LIMIT_S = 120.0  # above the 60 s that `config status --wait` is given
PAUSE_S = 0.05
STOP_LIMIT_S = 40.0  # an agent gives its process time to end
HTTP_LIMIT_S = 10.0
LOG_TAIL = 1500  # characters
REPLICAS = ("k1", "k2", "k3")
RELAYS = ("r1", "r2")
FRONT_ENDS = ("f0", "f1")
WORKERS = ("w1", "w2")
CALLED, DEFERRED = "price", "settle"
INVOKE = "/2015-03-31/functions/{}/invocations"
EXECUTION_ARN = "x-amz-durable-execution-arn"

LAUNCHER = '''
"""Runs one release alone: isolated, without the editable installs of the environment."""
import json, runpy, sys
sources, libraries = {sources!r}, {libraries!r}
sys.path[:0] = [*sources, *libraries]
import walnutpost
foreign = [str(part) for part in walnutpost.__path__ if not str(part).startswith({root!r})]
if foreign:
    sys.exit(f"release {name}: would mix with {{foreign}}")
print(json.dumps(dict(event="release", release={name!r})), file=sys.stderr, flush=True)
sys.argv[0] = "walnutpost"
if sys.argv[1:2] == ["--modules"]:
    import pathlib
    folders = [module for source in sources for module in pathlib.Path(source, "walnutpost").iterdir()]
    for folder in folders:
        if (folder / "__init__.py").exists():
            __import__("walnutpost." + folder.name)
    found = {{key: value.__file__ for key, value in sys.modules.items() if key.startswith("walnutpost.")}}
    print(json.dumps(found))
else:
    runpy.run_module("walnutpost.cli", run_name="__main__", alter_sys=True)
'''


@dataclass(frozen=True, slots=True)
class Release:
    """`launcher` starts its command line with no other release's modules in reach. `replica_command`: the
    subcommand that runs a replica of the control plane."""

    name: str
    root: Path
    launcher: Path
    replica_command: str

    @classmethod
    def at(cls, name: str, root: Path, folder: Path, replica_command: str) -> Release:
        """The release whose packages are below `root`."""
        sources = [str(path) for path in sorted(root.glob("packages/*/src"))]
        paths = sysconfig.get_paths()
        libraries = sorted({paths["purelib"], paths["platlib"]})
        launcher = folder / f"{name}.py"
        text = LAUNCHER.format(name=name, sources=sources, libraries=libraries, root=f"{root}/packages/")
        launcher.write_text(text)
        return cls(name, root, launcher, replica_command)

    def command(self, *words: object) -> list[str]:
        """Isolated (`-I`) and without `site` (`-S`), so that neither variables nor installs add modules."""
        return [sys.executable, "-I", "-S", str(self.launcher), *map(str, words)]

    def modules(self) -> dict[str, str]:
        """All its packages, imported as its processes do: name and file of each module."""
        done = subprocess.run(self.command("--modules"), capture_output=True, text=True, check=False)
        assert done.returncode == 0, done.stderr
        found: dict[str, str] = json.loads(done.stdout)
        return found


def former_release(folder: Path) -> Release:
    """Unpacked below `folder`."""
    root = folder / "former"
    with tarfile.open(ARCHIVE) as archive:
        archive.extractall(root, filter="data")
    return Release.at("former", root, folder, "keeper")


def present_release(folder: Path) -> Release:
    """This checkout."""
    return Release.at("present", REPOSITORY, folder, "control-plane")


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer over HTTP; the names of its headers in small letters."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def ask(
    address: str, method: str, target: str, body: bytes = b"", headers: Mapping[str, str] | None = None
) -> Reply:
    """One request on a connection of its own. Raises OSError where no connection is made or it breaks."""
    connection = http.client.HTTPConnection(address, timeout=HTTP_LIMIT_S)
    try:
        connection.request(method, target, body, dict(headers or {}))
        response = connection.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Reply(response.status, headers, response.read())
    except http.client.HTTPException as error:
        raise OSError(f"{address}: {error!r}") from error
    finally:
        connection.close()


SITE: dict[str, Any] = {
    "site": {
        "classes": {
            "valuation": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500},
            # As long as it may take a busy machine to replace a front end while the call waits.
            "settlement": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 600_000},
        },
        "functions": {
            CALLED: {"class": "valuation", "memory_mb": 400, "lanes": 1, "load_ms": 50},
            DEFERRED: {"class": "settlement", "memory_mb": 400, "lanes": 1, "load_ms": 50},
        },
        "tenants": {"tills": {"share": 1.0}},
        "default_tenant": "tills",
        "rules": {"drain_grace_ms": 200, "load_window_ms": 10000, "free_loads": 6, "load_share": 0.2},
        "on_absence": "load",
    },
    "front": {
        "listen": "127.0.0.1:0",
        "stop_ms": 200,  # so long are open calls waited for at the end
        "store": "calls.db",
        "deferred_deadline_ms": 600_000,
        "workers": [],
    },
    "fleet": {
        "work": {name: {"work_ms": 5, "spread": 0, "load_ms": 50} for name in (CALLED, DEFERRED)},
        "workers": [{"name": name, "listen": "127.0.0.1:0"} for name in WORKERS],
    },
}


class ReleaseFleet:
    """Three replicas of the control plane, two relays, two front ends and two workers with an agent each.

    `releases`: which release each process is started with next; for members, that of the agent. `programs`:
    the release of what a member's agent runs.
    """

    def __init__(self, folder: Path, release: Release) -> None:
        self.folder = folder
        members = (*FRONT_ENDS, *WORKERS)
        self.releases = dict.fromkeys((*REPLICAS, *RELAYS, *members), release)
        self.programs = dict.fromkeys(members, release)
        self.addresses = {name: free_address() for name in (*REPLICAS, *RELAYS, *FRONT_ENDS)}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self._starts: dict[str, int] = {}
        self._incarnations: dict[str, str] = {}  # by member, as they were asked for last
        self.file = self._write("fleet.json", self._fleet_file())
        self._write("site.json", SITE)
        for index, name in enumerate(FRONT_ENDS):
            self._write(f"{name}.own", self._own_file(name, index))

    # Configuration files

    def _write(self, name: str, content: Mapping[str, Any]) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(content))
        return path

    def _lines(self, names: tuple[str, ...]) -> list[dict[str, str]]:
        return [{"name": name, "address": self.addresses[name]} for name in names]

    def _fleet_file(self) -> dict[str, Any]:
        return {
            "keepers": self._lines(REPLICAS),
            "relays": self._lines(RELAYS),
            "election_ms": 1200,
            "heartbeat_ms": 200,
            "lease_ms": 5000,
        }

    def _own_file(self, name: str, index: int) -> dict[str, Any]:
        front = {"listen": self.addresses[name], "index": index, "front_ends": len(FRONT_ENDS), "seed": index}
        agreement: dict[str, Any] = {"member": name, "report_ms": 100}
        agreement["keepers"] = {replica: self.addresses[replica] for replica in REPLICAS}
        agreement["relays"] = {relay: self.addresses[relay] for relay in RELAYS}
        return {"front": front | {"store": f"{name}.db", "workers": []}, "agreement": agreement}

    def _agent_line(self, name: str) -> dict[str, Any]:
        if name in FRONT_ENDS:
            words: tuple[object, ...] = ("serve", "{config}", "--own", self.folder / f"{name}.own")
            line: dict[str, Any] = {"kind": "front_end", "follows": True}
        else:
            words = ("worker", "{config}", "--name", name, "--cold")
            line = {"kind": "worker"}
        line["command"] = self.programs[name].command("--log", "json", *words)
        return line | {"member": name, "first": "site.json", "ready": '"listening"'}

    # Processes

    def start(self, name: str, *options: str) -> None:
        """Starts a replica, a relay or an agent with its release; it returns at once."""
        if name in REPLICAS:
            command_name = self.releases[name].replica_command
            words: tuple[object, ...] = (command_name, self.file, "--name", name, *options)
        elif name in RELAYS:
            words = ("relay", self.file, "--name", name)
        else:
            lines = self._fleet_file() | {"agents": [self._agent_line(name)]}
            words = ("agent", self._write(f"{name}.json", lines), "--member", name)
        self._starts[name] = self._starts.get(name, 0) + 1
        with self.log(name).open("wb") as out:
            command = self.releases[name].command("--log", "json", *words)
            self.running[name] = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out, stderr=out)

    def stop(self, name: str) -> None:
        """By SIGTERM; it must end in order."""
        process = self.running.pop(name)
        process.terminate()
        try:
            code = process.wait(STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise AssertionError(f"{name} did not end after SIGTERM\n{self.logs()}") from None
        assert code == 0, f"{name} ended with {code}\n{self.logs()}"

    def replace(self, name: str, release: Release, program: Release | None = None) -> None:
        """Stops it and starts `release` on the same folder; `program` for what an agent runs."""
        self.stop(name)
        self.releases[name] = release
        if name not in self.programs:
            self.start(name)
            self.until(lambda: self._accepts(name), f"{name} to listen")
            return
        self.programs[name] = program or self.programs[name]
        before = self._incarnations[name]
        self.output(name).unlink()  # so that what stands in it is of the next process
        self.start(name)
        self.until_ready(name)
        self.until(lambda: self._is_back(name, before), f"{name} to be in")

    def until_ready(self, member: str) -> None:
        """Until what the agent runs says that it listens, which must be the wanted release."""

        def listens() -> bool:
            return self.output(member).exists() and '"listening"' in self.output(member).read_text()

        self.until(listens, f"{member} to listen")
        first_line = self.output(member).read_text().splitlines()[0]
        assert json.loads(first_line) == {"event": "release", "release": self.programs[member].name}

    def _is_back(self, member: str, incarnation: str) -> bool:
        line = self.members(self.releases[member])[member]
        return bool(line["stands"] == "in" and line["incarnation"] != incarnation)

    def _accepts(self, name: str) -> bool:
        host, _, port = self.addresses[name].partition(":")
        with suppress(OSError), socket.create_connection((host, int(port)), HTTP_LIMIT_S):
            return True
        return False

    def close(self) -> None:
        """Agents first, since they take their processes with them."""
        names = sorted(self.running, key=lambda name: name in REPLICAS)
        for name in names:
            self.running[name].terminate()
        for name in names:
            process = self.running.pop(name)
            try:
                process.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def log(self, name: str) -> Path:
        return self.folder / f"{name}.{self._starts[name]}.log"

    def output(self, member: str) -> Path:
        """Where an agent leaves what its process writes."""
        return self.folder / "agents" / f"{member}.out"

    def logs(self) -> str:
        paths = [*map(self.log, self._starts), *map(self.output, self.programs)]
        return "\n".join(f"{path.name}: {path.read_text()[-LOG_TAIL:]}" for path in paths if path.exists())

    def until(self, condition: Callable[[], object], what: str) -> None:
        """Waits on a condition; fails with the reason once a process ends by itself or the limit is over."""
        limit = time.monotonic() + CONDITION_LIMIT_S
        while not condition():
            ended = {name: p.poll() for name, p in self.running.items() if p.poll() is not None}
            assert not ended, f"ended by themselves: {ended}\n{self.logs()}"
            assert time.monotonic() < limit, f"waited in vain for {what}\n{self.logs()}"
            time.sleep(PAUSE_S)

    # What operators ask and say

    def operator(self, release: Release, *words: object) -> str:
        """What the release's command line prints; it must succeed."""
        return self.begin(release, *words)()

    def asked(self, release: Release, *words: object) -> Any:
        """The same with `--format json`."""
        return json.loads(self.operator(release, *words, "--format", "json"))

    def begin(self, release: Release, *words: object) -> Callable[[], str]:
        """Starts a command beside others; to be called for what it has printed."""
        command = release.command(*words)
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

        def printed() -> str:
            try:
                output, errors = process.communicate(timeout=COMMAND_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                output, errors = process.communicate()
            assert process.returncode == 0, f"{words}: {output}{errors}\n{self.logs()}"
            return output

        return printed

    def members(self, release: Release) -> dict[str, dict[str, Any]]:
        shown = self.asked(release, "fleet", "members", self.file)
        members = {line["member"]: line for line in shown["members"]}
        self._incarnations = {name: line["incarnation"] for name, line in members.items()}
        return members

    # What replicas hold

    def view(self, name: str) -> dict[str, Any] | None:
        """What this replica itself holds, as `index`, `leader`, `state`; None while it answers nobody."""
        with suppress(OSError):
            reply = ask(self.addresses[name], "GET", "/fleet/1/state?here")
            assert reply.status == 200, reply
            view: dict[str, Any] = msgspec.msgpack.decode(reply.body)
            return view
        return None

    def leader(self) -> str | None:
        """Whom all running replicas follow, if they agree on one."""
        views = [self.view(name) for name in REPLICAS if name in self.running]
        leaders = {view["leader"] if view else "" for view in views}
        leader: str = leaders.pop()
        return leader if leader in self.running and not leaders else None

    def history(self, name: str) -> bytes:
        reply = ask(self.addresses[name], "GET", "/fleet/1/history?after=0&most=10000")
        assert reply.status == 200, reply
        return reply.body

    def table(self) -> bytes:
        """The entries of all settings as the leader confirms them."""
        replies: list[Reply] = []

        def confirmed() -> bool:
            leader = self.leader()
            if leader is not None:
                replies.append(ask(self.addresses[leader], "GET", "/table/1/entries"))
            return bool(replies) and replies[-1].status == 200

        self.until(confirmed, "the leader to confirm the table")
        return replies[-1].body

    def assert_replicas_equal(self) -> None:
        """State and history of all replicas at one index, byte for byte. Taken anew while the index moves."""
        states: dict[str, bytes] = {}
        histories: dict[str, bytes] = {}

        def taken_at_one_index() -> bool:
            before = [self.view(name) for name in REPLICAS]
            histories.update({name: self.history(name) for name in REPLICAS})
            after = [self.view(name) for name in REPLICAS]
            if len({view["index"] if view else None for view in (*before, *after)}) != 1:
                return False
            states.update({name: view["state"] for name, view in zip(REPLICAS, before, strict=True) if view})
            return len(states) == len(REPLICAS)

        self.until(taken_at_one_index, "all replicas to stand at one index")
        assert len(set(states.values())) == 1, states
        assert len(set(histories.values())) == 1, histories

    def make_leader(self, wanted: str, agree: Callable[[], object]) -> None:
        """Lets `wanted` win an election, whatever the timing: the only other voter lacks an entry.

        `agree` has a quorum agree on something.
        """
        self.until(self.leader, "a leader")
        if self.leader() == wanted:
            return
        behind, other = sorted(
            (name for name in REPLICAS if name != wanted), key=lambda name: name == self.leader()
        )
        self.stop(behind)
        self.until(self.leader, f"a leader without {behind}")
        agree()
        self.stop(other)
        self.start(behind)
        self.until(lambda: self.leader() == wanted, f"{wanted} to lead")
        self.start(other)
        self.until(lambda: self.leader() == wanted, f"{other} to follow {wanted}")

    # Calls

    def invoke(self, front_end: str) -> None:
        """Until it is served: while workers come and go it may be refused, which has no effect."""
        replies: list[Reply] = []

        def is_served() -> bool:
            replies.append(ask(self.addresses[front_end], "POST", INVOKE.format(CALLED), b"1"))
            assert replies[-1].status in (200, 429), replies[-1]
            return replies[-1].status == 200

        self.until(is_served, f"a call at {front_end} to be served")

    def defer(self, front_end: str) -> str:
        """The name of a deferred call that the front end has accepted."""
        headers = {"X-Amz-Invocation-Type": "Event"}
        reply = ask(self.addresses[front_end], "POST", INVOKE.format(DEFERRED), b"1", headers)
        assert reply.status == 202, reply
        return reply.headers[EXECUTION_ARN]

    def fate(self, front_end: str, arn: str) -> dict[str, Any]:
        """What the front end says became of a deferred call."""
        target = f"/2025-12-01/durable-executions/{quote(arn, safe='')}"
        reply = ask(self.addresses[front_end], "GET", target)
        assert reply.status == 200, reply
        fate: dict[str, Any] = json.loads(reply.body)
        return fate

    def until_succeeded(self, front_end: str, arn: str) -> dict[str, Any]:
        """The fate of a deferred call once it has been run."""
        self.until(lambda: self.fate(front_end, arn)["Status"] != "RUNNING", "the deferred call's fate")
        fate = self.fate(front_end, arn)
        assert fate["Status"] == "SUCCEEDED", fate
        return fate


@contextmanager
def running_fleet(folder: Path, release: Release) -> Iterator[ReleaseFleet]:
    """All of it started with one release; replicas found the cluster."""
    fleet = ReleaseFleet(folder, release)
    try:
        for name in REPLICAS:
            fleet.start(name, "--found")
        for name in RELAYS:
            fleet.start(name)
        fleet.until(fleet.leader, "a leader")
        for name in fleet.programs:
            fleet.start(name)
        for name in fleet.programs:
            fleet.until_ready(name)
        fleet.until(lambda: fleet.members(release).keys() == fleet.programs.keys(), "all to be members")
        yield fleet
    finally:
        fleet.close()
