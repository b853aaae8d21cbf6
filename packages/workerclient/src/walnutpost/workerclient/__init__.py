"""The client side of the worker protocol: HTTP/1.1 connections, attempts, load orders, probes, load reports.

`client` is the entry point. `codec` and `orca` are the wire forms, without I/O; `delivery` takes one request
to a worker over a connection of `connector` or `idle_connections`, and reports what its end proves.
"""

from walnutpost.workerclient.client import WorkerClient
from walnutpost.workerclient.errors import (
    InvalidUsageReportError,
    WorkerClientError,
    WorkerUnavailableError,
)
from walnutpost.workerclient.settings import WorkerClientSettings

__all__ = [
    "InvalidUsageReportError",
    "WorkerClient",
    "WorkerClientError",
    "WorkerClientSettings",
    "WorkerUnavailableError",
]
