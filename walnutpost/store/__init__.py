"""What must outlive a process."""

from walnutpost.store.executions import Change, ExecutionStore, StoreError
from walnutpost.store.firings import FiringStore, history

__all__ = ["Change", "ExecutionStore", "FiringStore", "StoreError", "history"]
