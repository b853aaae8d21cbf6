"""Feeds the gateway's state machine and carries out its effects on one loop. Adds no decision of its own.

`Dispatcher` is what front ends and nodes use; `interfaces` has what it asks of others, `effects` hands each
effect to the one that carries it out, `answers` counts and logs final answers.
"""

from walnutpost.dispatch.answers import AnswerCounts, AnswerKind
from walnutpost.dispatch.dispatcher import Dispatcher
from walnutpost.dispatch.interfaces import CallObserver, WorkerTransport

__all__ = ["AnswerCounts", "AnswerKind", "CallObserver", "Dispatcher", "WorkerTransport"]
