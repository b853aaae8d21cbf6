"""The event loop: greenlets over `select.poll`. Times are whole microseconds.

`Loop` runs tasks; `Stream`, `Listener` and `connect` are its sockets; `Queue`, `Event` and `TaskGroup` join
tasks. `replace_file` replaces a file durably and atomically. Modules import each other one way, in this
order: errors, clock, timers, tasks; poller, waker, signals, worker_thread, timeouts, periodic; loop; streams,
connecting, accept_errors, listener, tls. `sync` needs tasks only, `files` nothing.
"""

from walnutpost.eventloop.accept_errors import AcceptErrorLog
from walnutpost.eventloop.clock import BootTime, Clock, RealClock, VirtualClock
from walnutpost.eventloop.connecting import connect
from walnutpost.eventloop.errors import (
    Cancelled,
    ClockNotVirtualError,
    EventLoopError,
    NotInTaskError,
    QueueFullError,
    StreamClosedError,
    TlsTruncatedError,
    WaitTimeoutError,
)
from walnutpost.eventloop.files import (
    FileCalls,
    remove_leftovers,
    replace_file,
    use_file_calls,
    write_all,
)
from walnutpost.eventloop.listener import Listener
from walnutpost.eventloop.logger import Logger
from walnutpost.eventloop.loop import Loop
from walnutpost.eventloop.streams import Stream, TrafficObserver
from walnutpost.eventloop.sync import Event, Queue, TaskGroup
from walnutpost.eventloop.tasks import Task
from walnutpost.eventloop.tls import TlsClientSettings, TlsStream, connect_tls, tls_stream_factory

__all__ = [
    "AcceptErrorLog",
    "BootTime",
    "Cancelled",
    "Clock",
    "ClockNotVirtualError",
    "Event",
    "EventLoopError",
    "FileCalls",
    "Listener",
    "Logger",
    "Loop",
    "NotInTaskError",
    "Queue",
    "QueueFullError",
    "RealClock",
    "Stream",
    "StreamClosedError",
    "Task",
    "TaskGroup",
    "TlsClientSettings",
    "TlsStream",
    "TlsTruncatedError",
    "TrafficObserver",
    "VirtualClock",
    "WaitTimeoutError",
    "connect",
    "connect_tls",
    "remove_leftovers",
    "replace_file",
    "tls_stream_factory",
    "use_file_calls",
    "write_all",
]
