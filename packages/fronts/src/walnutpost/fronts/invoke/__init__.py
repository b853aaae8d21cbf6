"""The invoke front: the Invoke and durable-execution operations of the AWS Lambda API."""

from walnutpost.fronts.invoke.arns import ArnFormat
from walnutpost.fronts.invoke.errors import ApiError
from walnutpost.fronts.invoke.front import InvokeFront
from walnutpost.fronts.invoke.responses import build_bad_message_response

__all__ = ["ApiError", "ArnFormat", "InvokeFront", "build_bad_message_response"]
