"""What the fronts need of the core. Every method may wait."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from walnutpost.gateway import Execution, Final, NotStored, Rejected, ReplicationPending
from walnutpost.store import Change, ExecutionQuery


class Unreached(Exception):
    """Whether a call is known can't be told now: sites that may know it don't answer."""


class Calls(Protocol):
    """Synchronous calls."""

    def call(
        self,
        function: str,
        tenant: str | None,
        payload: bytes,
        time_left: int,
        repeat_key: str,
        repeat: bool,
        request_id: str,
        gone: Callable[[Callable[[], None]], Callable[[], None]],
    ) -> Final | None:
        """The final answer, or None if the caller left; `gone` arms a callback for that, returns its end."""


class DeferredCalls(Protocol):
    """Deferred calls, whoever names them: a client or a schedule."""

    def defer(
        self,
        function: str,
        tenant: str | None,
        payload: bytes,
        time_left: int,
        name: str | None,
        request_id: str,
        also: Change | None = None,
    ) -> Execution | ReplicationPending | Rejected | NotStored | None:
        """The execution that stands for the call, on disk; None where the name stands for another
        payload; NotStored where the disk is at fault, not the caller's share. `also` is committed with the
        call, where it is new."""

    def replica_count(self, execution_id: str) -> int | None:
        """At how many other sites the call stands; None where that is not asked for."""

    def status(self, function: str, execution_id: str) -> Execution | None:
        """None where nobody knows it; raises Unreached."""

    def stop(self, function: str, execution_id: str) -> Execution | None: ...

    def stop_named(self, function: str, name: str) -> None: ...

    def list(self, query: ExecutionQuery) -> tuple[list[Execution], bool]:
        """A page, and whether there is more after it."""
