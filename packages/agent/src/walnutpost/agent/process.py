"""One agent: a child process, its versions on disk, the keepers it asks. `fleet.agent_state` decides."""

from __future__ import annotations

import hashlib
import json
import os
import re
import secrets
import signal
import subprocess
import time
from collections import deque
from collections.abc import Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from walnutpost.controlplane import KeeperClient, NoAnswer
from walnutpost.controlplane.wire import Report
from walnutpost.eventloop import Event, Loop, remove_leftovers, replace_file
from walnutpost.fleet import Command, Fleet, StoreVersion
from walnutpost.fleet.agent_state import (
    ControllerSettings,
    Effect,
    FleetStateObserved,
    Input,
    InstanceController,
    LogEvent,
    OperatorOrder,
    PermitAnswered,
    ProcessExited,
    ProcessReady,
    SendCommand,
    SendPermitRequest,
    StartProcess,
    StopProcess,
    Tick,
)

LOOK_EVERY, POLL_EVERY = 500_000, 50_000
KILL_AFTER = 10_000_000  # from the request to end
AGENT = "WALNUTPOST_AGENT"  # whose a process is; outlives the agent
INCARNATION = "WALNUTPOST_INCARNATION"  # where a process finds what its agent has told the keepers of it
ADDRESS = re.compile(rb"address\W+(\d+\.\d+\.\d+\.\d+:\d+)")


class AgentError(Exception):
    """Its folder can't be used, or holds another agent's."""


def version_of(content: bytes) -> str:
    """A version's name is its content's digest: the same content is the same version everywhere."""
    return hashlib.sha256(content).hexdigest()[:16]


def order_path(folder: Path, member: str) -> Path:
    """Where an operator leaves what the agent is to do without a quorum."""
    return folder / f"{member}.by-hand"


def processes_of(agent: str) -> list[int]:
    """The processes on this machine that this agent, in whichever of its lives, has started."""
    mark, found = f"{AGENT}={agent}".encode(), []
    for path in Path("/proc").glob("[0-9]*/environ"):
        with suppress(OSError):  # it has ended, or is somebody else's
            if mark in path.read_bytes().split(b"\0"):
                found.append(int(path.parent.name))
    return found


