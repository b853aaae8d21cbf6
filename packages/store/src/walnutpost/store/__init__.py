"""What must outlive a process."""

from walnutpost.store.database import Change, Database, StoreError
from walnutpost.store.executions import ExecutionStore, Listing
from walnutpost.store.firings import FiringStore, history
from walnutpost.store.usage import UsageStore, read_ledger

__all__ = [
    "Change",
    "Database",
    "ExecutionStore",
    "FiringStore",
    "Listing",
    "StoreError",
    "UsageStore",
    "history",
    "read_ledger",
]
