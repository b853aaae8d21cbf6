"""An event loop that runs greenlets on top of `select.poll`. All times are integers in microseconds.

`Loop` runs tasks. `Stream`, `Listener` and `connect` provide sockets; `Queue`, `Event` and `TaskGroup`
coordinate tasks. `replace_file` replaces a file atomically and durably.

A module imports only modules that precede it in this list: errors, clock, timers, tasks; poller, waker,
signals, worker_thread, timeouts, periodic; loop; streams, connecting, accept_errors, listener, tls. `sync`
depends only on errors and tasks; `files` and `logger` import none of them.
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
    remove_temporary_files,
    replace_file,
    set_file_calls,
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
    "remove_temporary_files",
    "replace_file",
    "set_file_calls",
    "tls_stream_factory",
    "write_all",
]
