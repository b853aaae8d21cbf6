"""Tasks, timers, waiting for descriptors, signals and the helper thread."""

from __future__ import annotations

import queue
import select
import signal
import socket
import threading
from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from greenlet import getcurrent, greenlet

from walnutpost.eventloop.clock import BootTime, Clock, RealClock
from walnutpost.eventloop.timers import Timer, WheelTimers

T = TypeVar("T")
READ, WRITE = select.POLLIN | select.POLLRDHUP, select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
OPS_A_TURN = 32  # socket calls that a task may make without waiting, before others get their turn
HELPER_PATIENCE = 10.0  # seconds that the helper thread gets at the end to finish what it was given
EXTRA_TURNS = 64  # of tasks that others of the same round made ready, before the sockets are looked at again
GRACE_MS = 1  # real time that a virtual clock gives the kernel to deliver before it jumps
SHORT_ROUND_US = 2_000  # a round, or a poll, of at most this length is taken as no time at all
LATE_POLL_US = 20_000  # a poll that returns this much after its time-out was held up with its process


class Cancelled(BaseException):
    """Thrown into a task that is being ended; not an Exception, so that no `except Exception` keeps it."""


class Timeout(Exception):
    """A wait took longer than its `Loop.timeout` allows."""


class Task(Generic[T]):
    """A greenlet and its fate. `result` or `error` is set when `done`."""

    __slots__ = (
        "_greenlet",
        "_hub",
        "awaited",
        "done",
        "error",
        "name",
        "ops",
        "pending",
        "result",
        "token",
        "watchers",
    )

    def __init__(self, loop: Loop, name: str, call: Callable[[], T]) -> None:
        self.name = name
        self.done = False
        self.awaited = False  # somebody will see its error
        self.result: T | None = None
        self.error: BaseException | None = None
        self.token = 0  # of the present wait; odd while waiting
        self.ops = 0
        self.pending: list[BaseException] = []  # what came while it was not waiting; thrown at its next wait
        self.watchers: list[Callable[[], object]] = []
        self._hub = loop
        self._greenlet = greenlet(lambda _: loop._body(self, call), parent=loop.hub)

    def cancel(self) -> None:
        """Ends the task at its present or next wait; nothing if it has ended."""
        if not self.done:
            self._hub.interrupt(self, Cancelled())

    def join(self) -> T:
        """Waits for the end; raises what the task raised."""
        if not self.done:
            loop = self._hub
            self.awaited = True
            me, token = loop.waiting()
            self.watchers.append(lambda: loop.wake(me, token))
            loop.park()
        if self.error is not None:
            raise self.error
        return self.result  # type: ignore[return-value]


class _Scope:
    """What `Loop.timeout` returns; the Timeout it would throw is bound by `with ... as`."""

    __slots__ = ("_delay", "_loop", "_task", "_timeout", "_timer")

    def __init__(self, loop: Loop, delay: int) -> None:
        self._loop = loop
        self._delay = delay

    def __enter__(self) -> Timeout:
        loop = self._loop
        self._task = loop.current()
        self._timeout = Timeout("it took too long")
        self._timer = loop.call_later(self._delay, self._fire)
        return self._timeout

    def _fire(self) -> None:
        self._loop.interrupt(self._task, self._timeout)

    def __exit__(self, *_: object) -> None:
        self._timer.cancel()
        pending = self._task.pending
        if pending and self._timeout in pending:
            pending.remove(self._timeout)


class _Descriptor:
    """Who waits for one descriptor, and what the poll object was told of it."""

    __slots__ = ("born", "mask", "reader", "writer")

    def __init__(self, born: int) -> None:
        self.born = born  # the round it was made in
        self.mask = 0
        self.reader: Callable[[], object] | None = None
        self.writer: Callable[[], object] | None = None


class Periodic:
    """What `Loop.every` returns. `failures` counts the runs that raised; each was reported."""

    __slots__ = ("_callback", "_loop", "_name", "_period", "_timer", "failures")

    def __init__(self, loop: Loop, name: str, period: int, callback: Callable[[], object]) -> None:
        self._loop = loop
        self._name = name
        self._period = period
        self._callback = callback
        self._timer = loop.call_later(period, self._run)
        self.failures = 0

    def _run(self) -> None:
        # Armed first: an error that nobody expected must cost one run, not all that would follow.
        self._timer = self._loop.call_later(self._period, self._run)
        self.failures += not self._loop.guarded(self._name, self._callback)

    def cancel(self) -> None:
        self._timer.cancel()


