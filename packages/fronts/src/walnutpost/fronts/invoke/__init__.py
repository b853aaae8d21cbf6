"""The invoke front: the AWS Lambda API's Invoke and durable-execution operations."""

from walnutpost.fronts.invoke.front import InvokeFront
from walnutpost.fronts.invoke.protocol import Names, Problem, refusal

__all__ = ["InvokeFront", "Names", "Problem", "refusal"]
