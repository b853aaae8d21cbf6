"""Every decision of the ordinary path, a file for each concern; the types it speaks are in interface."""

from walnutpost.policy.router import Router
from walnutpost.policy.state import NEVER_RAN
from walnutpost.policy.workers import hash_rank

__all__ = ["NEVER_RAN", "Router", "hash_rank"]
