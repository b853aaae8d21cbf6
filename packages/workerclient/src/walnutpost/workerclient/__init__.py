"""The client side of the worker protocol: HTTP/1.1 connections, attempts, load orders, probes, load reports.

`client` is the entry point. `codec` and `orca` encode and decode messages, without I/O. `delivery` sends one
request over a connection from `connector` or `idle_connections`, and reports how the request ended.
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
