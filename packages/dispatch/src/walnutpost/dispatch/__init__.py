"""Feeds the gateway's state machine and carries out its effects on one loop. Makes no decisions.

`Dispatcher` is what front ends and nodes use; `interfaces` has the interfaces that it needs, `effects`
carries out each effect, `answers` counts and logs final answers.
"""

from walnutpost.dispatch.answers import AnswerCounts, AnswerKind
from walnutpost.dispatch.dispatcher import Dispatcher
from walnutpost.dispatch.interfaces import (
    AnswerCounter,
    CallObserver,
    DispatchHooks,
    ExecutionIntents,
    WorkerTransport,
)

__all__ = [
    "AnswerCounter",
    "AnswerCounts",
    "AnswerKind",
    "CallObserver",
    "DispatchHooks",
    "Dispatcher",
    "ExecutionIntents",
    "WorkerTransport",
]
