"""Translation between the Gateway's messages, which have names, and the Router's, which have numbers."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from walnutpost import interface as api
from walnutpost.gateway.catalogue import FUNCTION_BITS, WORKER_BITS, NumberedNames
from walnutpost.gateway.effects import (
    Cancel,
    CloseIdleConnections,
    Effect,
    LoadOrder,
    Log,
    Probe,
    SetTimer,
    Unload,
)
from walnutpost.gateway.inputs import ListedWorker, LoadOrderEnded, ProbeEnded, WorkersListed


class RouterTranslator:
    """Translates the Gateway's inputs into the Router's events, and the Router's actions into effects.

    The names in `functions` keep their numbers permanently; other names may be removed by `retain`.
    """

    def __init__(self, functions: Iterable[str]) -> None:
        self.functions = NumberedNames(FUNCTION_BITS, functions)
        self.workers = NumberedNames(WORKER_BITS)

    @property
    def function_count(self) -> int:
        """The number of functions whose names are kept."""
        return len(self.functions)

    @property
    def needs_cleanup(self) -> bool:
        """Whether so many names were added that the caller should remove unused ones with `retain`."""
        return self.functions.needs_cleanup or self.workers.needs_cleanup

    def retain(self, functions: Collection[int], workers: Collection[int]) -> None:
        """Remove all names but those with these numbers, so that memory use stays bounded."""
        self.functions.retain(functions)
        self.workers.retain(workers)

    def load_order_event(self, event: LoadOrderEnded) -> api.LoadOrderEnded:
        """Return the Router's event for the end of a load order."""
        return api.LoadOrderEnded(
            worker=self.workers.number(event.worker),
            function=self.functions.number(event.function),
            outcome=event.outcome,
            latency_us=event.latency_us,
            copies=event.copies,
            ordered_copies=event.ordered_copies,
        )

    def probe_event(self, event: ProbeEnded) -> api.ProbeEnded:
        """Return the Router's event for the end of a probe."""
        return api.ProbeEnded(
            worker=self.workers.number(event.worker),
            outcome=event.outcome,
            latency_us=event.latency_us,
            report=event.report,
        )

    def endpoints_event(self, event: WorkersListed) -> api.WorkersListed:
        """Return the Router's event for an update of the endpoint list."""
        return api.WorkersListed(event.kind, event.version, tuple(map(self._listed_worker, event.workers)))

    def _listed_worker(self, listed: ListedWorker) -> api.Worker:
        return api.Worker(
            id=self.workers.number(listed.name),
            zone=listed.zone,
            kind=listed.kind,
            cell=listed.cell,
            state=listed.state,
            weight=listed.weight,
            started_at_us=listed.started_at_us,
        )

    def effect_of(self, action: api.Action) -> Effect:
        """Return the effect for an action that needs no state of a call; raise TypeError for any other."""
        match action:
            case api.Cancel(request, attempt):
                return Cancel(request, attempt)
            case api.SetTimer(delay_us, token):
                return SetTimer(delay_us, token)
            case api.Log(text):
                return Log(text)
            case _:
                return self._worker_effect(action)

    def _worker_effect(self, action: api.Action) -> Effect:
        match action:
            case api.LoadOrder(worker, function, copies, begin_within_us):
                name = self.functions.name(function)
                return LoadOrder(self.workers.name(worker), name, copies, begin_within_us)
            case api.Unload(worker, function):
                return Unload(self.workers.name(worker), self.functions.name(function))
            case api.Probe(worker):
                return Probe(self.workers.name(worker))
            case api.CloseIdleConnections(worker):
                return CloseIdleConnections(self.workers.name(worker))
            case _:
                raise TypeError(f"no effect for {action!r}")
