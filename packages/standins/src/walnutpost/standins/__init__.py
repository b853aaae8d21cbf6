"""Stand-ins for outside systems; each misbehaves on command. For trials, tests and first steps only."""

from walnutpost.standins.model import Faults, FunctionSpec, WorkerModel, WorkerSpec
from walnutpost.standins.store import LocalStore, RemoteStore, StoreServer
from walnutpost.standins.worker import WorkerServer

__all__ = [
    "Faults",
    "FunctionSpec",
    "LocalStore",
    "RemoteStore",
    "StoreServer",
    "WorkerModel",
    "WorkerServer",
    "WorkerSpec",
]
