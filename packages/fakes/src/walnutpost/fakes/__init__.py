"""Fakes of outside systems; each misbehaves on command. For scenarios, tests and first steps only.

`worker` serves the worker protocol around the state machine of `model`, `store` is the package store that
workers load from, `authority` issues certificates, `fleet` builds workers from a configuration.
"""

from walnutpost.fakes.errors import FakesError, UnknownCommandError
from walnutpost.fakes.faults import Faults
from walnutpost.fakes.model import WorkerModel
from walnutpost.fakes.reactions import CopyEvent, CopyEventKind
from walnutpost.fakes.specs import FunctionSpec, WorkerSpec
from walnutpost.fakes.store import LocalStore, RemoteStore, StoreServer
from walnutpost.fakes.worker import WorkerServer

__all__ = [
    "CopyEvent",
    "CopyEventKind",
    "FakesError",
    "Faults",
    "FunctionSpec",
    "LocalStore",
    "RemoteStore",
    "StoreServer",
    "UnknownCommandError",
    "WorkerModel",
    "WorkerServer",
    "WorkerSpec",
]
