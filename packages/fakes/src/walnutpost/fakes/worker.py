"""A fake worker on a socket: the worker protocol around a WorkerModel, and faults on command."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import fields
from ssl import SSLContext
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec

from walnutpost.eventloop import Event, Loop
from walnutpost.fakes.errors import UnknownCommandError
from walnutpost.fakes.faults import Faults
from walnutpost.fakes.model import WorkerModel
from walnutpost.fakes.model_runner import ModelRunner, WorkerObserver
from walnutpost.fakes.reactions import CallEnded, CallOutcome, LoadOrderEnded, LoadOrderOutcome
from walnutpost.fakes.store import PackageStore
from walnutpost.http import Exchange, HttpMessageError, Response, Server, encode_response
from walnutpost.http.server import start_server
from walnutpost.metering import UsageReport
from walnutpost.workerclient import codec, orca

DRAIN_CHECK_INTERVAL_US = 20_000
GARBAGE = b"\x00\x01\x02 this is no HTTP \xff\xfe\r\n\r\n"
FAULT_COMMANDS = tuple(field.name for field in fields(Faults))
COMMANDS = ("restart", "drain", "void", "books", *FAULT_COMMANDS)
CALL_ERRORS = {
    CallOutcome.MISS: (404, codec.MISS_ERROR_TYPE),
    CallOutcome.LOAD_FAILED: (404, codec.LOAD_FAILED_ERROR_TYPE),
    CallOutcome.FULL: (503, codec.FULL_ERROR_TYPES[0]),
    CallOutcome.ERROR: (500, "ServiceException"),
}
ORDER_STATUS = {LoadOrderOutcome.OK: 200, LoadOrderOutcome.FULL: 503, LoadOrderOutcome.ERROR: 500}


class WorkerServer:
    """A worker that front ends can call, and `POST /control` commands.

    `reports_usage` is whether it answers for its book; `alter_usage_report` makes another report of a true
    one, to be sent in its place.
    """

    def __init__(
        self,
        loop: Loop,
        model: WorkerModel,
        store: PackageStore,
        address: tuple[str, int],
        traffic_observer: WorkerObserver | None = None,
        context: SSLContext | None = None,
    ) -> None:
        """Listen at the address, with TLS if there is a `context`; raises OSError."""
        self.model = model
        self.reports_usage = True
        self.alter_usage_report: Callable[[UsageReport], UsageReport] | None = None
        self._loop = loop
        self._traffic_observer = traffic_observer
        self._runner = ModelRunner(loop, model, store, traffic_observer)
        self._responsive_again = Event(loop)
        self.server: Server = start_server(
            loop,
            address,
            self._handle,
            _bad_request,
            traffic_observer=traffic_observer,
            role="worker",
            context=context,
        )

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.server.address

    @property
    def runs(self) -> list[tuple[str, str, int]]:
        """Its own record of every execution: call id, function and run number, in order."""
        return self._runner.runs

    @property
    def loads(self) -> list[str]:
        """The function of each load, in order."""
        return self._runner.loads

    # Commands

    def command(self, commands: dict[str, Any]) -> None:
        """Carry out commands by name, as `POST /control` does; raises UnknownCommandError.

        The names are the fields of Faults, and `restart`, `drain`, `books` (whether it reports usage) and
        `void` (a list of functions that are released anew, or null: all).
        """
        for name, value in commands.items():
            match name:
                case "restart":
                    self.restart()
                case "drain":
                    self.model.is_draining = bool(value)
                case "void":
                    names = set(value) if value is not None else self.model.function_names
                    self._runner.react(self.model.invalidate(self._loop.now(), names))
                case "books":
                    self.reports_usage = bool(value)
                case _:
                    self._set_fault(name, value)
        self._runner.set_timer()

    def _set_fault(self, name: str, value: Any) -> None:
        if name not in FAULT_COMMANDS:
            raise UnknownCommandError(name, COMMANDS)
        setattr(self.model.faults, name, value)
        if name == "silent" and not value:
            self._wake_stalled()

    def restart(self) -> None:
        """Restart as a killed process does: connections break, all copies are lost, and it is cold."""
        self._runner.begin_restart()
        for stream in list(self.server.streams):
            stream.reset()
        self.model.restart(self._loop.now())
        self._wake_stalled()
        if self._traffic_observer is not None:
            self._traffic_observer.on_worker_started(True)

    def stop(self) -> None:
        """Accept no more connections."""
        self.server.stop_accepting()

    def drain(self, within_us: int) -> None:
        """Reject new calls as never run, wait for those that came before, and stop."""
        self.model.is_draining = True
        deadline_us = self._loop.now() + within_us
        while self._runner.has_pending and self._loop.now() < deadline_us:
            self._loop.sleep(DRAIN_CHECK_INTERVAL_US)
        self.stop()

    # Requests

    def _handle(self, exchange: Exchange) -> Response | None:
        request = exchange.request
        path = unquote(request.target.decode("latin-1").partition("?")[0])
        if path == "/control":
            return self._control(request.body)
        if path == "/record":
            body = {"runs": self.runs, "loads": self.loads}
            return Response(200, body=json.dumps(body).encode())
        incarnation = self._runner.incarnation
        self._stall(incarnation)
        response = self._route(exchange, path) if incarnation == self._runner.incarnation else None
        self._stall(incarnation)
        return response if incarnation == self._runner.incarnation else None  # else a restart has lost it

    def _stall(self, incarnation: int) -> None:
        """Wait while the worker is silent or has collapsed: it answers nothing, not even what it has run."""
        while self._is_unresponsive and incarnation == self._runner.incarnation:
            self._responsive_again.wait()

    @property
    def _is_unresponsive(self) -> bool:
        return self.model.faults.silent or self.model.has_collapsed

    def _wake_stalled(self) -> None:
        event = self._responsive_again
        self._responsive_again = Event(self._loop)
        event.set()

    def _route(self, exchange: Exchange, path: str) -> Response | None:
        parts = path.strip("/").split("/")
        match parts:
            case ["2015-03-31", "functions", name, "invocations"]:
                return self._call(exchange, name)
            case ["v2", "repository", "models", name, "load"]:
                return self._order_load(exchange, name)
            case ["v2", "repository", "models", name, "unload"]:
                self._runner.react(self.model.unload(self._loop.now(), name))
                return Response(200, self._load_report())
            case ["v2", "usage"] if self.reports_usage:
                return self._usage(exchange.request.target.decode("latin-1"))
            case ["v2", "health", "ready"]:
                return Response(503 if self.model.is_draining else 200, self._load_report())
        return Response(404, {codec.ERROR_TYPE_HEADER: "UnknownOperationException"})

    def _control(self, body: bytes) -> Response:
        try:
            self.command(json.loads(body))
        except (ValueError, AttributeError, TypeError) as error:
            return Response(400, body=str(error).encode())
        return Response(200)

    def _usage(self, target: str) -> Response:
        query = parse_qs(target.partition("?")[2])
        now_us = self._loop.now()
        self._runner.react(self.model.advance(now_us))
        after, started = (int(query.get(name, ["0"])[0]) for name in ("after", "started"))
        report = self.model.usage.build_report(now_us, after, started, self.model.is_draining)
        if self.alter_usage_report is not None:
            report = self.alter_usage_report(report)
        return Response(200, {"content-type": "application/json"}, msgspec.json.encode(report))

    def _load_report(self, **more: float) -> dict[str, str]:
        name, value = orca.encode_report({**self.model.report(), **more}, self.model.faults.report_form)
        return {name: value}

    def _call(self, exchange: Exchange, function: str) -> Response | None:
        stream = exchange.stream
        headers = exchange.request.headers
        if self.model.faults.consume("reset_before"):
            stream.reset()
            return None
        pending = self._runner.open_request(exchange, function, headers.get(codec.CALL_ID_HEADER, ""))
        if self.model.faults.consume("reset_while"):
            pending.is_cut = True
        tenant = headers.get(codec.TENANT_HEADER, "")
        self._runner.react(self.model.call(self._loop.now(), pending.request_id, function, tenant))
        ended = self._runner.wait(pending)
        if isinstance(ended, CallEnded) and not pending.is_cut:
            return self._call_response(exchange, function, ended)
        if not stream.closed:
            stream.reset()
        return None

    def _call_response(self, exchange: Exchange, function: str, ended: CallEnded) -> Response | None:
        headers = self._load_report(warmth=float(ended.warmth), crowd=float(ended.crowd))
        headers["content-type"] = "application/json"
        if ended.outcome is not CallOutcome.OK:
            status, error_type = CALL_ERRORS[ended.outcome]
            return Response(status, {**headers, codec.ERROR_TYPE_HEADER: error_type}, b"{}")
        body = b'{"function": %s, "payload": %s, "worker": %s, "run": %d}' % (
            json.dumps(function).encode(),
            exchange.request.body or b"null",
            json.dumps(self.model.spec.name).encode(),
            ended.run,
        )
        return self._corrupt(exchange, Response(200, headers, body))

    def _corrupt(self, exchange: Exchange, response: Response) -> Response | None:
        """Return the response, or None where a fault has sent something else in its place."""
        faults = self.model.faults
        stream = exchange.stream
        if faults.consume("reset_after"):
            stream.reset()
        elif faults.consume("half_answer"):
            data = encode_response(response)
            stream.send_all(data[: len(data) // 2])
        elif faults.consume("garbage"):
            stream.send_all(GARBAGE)
        else:
            return response
        return None

    def _order_load(self, exchange: Exchange, function: str) -> Response | None:
        try:
            copies = int(json.loads(exchange.request.body or b"{}")["parameters"]["copies"])
        except (ValueError, KeyError, TypeError):
            return Response(400, {codec.ERROR_TYPE_HEADER: "InvalidParameterValueException"})
        pending = self._runner.open_request(exchange, function)
        self._runner.react(self.model.order_load(self._loop.now(), pending.request_id, function, copies))
        ended = self._runner.wait(pending)
        if not isinstance(ended, LoadOrderEnded):
            return None
        body = json.dumps({"copies": ended.copies}).encode()
        return Response(ORDER_STATUS[ended.outcome], self._load_report(), body)


def _bad_request(error: HttpMessageError) -> Response:
    return Response(
        error.status, {codec.ERROR_TYPE_HEADER: "InvalidRequestContentException"}, str(error).encode()
    )
