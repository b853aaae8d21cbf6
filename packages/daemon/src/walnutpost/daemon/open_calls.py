"""The deferred calls of this process that are not finished, indexed by id, name and caller."""

from __future__ import annotations

from collections.abc import Iterator

from walnutpost.eventloop import Event, Loop
from walnutpost.gateway import Execution, Function, NotStored, Rejected, Status
from walnutpost.journal import QuorumFailed, QuorumReached


class OpenCall:
    """An execution without a durable final status."""

    __slots__ = ("accepted_as", "caller_id", "execution", "function", "rejection", "replication", "settled")

    def __init__(self, loop: Loop, execution: Execution, function: Function | None) -> None:
        """Open a call; `function` is None if it was removed before this process started."""
        self.execution = execution
        self.function = function
        self.accepted_as = execution  # what clients see while its final status could be lost with the site
        self.replication: QuorumReached | QuorumFailed | None = None  # None without a journal
        self.caller_id = 0
        self.settled = Event(loop)  # set once it is durable, or could not be stored
        self.rejection: Rejected | NotStored | None = None

    @property
    def has_quorum(self) -> bool:
        """Whether the call has the replicas that its class requires; always without a journal."""
        return not isinstance(self.replication, QuorumFailed)


class OpenCalls:
    """Index of the open calls. An id, or a name within a function, belongs to one call at most."""

    def __init__(self) -> None:
        self._by_name: dict[tuple[str, str], OpenCall] = {}
        self._by_id: dict[str, OpenCall] = {}
        self._by_caller: dict[int, OpenCall] = {}

    def __len__(self) -> int:
        """Return the number of open calls."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[OpenCall]:
        """Iterate over all open calls."""
        return iter(self._by_id.values())

    def add(self, call: OpenCall) -> None:
        """Add a call under its id and name."""
        self._by_name[call.execution.function, call.execution.name] = call
        self._by_id[call.execution.id] = call

    def remove(self, call: OpenCall) -> None:
        """Free the call's id and name."""
        self._by_name.pop((call.execution.function, call.execution.name), None)
        self._by_id.pop(call.execution.id, None)

    def by_id(self, execution_id: str) -> OpenCall | None:
        """Return the call with an execution id."""
        return self._by_id.get(execution_id)

    def by_name(self, function: str, name: str) -> OpenCall | None:
        """Return the call with a name within its function."""
        return self._by_name.get((function, name))

    def by_caller(self, caller_id: int) -> OpenCall | None:
        """Return the call that the gateway knows by a caller."""
        return self._by_caller.get(caller_id)

    def set_caller(self, call: OpenCall, caller_id: int) -> None:
        """Index a call by the caller of its dispatch."""
        call.caller_id = caller_id
        self._by_caller[caller_id] = call

    def clear_caller(self, call: OpenCall) -> None:
        """Forget the caller of a dispatch that has ended."""
        self._by_caller.pop(call.caller_id, None)

    @property
    def running(self) -> int:
        """The number of calls without a final status."""
        return sum(call.execution.status is Status.RUNNING for call in self)
