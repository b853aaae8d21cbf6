"""A front end's side of the fleet: it says that it is there and how its calls end, and takes up what the
fleet has agreed on of workers. No call waits for any of it."""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from walnutpost.agent import INCARNATION
from walnutpost.config.base import address_of
from walnutpost.config.model import Agreement
from walnutpost.config.settings import us
from walnutpost.controlplane import KeeperClient, NoAnswer
from walnutpost.controlplane.wire import BadWire, Report, Told
from walnutpost.daemon.lists import Lists
from walnutpost.dispatch import Core
from walnutpost.eventloop import Loop, remove_leftovers, replace_file
from walnutpost.fleet import (
    FRONT_END,
    CallCounts,
    CommandResult,
    EndpointFollower,
    EndpointSnapshot,
    RegisterMember,
)
from walnutpost.gateway import CallArrived, Final, Function, Rejected, Served
from walnutpost.interface import RequestClass


class CountedCore(Core):
    """Counts how calls end, for the judgement of a release. Aims are those of `classes`."""

    figures = CallCounts()
    functions: Mapping[str, Function] = {}
    classes: tuple[RequestClass, ...] = ()

    def arrive(self, call: CallArrived, done: Callable[[Final], None]) -> None:
        function = call.definition or self.functions.get(call.function)
        by = self._loop.now() + (
            self.classes[function.class_index].latency_objective_us if function is not None else 0
        )

        def counted(final: Final) -> None:
            self._count(final, self._loop.now() <= by)
            done(final)

        super().arrive(call, counted)

    def leave(self, ticket: int) -> None:
        """A caller that gives up has got no answer, whose ever fault that is."""
        if ticket in self._waiting:
            self._count(None, False)
        super().leave(ticket)

    def _count(self, final: Final | None, in_aim: bool) -> None:
        served, refused = isinstance(final, Served), isinstance(final, Rejected)
        failed = not served and not refused
        self.figures += CallCounts(int(served), int(refused), int(failed), int(served and in_aim))


class Following:
    """Reports over and over; an answer may bring a newer list. Decisions are `fleet.Follower`'s."""

    def __init__(
        self,
        loop: Loop,
        line: Agreement,
        zone: str,
        core: CountedCore,
        lists: Lists,
        log: Any,
        kept: Path,
    ) -> None:
        """`kept`: the file of the last list it had."""
        self._loop, self._core, self._lists, self._log = loop, core, lists, log
        self._zone, self._every = zone, us(line.report_ms)
        own = os.environ.get(INCARNATION)
        self.follower = EndpointFollower(line.member, own or secrets.token_hex(6), own is not None)
        addresses = {name: address_of(address) for name, address in line.keepers.items()}
        patience = max(self._every, 1_000_000)
        self._client = KeeperClient(loop, addresses, patience, patience // 2)
        self._heard = True
        self._kept = kept
        self._unsaved: bytes | None = None  # the list, while the file is older
        remove_leftovers(kept)

    def catch_up(self) -> None:
        """Before it listens: the agreed list, or where no keeper answers, the last one it had."""
        if self._report() or self.follower.snapshot is not None:
            return
        try:
            sight = msgspec.msgpack.decode(self._kept.read_bytes(), type=EndpointSnapshot)
        except FileNotFoundError:
            return
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning("agreed list", why=f"{self._kept.name} is not used: {error}")
            return
        self._take_up(Told(CommandResult(False, 0), sight=sight))

    def run(self) -> None:
        """Until cancelled."""
        while True:
            if not self._report():
                self._loop.sleep(self._every)
            self._save()

    def _report(self) -> bool:
        """Whether something is to be said at once: who waits for an acknowledgement should not wait long."""
        follower = self.follower
        report = Report(
            follower.member,
            follower.incarnation,
            acts=follower.applied_index,
            figures=self._core.figures.as_tuple,
        )
        try:
            if follower.must_register:
                enter = RegisterMember(follower.member, FRONT_END, self._zone, follower.incarnation, "", True)
                self._client.command(f"enter-{follower.incarnation}-{secrets.token_hex(4)}", enter)
            told = self._client.report(report)
        except (NoAnswer, BadWire) as error:
            if self._heard:
                self._heard = False
                self._log.warning("keepers", why=f"none answers, the list stays as it is: {error}")
            return False
        if not self._heard:
            self._heard = True
            self._log.info("keepers", why="they answer again")
        entered = not follower.must_register
        return self._take_up(told) or (entered and follower.must_register)

    def _take_up(self, told: Told) -> bool:
        follower = self.follower
        known = told.answer is not None and told.answer.ok
        if not follower.receive(self._loop.now(), told.sight, known) or follower.snapshot is None:
            return False
        self._lists.agreed(follower)
        follower.mark_applied()
        leaving = [w.name for w in follower.snapshot.workers if w.is_draining]
        self._log.info("agreed list", index=follower.applied_index, leaving=leaving)
        self._unsaved = msgspec.msgpack.encode(follower.snapshot)
        self._save()
        return True

    def _save(self) -> None:
        """For a start without keepers: one that is lost costs a look at the own list. What can't be written
        is tried again with each report."""
        while (data := self._unsaved) is not None:
            try:
                self._loop.blocking(replace_file, self._kept, data)
            except OSError as error:
                self._log.warning("agreed list", why=f"not kept: {error}")
                return
            if self._unsaved is data:  # else another has come meanwhile
                self._unsaved = None
