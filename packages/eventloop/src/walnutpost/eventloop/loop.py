"""The event loop. Each round polls once, runs due timers and then runs ready tasks."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, TypeVar

from walnutpost.eventloop.clock import BootTime, Clock, RealClock
from walnutpost.eventloop.periodic import PeriodicCall
from walnutpost.eventloop.poller import Poller, PollObject
from walnutpost.eventloop.signals import SignalHandlers
from walnutpost.eventloop.tasks import TaskScheduler
from walnutpost.eventloop.timeouts import TimeoutScope
from walnutpost.eventloop.timers import Timer, TimerWheel
from walnutpost.eventloop.waker import Waker, send_wake_up
from walnutpost.eventloop.worker_thread import Job, WorkerThread

T = TypeVar("T")
VIRTUAL_POLL_TIMEOUT_MS = 1  # real time for the kernel to deliver data before a virtual clock advances
MAX_CANCEL_ROUNDS = 1000  # a task that survives every cancellation must not prevent the loop from ending


class Loop(TaskScheduler):
    """Runs the tasks of one thread. Loops share no state, and a loop belongs to the thread that runs it.

    Fairness: a round polls once, runs due timers, then gives one turn to each task that is ready, and up to
    EXTRA_TURNS turns to tasks that become ready meanwhile. A task whose socket calls succeed without waiting
    yields after MAX_OPERATIONS_PER_TURN calls. A task that only computes is never interrupted and has to call
    `yield_now`. Callbacks run between tasks and must not wait. Times are in microseconds.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        on_error: Callable[[str, BaseException], None] | None = None,
        poll_object: PollObject | None = None,
    ) -> None:
        """`on_error` receives the name and error of each task or callback whose error nobody handles.

        Tests pass their own clock and poll object.
        """
        super().__init__(on_error)
        self.clock = clock or RealClock()
        self._timers = TimerWheel(self.clock.now())
        self._poller = Poller(self.clock, self.run_guarded, poll_object)
        self._waker = Waker(self._poller, self._on_wake)
        self._signals = SignalHandlers(self.run_guarded)
        self._worker = WorkerThread()
        self._soon_callbacks: deque[Callable[[], object]] = deque()

    # Time

    def now(self) -> int:
        """Return the current time."""
        return self.clock.now()

    def boot_time(self) -> BootTime:
        """Return the current time since boot."""
        return self.clock.boot_time()

    def processor_time(self) -> int:
        """Return the processor time that this thread has used; always 0 with a virtual clock.

        Unlike `now`, it does not advance while the process is stopped or another one has the core.
        """
        return 0 if self.clock.is_virtual else time.thread_time_ns() // 1000

    def arrived_after(self) -> int:
        """Return a lower bound on the arrival time of the bytes, connections and closes seen in this round.

        The bound holds for events that this round's poll reported. It also holds for events that are found in
        this round without having been reported, if their descriptor was already waited for before the
        previous poll, or was empty after it.

        If the poll reports events at once, they arrived after the previous poll returned. That may be long
        ago, for example if the process was stopped in between. If events end a wait, they arrived when it
        ended. The exception is a wait that ends long after its timeout: the process was stopped meanwhile,
        and the events arrived after the wait began. A stop during a wait that ends before its timeout is not
        detected; the error is then at most the length of that wait.
        """
        return self._poller.arrived_after_us

    def call_at(self, due_us: int, callback: Callable[[], object]) -> Timer:
        """Run `callback` at or after `due_us`."""
        return self._timers.add(due_us, callback)

    def call_later(self, delay_us: int, callback: Callable[[], object]) -> Timer:
        """Run `callback` after `delay_us`."""
        return self._timers.add(self.clock.now() + delay_us, callback)

    def call_every(
        self, period_us: int, callback: Callable[[], object], name: str = "periodic"
    ) -> PeriodicCall:
        """Run `callback` every `period_us`, first after one period, even if it raises."""
        return PeriodicCall(self, name, period_us, callback)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Run `callback` at the end of this round, before the next poll.

        This lets the output of several callbacks of a round be written in one system call.
        """
        self._soon_callbacks.append(callback)

    def sleep(self, delay_us: int) -> None:
        """Wait for `delay_us`."""
        task, token = self.begin_wait()
        timer = self.call_later(delay_us, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            timer.cancel()

    def wait_for_next_round(self) -> None:
        """Wait until the sockets have been polled again; `yield_now` may return before."""
        task, token = self.begin_wait()
        self.call_soon(lambda: self.wake(task, token))
        self.park()

    def timeout(self, timeout_us: int) -> TimeoutScope:
        """Return a context manager that raises WaitTimeoutError from a wait in its block after `timeout_us`.

        Blocks can be nested; `with ... as` binds the block's own error, which identifies the expired block.
        """
        return TimeoutScope(self, timeout_us)

    # Descriptors

    def wait_readable(self, fd: int) -> None:
        """Wait until `fd` is readable, has an error, or is no longer watched."""
        task, token = self.begin_wait()
        self._poller.set_reader(fd, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            self._poller.clear_reader(fd)

    def wait_writable(self, fd: int) -> None:
        """Wait until `fd` is writable, has an error, or is no longer watched."""
        task, token = self.begin_wait()
        self._poller.set_writer(fd, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            self._poller.clear_writer(fd)

    def on_readable(self, fd: int, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when `fd` is readable or has an error; None removes the callback."""
        self._poller.set_reader(fd, callback)

    def on_writable(self, fd: int, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when `fd` is writable or has an error; None removes the callback."""
        self._poller.set_writer(fd, callback)

    def stop_watching(self, fd: int) -> None:
        """Stop watching a descriptor that is about to be closed; wake the tasks that wait for it."""
        self._poller.stop_watching(fd)

    # Signals and the worker thread

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Call `callback` when the process receives the signal. Only the main thread may call this."""
        self._signals.add(number, callback, self._waker.open().fileno())

    def run_blocking(self, call: Callable[..., T], *args: Any) -> T:
        """Run `call` on the worker thread and wait for it; return its result or raise its error.

        Calls run one at a time, in order, while other tasks keep running. If the waiting task is interrupted,
        the call continues and its result is discarded.
        """
        wake_up_socket = self._waker.open()
        self._worker.start()
        task, token = self.begin_wait()
        self._worker.submit(
            Job(
                call=partial(call, *args),
                on_done=lambda result, error: self.wake(task, token, result, error),
                notify=partial(send_wake_up, wake_up_socket),
            )
        )
        return self.park()  # type: ignore[no-any-return]

    def _on_wake(self, signal_numbers: bytes) -> None:
        self._signals.deliver(signal_numbers)
        self._worker.deliver()

    # Running

    def run(self, call: Callable[..., T], *args: Any) -> T:
        """Run `call` as the main task, then cancel all other tasks; return its result or raise its error."""
        self._use_current_greenlet_as_hub()
        main = self.spawn(call, *args, name="main")
        main.has_joiner = True
        self._run_until(lambda: main.is_done)
        for _ in range(MAX_CANCEL_ROUNDS):  # a cancelled task may start others
            if not self.has_tasks:
                break
            self._cancel_all()
            self._run_until(lambda: not self.has_ready_tasks)
        self.close()
        if main.error is not None:
            raise main.error
        return main.result  # type: ignore[return-value]

    def close(self) -> None:
        """Wait for blocking calls, and close the resources that the loop has opened for itself."""
        self._worker.close()
        if self._waker.is_open:
            self._signals.detach()
            self._waker.close()

    def _run_until(self, is_finished: Callable[[], bool]) -> None:
        while not is_finished():
            self._run_round()

    def _run_round(self) -> None:
        start_us = self.clock.now()
        events = self._poller.poll(start_us, self._poll_timeout_ms(start_us))
        self._poller.dispatch(events)
        if self.clock.is_virtual and not events and not self.has_ready_tasks and not self._soon_callbacks:
            self._advance_clock()
        for callback in self._timers.pop_due(self.clock.now()):
            self.run_guarded("timer", callback)
        self._run_ready_tasks()
        for _ in range(len(self._soon_callbacks)):
            self.run_guarded("soon", self._soon_callbacks.popleft())

    def _poll_timeout_ms(self, now_us: int) -> int | None:
        """Return how long the poll may wait; None means until an event arrives."""
        if self.has_ready_tasks or self._soon_callbacks:
            return 0
        due_us = self._timers.next_due_us()
        if self.clock.is_virtual:
            return None if self._worker.pending_jobs or due_us is None else VIRTUAL_POLL_TIMEOUT_MS
        if due_us is None:
            return None
        return max(0, -(-(due_us - now_us) // 1000))

    def _advance_clock(self) -> None:
        """Advance a virtual clock to the next timer, unless a blocking call is pending."""
        due_us = self._timers.next_due_us()
        if due_us is not None and not self._worker.pending_jobs:
            self.clock.advance_to(due_us)
            self._poller.record_clock_advance()
