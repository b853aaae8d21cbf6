"""The input and output types of the policy: settings, events and actions.

This package contains only types; the policy package makes every decision. Fields whose names end in `_us` are
times or durations in whole microseconds.
"""

from walnutpost.interface.actions import (
    Action,
    Cancel,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LoadOrder,
    Log,
    Probe,
    Reject,
    Send,
    SetTimer,
    Unload,
    WatchEndpoints,
)
from walnutpost.interface.events import (
    AnswerStarted,
    AttemptEnded,
    Event,
    LoadOrderEnded,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    RequestCancelled,
    ShuttingDown,
    TimerDue,
    Worker,
    WorkersListed,
)
from walnutpost.interface.settings import Guards, Limits, Prices, RequestClass, Settings, Tenant
from walnutpost.interface.vocabulary import DedupScope, Effect, ListKind, Outcome, Warmth, WorkerState

__all__ = [
    "Action",
    "AnswerStarted",
    "AttemptEnded",
    "Cancel",
    "CloseIdleConnections",
    "DedupScope",
    "Effect",
    "Event",
    "Fail",
    "FetchEndpoints",
    "Guards",
    "Limits",
    "ListKind",
    "LoadOrder",
    "LoadOrderEnded",
    "Log",
    "Outcome",
    "PeerMessage",
    "Prices",
    "Probe",
    "ProbeEnded",
    "Reject",
    "RequestArrived",
    "RequestCancelled",
    "RequestClass",
    "Send",
    "SetTimer",
    "Settings",
    "ShuttingDown",
    "Tenant",
    "TimerDue",
    "Unload",
    "Warmth",
    "WatchEndpoints",
    "Worker",
    "WorkerState",
    "WorkersListed",
]
