"""Serves the invoke API: reads a request, asks the core, writes the answer."""

from __future__ import annotations

import uuid
from collections.abc import Callable

from walnutpost.fronts.calls import Calls, DeferredCalls, Unreached
from walnutpost.fronts.invoke import protocol
from walnutpost.fronts.invoke.protocol import (
    GetExecution,
    Invoke,
    Names,
    Problem,
    StopExecution,
    invalid,
    missing,
)
from walnutpost.gateway import (
    Catalogue,
    Execution,
    Function,
    NotStored,
    Rejected,
    ReplicationPending,
    UnknownNameError,
)
from walnutpost.http import Exchange, Response
from walnutpost.interface import RequestClass
from walnutpost.store import ExecutionQuery, StoreError

LATER = 1_000_000  # what a client is told to wait where a disk or other sites must be asked and don't answer


class InvokeFront:
    """A handler for http.Server. Callers are not verified."""

    def __init__(
        self,
        calls: Calls,
        deferred: DeferredCalls,
        catalogue: Catalogue,
        classes: tuple[RequestClass, ...],
        names: Names,
        deferred_most: int,
    ) -> None:
        self._calls = calls
        self._deferred = deferred
        self._catalogue = catalogue
        self._classes = classes
        self._names = names
        self._deferred_most = deferred_most
        # Request ids: shaped as UUIDs are, random for this start, counted within it.
        self._prefix, self._count = str(uuid.uuid4())[:23], 0

    def handle(self, exchange: Exchange) -> Response | None:
        self._count += 1
        request_id = f"{self._prefix}-{self._count:012x}"
        try:
            operation = protocol.read(exchange.request)
            match operation:
                case Invoke():
                    return self._invoke(operation, exchange, request_id)
                case GetExecution(function, ident, with_data):
                    found = self._known(self._deferred.status(function, ident))
                    return protocol.execution_response(found, self._names, with_data, request_id)
                case StopExecution(function, ident):
                    return protocol.stop_response(
                        self._known(self._deferred.stop(function, ident)), request_id
                    )
                case ExecutionQuery():
                    self._function(operation.function, None)
                    rows, more = self._deferred.list(operation)
                    return protocol.list_response(rows, more, self._names, request_id)
        except Unreached as error:
            return protocol.problem(Problem(503, "ServiceException", str(error), LATER), request_id)
        except StoreError as error:  # what is asked about can't be read now; nothing was changed
            return protocol.problem(Problem(500, "ServiceException", str(error), LATER), request_id)
        except Problem as error:
            return protocol.problem(error, request_id)

    @staticmethod
    def _known(execution: Execution | None) -> Execution:
        if execution is None:
            raise missing("no such durable execution here, or its time to be kept is over")
        return execution

    def _function(self, name: str, qualifier: str | None) -> Function:
        try:
            function = self._catalogue.function(name)
        except UnknownNameError:
            raise missing(f"Function not found: {name}") from None
        if qualifier not in (None, "$LATEST", "$LATEST.PUBLISHED", function.version):
            raise missing(f"Function not found: {name}:{qualifier}; its version is {function.version}")
        return function

    def _invoke(self, call: Invoke, exchange: Exchange, request_id: str) -> Response | None:
        function = self._function(call.function, call.qualifier)
        try:
            self._catalogue.tenant_index(call.tenant)
        except UnknownNameError as error:
            raise invalid(f"X-Amz-Tenant-Id: {error}") from None
        usual = self._classes[function.class_index].deadline_us
        if call.kind == "DryRun":
            return Response(204, {"x-amzn-requestid": request_id})
        if call.kind == "Event":
            left = min(call.own_deadline or usual, self._deferred_most)
            # A deferred call that an SDK repeats by itself is the same call, as with a synchronous one.
            name = call.name or (f"sdk-{call.repeat_key}" if _plain(call.repeat_key) else None)
            execution = self._deferred.defer(call.function, call.tenant, call.payload, left, name, request_id)
            if execution is None:
                raise Problem(
                    409,
                    "DurableExecutionAlreadyStartedException",
                    f"an execution named {name} was started with another payload",
                )
            if isinstance(execution, Rejected):
                raise protocol.refused(execution)
            if isinstance(execution, NotStored):
                raise protocol.not_stored(execution)
            if isinstance(execution, ReplicationPending):
                known = execution.execution.name
                raise Problem(
                    500,
                    "ServiceException",
                    f"the call may run, but stands in {execution.replicas} copies only: ask again as {known}",
                )
            arn, copies = self._names.execution_arn(execution), self._deferred.replica_count(execution.id)
            return protocol.accepted(arn, function.version, request_id, copies)
        left = min(call.own_deadline or usual, usual)

        def gone(leave: Callable[[], None]) -> Callable[[], None]:
            def readable() -> None:
                if exchange.stream.ended():
                    leave()

            exchange.stream.on_readable(readable)
            return lambda: exchange.stream.on_readable(None)

        final = self._calls.call(
            call.function, call.tenant, call.payload, left, call.repeat_key, call.repeat, request_id, gone
        )
        if final is None:
            return None
        return protocol.final_response(final, function.version, request_id)


def _plain(key: str) -> bool:
    return bool(key) and protocol.EXECUTION_NAME.fullmatch(f"sdk-{key}") is not None
