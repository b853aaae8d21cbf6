"""Journals of calls between front ends: an origin sends, holders keep."""

from walnutpost.replica.asking import asked, recalled
from walnutpost.replica.holder import Holding
from walnutpost.replica.sending import Sending

__all__ = ["Holding", "Sending", "asked", "recalled"]
