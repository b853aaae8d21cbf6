"""What a process stores in sqlite: executions, firings, journals, the usage ledger, a replica's log.

`database` commits in groups; the other modules are tables over it. Names of tables and columns, and stored
values, are read by other versions and must not change.
"""

from walnutpost.store.database import Change, Database, StoreError
from walnutpost.store.executions import ExecutionPage, ExecutionQuery, ExecutionStore
from walnutpost.store.firings import FiringRow, FiringStore, UnfinishedFirings, read_history
from walnutpost.store.journal import EntryAppend, JournalStore, StoredJournal
from walnutpost.store.usage import LedgerRun, SavedLedger, UsageStore, read_ledger

__all__ = [
    "Change",
    "Database",
    "EntryAppend",
    "ExecutionPage",
    "ExecutionQuery",
    "ExecutionStore",
    "FiringRow",
    "FiringStore",
    "JournalStore",
    "LedgerRun",
    "SavedLedger",
    "StoreError",
    "StoredJournal",
    "UnfinishedFirings",
    "UsageStore",
    "read_history",
    "read_ledger",
]
