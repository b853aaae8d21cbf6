"""Index of the open deferred calls of this process, by execution id, name and caller."""

from __future__ import annotations

from collections.abc import Iterator

from walnutpost.eventloop import Event, Loop
from walnutpost.gateway import (
    Catalogue,
    Execution,
    ExecutionStatus,
    Function,
    NotStored,
    Rejected,
    ReplicationPending,
    UnknownNameError,
)
from walnutpost.journal import QuorumFailed, QuorumReached


class OpenCall:
    """A deferred call whose final status is not durable yet.

    `function` is None if the function was removed from the configuration before this process started.
    """

    __slots__ = (
        "acceptance_done",
        "accepted_as",
        "caller_id",
        "execution",
        "function",
        "rejection",
        "replication",
    )

    def __init__(self, loop: Loop, execution: Execution, function: Function | None) -> None:
        self.execution = execution
        self.function = function
        self.accepted_as = execution  # what clients see until the final status can't be lost with the site
        self.replication: QuorumReached | QuorumFailed | None = None  # None without a journal
        self.caller_id = 0
        self.acceptance_done = Event(loop)  # set once the outcome of the acceptance is known
        self.rejection: Rejected | NotStored | None = None

    @property
    def has_quorum(self) -> bool:
        """Whether the call has the replicas that its class requires; True without a journal."""
        return not isinstance(self.replication, QuorumFailed)

    @property
    def acceptance(self) -> Execution | ReplicationPending:
        """The answer to a client whose call was accepted."""
        if isinstance(self.replication, QuorumFailed):
            return ReplicationPending(self.execution, self.replication.replicas)
        return self.accepted_as


class OpenCalls:
    """Index of the open calls. An execution id, or a name within a function, belongs to at most one call.

    A recovered call was loaded from the store at the start, and is neither dispatched nor finished yet.
    """

    def __init__(self) -> None:
        self._by_name: dict[tuple[str, str], OpenCall] = {}
        self._by_id: dict[str, OpenCall] = {}
        self._by_caller: dict[int, OpenCall] = {}
        self._recovered_by_id: dict[str, OpenCall] = {}

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

    def add_recovered(self, call: OpenCall) -> None:
        """Add a call that was loaded from the store at the start."""
        self.add(call)
        self._recovered_by_id[call.execution.id] = call

    def claim_recovered(self, execution_id: str) -> OpenCall | None:
        """Claim a recovered call in order to dispatch or finish it; return None if it was already claimed."""
        return self._recovered_by_id.pop(execution_id, None)

    @property
    def recovered(self) -> list[OpenCall]:
        """The recovered calls that have not been claimed yet, in the order in which they were added."""
        return list(self._recovered_by_id.values())

    def by_id(self, execution_id: str) -> OpenCall | None:
        """Return the open call with an execution id, or None."""
        return self._by_id.get(execution_id)

    def by_name(self, function: str, name: str) -> OpenCall | None:
        """Return the open call with a name within a function, or None."""
        return self._by_name.get((function, name))

    def by_caller(self, caller_id: int) -> OpenCall | None:
        """Return the open call that was dispatched under a caller id, or None."""
        return self._by_caller.get(caller_id)

    def set_caller(self, call: OpenCall, caller_id: int) -> None:
        """Index a call by the caller id under which it is dispatched."""
        call.caller_id = caller_id
        self._by_caller[caller_id] = call

    def clear_caller(self, call: OpenCall) -> None:
        """Remove the caller id of a dispatch that has ended from the index."""
        self._by_caller.pop(call.caller_id, None)

    @property
    def running(self) -> int:
        """The number of calls without a final status."""
        return sum(call.execution.status is ExecutionStatus.RUNNING for call in self)

    @property
    def pending_writes(self) -> int:
        """The number of calls that have a final status which is not durable yet."""
        return len(self) - self.running


def configured_function(catalogue: Catalogue, name: str) -> Function | None:
    """Return the current configuration of a function, or None if it is not configured."""
    try:
        return catalogue.function(name)
    except UnknownNameError:
        return None
