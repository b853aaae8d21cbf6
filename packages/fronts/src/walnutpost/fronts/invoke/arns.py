"""Names and ARNs of functions and durable executions, in the format of the AWS Lambda API."""

from __future__ import annotations

import re
from dataclasses import dataclass

from walnutpost.fronts.invoke.errors import invalid_parameter
from walnutpost.gateway import Execution

# A name, a partial ARN or a full ARN, each with or without a qualifier.
FUNCTION_NAME = re.compile(
    r"(?:arn:[a-zA-Z0-9-]+:lambda:)?(?:[a-z]{2,4}(?:-[a-z]+)+-\d:)?(?:\d{12}:)?(?:function:)?"
    r"([a-zA-Z0-9-_.]{1,140})(?::(\$LATEST(?:\.PUBLISHED)?|[a-zA-Z0-9-_]+))?"
)
EXECUTION_ARN = re.compile(
    r"arn:[a-zA-Z0-9-]+:lambda:[a-zA-Z0-9-]+:\d{12}:function:([a-zA-Z0-9-_.]+):(\$LATEST(?:\.PUBLISHED)?|[0-9]+)"
    r"/durable-execution/([a-zA-Z0-9_-]+)/([a-zA-Z0-9_-]+)"
)
EXECUTION_NAME = re.compile(r"[a-zA-Z0-9-_]{1,64}")
LATEST_QUALIFIERS = frozenset({"$LATEST", "$LATEST.PUBLISHED"})
MAX_QUOTED_CHARACTERS = 200  # of client input, in an error message


@dataclass(frozen=True, slots=True)
class FunctionReference:
    """A function as named in a request. `qualifier` is a version or $LATEST, or None if not given."""

    name: str
    qualifier: str | None


@dataclass(frozen=True, slots=True)
class ExecutionReference:
    """A durable execution as named in a request."""

    function: str
    execution_id: str


@dataclass(frozen=True, slots=True)
class ArnFormat:
    """Formats the ARNs of this installation. `prefix` holds the partition, service, region and account."""

    prefix: str = "arn:aws:lambda:xx-local-1:000000000000"

    def format_function(self, function: str, version: str) -> str:
        """Return the qualified ARN of a function."""
        return f"{self.prefix}:function:{function}:{version}"

    def format_execution(self, execution: Execution) -> str:
        """Return the ARN of a durable execution."""
        function_arn = self.format_function(execution.function, execution.version)
        return f"{function_arn}/durable-execution/{execution.name}/{execution.id}"


def parse_function_reference(text: str) -> FunctionReference:
    """Parse a function name, a partial ARN or a full ARN. Raises ApiError."""
    match = FUNCTION_NAME.fullmatch(text)
    if match is None:
        raise invalid_parameter(f"{text[:MAX_QUOTED_CHARACTERS]!r} is no function name or ARN")
    return FunctionReference(match[1], match[2])


def parse_execution_arn(text: str) -> ExecutionReference:
    """Parse the ARN of a durable execution. Raises ApiError."""
    match = EXECUTION_ARN.fullmatch(text)
    if match is None:
        raise invalid_parameter(f"{text[:MAX_QUOTED_CHARACTERS]!r} is no ARN of a durable execution")
    return ExecutionReference(match[1], match[4])


def is_execution_name(text: str) -> bool:
    """Return whether the API accepts the name for a durable execution."""
    return EXECUTION_NAME.fullmatch(text) is not None
