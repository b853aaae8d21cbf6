"""A deterministic state machine that dispatches calls of functions to workers.

    gateway = Gateway(settings, catalogue, seed)
    effects = gateway.handle(now, input)

The embedder feeds inputs and carries out the effects that it gets back. The library does no I/O, reads no
clock and has no global state: the same inputs at the same times give the same effects. The Router of
`walnutpost.policy` makes the routing decisions.
"""

from walnutpost.gateway.call_request import CallRequest
from walnutpost.gateway.catalogue import Catalogue, Function, UnknownNameError
from walnutpost.gateway.core import Gateway
from walnutpost.gateway.effects import (
    AnswerCaller,
    Cancel,
    CloseIdleConnections,
    Effect,
    LoadOrder,
    Log,
    Probe,
    Send,
    SetTimer,
    Unload,
)
from walnutpost.gateway.executions import (
    Admission,
    Execution,
    ExecutionStatus,
    NotStored,
    ReplicationPending,
    admission_of,
    recovery_time_left_us,
    with_final_status,
)
from walnutpost.gateway.inputs import (
    AttemptEnded,
    CallArrived,
    CallerLeft,
    CallStopped,
    Input,
    ListedWorker,
    LoadOrderEnded,
    ProbeEnded,
    WorkersListed,
)
from walnutpost.gateway.messages import Failed, Failure, FinalAnswer, Rejected, Served
from walnutpost.interface import ShuttingDown, TimerDue

__all__ = [
    "Admission",
    "AnswerCaller",
    "AttemptEnded",
    "CallArrived",
    "CallRequest",
    "CallStopped",
    "CallerLeft",
    "Cancel",
    "Catalogue",
    "CloseIdleConnections",
    "Effect",
    "Execution",
    "ExecutionStatus",
    "Failed",
    "Failure",
    "FinalAnswer",
    "Function",
    "Gateway",
    "Input",
    "ListedWorker",
    "LoadOrder",
    "LoadOrderEnded",
    "Log",
    "NotStored",
    "Probe",
    "ProbeEnded",
    "Rejected",
    "ReplicationPending",
    "Send",
    "Served",
    "SetTimer",
    "ShuttingDown",
    "TimerDue",
    "UnknownNameError",
    "Unload",
    "WorkersListed",
    "admission_of",
    "recovery_time_left_us",
    "with_final_status",
]
