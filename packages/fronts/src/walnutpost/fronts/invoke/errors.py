"""Errors that the invoke API answers with.

Source: the service model `lambda`, API versions 2015-03-31 and 2025-12-01. Its errors are a status, a type in
the header `x-amzn-errortype` and a message. The messages are read by clients.
"""

from __future__ import annotations

from enum import Enum

from walnutpost.fronts.errors import FrontError
from walnutpost.gateway import NotStored, Rejected, ReplicationPending
from walnutpost.http import HttpMessageError


class ErrorType(Enum):
    """Types of errors of the published model; the values are sent."""

    INVALID_PARAMETER_VALUE = "InvalidParameterValueException"
    INVALID_REQUEST_CONTENT = "InvalidRequestContentException"
    RESOURCE_NOT_FOUND = "ResourceNotFoundException"
    UNKNOWN_OPERATION = "UnknownOperationException"
    EXECUTION_ALREADY_STARTED = "DurableExecutionAlreadyStartedException"
    TOO_MANY_REQUESTS = "TooManyRequestsException"
    REQUEST_TOO_LARGE = "RequestTooLargeException"
    HEADER_FIELDS_TOO_LARGE = "RequestHeaderFieldsTooLargeException"
    REQUEST_TIMEOUT = "RequestTimeoutException"
    SERVICE = "ServiceException"


# Of messages that the HTTP server rejects, by status; INVALID_REQUEST_CONTENT for others.
BAD_MESSAGE_TYPES = {
    408: ErrorType.REQUEST_TIMEOUT,
    413: ErrorType.REQUEST_TOO_LARGE,
    431: ErrorType.HEADER_FIELDS_TOO_LARGE,
    503: ErrorType.SERVICE,
}


class ApiError(FrontError):
    """An error of the published model. `retry_after_us` is 0 if the client is given no time to wait."""

    def __init__(self, status: int, error_type: ErrorType, message: str, retry_after_us: int = 0) -> None:
        """Take the parts of the answer; `status` is HTTP's."""
        super().__init__(message)
        self.status = status
        self.error_type = error_type
        self.message = message
        self.retry_after_us = retry_after_us

    @property
    def is_client_fault(self) -> bool:
        """Whether the client, not the service, is at fault."""
        return self.status < 500


def invalid_parameter(message: str) -> ApiError:
    """Return the error of a header, name or query parameter."""
    return ApiError(400, ErrorType.INVALID_PARAMETER_VALUE, message)


def invalid_content(message: str) -> ApiError:
    """Return the error of a request that cannot be parsed."""
    return ApiError(400, ErrorType.INVALID_REQUEST_CONTENT, message)


def not_found(message: str) -> ApiError:
    """Return the error of a function or execution that does not exist."""
    return ApiError(404, ErrorType.RESOURCE_NOT_FOUND, message)


def unknown_operation(method: str, path: str) -> ApiError:
    """Return the error of a method and path that the API does not have."""
    return ApiError(404, ErrorType.UNKNOWN_OPERATION, f"no operation {method} {path}")


def already_started(name: str | None) -> ApiError:
    """Return the error of an execution name that was used with another payload."""
    message = f"an execution named {name} was started with another payload"
    return ApiError(409, ErrorType.EXECUTION_ALREADY_STARTED, message)


def too_many_requests(rejected: Rejected) -> ApiError:
    """Return the error of a call that was shed or rejected: a retry does no harm."""
    return ApiError(429, ErrorType.TOO_MANY_REQUESTS, rejected.reason, rejected.retry_after_us)


def service_error(message: str, status: int = 500, retry_after_us: int = 0) -> ApiError:
    """Return the error of a fault on this side."""
    return ApiError(status, ErrorType.SERVICE, message, retry_after_us)


def not_stored(outcome: NotStored) -> ApiError:
    """Return the error of a deferred call that the store did not accept.

    The published model has 429 for the caller's share only; a fault on this side is its ServiceException.
    SDKs retry that by themselves under the same invocation id, which names the same call here.
    """
    message = "the store of deferred calls took nothing"
    if outcome.is_uncertain:
        message = f"the store failed, and the call may run: ask again as {outcome.name}"
    return service_error(message, retry_after_us=outcome.retry_after_us)


def replication_pending(outcome: ReplicationPending) -> ApiError:
    """Return the error of a deferred call that has fewer replicas than its class asks for."""
    name = outcome.execution.name
    return service_error(
        f"the call may run, but stands in {outcome.replicas} copies only: ask again as {name}"
    )


def bad_message(error: HttpMessageError) -> ApiError:
    """Return the error of a message that the HTTP server rejects."""
    error_type = BAD_MESSAGE_TYPES.get(error.status, ErrorType.INVALID_REQUEST_CONTENT)
    return ApiError(error.status, error_type, str(error))
