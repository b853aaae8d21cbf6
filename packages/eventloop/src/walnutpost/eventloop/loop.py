"""The loop: rounds of one poll, due timers and ready tasks."""

from __future__ import annotations

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
VIRTUAL_POLL_TIMEOUT_MS = 1  # real time that a virtual clock gives the kernel to deliver before it jumps
MAX_CANCEL_ROUNDS = 1000  # at the end: a task that goes on after each cancellation must not hang the program


class Loop(TaskScheduler):
    """One thread's tasks. Two loops share nothing, and each belongs to the thread that runs it.

    Fairness: each round polls once, runs due timers, then gives each task that was ready at its start a
    turn, and EXTRA_TURNS to tasks that became ready meanwhile. A task whose socket calls all succeed
    yields after MAX_OPERATIONS_PER_TURN of them. A task that only computes is not interrupted: it calls
    `yield_now`. Callbacks run between tasks, and must not wait. Times are microseconds.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        on_error: Callable[[str, BaseException], None] | None = None,
        poll_object: PollObject | None = None,
    ) -> None:
        """`on_error` gets the name and error of each task and callback whose error nobody else sees.

        Tests replace the clock and the system's poll object.
        """
        super().__init__(on_error)
        self.clock = clock or RealClock()
        self._timers = TimerWheel(self.clock.now())
        self._poller = Poller(self.clock, self.run_guarded, poll_object)
        self._waker = Waker(self._poller, self._on_wake)
        self._signals = SignalHandlers(self.run_guarded)
        self._worker = WorkerThread()
        self._soon: deque[Callable[[], object]] = deque()

    # Time

    def now(self) -> int:
        """Return the present time."""
        return self.clock.now()

    def boot_time(self) -> BootTime:
        """Return the present time on the machine's own clock."""
        return self.clock.boot_time()

    def arrived_after(self) -> int:
        """Return a time after which everything came that this round finds: bytes, ends and connections.

        That is true of what this round's poll reported, and of what it did not report and is found in this
        round, of descriptors that were waited for since before the previous poll, or were empty after it.

        Events that were there at once came after the previous poll returned, however long ago that is: a
        process that was stopped reads late. Events that ended a wait came when it ended, unless it ended
        long after its time-out: then the process was stopped in it, and they came after it began. Not
        detected is a stop within a wait that ends before the time-out; it hides at most that wait's length.
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
        """Run `callback` each period, for the first time after one, whether or not it raises."""
        return PeriodicCall(self, name, period_us, callback)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Run `callback` at the end of this round, before the next poll.

        What many callbacks of a round have to write can so leave in one call.
        """
        self._soon.append(callback)

    def sleep(self, delay_us: int) -> None:
        """Wait for a time."""
        task, token = self.begin_wait()
        timer = self.call_later(delay_us, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            timer.cancel()

    def timeout(self, timeout_us: int) -> TimeoutScope:
        """Return a block that raises WaitTimeoutError from the wait it is in once the time is over.

        Blocks nest; `with ... as` binds the block's own error.
        """
        return TimeoutScope(self, timeout_us)

    # Descriptors

    def wait_readable(self, fd: int) -> None:
        """Wait until `fd` has something to read, is broken, or is forgotten."""
        task, token = self.begin_wait()
        self._poller.set_reader(fd, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            self._poller.clear_reader(fd)

    def wait_writable(self, fd: int) -> None:
        """Wait until `fd` takes bytes, is broken, or is forgotten."""
        task, token = self.begin_wait()
        self._poller.set_writer(fd, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            self._poller.clear_writer(fd)

    def on_readable(self, fd: int, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when `fd` has something to read or is broken; None withdraws it."""
        self._poller.set_reader(fd, callback)

    def on_writable(self, fd: int, callback: Callable[[], object] | None) -> None:
        """Call `callback` once when `fd` takes bytes or is broken; None withdraws it."""
        self._poller.set_writer(fd, callback)

    def forget(self, fd: int) -> None:
        """Drop a descriptor before it is closed; whoever waits for it is woken and finds it closed."""
        self._poller.forget(fd)

    # Signals and the worker thread

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Call `callback` when the process gets the signal; main thread only."""
        self._signals.add(number, callback, self._waker.open().fileno())

    def run_blocking(self, call: Callable[..., T], *args: Any) -> T:
        """Run `call` on the worker thread and wait for it; return its result or raise its error.

        One call runs at a time, in order, while other tasks go on. A task that is interrupted leaves the
        call running, whose result is then dropped.
        """
        sender = self._waker.open()
        self._worker.start()
        task, token = self.begin_wait()
        self._worker.submit(
            Job(
                call=partial(call, *args),
                on_done=lambda result, error: self.wake(task, token, result, error),
                notify=partial(send_wake_up, sender),
            )
        )
        return self.park()  # type: ignore[no-any-return]

    def _on_wake(self, signal_numbers: bytes) -> None:
        self._signals.deliver(signal_numbers)
        self._worker.deliver()

    # Running

    def run(self, call: Callable[..., T], *args: Any) -> T:
        """Run `call` as a task until it ends, then end all other tasks; return or raise what it did."""
        self._adopt_current_greenlet()
        main = self.spawn(call, *args, name="main")
        main.has_joiner = True
        self._run_until(lambda: main.is_done)
        for _ in range(MAX_CANCEL_ROUNDS):  # ending a task may start others
            if not self.has_tasks:
                break
            self._cancel_all()
            self._run_until(lambda: not self.has_ready_tasks)
        self.close()
        if main.error is not None:
            raise main.error
        return main.result  # type: ignore[return-value]

    def close(self) -> None:
        """Wait for blocking calls, and close what the loop has opened for itself."""
        self._worker.close()
        if self._waker.is_open:
            self._signals.detach()
            self._waker.close()

    def _run_until(self, is_over: Callable[[], bool]) -> None:
        while not is_over():
            self._run_round()

    def _run_round(self) -> None:
        began_us = self.clock.now()
        events = self._poller.poll(began_us, self._poll_timeout_ms(began_us))
        self._poller.dispatch(events)
        if self.clock.is_virtual and not events and not self.has_ready_tasks and not self._soon:
            self._advance_clock()
        for callback in self._timers.pop_due(self.clock.now()):
            self.run_guarded("timer", callback)
        self._run_ready_tasks()
        for _ in range(len(self._soon)):
            self.run_guarded("soon", self._soon.popleft())

    def _poll_timeout_ms(self, now_us: int) -> int | None:
        """Return how long the poll may wait; None means until something comes."""
        if self.has_ready_tasks or self._soon:
            return 0
        due_us = self._timers.next_due_us()
        if self.clock.is_virtual:
            return None if self._worker.pending_jobs or due_us is None else VIRTUAL_POLL_TIMEOUT_MS
        if due_us is None:
            return None
        return max(0, -(-(due_us - now_us) // 1000))

    def _advance_clock(self) -> None:
        """Jump to the next timer, where a virtual clock has nothing else to wait for."""
        due_us = self._timers.next_due_us()
        if due_us is not None and not self._worker.pending_jobs:
            self.clock.advance_to(due_us)
            self._poller.note_clock_advanced()
