"""Every decision of the ordinary path, a module for each concern, without I/O or clock.

`Router` is the facade: it takes the events and returns the actions that `walnutpost.interface` defines.
"""

from walnutpost.policy.endpoints import hash_rank
from walnutpost.policy.requests import NEVER_RAN
from walnutpost.policy.router import Router

__all__ = ["NEVER_RAN", "Router", "hash_rank"]