class Loop:
    """One thread's tasks. Two loops share nothing, and each belongs to the thread that runs it.

    Fairness: each round polls once, runs due timers, then gives each task that was ready at its start a
    turn, and EXTRA_TURNS to tasks that became ready meanwhile. A task whose socket calls all succeed
    gives way after OPS_A_TURN of them. A task that only computes is not interrupted: it calls `breathe`.
    """

    def __init__(
        self, clock: Clock | None = None, on_error: Callable[[str, BaseException], None] | None = None
    ):
        self.clock = clock or RealClock()
        self.hub: Any = getcurrent()
        self._on_error = on_error or (lambda name, error: None)
        self._timers = WheelTimers(self.clock.now())
        self._ready: deque[tuple[Task[Any], Any, BaseException | None]] = deque()
        self._poll = select.poll()
        self._descriptors: dict[int, _Descriptor] = {}
        self._round = 0
        self._polled_us = self.clock.now()  # whatever came before was reported by the polls until now
        self._arrived_after_us = self._polled_us
        self._current: Task[Any] | None = None
        self._tasks: dict[Task[Any], None] = {}
        self._jobs: queue.SimpleQueue[Callable[[], object] | None] | None = None
        self._thread: threading.Thread | None = None
        self._job_count = 0
        self._finished: deque[Callable[[], object]] = deque()
        self._soon: deque[Callable[[], object]] = deque()
        self._waker: tuple[socket.socket, socket.socket] | None = None
        self._signals: dict[int, Callable[[], object]] = {}

    # Time

    def now(self) -> int:
        return self.clock.now()

    def boot_time(self) -> BootTime:
        return self.clock.boot_time()

    def arrived_after(self) -> int:
        """A time before which nothing came that this round's poll reported, nor anything that it did not
        report and that is found in this round: bytes, ends and connections of descriptors that were waited
        for since before the previous poll, or were found empty after it.

        Events that were there at once came after the previous poll returned, however long ago that is: a
        process that was stopped reads late. Events that ended a wait came when it ended, unless it ended
        long after its time-out: then the process was stopped in it, and they came after it began. Not seen
        is a stop within a wait that ends before the time-out; it hides at most the length of that wait.
        """
        return self._arrived_after_us

    def call_at(self, when: int, callback: Callable[[], object]) -> Timer:
        """Runs `callback` between tasks at or after `when`; it must not wait."""
        return self._timers.add(when, callback)

    def call_later(self, delay: int, callback: Callable[[], object]) -> Timer:
        return self._timers.add(self.clock.now() + delay, callback)

    def every(self, period: int, callback: Callable[[], object], name: str = "periodic") -> Periodic:
        """Runs `callback` each `period`, for the first time after one, whether or not it raises."""
        return Periodic(self, name, period, callback)

    def call_soon(self, callback: Callable[[], object]) -> None:
        """Runs `callback` at the end of this round, before the sockets are looked at again: what many
        callbacks of a round have to write leaves in one go. It must not wait."""
        self._soon.append(callback)

    def sleep(self, delay: int) -> None:
        task, token = self.waiting()
        timer = self.call_later(delay, lambda: self.wake(task, token))
        try:
            self.park()
        finally:
            timer.cancel()

    def timeout(self, delay: int) -> _Scope:
        """A block that throws Timeout into whatever wait it is in when `delay` is over; blocks nest."""
        return _Scope(self, delay)

    # Tasks

    def spawn(self, call: Callable[..., T], *args: Any, name: str = "") -> Task[T]:
        task: Task[T] = Task(self, name or getattr(call, "__name__", "task"), lambda: call(*args))
        self._tasks[task] = None
        task.token += 1
        self.wake(task, task.token)
        return task

    def current(self) -> Task[Any]:
        if self._current is None:
            raise RuntimeError("only a task of this loop can wait; this is a callback or another thread")
        return self._current

    def waiting(self) -> tuple[Task[Any], int]:
        """Announces a wait of the current task: `wake` with this token ends it, once. Then call `park`."""
        task = self.current()
        task.token += 1
        return task, task.token

    def park(self) -> Any:
        """Waits until woken; returns the value given to `wake`."""
        task = self.current()
        task.ops = 0
        if task.pending:
            task.token += 1
            raise task.pending.pop(0)
        return self.hub.switch()

    def wake(
        self, task: Task[Any], token: int, value: Any = None, error: BaseException | None = None
    ) -> bool:
        """Ends the wait announced with `token`; False if something else ended it before."""
        if task.token != token or task.done:
            return False
        task.token += 1
        self._ready.append((task, value, error))
        return True

    def interrupt(self, task: Task[Any], error: BaseException) -> None:
        """Throws `error` into the task's present wait, or its next one."""
        if not (task.token & 1 and task is not self._current and self.wake(task, task.token, error=error)):
            task.pending.append(error)

    def breathe(self) -> None:
        """Gives every other ready task and the sockets their turn."""
        task, token = self.waiting()
        self.wake(task, token)
        self.park()

    def spent(self) -> None:
        """Counts one socket call that did not wait."""
        task = self._current
        if task is not None:
            task.ops += 1
            if task.ops >= OPS_A_TURN:
                self.breathe()

    def _body(self, task: Task[T], call: Callable[[], T]) -> None:
        try:
            if task.pending:  # ended before it began
                raise task.pending.pop(0)
            task.result = call()
        except Cancelled as error:
            task.error = error
        except Exception as error:
            task.error = error
            if not task.awaited:  # nobody waits for it: the error ends this task alone, and is told
                self._on_error(task.name, error)
        self._ended(task)

    def _ended(self, task: Task[Any]) -> None:
        task.done = True
        self._tasks.pop(task, None)
        for watcher in task.watchers:
            watcher()

    # Descriptors

    def wait_readable(self, fd: int) -> None:
        task, token = self.waiting()
        self._watch(fd).reader = lambda: self.wake(task, token)
        self._tell(fd)
        try:
            self.park()
        finally:
            if fd in self._descriptors:
                self._descriptors[fd].reader = None

    def wait_writable(self, fd: int) -> None:
        task, token = self.waiting()
        self._watch(fd).writer = lambda: self.wake(task, token)
        self._tell(fd)
        try:
            self.park()
        finally:
            if fd in self._descriptors:
                self._descriptors[fd].writer = None

    def on_readable(self, fd: int, callback: Callable[[], object] | None) -> None:
        """Calls `callback` once when `fd` has something to read, or is broken; None takes it back."""
        self._watch(fd).reader = callback
        if callback is not None:
            self._tell(fd)

    def on_writable(self, fd: int, callback: Callable[[], object] | None) -> None:
        """Calls `callback` once when `fd` takes bytes, or is broken; None takes it back."""
        self._watch(fd).writer = callback
        if callback is not None:
            self._tell(fd)

    def forget(self, fd: int) -> None:
        """To be called before `fd` is closed; who waits for it is woken and finds it closed."""
        known = self._descriptors.pop(fd, None)
        if known is not None:
            if known.mask:
                self._poll.unregister(fd)
            for callback in (known.reader, known.writer):
                if callback is not None:
                    callback()

    def _watch(self, fd: int) -> _Descriptor:
        return self._descriptors.get(fd) or self._descriptors.setdefault(fd, _Descriptor(self._round))

    def _tell(self, fd: int) -> None:
        """Interest is only added here; what nobody waits for any more is dropped when it next fires. A
        poll object rebuilds its whole array after each change, so a steady connection should cause none."""
        known = self._descriptors[fd]
        mask = known.mask | (READ if known.reader else 0) | (WRITE if known.writer else 0)
        if mask != known.mask:
            known.mask = mask
            self._poll.register(fd, mask)

    def _fired(self, fd: int, events: int) -> None:
        known = self._descriptors.get(fd)
        if (
            known is None or known.born == self._round
        ):  # the event is one of a closed socket's, under this number
            return
        reader = known.reader if events & (READ | BROKEN) else None
        writer = known.writer if events & (WRITE | BROKEN) else None
        if reader is not None:
            known.reader = None
            self.guarded("reader", reader)
        if writer is not None:
            known.writer = None
            self.guarded("writer", writer)
        # What the callbacks have just begun to wait for is no idle interest.
        idle = 0
        if reader is None and known.reader is None and events & (READ | BROKEN):
            idle |= READ
        if writer is None and known.writer is None and events & (WRITE | BROKEN):
            idle |= WRITE
        if idle and known.mask & idle and self._descriptors.get(fd) is known:
            known.mask &= ~idle
            if known.mask:
                self._poll.modify(fd, known.mask)
            else:
                self._poll.unregister(fd)

    # Signals and the helper thread

    def _wakeable(self) -> socket.socket:
        if self._waker is None:
            self._waker = socket.socketpair()
            for end in self._waker:
                end.setblocking(False)
            self._listen_to_waker()
        return self._waker[1]

    def _listen_to_waker(self) -> None:
        assert self._waker is not None
        self.on_readable(self._waker[0].fileno(), self._woken)

    def _woken(self) -> None:
        assert self._waker is not None
        try:
            told = self._waker[0].recv(4096)
        except BlockingIOError:
            told = b""
        self._listen_to_waker()  # first: what a callback raises must not leave the next signal unheard
        for number in told:
            callback = self._signals.get(number)
            if callback is not None:
                self.guarded("signal", callback)
        while self._finished:
            self._finished.popleft()()

    def on_signal(self, number: int, callback: Callable[[], object]) -> None:
        """Calls `callback` between tasks when the process gets the signal; main thread only."""
        signal.set_wakeup_fd(self._wakeable().fileno(), warn_on_full_buffer=False)
        self._signals[number] = callback
        signal.signal(number, lambda *_: None)

    def blocking(self, call: Callable[..., T], *args: Any) -> T:
        """Runs `call` on the helper thread, one call at a time and in order, while other tasks go on. A
        task that is interrupted leaves the call running; its result is then dropped."""
        waker = self._wakeable()
        if self._jobs is None:
            self._jobs = queue.SimpleQueue()
            self._thread = threading.Thread(target=self._helper, args=(self._jobs,), daemon=True)
            self._thread.start()
        task, token = self.waiting()

        def job() -> None:
            value: Any = None
            failure: BaseException | None = None
            try:
                value = call(*args)
            except Exception as error:
                failure = error

            def finish() -> None:
                self._job_count -= 1
                self.wake(task, token, value, failure)

            self._finished.append(finish)
            try:
                waker.send(b"\0")
            except BlockingIOError:
                pass  # full of wake-ups already
            except OSError:
                pass  # the loop has been closed

        self._job_count += 1
        self._jobs.put(job)
        return self.park()  # type: ignore[no-any-return]

    @staticmethod
    def _helper(jobs: queue.SimpleQueue[Callable[[], object] | None]) -> None:
        while (job := jobs.get()) is not None:
            job()

    # Running

    def run(self, call: Callable[..., T], *args: Any) -> T:
        """Runs `call` as a task until it ends, then ends all other tasks; returns or raises what it did."""
        self.hub = getcurrent()
        main = self.spawn(call, *args, name="main")
        main.awaited = True
        self._rounds(lambda: main.done)
        for _ in range(1000):  # ending a task may start others; a stubborn one must not hang the program
            if not self._tasks:
                break
            for task in list(self._tasks):
                task.cancel()
            self._rounds(lambda: not self._ready)
        self.close()
        if main.error is not None:
            raise main.error
        return main.result  # type: ignore[return-value]

    def close(self) -> None:
        if self._jobs is not None:
            # What a job works on is closed after the loop: no job may still be at it then.
            self._jobs.put(None)
            self._jobs = None
            assert self._thread is not None
            self._thread.join(HELPER_PATIENCE)
        if self._waker is not None:
            if self._signals:
                signal.set_wakeup_fd(-1)
            for end in self._waker:
                self.forget(end.fileno())
                end.close()
            self._waker = None

    def _rounds(self, over: Callable[[], bool]) -> None:
        ready = self._ready
        while not over():
            events = self._poll_events()
            self._round += 1
            for fd, what in events:
                self._fired(fd, what)
            if self.clock.virtual and not events and not ready and not self._soon:
                self._jump()
            for callback in self._timers.due(self.clock.now()):
                self.guarded("timer", callback)
            for _ in range(len(ready) + EXTRA_TURNS):
                if not ready:
                    break
                task, value, thrown = ready.popleft()
                self._current = task
                if thrown is None:
                    task._greenlet.switch(value)
                elif not task._greenlet:  # ended before it began
                    task.error = thrown
                    self._ended(task)
                else:
                    task._greenlet.throw(thrown)
                self._current = None
            for _ in range(len(self._soon)):
                self.guarded("soon", self._soon.popleft())

    def _poll_events(self) -> list[tuple[int, int]]:
        """Polls once, and keeps what that tells of when its events came (`arrived_after`)."""
        began = self.clock.now()
        timeout_ms = self._wait_ms(began)
        if timeout_ms != 0 and began - self._polled_us > SHORT_ROUND_US:
            # Whether the events were there at once matters now, and time alone would not tell it surely.
            events = self._poll.poll(0)
            if events:
                timeout_ms = 0
            else:
                self._polled_us = began
                events = self._poll.poll(timeout_ms)
        else:
            events = self._poll.poll(timeout_ms)
        returned = self.clock.now()
        late = timeout_ms is not None and returned - began > timeout_ms * 1000 + LATE_POLL_US
        waited = timeout_ms != 0 and returned - began > SHORT_ROUND_US
        self._arrived_after_us = returned if waited and not late else self._polled_us
        self._polled_us = began if late else returned
        return events

    def guarded(self, what: str, callback: Callable[[], object]) -> bool:
        """Runs it; False if it raised, which is reported. One callback's error must not end the loop, and
        with it everything else."""
        try:
            callback()
        except Exception as error:
            self._on_error(what, error)
            return False
        return True

    def _wait_ms(self, now: int) -> int | None:
        if self._ready or self._soon:
            return 0
        due = self._timers.next()
        if self.clock.virtual:
            return None if self._job_count or due is None else GRACE_MS
        if due is None:
            return None
        return max(0, -(-(due - now) // 1000))

    def _jump(self) -> None:
        due = self._timers.next()
        if due is not None and not self._job_count:
            self.clock.jump(due)
            # The jump stands for a wait in which nothing came.
            self._polled_us = self._arrived_after_us = self.clock.now()
