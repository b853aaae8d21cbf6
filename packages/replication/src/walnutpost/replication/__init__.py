"""Replication of journals between front ends over HTTP: the origin sends, replicas acknowledge.

`sender` and `replica_client` are the origin's side, `replica_server` is a replica's, `queries` asks replicas
for entries, `wire` defines the messages. walnutpost.journal decides when a batch is sent, and what a replica
accepts.
"""

from walnutpost.replication.queries import query_call, recover_batches
from walnutpost.replication.replica_client import ReplicaClient
from walnutpost.replication.replica_server import ReplicaServer
from walnutpost.replication.sender import ReplicationSender
from walnutpost.replication.wire import InvalidMessageError, ReplicationError

__all__ = [
    "InvalidMessageError",
    "ReplicaClient",
    "ReplicaServer",
    "ReplicationError",
    "ReplicationSender",
    "query_call",
    "recover_batches",
]
