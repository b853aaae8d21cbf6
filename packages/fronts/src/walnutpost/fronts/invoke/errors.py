"""Error responses of the invoke API.

Source: the service model `lambda`, API versions 2015-03-31 and 2025-12-01. An error has a status, a type in
the header `x-amzn-errortype`, and a message that clients read.
"""

from __future__ import annotations

from enum import Enum

from walnutpost.fronts.errors import FrontError
from walnutpost.gateway import NotStored, Rejected, ReplicationPending
from walnutpost.http import HttpMessageError


class ErrorType(Enum):
    """Error types of the published model. The values are sent to clients."""

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


# Error types of messages that the HTTP server rejects, by status. Other statuses use INVALID_REQUEST_CONTENT.
BAD_MESSAGE_TYPES = {
    408: ErrorType.REQUEST_TIMEOUT,
    413: ErrorType.REQUEST_TOO_LARGE,
    431: ErrorType.HEADER_FIELDS_TOO_LARGE,
    503: ErrorType.SERVICE,
}


class ApiError(FrontError):
    """An error of the published model. If `retry_after_us` is 0, the response has no Retry-After header."""

    def __init__(self, status: int, error_type: ErrorType, message: str, retry_after_us: int = 0) -> None:
        """Set the parts of the response. `status` is the HTTP status."""
        super().__init__(message)
        self.status = status
        self.error_type = error_type
        self.message = message
        self.retry_after_us = retry_after_us

    @property
    def is_client_fault(self) -> bool:
        """Whether the client, rather than the service, caused the error."""
        return self.status < 500


def invalid_parameter(message: str) -> ApiError:
    """Return the error for an invalid header, name or query parameter."""
    return ApiError(400, ErrorType.INVALID_PARAMETER_VALUE, message)


def invalid_content(message: str) -> ApiError:
    """Return the error for a request that cannot be parsed."""
    return ApiError(400, ErrorType.INVALID_REQUEST_CONTENT, message)


def not_found(message: str) -> ApiError:
    """Return the error for a function or execution that does not exist."""
    return ApiError(404, ErrorType.RESOURCE_NOT_FOUND, message)


def unknown_operation(method: str, path: str) -> ApiError:
    """Return the error for a method and path that the API does not define."""
    return ApiError(404, ErrorType.UNKNOWN_OPERATION, f"no operation {method} {path}")


def already_started(name: str | None) -> ApiError:
    """Return the error for an execution name that was used with a different payload."""
    message = f"an execution named {name} was started with another payload"
    return ApiError(409, ErrorType.EXECUTION_ALREADY_STARTED, message)


def too_many_requests(rejected: Rejected) -> ApiError:
    """Return the error for a call that was shed or rejected. The call did not run, so a retry is safe."""
    return ApiError(429, ErrorType.TOO_MANY_REQUESTS, rejected.reason, rejected.retry_after_us)


def service_error(message: str, status: int = 500, retry_after_us: int = 0) -> ApiError:
    """Return the error for a failure of the service."""
    return ApiError(status, ErrorType.SERVICE, message, retry_after_us)


def not_stored(outcome: NotStored) -> ApiError:
    """Return the error for a deferred call that the store did not accept.

    In the published model 429 means only that the caller exceeds its own limit. A failure of the service is a
    ServiceException. SDKs retry it automatically with the same invocation id, which identifies the same call.
    """
    message = "the store of deferred calls took nothing"
    if outcome.is_uncertain:
        message = f"the store failed, and the call may run: ask again as {outcome.name}"
    return service_error(message, retry_after_us=outcome.retry_after_us)


def replication_pending(outcome: ReplicationPending) -> ApiError:
    """Return the error for a deferred call that has fewer replicas than its class requires."""
    name = outcome.execution.name
    return service_error(
        f"the call may run, but stands in {outcome.replicas} copies only: ask again as {name}"
    )


def bad_message(error: HttpMessageError) -> ApiError:
    """Return the error for a message that the HTTP server rejects."""
    error_type = BAD_MESSAGE_TYPES.get(error.status, ErrorType.INVALID_REQUEST_CONTENT)
    return ApiError(error.status, error_type, str(error))
