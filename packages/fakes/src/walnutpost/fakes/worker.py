"""A stand-in worker on a socket: the worker protocol around a WorkerModel, and faults on command."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from ssl import SSLContext
from typing import Any, Protocol
from urllib.parse import parse_qs, unquote

import msgspec

from walnutpost.eventloop import Event, Loop, Tap
from walnutpost.eventloop.timers import Timer
from walnutpost.fakes.model import Answer, Faults, Fetch, Held, Lived, Ran, Reaction, WorkerModel
from walnutpost.fakes.store import PackageStore
from walnutpost.http import BadMessage, Exchange, Response, Server, encode_response
from walnutpost.http.server import serve_on
from walnutpost.metering import Report
from walnutpost.workerclient import codec, orca

LEAVE_STEP = 20_000
GARBAGE = b"\x00\x01\x02 this is no HTTP \xff\xfe\r\n\r\n"


class Recorder(Tap, Protocol):
    def ran(self, call_id: str, run: int) -> None: ...

    def started(self, cold: bool) -> None: ...

    def lived(self, event: Lived) -> None: ...


@dataclass(slots=True)
class _Waiting:
    event: Event
    exchange: Exchange
    function: str = ""
    call_id: str = ""
    reaction: Answer | Held | None = None
    cut: bool = False  # the connection was reset on command while the call ran


class WorkerServer:
    """`runs` is its own record of every execution: call id, function and run number, in order."""

    def __init__(
        self,
        loop: Loop,
        model: WorkerModel,
        store: PackageStore,
        address: tuple[str, int],
        tap: Recorder | None = None,
        context: SSLContext | None = None,
    ) -> None:
        self._loop = loop
        self.model = model
        self._store = store
        self._tap = tap
        self._refs = 0
        self._waiting: dict[int, _Waiting] = {}
        self._timer: Timer | None = None
        self.runs: list[tuple[str, str, int]] = []
        self.loads: list[str] = []
        self.books = True  # whether it tells of its book
        self.lies: Callable[[Report], Report] | None = None
        self._told = 0
        self._life = 0
        self._stalled = Event(loop)
        self.server: Server = serve_on(
            loop, address, self._handle, _refusal, tap=tap, role="worker", context=context
        )

    @property
    def address(self) -> tuple[str, int]:
        return self.server.address

    # Commands

    def command(self, told: dict[str, Any]) -> None:
        """Keys are the fields of Faults, and `restart`, `drain`, `books` (whether it reports usage),
        `void` (a list of functions, or null: all)."""
        now = self._loop.now()
        for key, value in told.items():
            if key == "restart":
                self.restart()
            elif key == "drain":
                self.model.draining = bool(value)
            elif key == "void":
                names = set(value) if value is not None else set(self.model._functions)
                self._react(self.model.void(now, names))
            elif key == "books":
                self.books = bool(value)
            elif key in Faults.__dataclass_fields__:
                setattr(self.model.faults, key, value)
                if key == "silent" and not value:
                    stalled, self._stalled = self._stalled, Event(self._loop)
                    stalled.set()
            else:
                raise ValueError(f"no command {key!r}")
        self._arm()

    def restart(self) -> None:
        """As a killed process does: connections break, all copies are lost, and it is cold."""
        self._life += 1
        waiting, self._waiting = self._waiting, {}
        for entry in waiting.values():
            entry.cut = True
            entry.event.set()
        for stream in list(self.server.streams):
            stream.reset()
        self.model.restart(self._loop.now())
        stalled, self._stalled = self._stalled, Event(self._loop)
        stalled.set()
        if self._tap is not None:
            self._tap.started(True)

    # Requests

    def _handle(self, exchange: Exchange) -> Response | None:
        request = exchange.request
        path = unquote(request.target.decode("latin-1").partition("?")[0])
        if path == "/control":
            return self._control(request.body)
        if path == "/record":
            body = {"runs": self.runs, "loads": self.loads}
            return Response(200, body=json.dumps(body).encode())
        life = self._life
        self._stall(life)
        response = self._answer(exchange, path) if life == self._life else None
        self._stall(life)
        return response if life == self._life else None  # else it was lost in a restart

    def _stall(self, life: int) -> None:
        """A silent or fallen worker takes connections and says nothing, nor does it for what it has run."""
        while (self.model.faults.silent or self.model.fallen) and life == self._life:
            self._stalled.wait()

    def _answer(self, exchange: Exchange, path: str) -> Response | None:
        parts = path.strip("/").split("/")
        match parts:
            case ["2015-03-31", "functions", name, "invocations"]:
                return self._call(exchange, name)
            case ["v2", "repository", "models", name, "load"]:
                return self._hold(exchange, name)
            case ["v2", "repository", "models", name, "unload"]:
                self._react(self.model.unload(self._loop.now(), name))
                return Response(200, self._report())
            case ["v2", "usage"] if self.books:
                return self._usage(exchange.request.target.decode("latin-1"))
            case ["v2", "health", "ready"]:
                return Response(200 if not self.model.draining else 503, self._report())
        return Response(404, {codec.ERROR_TYPE: "UnknownOperationException"})

    def _usage(self, target: str) -> Response:
        asked = parse_qs(target.partition("?")[2])
        model, now = self.model, self._loop.now()
        self._react(model.due(now))
        after, started = (int(asked.get(name, ["0"])[0]) for name in ("after", "started"))
        report = model.book.report(now, after, started, model.draining)
        if self.lies is not None:
            report = self.lies(report)
        return Response(200, {"content-type": "application/json"}, msgspec.json.encode(report))

    def _control(self, body: bytes) -> Response:
        try:
            told = json.loads(body)
            self.command(told)
        except (ValueError, AttributeError, TypeError) as error:
            return Response(400, body=str(error).encode())
        return Response(200)

    def _report(self, **more: float) -> dict[str, str]:
        name, value = orca.write({**self.model.report(), **more}, self.model.faults.report_form)
        return {name: value}

    def _call(self, exchange: Exchange, function: str) -> Response | None:
        faults, stream = self.model.faults, exchange.stream
        if faults.take("reset_before"):
            stream.reset()
            return None
        call_id = exchange.request.headers.get(codec.CALL_ID, "")
        entry = self._enter(exchange, function, call_id)
        ref = self._refs
        if faults.take("reset_while"):
            entry.cut = True
        tenant = exchange.request.headers.get(codec.TENANT, "")
        self._react(self.model.call(self._loop.now(), ref, function, tenant))
        answer = self._await(ref, entry)
        if not isinstance(answer, Answer) or entry.cut:
            if not stream.closed:
                stream.reset()
            return None
        headers = self._report(warmth=float(answer.warmth), crowd=float(answer.crowd))
        headers["content-type"] = "application/json"
        if answer.kind == "ok":
            body = b'{"function": %s, "payload": %s, "worker": %s, "run": %d}' % (
                json.dumps(function).encode(),
                exchange.request.body or b"null",
                json.dumps(self.model.spec.name).encode(),
                answer.run,
            )
            return self._misspeak(exchange, Response(200, headers, body))
        status, kind = {
            "miss": (404, codec.MISS_TYPE),
            "load_failed": (404, codec.LOAD_FAILED_TYPE),
            "full": (503, codec.FULL_TYPES[0]),
        }.get(answer.kind, (500, "ServiceException"))
        return Response(status, {**headers, codec.ERROR_TYPE: kind}, b"{}")

    def _misspeak(self, exchange: Exchange, response: Response) -> Response | None:
        faults, stream = self.model.faults, exchange.stream
        if faults.take("reset_after"):
            stream.reset()
        elif faults.take("half_answer"):
            data = encode_response(response)
            stream.send_all(data[: len(data) // 2])
        elif faults.take("garbage"):
            stream.send_all(GARBAGE)
        else:
            return response
        return None

    def _hold(self, exchange: Exchange, function: str) -> Response | None:
        try:
            copies = int(json.loads(exchange.request.body or b"{}")["parameters"]["copies"])
        except (ValueError, KeyError, TypeError):
            return Response(400, {codec.ERROR_TYPE: "InvalidParameterValueException"})
        entry = self._enter(exchange, function, "")
        ref = self._refs
        self._react(self.model.hold(self._loop.now(), ref, function, copies))
        held = self._await(ref, entry)
        if not isinstance(held, Held):
            return None
        status = {"ok": 200, "full": 503}.get(held.kind, 500)
        return Response(status, self._report(), json.dumps({"copies": held.copies}).encode())

    def _enter(self, exchange: Exchange, function: str, call_id: str) -> _Waiting:
        self._refs += 1
        entry = self._waiting[self._refs] = _Waiting(Event(self._loop), exchange, function, call_id)
        return entry

    def _await(self, ref: int, entry: _Waiting) -> Answer | Held | None:
        stream = entry.exchange.stream

        def gone() -> None:
            if stream.ended() and self._waiting.pop(ref, None) is not None:
                self._react(self.model.dropped(self._loop.now(), ref))
                entry.event.set()

        if not entry.event.is_set:
            stream.on_readable(gone)
            try:
                entry.event.wait()
            finally:
                stream.on_readable(None)
        self._waiting.pop(ref, None)
        return entry.reaction

    # The model

    def _react(self, reactions: list[Reaction]) -> None:
        for reaction in reactions:
            match reaction:
                case Ran(ref, run):
                    entry = self._waiting.get(ref)
                    call_id, function = (entry.call_id, entry.function) if entry is not None else ("", "")
                    self.runs.append((call_id, function, run))
                    if self._tap is not None:
                        self._tap.ran(call_id, run)
                    if entry is not None and entry.cut:
                        entry.event.set()
                case Answer() | Held():
                    entry = self._waiting.pop(reaction.ref, None)
                    if entry is not None:
                        entry.reaction = reaction
                        entry.event.set()
                case Fetch():
                    self.loads.append(reaction.function)
                    self._loop.spawn(self._fetch, reaction, self._life, name="fetch")
        if self._tap is not None:
            for event in self.model.lived[self._told :]:
                self._tap.lived(event)
            self._told = len(self.model.lived)
        self._arm()

    def _fetch(self, fetch: Fetch, life: int) -> None:
        came = self._store.fetch(fetch.function, fetch.usual)
        if life == self._life:
            self._react(self.model.fetched(self._loop.now(), fetch.load, came))

    def _arm(self) -> None:
        due = self.model.next_due()
        if self._timer is not None:
            if self._timer.when == due and self._timer.callback is not None:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(due, self._due) if due is not None else None

    def _due(self) -> None:
        self._react(self.model.due(self._loop.now()))

    def stop(self) -> None:
        self.server.stop_accepting()

    def leave(self, within: int) -> None:
        """Refuses what is new as never run, and waits for what has come before."""
        self.model.draining = True
        until = self._loop.now() + within
        while self._waiting and self._loop.now() < until:
            self._loop.sleep(LEAVE_STEP)
        self.stop()


def _refusal(error: BadMessage) -> Response:
    return Response(error.status, {codec.ERROR_TYPE: "InvalidRequestContentException"}, str(error).encode())
