"""What must outlive a process."""

from walnutpost.store.executions import ExecutionStore, StoreError

__all__ = ["ExecutionStore", "StoreError"]
