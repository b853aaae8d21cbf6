"""Serves the invoke API: parses each request, makes the call, and builds the response."""

from __future__ import annotations

import uuid

from walnutpost.fronts.calls import Callback, DeferredCalls, SynchronousCalls
from walnutpost.fronts.errors import SitesUnreachableError
from walnutpost.fronts.invoke.arns import LATEST_QUALIFIERS, ArnFormat, is_execution_name
from walnutpost.fronts.invoke.errors import (
    ApiError,
    already_started,
    invalid_parameter,
    not_found,
    not_stored,
    replication_pending,
    service_error,
    too_many_requests,
)
from walnutpost.fronts.invoke.operations import (
    GetExecution,
    InvocationType,
    Invoke,
    ListExecutions,
    Operation,
    StopExecution,
)
from walnutpost.fronts.invoke.requests import parse_request
from walnutpost.fronts.invoke.responses import (
    build_accepted_response,
    build_dry_run_response,
    build_error_response,
    build_execution_response,
    build_invoke_response,
    build_list_response,
    build_stop_response,
)
from walnutpost.gateway import (
    CallRequest,
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
from walnutpost.store import StoreError

# The Retry-After of responses when a disk or another site does not answer.
UNAVAILABLE_RETRY_AFTER_US = 1_000_000
REQUEST_ID_PREFIX_CHARACTERS = 23


class InvokeFront:
    """Request handler for http.Server. It does not authenticate callers."""

    def __init__(
        self,
        calls: SynchronousCalls,
        deferred: DeferredCalls,
        catalogue: Catalogue,
        classes: tuple[RequestClass, ...],
        arns: ArnFormat,
        max_deferred_deadline_us: int,
    ) -> None:
        self._calls = calls
        self._deferred = deferred
        self._catalogue = catalogue
        self._classes = classes
        self._arns = arns
        self._max_deferred_deadline_us = max_deferred_deadline_us
        # Request ids look like UUIDs: a random prefix for each process, followed by a counter.
        self._request_id_prefix = str(uuid.uuid4())[:REQUEST_ID_PREFIX_CHARACTERS]
        self._request_count = 0

    def handle(self, exchange: Exchange) -> Response | None:
        """Return the response to a request, or None if the client disconnected."""
        self._request_count += 1
        request_id = f"{self._request_id_prefix}-{self._request_count:012x}"
        try:
            return self._execute(parse_request(exchange.request), exchange, request_id)
        except SitesUnreachableError as error:
            api_error = service_error(str(error), 503, UNAVAILABLE_RETRY_AFTER_US)
        except StoreError as error:  # a read failed, so nothing was changed
            api_error = service_error(str(error), 500, UNAVAILABLE_RETRY_AFTER_US)
        except ApiError as error:
            api_error = error
        return build_error_response(api_error, request_id)

    def _execute(self, operation: Operation, exchange: Exchange, request_id: str) -> Response | None:
        match operation:
            case Invoke():
                return self._invoke(operation, exchange, request_id)
            case GetExecution(function, execution_id, includes_data):
                execution = _require_execution(self._deferred.status(function, execution_id))
                return build_execution_response(execution, self._arns, includes_data, request_id)
            case StopExecution(function, execution_id):
                execution = _require_execution(self._deferred.stop(function, execution_id))
                return build_stop_response(execution, request_id)
            case ListExecutions(query):
                self._find_function(query.function, None)
                executions, has_more = self._deferred.list(query)
                return build_list_response(executions, has_more, self._arns, request_id)

    def _find_function(self, name: str, qualifier: str | None) -> Function:
        try:
            function = self._catalogue.function(name)
        except UnknownNameError:
            raise not_found(f"Function not found: {name}") from None
        if qualifier is None or qualifier in LATEST_QUALIFIERS or qualifier == function.version:
            return function
        raise not_found(f"Function not found: {name}:{qualifier}; its version is {function.version}")

    def _invoke(self, request: Invoke, exchange: Exchange, request_id: str) -> Response | None:
        function = self._find_function(request.function, request.qualifier)
        try:
            self._catalogue.tenant_index(request.tenant)
        except UnknownNameError as error:
            raise invalid_parameter(f"X-Amz-Tenant-Id: {error}") from None
        match request.invocation_type:
            case InvocationType.DRY_RUN:
                return build_dry_run_response(request_id)
            case InvocationType.EVENT:
                return self._invoke_deferred(request, function, request_id)
            case InvocationType.REQUEST_RESPONSE:
                return self._invoke_synchronous(request, function, exchange, request_id)

    def _invoke_synchronous(
        self, request: Invoke, function: Function, exchange: Exchange, request_id: str
    ) -> Response | None:
        max_deadline_us = self._classes[function.class_index].deadline_us

        def watch_disconnect(on_disconnect: Callback) -> Callback:
            return _watch_disconnect(exchange, on_disconnect)

        call_request = CallRequest(
            request.function,
            request.tenant,
            request.payload,
            min(request.client_deadline_us or max_deadline_us, max_deadline_us),
            request_id,
        )
        final = self._calls.call(call_request, request.idempotency_key, request.is_retry, watch_disconnect)
        if final is None:
            return None
        return build_invoke_response(final, function.version, request_id)

    def _invoke_deferred(self, request: Invoke, function: Function, request_id: str) -> Response:
        deadline_us = request.client_deadline_us or self._classes[function.class_index].deadline_us
        name = _get_execution_name(request)
        call_request = CallRequest(
            request.function,
            request.tenant,
            request.payload,
            min(deadline_us, self._max_deferred_deadline_us),
            request_id,
        )
        outcome = self._deferred.defer(call_request, name)
        match outcome:
            case None:
                raise already_started(name)
            case Rejected():
                raise too_many_requests(outcome)
            case NotStored():
                raise not_stored(outcome)
            case ReplicationPending():
                raise replication_pending(outcome)
            case Execution():
                arn = self._arns.format_execution(outcome)
                replica_count = self._deferred.replica_count(outcome.id)
                return build_accepted_response(arn, function.version, request_id, replica_count)


def _require_execution(execution: Execution | None) -> Execution:
    if execution is None:
        raise not_found("no such durable execution here, or its time to be kept is over")
    return execution


def _get_execution_name(request: Invoke) -> str | None:
    """Return the execution name that deduplicates a deferred call, or None if each request is a new call.

    As with synchronous calls, an automatic retry by an SDK is the same call.
    """
    if request.execution_name:
        return request.execution_name
    name = f"sdk-{request.idempotency_key}"
    return name if request.idempotency_key and is_execution_name(name) else None


def _watch_disconnect(exchange: Exchange, on_disconnect: Callback) -> Callback:
    """Call `on_disconnect` when the client closes its connection. Return a function that stops watching."""

    def check() -> None:
        if exchange.stream.has_ended():
            on_disconnect()

    exchange.stream.on_readable(check)
    return lambda: exchange.stream.on_readable(None)
