"""Replicas of the control plane: they commit the fleet's state and configuration, and answer clients."""

from walnutpost.controlplane.client import ControlPlaneClient
from walnutpost.controlplane.errors import (
    ControlPlaneError,
    ControlPlaneUnavailableError,
    MalformedMessageError,
    ReplicaFailedError,
)
from walnutpost.controlplane.replica import ControlPlaneReplica
from walnutpost.controlplane.settings import ReplicaSettings

__all__ = [
    "ControlPlaneClient",
    "ControlPlaneError",
    "ControlPlaneReplica",
    "ControlPlaneUnavailableError",
    "MalformedMessageError",
    "ReplicaFailedError",
    "ReplicaSettings",
]
