"""Journals of calls between front ends: an origin sends, holders keep."""

from walnutpost.replication.asking import asked, recalled
from walnutpost.replication.holder import Holding
from walnutpost.replication.sending import Sending

__all__ = ["Holding", "Sending", "asked", "recalled"]
