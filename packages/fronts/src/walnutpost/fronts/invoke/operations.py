"""Operations of the invoke API: what a request asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from walnutpost.store import ExecutionQuery


class InvocationType(Enum):
    """Values of the header X-Amz-Invocation-Type."""

    REQUEST_RESPONSE = "RequestResponse"
    EVENT = "Event"
    DRY_RUN = "DryRun"


@dataclass(frozen=True, slots=True)
class Invoke:
    """Call a function.

    `client_deadline_us` is how long the caller waits, if it says so; `idempotency_key` is an SDK's invocation
    id, the same at each attempt, empty where not given; `is_retry`: the attempt is not the first.
    """

    function: str
    qualifier: str | None
    invocation_type: InvocationType
    tenant: str | None
    payload: bytes
    execution_name: str | None
    client_deadline_us: int | None
    idempotency_key: str
    is_retry: bool


@dataclass(frozen=True, slots=True)
class GetExecution:
    """Describe a durable execution, with payload and result if `includes_data`."""

    function: str
    execution_id: str
    includes_data: bool


@dataclass(frozen=True, slots=True)
class StopExecution:
    """Stop a durable execution."""

    function: str
    execution_id: str


@dataclass(frozen=True, slots=True)
class ListExecutions:
    """List durable executions of a function."""

    query: ExecutionQuery


Operation = Invoke | GetExecution | StopExecution | ListExecutions
