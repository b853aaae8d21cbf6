"""Names and ARNs of functions and durable executions, as the AWS Lambda API writes them."""

from __future__ import annotations

import re
from dataclasses import dataclass

from walnutpost.fronts.invoke.errors import invalid_parameter
from walnutpost.gateway import Execution

# A name, a partial ARN or a complete one, with or without a qualifier.
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
MAX_QUOTED_CHARACTERS = 200  # of what a client sent, in an error


@dataclass(frozen=True, slots=True)
class FunctionReference:
    """A function as a request names it; `qualifier` is a version or $LATEST, None where not given."""

    name: str
    qualifier: str | None


@dataclass(frozen=True, slots=True)
class ExecutionReference:
    """A durable execution as a request names it."""

    function: str
    execution_id: str


@dataclass(frozen=True, slots=True)
class ArnFormat:
    """Writes the ARNs of this installation; `prefix` has partition, service, region and account."""

    prefix: str = "arn:aws:lambda:xx-local-1:000000000000"

    def format_function(self, function: str, version: str) -> str:
        """Return a function's qualified ARN."""
        return f"{self.prefix}:function:{function}:{version}"

    def format_execution(self, execution: Execution) -> str:
        """Return a durable execution's ARN."""
        function_arn = self.format_function(execution.function, execution.version)
        return f"{function_arn}/durable-execution/{execution.name}/{execution.id}"


def parse_function_reference(text: str) -> FunctionReference:
    """Parse a name, a partial ARN or a complete one. Raises ApiError."""
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
    """Whether the API allows the name for a durable execution."""
    return EXECUTION_NAME.fullmatch(text) is not None
