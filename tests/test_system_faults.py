"""Whole processes whose real system calls fail, or whose wall clock is set while they are down."""

from __future__ import annotations

import base64
import http.client
import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from urllib.parse import quote

import pytest

from walnutpost.controlplane import ControlPlaneUnavailableError
from walnutpost.eventloop import Loop
from walnutpost.faultinjection.cluster_process import ClusterProcess
from walnutpost.fleet import FRONT_END, RegisterMember
from walnutpost.testsupport.controlplane.replica_processes import (
    NAMES,
    SECOND,
    ReplicaProcesses,
    create_fleet,
    play,
)
from walnutpost.testsupport.daemon.fleet import (
    BASE_SETTINGS,
    EXECUTION_ARN_HEADER,
    INVOKE_PATH,
    merge_settings,
)
from walnutpost.testsupport.system.system_faults import SystemFaults

PATIENCE_S = 60.0
FAULT_US = 5 * SECOND
COMMAND_TIMEOUT_US = SECOND
HOUR_S = 3600
CALLS = 40
DEADLINE_MS = 15 * 60 * 1000


@pytest.fixture(scope="module")
def faults(tmp_path_factory: pytest.TempPathFactory) -> SystemFaults:
    return SystemFaults(tmp_path_factory.mktemp("faults"))


@pytest.fixture(autouse=True)
def no_faults_left(faults: SystemFaults) -> Iterator[None]:
    yield
    faults.end()


# Replicas of the control plane


class Registrations:
    """A client that registers one member after the other; `accepted` are those with an answer."""

    def __init__(self, replicas: ReplicaProcesses) -> None:
        self._replicas = replicas
        self.accepted: list[str] = []
        self.is_running = True
        self._task = replicas.loop.spawn(self._run, name="registrations")

    def _run(self) -> None:
        number = 0
        while self.is_running:
            number += 1
            name = f"front-{number}"
            try:
                client = self._replicas.client(timeout_us=COMMAND_TIMEOUT_US)
                answer = client.command(name, RegisterMember(name, FRONT_END, "a", "1"))
            except ControlPlaneUnavailableError:
                continue
            assert answer.ok
            self.accepted.append(name)

    def stop(self) -> None:
        self.is_running = False
        self._task.join()


@pytest.mark.parametrize("per_thousand", [30, 200])
def test_replicas_whose_writes_and_syncs_fail_for_a_while_serve_again_and_lose_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, faults: SystemFaults, per_thousand: int
) -> None:
    for name, value in faults.environment().items():
        monkeypatch.setenv(name, value)

    def script(replicas: ReplicaProcesses) -> None:
        loop = replicas.loop
        create_fleet(replicas, members=0)
        registrations = Registrations(replicas)
        loop.sleep(SECOND)
        faults.fail(files_per_thousand=per_thousand)
        loop.sleep(FAULT_US)
        faults.end()
        ended_at = loop.now()
        before = len(registrations.accepted)
        replicas.wait_until(lambda: len(registrations.accepted) > before)
        served_after = loop.now() - ended_at
        replicas.wait_until(lambda: _are_all_in_service(replicas))
        all_after = loop.now() - ended_at
        registrations.stop()
        failures = sum(_events(replicas, name).count("disk_failed") for name in NAMES)
        assert failures, "the faults met no replica"
        state = replicas.client().state()[1].state
        assert set(registrations.accepted) <= set(state.members)
        assert all(process.poll() is None for process in replicas.running.values())
        print(f"{len(registrations.accepted)} accepted, {failures} failures of disks, ", end="")
        print(f"served after {served_after // 1000} ms, all after {all_after // 1000} ms")

    play(tmp_path, script)


def _are_all_in_service(replicas: ReplicaProcesses) -> bool:
    client = replicas.client()
    try:
        newest = client.state()[0].index
        return not client.failing_disks() and all(client.local_status(name).index >= newest for name in NAMES)
    except ControlPlaneUnavailableError:
        return False


def _events(replicas: ReplicaProcesses, name: str) -> list[str]:
    return [line["event"] for line in replicas.log_lines(name)]


# A front end


