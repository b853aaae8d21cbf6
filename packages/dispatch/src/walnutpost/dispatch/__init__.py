"""Runs a Gateway on an event loop: feeds it inputs and carries out its effects. Makes no decisions.

Front ends and nodes use `Dispatcher`. `interfaces` has the interfaces that it depends on, `effects` carries
out the effects, and `answers` counts and logs final answers.
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
