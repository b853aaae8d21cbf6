"""A front end and fake workers on one event loop with a virtual clock, connected by loopback sockets."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from walnutpost.config import Config, WorkerConfig, parse
from walnutpost.daemon.composition import build_front_end
from walnutpost.daemon.front_end import FrontEnd
from walnutpost.eventloop import Clock, Loop, VirtualClock
from walnutpost.fakes import LocalStore, WorkerServer
from walnutpost.fakes.fleet import local_store, start_worker
from walnutpost.faultinjection.audit import Verdict, audit_folder
from walnutpost.faultinjection.capture import CAPTURE_SUFFIX, Capture
from walnutpost.faultinjection.facts import facts_of, write_facts
from walnutpost.http import Connection, Response
from walnutpost.interface import ListKind

T = TypeVar("T")
SECOND = 1_000_000
INVOKE_PATH = "/2015-03-31/functions/{}/invocations"
EXECUTION_ARN_HEADER = "x-amz-durable-execution-arn"
BASE_SETTINGS: dict[str, Any] = {
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


class RecordingLog:
    """Collects log events in memory."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **fields: Any) -> None:
        """Record an event."""
        self.events.append((event, fields))

    warning = error = info


def merge_settings(base: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of `base` with `overrides` merged into its nested sections."""
    result = copy.deepcopy(base)
    for key, value in overrides.items():
        result[key] = (
            merge_settings(result[key], value) if isinstance(value, dict) and key in result else value
        )
    return result


def execution_path(response: Response) -> str:
    """Return the URL path of the execution whose ARN a response carries."""
    arn = response.headers[EXECUTION_ARN_HEADER].replace(":", "%3A").replace("/", "%2F")
    return f"/2025-12-01/durable-executions/{arn}"


class Fleet:
    """A front end and its workers; `run` starts them, runs a script in a task and closes the front end."""

    def __init__(
        self,
        path: Path,
        overrides: dict[str, Any] | None = None,
        front_end_overrides: dict[str, Any] | None = None,
        capture: bool = False,
        clock: Clock | None = None,
    ) -> None:
        """`overrides` change the whole configuration, `front_end_overrides` only the front end's."""
        self.path = path
        self.capture = capture
        settings = merge_settings(BASE_SETTINGS, overrides or {})
        self.config = parse(json.dumps(settings), "test", Config)
        self.front_config = parse(
            json.dumps(merge_settings(settings, front_end_overrides or {})), "test", Config
        )
        self.errors: list[BaseException] = []
        self.loop = Loop(clock or VirtualClock(), lambda name, error: self.errors.append(error))
        self.log = RecordingLog()
        self.workers: dict[str, WorkerServer] = {}
        self.worker_entries: list[WorkerConfig] = []
        self.list_version = 0
        self.wall_clock_offset_us = 0  # wall clock minus event loop time
        self.front: FrontEnd
        self.store: LocalStore

    def run(self, script: Callable[[], T], listed: bool = True) -> T:
        """Start the workers and the front end, run `script` in a task and return its result.

        `listed`: whether the front end's configuration lists the workers.
        """

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
        """Start the configured workers, and capture their traffic if `capture` is set."""
        assert self.config.fleet is not None
        self.store = local_store(self.loop, self.config)
        for entry in self.config.fleet.workers:
            traffic_observer = (lambda name: self.traffic_observer("worker", name)) if self.capture else None
            server = start_worker(self.loop, self.config, entry, self.store, traffic_observer, self.path)
            self.workers[entry.name] = server
            self.worker_entries.append(WorkerConfig(name=entry.name, address="{}:{}".format(*server.address)))

    def traffic_observer(self, kind: str, name: str) -> Capture:
        """Return a capture that writes a process's traffic to a file in the fleet's folder."""
        return Capture(self.path / f"{name}{CAPTURE_SUFFIX}", kind, name, self.loop.now)

    def start_front(self, listed: bool = True, path: Path | None = None) -> FrontEnd:
        """Start a front end in the folder `path`, by default the fleet's folder."""
        front = self.front_config.front.model_copy(update={"workers": self.worker_entries if listed else []})
        config = self.front_config.model_copy(update={"front": front})
        traffic_observer = self.traffic_observer("front", "front-0") if self.capture else None
        return build_front_end(
            self.loop,
            config,
            self.log,
            traffic_observer,
            path or self.path,
            lambda: self.loop.now() + self.wall_clock_offset_us,
        )

    def publish_changed_worker(self, name: str, **changed: Any) -> None:
        """Publish an endpoint list with one worker's entry changed; `gone=True` removes the entry."""
        self.worker_entries = [
            entry.model_copy(update=changed) if entry.name == name else entry
            for entry in self.worker_entries
            if entry.name != name or not changed.get("gone")
        ]
        self.list_version += 1
        self.front.endpoint_lists.set_configured(ListKind.FULL, self.list_version, self.worker_entries)

    def audit(self) -> Verdict:
        """Audit the captures against the fleet's configuration."""
        write_facts(self.path, facts_of(self.config))
        return audit_folder(self.path)

    def connect(self, front: FrontEnd | None = None) -> Connection:
        """Open a connection to the front end."""
        return Connection.open(self.loop, (front or self.front).address)

    def ask(self, method: str, target: str, body: bytes = b"", **headers: str) -> Response:
        """Send one request on a new connection; each `_` in a header name is sent as `-`."""
        connection = self.connect()
        try:
            named_headers = {key.replace("_", "-"): value for key, value in headers.items()}
            return connection.request(method, target, named_headers, body)
        finally:
            connection.close()

    def invoke(self, function: str, payload: bytes = b"1", **headers: str) -> Response:
        """Call a function."""
        return self.ask("POST", INVOKE_PATH.format(function), payload, **headers)

    def get_from_worker(self, name: str, target: str) -> Response:
        """Send a GET request to a worker."""
        connection = Connection.open(self.loop, self.workers[name].address)
        try:
            return connection.request("GET", target)
        finally:
            connection.close()

    def warm(self, function: str) -> str:
        """Call a function once and return the name of the worker that ran it."""
        return str(json.loads(self.invoke(function).body)["worker"])

    def runs(self, function: str | None = None) -> int:
        """Count the calls that the workers have run, of one function or of all."""
        return sum(
            function in (None, executed) for server in self.workers.values() for _, executed, _ in server.runs
        )

    def find_busy_worker(self) -> WorkerServer:
        """Return the first worker that is running a call."""
        return next(server for server in self.workers.values() if server.model.running_count)

    def wait_until(self, condition: Callable[[], bool], timeout_us: int = 60 * SECOND) -> None:
        """Wait until a condition is true, in the event loop's time."""
        deadline_us = self.loop.now() + timeout_us
        while not condition():
            assert self.loop.now() < deadline_us, "the condition did not become true before the timeout"
            self.loop.sleep(20_000)


__all__ = [
    "BASE_SETTINGS",
    "EXECUTION_ARN_HEADER",
    "SECOND",
    "Fleet",
    "RecordingLog",
    "execution_path",
    "merge_settings",
]
