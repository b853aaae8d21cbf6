"""Operations of the invoke API, as parsed from requests."""

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

    `client_deadline_us` is how long the caller waits, or None if it does not say. `idempotency_key` is the
    invocation id of an SDK, which all attempts share, or empty if not given. `is_retry` is true if the
    request is not the first attempt.
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
    """Describe a durable execution, with its payload and result if `includes_data` is true."""

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