class FrontEndProcess:
    """`walnutpost up`: a front end and its workers in one process, asked over HTTP."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        config = folder / "site.json"
        config.write_text(json.dumps(settings))
        self._process = ClusterProcess("front end", folder / "log")
        self._process.start(["up", str(config)])
        loop = Loop()
        loop.run(lambda: self._process.wait_until_listening(loop))

    def kill(self) -> None:
        self._process.kill()

    def ask(self, method: str, path: str, body: bytes = b"", **headers: str) -> http.client.HTTPResponse:
        connection = http.client.HTTPConnection(self._process.address, timeout=PATIENCE_S)
        connection.request(method, path, body, headers)
        return connection.getresponse()

    def log(self) -> str:
        return self._process.log.read_text()

    def defer(self, function: str, body: bytes) -> str:
        """Return the execution's name of a deferred call that is accepted."""
        response = self.try_to_defer(function, body)
        assert response.status == 202, response.read()
        return response.headers[EXECUTION_ARN_HEADER]

    def try_to_defer(self, function: str, body: bytes) -> http.client.HTTPResponse:
        """Ask for a deferred call with a deadline of DEADLINE_MS."""
        context = base64.b64encode(b'{"custom": {"deadline-ms": %d}}' % DEADLINE_MS).decode()
        headers = {"x-amz-invocation-type": "Event", "x-amz-client-context": context}
        return self.ask("POST", INVOKE_PATH.format(function), body, **headers)

    def status(self, execution: str) -> str:
        """Return the execution's status, or the HTTP status if there is none."""
        path = f"/2025-12-01/durable-executions/{quote(execution, safe='')}"
        response = self.ask("GET", path)
        body = json.loads(response.read())
        return str(body["Status"]) if response.status == 200 else str(response.status)


def await_true(condition: Any, state: Any) -> None:
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, state()
        time.sleep(0.02)


@contextmanager
def front_end(folder: Path, environment: dict[str, str]) -> Iterator[FrontEndProcess]:
    with pytest.MonkeyPatch.context() as patch:
        for name, value in environment.items():
            patch.setenv(name, value)
        process = FrontEndProcess(folder, SETTINGS)
    try:
        yield process
    finally:
        process.kill()


SETTINGS = merge_settings(
    BASE_SETTINGS,
    {
        "front": {"keep_results_ms": 10 * 60 * 1000, "store": "calls.db"},
        "fleet": {"work": {"reserve": {"work_ms": DEADLINE_MS, "spread": 0, "load_ms": 300}}},
        "site": {"classes": {"reservation": {"effect": "safe"}}},
    },
)


@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S])
def test_calls_of_a_killed_front_end_keep_their_status_when_the_wall_clock_is_set(
    tmp_path: Path, faults: SystemFaults, step_s: int
) -> None:
    with front_end(tmp_path, faults.environment()) as first:
        ended = [first.defer("price", b"%d" % number) for number in range(CALLS)]
        open_calls = [first.defer("reserve", b"%d" % number) for number in range(2)]
        await_true(lambda: {first.status(each) for each in ended} == {"SUCCEEDED"}, lambda: "no fates")
    with front_end(tmp_path, faults.environment(clock_offset_s=step_s)) as second:
        assert [second.status(each) for each in ended] == ["SUCCEEDED"] * CALLS
        assert [second.status(each) for each in open_calls] == ["RUNNING"] * len(open_calls)


def test_accepted_calls_of_a_front_end_whose_writes_and_syncs_fail_get_their_status(
    tmp_path: Path, faults: SystemFaults
) -> None:
    with front_end(tmp_path, faults.environment()) as process:
        faults.fail(files_per_thousand=100)
        answers = [process.try_to_defer("price", b"%d" % number) for number in range(CALLS)]
        accepted = [answer.headers[EXECUTION_ARN_HEADER] for answer in answers if answer.status == 202]
        faults.end()
        assert {answer.status for answer in answers} <= {202, 500}
        assert len(accepted) > CALLS // 2
        await_true(lambda: {process.status(each) for each in accepted} == {"SUCCEEDED"}, lambda: "no fates")


def test_a_front_end_whose_accepts_fail_answers_each_client(tmp_path: Path, faults: SystemFaults) -> None:
    with front_end(tmp_path, faults.environment()) as process:
        faults.fail(accepts_per_thousand=200)
        statuses = [
            process.ask("POST", INVOKE_PATH.format("price"), b"%d" % n).status for n in range(5 * CALLS)
        ]
        assert statuses == [200] * len(statuses)
        assert "accept_failed" in process.log()
