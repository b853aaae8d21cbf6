"""Queries for deferred calls that were accepted by another front end."""

from __future__ import annotations

from walnutpost.daemon.journaled_execution import build_execution
from walnutpost.daemon.other_journals import OtherJournals
from walnutpost.eventloop import Loop
from walnutpost.fronts.errors import SitesUnreachableError
from walnutpost.gateway import Execution
from walnutpost.journal import CallStage, CallState, IntervalSet, MergedJournal
from walnutpost.replication import query_call
from walnutpost.store import JournalStore


class CallQueries:
    """Finds a call in the local replicas and, if these may be incomplete, in the journals of other sites."""

    def __init__(self, loop: Loop, store: JournalStore, others: OtherJournals) -> None:
        self._loop = loop
        self._store = store
        self._others = others

    def find_call(self, call_id: str) -> Execution | None:
        """Return a call that another front end accepted, as recorded in the journals of all sites, or None.

        Raises SitesUnreachableError if no site knows the call and some did not answer.
        """
        merged = MergedJournal()
        unreachable: list[str] = []
        merged.add(IntervalSet(), self._store.read_call_entries(call_id))
        call = merged.calls.get(call_id, CallState())
        if call.stage is not CallStage.ENDED:  # its origin, or another replica, may know more
            entries, unreachable = query_call(
                self._loop, self._others.addresses, call_id, self._others.timeout_us
            )
            merged.add(IntervalSet(), entries)
            call = merged.calls.get(call_id, CallState())
        execution = None if call.stage is CallStage.WITHDRAWN else build_execution(call)
        if execution is None and unreachable and call.stage is CallStage.UNKNOWN:
            raise SitesUnreachableError(unreachable)
        return execution
