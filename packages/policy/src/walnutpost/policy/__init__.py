"""The routing policy: all decisions about calls, one module per concern, without I/O or a clock.

`Router` is the facade. It takes events and returns actions; `walnutpost.interface` defines both.
"""

from walnutpost.policy.endpoints import hash_rank
from walnutpost.policy.requests import NEVER_RAN
from walnutpost.policy.router import Router

__all__ = ["NEVER_RAN", "Router", "hash_rank"]
