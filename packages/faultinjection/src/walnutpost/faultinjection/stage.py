"""The processes of a trial: a package store, workers, front ends, and the list that tells of the workers."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from walnutpost.config import Config, FakeWorkerConfig
from walnutpost.config.fakes import FakeFunctionConfig
from walnutpost.config.site import FunctionConfig
from walnutpost.eventloop import Loop, TaskGroup, WaitTimeoutError, replace_file
from walnutpost.faultinjection.clients import one_off_name
from walnutpost.faultinjection.facts import SUFFIX, facts_of, write_facts
from walnutpost.faultinjection.script import Script
from walnutpost.http import Connection, HttpMessageError

SECOND = 1_000_000
START_PATIENCE = 30 * SECOND
LOOK_EVERY = 20_000
LIST = "workers.json"


class StageError(Exception):
    """A process did not start, or ended by itself."""


@dataclass(slots=True)
class _Child:
    name: str
    arguments: list[str]
    log: Path
    process: subprocess.Popen[bytes] | None = None
    address: str = ""
    read: int = 0  # how much of its log is from earlier lives


@dataclass(slots=True)
class _Listed:
    address: str
    state: str = "ready"
    started_at: float = 0.0
    line: FakeWorkerConfig | None = None


@dataclass(slots=True)
class Stage:
    loop: Loop
    config: Config
    script: Script
    folder: Path
    children: dict[str, _Child] = field(default_factory=dict)
    listed: dict[str, _Listed] = field(default_factory=dict)
    version: int = 0
    down: set[str] = field(default_factory=set)
    failures: list[str] = field(default_factory=list)
    ends: dict[str, list[int]] = field(default_factory=dict)  # when each process was killed

    # Starting and ending

    def start(self) -> None:
        """Starts everything; raises StageError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.config = with_one_offs(self.config, self.script.one_off_functions)
        write_facts(self.folder, facts_of(self.config))
        assert self.config.fleet is not None
        fleet = self._write("fleet.json", {})
        self._spawn("store", ["store", fleet])
        self._await("store")
        workers = self.config.fleet.workers
        for line in workers:
            self._spawn(line.name, self._worker_arguments(line, False))
        for line in workers:
            self._await(line.name)
            self.listed[line.name] = _Listed(self.children[line.name].address, line=line)
        self.tell()
        for index in range(self.script.front_ends):
            self._spawn(front_name(index), self._front_arguments(index, "127.0.0.1:0"))
        for index in range(self.script.front_ends):
            self._await(front_name(index))

    def _worker_arguments(self, line: FakeWorkerConfig, cold: bool) -> list[str]:
        known = self.children.get(line.name)
        listen = known.address if known and known.address else line.listen
        fleet = self.config.fleet
        assert fleet is not None
        one = fleet.model_copy(update={"workers": [line.model_copy(update={"listen": listen})]})
        config = self._write(f"{line.name}.json", {"fleet": one.model_dump(mode="json")})
        arguments = ["worker", config, "--name", line.name, "--store", self.children["store"].address]
        arguments += ["--capture", str(self.folder / (line.name + SUFFIX))]
        return [*arguments, "--cold"] if cold else arguments

    def _front_arguments(self, index: int, listen: str) -> list[str]:
        front = self.config.front.model_dump(mode="json") | {
            "listen": listen,
            "index": index,
            "front_ends": self.script.front_ends,
            "seed": self.script.seed * 1000 + index,
            "store": f"{front_name(index)}.db",
            "workers": [],
            "workers_file": LIST,
        }
        more: dict[str, Any] = {"front": front}
        if self.config.metering is not None:
            ledger = self.config.metering.model_copy(update={"file": ledger_name(index)})
            more["metering"] = ledger.model_dump(mode="json")
        config = self._write(f"{front_name(index)}.json", more)
        return ["serve", config, "--capture", str(self.folder / (front_name(index) + SUFFIX))]

    def _write(self, name: str, more: dict[str, Any]) -> str:
        told = self.config.model_dump(mode="json", by_alias=True) | more
        path = self.folder / name
        path.write_text(json.dumps(told, indent=1))
        return str(path)

    def _spawn(self, name: str, arguments: list[str]) -> None:
        child = self.children.setdefault(name, _Child(name, arguments, self.folder / f"{name}.log"))
        child.arguments = arguments
        child.read = child.log.stat().st_size if child.log.exists() else 0
        command = [sys.executable, "-m", "walnutpost.cli", "--log", "json", *arguments]
        with child.log.open("ab") as log:
            child.process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
            )

    def _await(self, name: str) -> None:
        """Until it has said where it listens."""
        child = self.children[name]
        until = self.loop.now() + START_PATIENCE
        while self.loop.now() < until:
            for line in child.log.read_bytes()[child.read :].splitlines():
                if b'"event": "listening"' in line:
                    child.address = json.loads(line)["address"]
                    return
            if child.process is not None and child.process.poll() is not None:
                raise StageError(f"{name} ended while starting; see {child.log}")
            self.loop.sleep(LOOK_EVERY)
        raise StageError(f"{name} did not start in {START_PATIENCE // SECOND} s; see {child.log}")

    def stop(self) -> None:
        """Asks all to end, then makes them; only processes started here."""
        fronts = {front_name(index) for index in range(self.script.front_ends)}
        self._end(
            [c for c in self.children.values() if c.name in fronts]
        )  # they read the workers' last books
        self._end([c for c in self.children.values() if c.name not in fronts])

    def _end(self, children: Sequence[_Child]) -> None:
        for child in children:
            if child.process is not None and child.process.poll() is None:
                child.process.send_signal(signal.SIGCONT)
                child.process.terminate()
        for child in children:
            if child.process is None:
                continue
            try:
                code = child.process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                child.process.kill()
                code = child.process.wait()
                self.failures.append(f"{child.name} did not end when asked")
            if code not in (0, -signal.SIGKILL):
                self.failures.append(f"{child.name} ended with {code}; see {child.log}")

    # The list

    def tell(self) -> None:
        """Replaces the list file as a whole."""
        self.version += 1
        lines = []
        for name, w in self.listed.items():
            line = {"name": name, "address": w.address, "state": w.state, "started_at": w.started_at}
            if w.line is not None:
                line |= {k: v for k, v in (("zone", w.line.zone), ("kind", w.line.kind)) if v is not None}
            lines.append(line)
        content = json.dumps({"version": self.version, "workers": lines})
        replace_file(self.folder / LIST, content.encode())

    def tell_later(self) -> None:
        self.loop.call_later(round(self.script.list_delay_s * SECOND), self.tell)

    # What goes wrong

    def command(self, names: Sequence[str], told: dict[str, Any]) -> None:
        """To all at once; one that is down hears nothing, and will have lost what it held."""
        with TaskGroup(self.loop) as group:
            for name in names:
                if name not in self.down:
                    address = self.children[name].address
                    group.spawn(self._post, address, "/control", json.dumps(told).encode())

    def store_slow(self, factor: float) -> None:
        self._post(self.children["store"].address, f"/slow/{factor}", b"")

    def _post(self, address: str, target: str, body: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            with self.loop.timeout(5 * SECOND):
                connection = Connection.open(self.loop, (host, int(port)))
                try:
                    if connection.request("POST", target, {}, body).status != 200:
                        self.failures.append(f"{address} refused {target} {body[:80]!r}")
                finally:
                    connection.close()
        except (OSError, WaitTimeoutError, HttpMessageError) as error:
            self.failures.append(f"{address}{target}: {error}")

    def silence(self, name: str) -> None:
        """Stops the process: connections are taken by its kernel, and nothing is said on them."""
        self.down.add(name)
        process = self.children[name].process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGSTOP)

    def kill(self, name: str) -> None:
        self.down.add(name)
        process = self.children[name].process
        if process is not None:
            process.kill()
            process.wait()
            self.ends.setdefault(name, []).append(self.loop.now())

    def back_cold(self, name: str) -> None:
        """Starts a killed worker again, where it was; the list tells of it later."""
        line = self.listed[name].line if name in self.listed else None
        fleet = self.config.fleet
        assert fleet is not None
        line = line or next(w for w in fleet.workers if w.name == name)
        self._spawn(name, self._worker_arguments(line, True))
        self._await(name)
        self.down.discard(name)
        self.listed[name] = _Listed(self.children[name].address, "ready", time.time(), line)
        self.tell_later()

    def front_back(self, index: int) -> None:
        name = front_name(index)
        self._spawn(name, self._front_arguments(index, self.children[name].address))
        self._await(name)

    @property
    def fronts(self) -> list[tuple[str, int]]:
        out = []
        for index in range(self.script.front_ends):
            host, _, port = self.children[front_name(index)].address.rpartition(":")
            out.append((host, int(port)))
        return out


def front_name(index: int) -> str:
    return f"front-{index}"


def ledger_name(index: int) -> str:
    return f"{front_name(index)}-usage.db"


def with_one_offs(config: Config, count: int) -> Config:
    """The configuration with functions that are asked for once only; each is like the first safe one."""
    if not count:
        return config
    site, fleet = config.site, config.fleet
    assert fleet is not None
    like = next(n for n, f in site.functions.items() if site.classes[f.class_].effect == "safe")
    names = [one_off_name(i) for i in range(count)]
    functions: dict[str, FunctionConfig] = {**site.functions, **dict.fromkeys(names, site.functions[like])}
    work = {**fleet.work, **dict.fromkeys(names, fleet.work.get(like, FakeFunctionConfig()))}
    return config.model_copy(
        update={
            "site": site.model_copy(update={"functions": functions}),
            "fleet": fleet.model_copy(update={"work": work}),
        }
    )
