"""The library: calls in, effects out, around the Router. No I/O, no clock, no global state.

    gateway = Gateway(settings, catalogue, seed)
    effects = gateway.handle(now, input)

The same inputs at the same times give the same effects; who carries them out is the caller's matter.
"""

from walnutpost.gateway.catalogue import Catalogue, Function, UnknownName
from walnutpost.gateway.core import Gateway
from walnutpost.gateway.executions import Admission, Execution, Status, Unsure, admit, conclude, resume
from walnutpost.gateway.messages import (
    Abandon,
    Answered,
    Arm,
    AskList,
    AttemptDone,
    CallArrived,
    CallerLeft,
    CallStopped,
    CloseIdle,
    Discard,
    Due,
    Effect,
    Failed,
    Failure,
    Final,
    HoldDone,
    Input,
    Note,
    Order,
    Ping,
    PingDone,
    Refused,
    Served,
    ShuttingDown,
    Start,
    WorkersTold,
    WorkerTold,
)

__all__ = [
    "Abandon",
    "Admission",
    "Answered",
    "Arm",
    "AskList",
    "AttemptDone",
    "CallArrived",
    "CallStopped",
    "CallerLeft",
    "Catalogue",
    "CloseIdle",
    "Discard",
    "Due",
    "Effect",
    "Execution",
    "Failed",
    "Failure",
    "Final",
    "Function",
    "Gateway",
    "HoldDone",
    "Input",
    "Note",
    "Order",
    "Ping",
    "PingDone",
    "Refused",
    "Served",
    "ShuttingDown",
    "Start",
    "Status",
    "UnknownName",
    "Unsure",
    "WorkerTold",
    "WorkersTold",
    "admit",
    "conclude",
    "resume",
]
