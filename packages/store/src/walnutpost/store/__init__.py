"""What must outlive a process."""

from walnutpost.store.database import Change, Database, StoreError
from walnutpost.store.executions import ExecutionStore, Listing
from walnutpost.store.firings import FiringStore, history
from walnutpost.store.journal import Appending, JournalStore
from walnutpost.store.usage import UsageStore, read_ledger

__all__ = [
    "Appending",
    "Change",
    "Database",
    "ExecutionStore",
    "FiringStore",
    "JournalStore",
    "Listing",
    "StoreError",
    "UsageStore",
    "history",
    "read_ledger",
]
