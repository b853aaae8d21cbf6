"""Stand-ins for outside systems; each misbehaves on command. For trials, tests and first steps only."""

from walnutpost.fakes.model import Faults, FunctionSpec, WorkerModel, WorkerSpec
from walnutpost.fakes.store import LocalStore, RemoteStore, StoreServer
from walnutpost.fakes.worker import WorkerServer

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
