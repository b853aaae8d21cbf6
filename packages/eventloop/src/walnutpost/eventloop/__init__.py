"""The scheduler: greenlets over `select.poll`. Times are whole microseconds.

`Loop` runs tasks; `Stream`, `Listener` and `connect` are its sockets; `Queue`, `Event` and `Group` join
tasks. `replace_file` replaces a file durably, as a whole.
"""

from walnutpost.eventloop.clock import BootTime, Clock, RealClock, VirtualClock
from walnutpost.eventloop.files import FileCalls, remove_leftovers, replace_file, use_calls, write_all
from walnutpost.eventloop.scheduler import Cancelled, Loop, Task, Timeout
from walnutpost.eventloop.sockets import AcceptErrorLog, Listener, Stream, Tap, connect
from walnutpost.eventloop.sync import Event, Full, Group, Queue
from walnutpost.eventloop.tls import Secure, TlsStream, connect_secure, serving

__all__ = [
    "AcceptErrorLog",
    "BootTime",
    "Cancelled",
    "Clock",
    "Event",
    "FileCalls",
    "Full",
    "Group",
    "Listener",
    "Loop",
    "Queue",
    "RealClock",
    "Secure",
    "Stream",
    "Tap",
    "Task",
    "Timeout",
    "TlsStream",
    "VirtualClock",
    "connect",
    "connect_secure",
    "remove_leftovers",
    "replace_file",
    "serving",
    "use_calls",
    "write_all",
]