class Agent:
    """`command` starts the process, `{config}` in it standing for the version's file; it is ready once
    `ready` stands in its output. `first` is the version of a folder that holds none yet."""

    def __init__(
        self,
        loop: Loop,
        member: str,
        kind: str,
        zone: str,
        command: Sequence[str],
        ready: str,
        first: bytes,
        folder: Path,
        keepers: Mapping[str, tuple[str, int]],
        terms: ControllerSettings,
        report_every: int,
        log: Any,
        patience: int = 5_000_000,
        follows: bool = False,
    ) -> None:
        self._loop, self._member, self._log = loop, member, log
        self._command, self._ready_text = list(command), ready.encode()
        self._folder, self._report_every = folder, report_every
        self._random = Random(secrets.randbits(63))
        self._names = list(keepers)
        self._verified: set[str] = set()  # versions whose content on disk is what their name says
        self._client = KeeperClient(loop, keepers, patience, patience // 2)
        known = self._remembered(first)
        self.steward = InstanceController(
            known["agent"],
            member,
            kind,
            zone,
            known["current"],
            terms,
            self._random.getrandbits(63),
            follows,
            known.get("held", ""),
        )
        self.steward.previous = known["previous"]
        self._written = dict(known)
        self._write_again_at: int | None = None  # where the file of its state is older than the state
        self._child: subprocess.Popen[bytes] | None = None
        self._incarnation = ""
        self._ready_told = False
        self._output = folder / f"{member}.out"
        self._to_tell: deque[tuple[str, Command]] = deque()
        self._some = Event(loop)
        self.ended = False
        current = (folder / "versions" / self.steward.current).read_bytes()
        keep = StoreVersion(self.steward.current, current)  # so that the fleet can go back to it
        self._to_tell.append((f"keep-{keep.version}", keep))
        self._some.set()
        self._tasks = [
            loop.spawn(work, name=work.__name__) for work in (self._watch, self._tell, self._report)
        ]
        self._end_left_over()
        self._carry_out(self.steward.start(loop.now()))
        self._poll()
        self._look_for_orders()

    def _end_left_over(self) -> None:
        """An agent that was killed leaves its process behind: it ends before another takes its place. It is
        found by what it was started with: a note of its number might not have been written any more."""
        wait = KILL_AFTER
        while left := processes_of(self.steward.agent):
            for pid in left:
                with suppress(ProcessLookupError):
                    os.kill(pid, signal.SIGTERM if wait > 0 else signal.SIGKILL)
            self._log.info("left over", member=self._member, pids=left)
            wait -= LOOK_EVERY
            self._loop.sleep(LOOK_EVERY)

    # What it holds on disk

    def _remembered(self, first: bytes) -> dict[str, str]:
        """The agent's own name, which outlives its restarts, and the versions it has."""
        try:
            (self._folder / "versions").mkdir(parents=True, exist_ok=True)
            for path in self._state_files():
                remove_leftovers(path)
            if (known := self._read_state()) is not None:
                known["current"] = self._usable_version(known, first)
                return known
            version = self._kept(first)
            known = {
                "agent": f"{self._member}@{secrets.token_hex(4)}",
                "current": version,
                "previous": "",
            }
            self._write_state(known)
            return known
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise AgentError(f"{self._folder}: {error}") from error

    def _state_files(self) -> tuple[Path, Path]:
        """The file of its state, and the copy that is used where that can't be read."""
        return self._folder / f"{self._member}.json", self._folder / f"{self._member}.json.copy"

    def _read_state(self) -> dict[str, str] | None:
        """None where there is none yet. Raises where neither file can be read: the process of an agent whose
        name is lost may still run, and a second one must not be started."""
        failure: Exception | None = None
        for path in self._state_files():
            try:
                state = msgspec.json.decode(path.read_bytes(), type=dict[str, str])
                if missing := {"agent", "current", "previous"} - state.keys():
                    raise ValueError(f"without {', '.join(sorted(missing))}")
                return state
            except FileNotFoundError:
                continue
            except (OSError, ValueError, msgspec.MsgspecError) as error:
                self._log.error("agent", member=self._member, why=f"{path.name} is not used: {error}")
                failure = failure or error
        if failure is not None:
            raise failure
        return None

    def _write_state(self, state: Mapping[str, str]) -> None:
        for path in self._state_files():
            replace_file(path, json.dumps(state).encode())

    def _usable_version(self, state: Mapping[str, str], first: bytes) -> str:
        """The current one, or where its content is lost the one before, or the first."""
        for version in (state["current"], state["previous"]):
            if version and self._is_intact(version):
                return version
            self._log.error("agent", member=self._member, why=f"version {version or '(none)'} is not usable")
        return self._kept(first)

    def _is_intact(self, version: str) -> bool:
        if version not in self._verified:
            with suppress(OSError):
                if version_of((self._folder / "versions" / version).read_bytes()) == version:
                    self._verified.add(version)
        return version in self._verified

    def _kept(self, content: bytes) -> str:
        """Agents share the folder of versions, and may write the same one at the same time."""
        version = version_of(content)
        if not self._is_intact(version):
            replace_file(self._folder / "versions" / version, content)
        return version

    def _remember(self) -> None:
        """Writes what has changed. A disk that takes nothing is asked again; the process is cared for
        meanwhile."""
        steward = self.steward
        now = {
            **self._written,
            "current": steward.current,
            "previous": steward.previous,
            "held": steward.drain_permit,
        }
        if now != self._written:
            try:
                self._write_state(now)
            except OSError as error:
                self._log.error("agent", member=self._member, why=f"its state is not written: {error}")
                self._write_again_at = self._loop.now() + LOOK_EVERY
                return
            self._written = now
        self._write_again_at = None

    # The steward

    def _feed(self, event: Input) -> None:
        if not self.ended:
            self._carry_out(self.steward.handle(self._loop.now(), event))
            self._remember()

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case StartProcess(version):
                    self._launch(version)
                case StopProcess():
                    self._end()
                case SendCommand(command):
                    self._to_tell.append((f"{self.steward.agent}-{secrets.token_hex(6)}", command))
                    self._some.set()
                case SendPermitRequest(command):
                    self._loop.spawn(self._ask, command, name="ask")
                case LogEvent(event, fields):
                    self._log.warning(event, member=self._member, **fields)

    def _ask(self, command: Command) -> None:
        """The same id until there is an answer: the question may have been granted though none came."""
        id = f"{self.steward.agent}-{secrets.token_hex(6)}"
        while not self.ended:
            try:
                answer = self._client.command(id, command)
            except NoAnswer:
                continue
            self._log.info("asked", member=self._member, permit=answer.permit, why=answer.error)
            return self._feed(PermitAnswered(answer.permit, answer.error))

    def _tell(self) -> None:
        while True:
            self._some.wait()
            self._some = Event(self._loop)
            while self._to_tell:
                id, command = self._to_tell[0]
                try:
                    answer = self._client.command(id, command)
                except NoAnswer:
                    continue
                self._to_tell.popleft()
                self._log.info("told", member=self._member, command=type(command).__name__, why=answer.error)

    def _watch(self) -> None:
        """Looks at what any keeper holds: a question is answered by the leader, who knows better."""
        while True:
            with suppress(NoAnswer):
                fleet = Fleet.restore(self._client.here(self._random.choice(self._names)).state)
                # While something is to be told it may still show what has just changed.
                if not self._to_tell and self._keep_versions(fleet):
                    self._feed(FleetStateObserved(fleet.state))
            self._loop.sleep(LOOK_EVERY + self._random.randrange(LOOK_EVERY))

    def _keep_versions(self, fleet: Fleet) -> bool:
        """Those of plans. False where the disk did not take one: it must not be asked for a permit to run
        what it does not have, so it looks again."""
        try:
            for version in {p.version for p in fleet.state.plans.values() if p.version}:
                if version in fleet.state.versions:
                    self._kept(fleet.state.versions[version])
        except OSError as error:
            self._log.error("agent", member=self._member, why=f"a version is not written: {error}")
            return False
        return True

    def _report(self) -> None:
        while True:
            if self._ready_told:
                with suppress(NoAnswer):
                    self._client.report(Report(self._member, self._incarnation))
            self._loop.sleep(self._report_every)

    # By hand

    def _look_for_orders(self) -> None:
        """An operator's order without a quorum lies beside the agent's own file; it is taken up once."""
        path = order_path(self._folder, self._member)
        try:
            told = json.loads(path.read_text())
            path.unlink()
            version = str(told["version"])
            if version and not (self._folder / "versions" / version).exists():
                raise ValueError(f"version {version} is not on this disk")
            order = OperatorOrder(str(told["operator"]), str(told["why"]), time.time(), version)
            self._log.warning("by hand", member=self._member, operator=order.operator, why=order.reason)
            self._feed(order)
        except FileNotFoundError:
            pass
        except (OSError, ValueError, KeyError, TypeError) as error:
            self._log.error("order by hand", member=self._member, why=f"{path}: {error}")
        if not self.ended:
            self._loop.call_later(LOOK_EVERY, self._look_for_orders)

    # The process

    def _launch(self, version: str) -> None:
        config = str(self._folder / "versions" / version)
        command = [part.replace("{config}", config) for part in self._command]
        self._incarnation, self._ready_told = secrets.token_hex(6), False
        self._log.info("launch", member=self._member, version=version)
        try:
            with self._output.open("wb") as out:
                self._child = subprocess.Popen(
                    command,
                    stdout=out,
                    stderr=out,
                    stdin=subprocess.DEVNULL,
                    env={**os.environ, AGENT: self.steward.agent, INCARNATION: self._incarnation},
                )
        except OSError as error:
            self._log.error("launch failed", member=self._member, why=str(error))
            self._child = None
            self._loop.call_soon(lambda: self._feed(ProcessExited()))

    def _end(self) -> None:
        child = self._child
        if child is None:
            return
        child.terminate()

        def kill() -> None:
            if self._child is child and child.poll() is None:
                child.kill()

        self._loop.call_later(KILL_AFTER, kill)

    def _poll(self) -> None:
        child = self._child
        if child is not None and child.poll() is not None:
            self._child, self._ready_told = None, False
            self._feed(ProcessExited())
        elif child is not None and not self._ready_told:
            with suppress(OSError):
                output = self._output.read_bytes()
                if self._ready_text in output:
                    self._ready_told = True
                    said = ADDRESS.search(output)
                    self._feed(ProcessReady(self._incarnation, said[1].decode() if said is not None else ""))
        if self.steward.deadline_us is not None and self._loop.now() >= self.steward.deadline_us:
            self._feed(Tick())
        if self._write_again_at is not None and self._loop.now() >= self._write_again_at:
            self._remember()
        if not self.ended:
            self._loop.call_later(POLL_EVERY, self._poll)

    def stop(self) -> None:
        """Ends the process with it; waits until it is gone."""
        self.ended = True
        for task in self._tasks:
            task.cancel()
        child = self._child
        if child is not None:
            self._end()
            while child.poll() is None:
                self._loop.sleep(POLL_EVERY)
