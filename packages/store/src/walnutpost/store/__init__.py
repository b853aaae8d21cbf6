"""What a process stores in sqlite: executions, firings, journals, the usage ledger, a replica's log.

`database` commits in groups; all others are tables over it. Names of tables and
columns, and stored values, are read by other versions and must not change.
"""

from walnutpost.store.database import Change, Database, StoreError
from walnutpost.store.executions import ExecutionQuery, ExecutionStore
from walnutpost.store.firings import FiringRow, FiringStore, read_history
from walnutpost.store.journal import EntryAppend, JournalStore
from walnutpost.store.usage import UsageStore, read_ledger

__all__ = [
    "Change",
    "Database",
    "EntryAppend",
    "ExecutionQuery",
    "ExecutionStore",
    "FiringRow",
    "FiringStore",
    "JournalStore",
    "StoreError",
    "UsageStore",
    "read_history",
    "read_ledger",
]
