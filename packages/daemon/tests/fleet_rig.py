"""A front end and stand-in workers on one loop with a virtual clock, over real loopback sockets."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from walnutpost.config import Config, WorkerConfig, parse
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.eventloop import Clock, Loop, VirtualClock
from walnutpost.fakes import LocalStore, WorkerServer
from walnutpost.fakes.fleet import local_store, start_worker
from walnutpost.faultinjection.audit import Verdict
from walnutpost.faultinjection.capture import Capture
from walnutpost.faultinjection.facts import SUFFIX, audit_folder, facts_of, write_facts
from walnutpost.http import Connection, Response
from walnutpost.interface import ListKind

T = TypeVar("T")
SECOND = 1_000_000
INVOKE = "/2015-03-31/functions/{}/invocations"
BASE: dict[str, Any] = {
    "site": {
        "classes": {
            "valuation": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 2500},
            "reservation": {"effect": "unsafe", "aim_ms": 1000, "deadline_ms": 2500, "worth": 2},
        },
        "functions": {
            "price": {"class": "valuation", "memory_mb": 400, "lanes": 2, "load_ms": 300},
            "reserve": {"class": "reservation", "memory_mb": 300, "lanes": 1, "load_ms": 300},
        },
        "tenants": {"tills": {"share": 0.7}, "trade": {"share": 0.3}},
        "default_tenant": "tills",
        "rules": {"load_window_ms": 10000, "free_loads": 6, "load_share": 0.2},
    },
    "front": {"listen": "127.0.0.1:0", "seed": 1, "store": "calls.db"},
    "fleet": {
        "work": {
            "price": {"work_ms": 50, "spread": 0, "load_ms": 300},
            "reserve": {"work_ms": 50, "spread": 0, "load_ms": 300},
        },
        "workers": [{"name": f"worker-{i}"} for i in (1, 2, 3)],
    },
}


class Log:
    """Keeps lines instead of writing them."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **told: Any) -> None:
        self.lines.append((event, told))

    warning = error = info


def merged(base: dict[str, Any], more: dict[str, Any]) -> dict[str, Any]:
    out = copy.deepcopy(base)
    for key, value in more.items():
        out[key] = merged(out[key], value) if isinstance(value, dict) and key in out else value
    return out


class Fleet:
    """`run` starts everything, runs a script in a task, and ends everything."""

    def __init__(
        self,
        path: Path,
        more: dict[str, Any] | None = None,
        front: dict[str, Any] | None = None,
        capture: bool = False,
        clock: Clock | None = None,
    ) -> None:
        """`more` changes the configuration; `front` what the front end alone believes of it."""
        self.path = path
        self.capture = capture
        told = merged(BASE, more or {})
        self.config = parse(json.dumps(told), "test", Config)
        self.front_config = parse(json.dumps(merged(told, front or {})), "test", Config)
        self.errors: list[BaseException] = []
        self.loop = Loop(clock or VirtualClock(), lambda name, error: self.errors.append(error))
        self.log = Log()
        self.workers: dict[str, WorkerServer] = {}
        self.lines: list[WorkerConfig] = []
        self.version = 0
        self.wall_off = 0  # by which the time of day differs from the loop's
        self.front: FrontEnd
        self.store: LocalStore

    def run(self, script: Callable[[], T], listed: bool = True) -> T:
        def main() -> T:
            self.start_workers()
            self.front = self.start_front(listed)
            return script()

        try:
            result = self.loop.run(main)
        finally:
            if hasattr(self, "front"):
                self.front.close()
        assert not self.errors, self.errors
        return result

    def start_workers(self) -> None:
        assert self.config.fleet is not None
        self.store = local_store(self.loop, self.config)
        for line in self.config.fleet.workers:
            tap = (lambda name: self.tap("worker", name)) if self.capture else None
            server = start_worker(self.loop, self.config, line, self.store, tap, self.path)
            self.workers[line.name] = server
            self.lines.append(WorkerConfig(name=line.name, address="{}:{}".format(*server.address)))

    def tap(self, kind: str, name: str) -> Capture:
        return Capture(self.path / f"{name}{SUFFIX}", kind, name, self.loop.now)

    def start_front(self, listed: bool = True, path: Path | None = None) -> FrontEnd:
        front = self.front_config.front.model_copy(update={"workers": self.lines if listed else []})
        config = self.front_config.model_copy(update={"front": front})
        tap = self.tap("front", "front-0") if self.capture else None
        return FrontEnd(
            self.loop, config, self.log, tap, path or self.path, lambda: self.loop.now() + self.wall_off
        )

    def relist(self, name: str, **changed: Any) -> None:
        """The front end is told a list in which one worker's line has changed; with `gone`, it has left."""
        self.lines = [
            w.model_copy(update=changed) if w.name == name else w
            for w in self.lines
            if w.name != name or not changed.get("gone")
        ]
        self.version += 1
        self.front.endpoint_lists.set_configured(ListKind.FULL, self.version, self.lines)

    def audit(self) -> Verdict:
        """What the audit says of the captures, by the honest configuration."""
        write_facts(self.path, facts_of(self.config))
        return audit_folder(self.path)

    def connect(self, front: FrontEnd | None = None) -> Connection:
        return Connection.open(self.loop, (front or self.front).address)

    def ask(self, method: str, target: str, body: bytes = b"", **headers: str) -> Response:
        """One request on a connection of its own; `_` in a header's name stands for `-`."""
        connection = self.connect()
        try:
            named = {key.replace("_", "-"): value for key, value in headers.items()}
            return connection.ask(method, target, named, body)
        finally:
            connection.close()

    def invoke(self, function: str, payload: bytes = b"1", **headers: str) -> Response:
        return self.ask("POST", INVOKE.format(function), payload, **headers)

    def ask_worker(self, name: str, target: str) -> Response:
        connection = Connection.open(self.loop, self.workers[name].address)
        try:
            return connection.ask("GET", target)
        finally:
            connection.close()

    def warm(self, function: str) -> str:
        """Calls once and returns the worker that has the copy then."""
        return str(json.loads(self.invoke(function).body)["worker"])

    def runs(self, function: str | None = None) -> int:
        return sum(function in (None, ran) for w in self.workers.values() for _, ran, _ in w.runs)

    def running(self) -> WorkerServer:
        """The worker on which something runs."""
        return next(w for w in self.workers.values() if w.model.running_count)

    def until(self, true: Callable[[], bool], within: int = 60 * SECOND) -> None:
        """Waits on a condition in virtual time."""
        end = self.loop.now() + within
        while not true():
            assert self.loop.now() < end, "the condition never came true"
            self.loop.sleep(20_000)


__all__ = ["BASE", "SECOND", "Fleet", "Log", "merged"]
