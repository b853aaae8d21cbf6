"""What must outlive a process."""

from walnutpost.store.executions import Change, ExecutionStore, Listing, StoreError
from walnutpost.store.firings import FiringStore, history

__all__ = ["Change", "ExecutionStore", "FiringStore", "Listing", "StoreError", "history"]
