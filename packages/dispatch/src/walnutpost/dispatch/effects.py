"""Carries out the effects of the Gateway."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import assert_never

from walnutpost.dispatch.interfaces import DispatchHooks, WorkerTransport
from walnutpost.eventloop import Logger, Loop
from walnutpost.gateway import (
    AnswerCaller,
    Cancel,
    CloseIdleConnections,
    Effect,
    Input,
    LoadOrder,
    LoadOrderEnded,
    Log,
    Probe,
    Send,
    SetTimer,
    TimerDue,
    Unload,
)
from walnutpost.interface import Outcome


class EffectRunner:
    """Carries out effects and passes their results to `feed` as inputs of the Gateway.

    `on_answered` gets the effects that give a caller its final answer.
    """

    def __init__(
        self,
        loop: Loop,
        transport: WorkerTransport,
        hooks: DispatchHooks,
        log: Logger,
        feed: Callable[[Input], None],
        on_answered: Callable[[AnswerCaller], None],
    ) -> None:
        self._loop = loop
        self._transport = transport
        self._log = log
        self._feed = feed
        self._hooks = hooks
        self._on_answered = on_answered

    def run(self, effect: Effect) -> None:
        """Carry out one effect."""
        match effect:
            case AnswerCaller():
                self._on_answered(effect)
            case Send():
                self._send(effect)
            case Cancel(call, attempt):
                self._transport.cancel(call, attempt)
            case LoadOrder():
                self._send_load_order(effect)
            case Unload():
                self._transport.unload(effect)
            case Probe():
                self._transport.probe(effect, self._feed)
            case CloseIdleConnections(worker):
                self._transport.close_idle_connections(worker)
            case SetTimer(delay_us, token):
                self._loop.call_later(delay_us, partial(self._feed, TimerDue(token)))
            case Log(text):
                self._log.warning("worker_set_aside", text=text)  # the policy logs nothing else
            case _:
                assert_never(effect)

    def _send(self, effect: Send) -> None:
        if self._hooks.observer is not None:
            self._hooks.observer.on_sent(self._loop.now(), effect)
        intents = self._hooks.intents
        if intents is None:
            self._transport.send(effect, self._feed)
            return
        before_send = partial(intents.record_intent, effect) if effect.must_persist_intent else None
        self._transport.send(effect, self._feed, before_send, intents.execution_name(effect.caller_id))

    def _send_load_order(self, effect: LoadOrder) -> None:
        if self._hooks.observer is None or self._hooks.observer.may_order_load(self._loop.now(), effect):
            self._transport.order_load(effect, self._feed)
            return
        # Report the order as if the worker had rejected it for lack of capacity.
        rejected = LoadOrderEnded(effect.worker, effect.function, Outcome.FULL, 0, 0, effect.copies)
        self._loop.call_later(0, partial(self._feed, rejected))
