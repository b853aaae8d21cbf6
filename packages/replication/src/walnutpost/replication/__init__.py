"""Replication of journals between front ends over HTTP: the origin sends, replicas acknowledge.

`sender` is the origin's side, `replica_server` a replica's, `queries` asks replicas what they have, `wire`
defines the messages. What is sent when, and what a replica accepts, walnutpost.journal decides.
"""

from walnutpost.replication.queries import query_call, recover_batches
from walnutpost.replication.replica_server import ReplicaServer
from walnutpost.replication.sender import ReplicationSender
from walnutpost.replication.wire import InvalidMessageError, ReplicationError

__all__ = [
    "InvalidMessageError",
    "ReplicaServer",
    "ReplicationError",
    "ReplicationSender",
    "query_call",
    "recover_batches",
]
