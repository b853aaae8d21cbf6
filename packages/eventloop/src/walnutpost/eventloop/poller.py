"""Descriptors: who waits for which, `select.poll` over all, and when what it reports may have come."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Protocol

from walnutpost.eventloop.clock import Clock

Callback = Callable[[], object]
READABLE = select.POLLIN | select.POLLRDHUP
WRITABLE = select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
MAX_SHORT_ROUND_US = 2_000  # a round, or a poll, of at most this length is taken as no time at all
LATE_POLL_US = 20_000  # a poll that returns this much after its time-out was held up with its process


class PollObject(Protocol):
    """What is used of `select.poll()`."""

    def register(self, fd: int, event_mask: int, /) -> object:
        """Report these events of a descriptor from now on."""

    def modify(self, fd: int, event_mask: int, /) -> object:
        """Change the events of a registered descriptor."""

    def unregister(self, fd: int, /) -> object:
        """Report nothing more of a descriptor."""

    def poll(self, timeout_ms: int | None, /) -> list[tuple[int, int]]:
        """Wait for events; return descriptors with their events."""


class _Descriptor:
    """Who waits for one descriptor, and which events the poll object reports of it."""

    __slots__ = ("created_round", "event_mask", "reader", "writer")

    def __init__(self, created_round: int) -> None:
        self.created_round = created_round
        self.event_mask = 0
        self.reader: Callback | None = None
        self.writer: Callback | None = None


class Poller:
    """Calls back once for each wait. Interest in a descriptor outlives the wait.

    A poll object rebuilds its whole array after each change, so a steady connection should cause none: events
    are added when somebody waits for them, and dropped when they come while nobody does.
    """

    def __init__(
        self,
        clock: Clock,
        run_guarded: Callable[[str, Callback], bool],
        poll_object: PollObject | None = None,
    ) -> None:
        """`run_guarded` runs a callback under a name; `poll_object` replaces the system's in tests."""
        self._clock = clock
        self._run_guarded = run_guarded
        self._poll_object: PollObject = poll_object or select.poll()
        self._descriptors: dict[int, _Descriptor] = {}
        self._round = 0
        self._polled_us = clock.now()  # what came before was reported by the polls until now
        self.arrived_after_us = self._polled_us  # see Loop.arrived_after

    def set_reader(self, fd: int, callback: Callback | None) -> None:
        """Call `callback` once when `fd` has something to read or is broken; None withdraws it."""
        descriptor = self._descriptor(fd)
        descriptor.reader = callback
        if callback is not None:
            self._register(fd, descriptor)

    def set_writer(self, fd: int, callback: Callback | None) -> None:
        """Call `callback` once when `fd` takes bytes or is broken; None withdraws it."""
        descriptor = self._descriptor(fd)
        descriptor.writer = callback
        if callback is not None:
            self._register(fd, descriptor)

    def clear_reader(self, fd: int) -> None:
        """Withdraw the reader of a descriptor that may have been forgotten meanwhile."""
        descriptor = self._descriptors.get(fd)
        if descriptor is not None:
            descriptor.reader = None

    def clear_writer(self, fd: int) -> None:
        """Withdraw the writer of a descriptor that may have been forgotten meanwhile."""
        descriptor = self._descriptors.get(fd)
        if descriptor is not None:
            descriptor.writer = None

    def forget(self, fd: int) -> None:
        """Drop a descriptor before it is closed; whoever waits for it is called back."""
        descriptor = self._descriptors.pop(fd, None)
        if descriptor is None:
            return
        if descriptor.event_mask:
            self._poll_object.unregister(fd)
        for callback in (descriptor.reader, descriptor.writer):
            if callback is not None:
                callback()

    def poll(self, began_us: int, timeout_ms: int | None) -> list[tuple[int, int]]:
        """Poll once from `began_us`, which is now; return descriptors with their events.

        Moves `arrived_after_us` to what this poll shows of when its events came.
        """
        if timeout_ms != 0 and began_us - self._polled_us > MAX_SHORT_ROUND_US:
            # Whether the events were there at once matters now, and time alone does not tell it reliably.
            events = self._poll_object.poll(0)
            if events:
                timeout_ms = 0
            else:
                self._polled_us = began_us
                events = self._poll_object.poll(timeout_ms)
        else:
            events = self._poll_object.poll(timeout_ms)
        returned_us = self._clock.now()
        took_us = returned_us - began_us
        is_late = timeout_ms is not None and took_us > timeout_ms * 1000 + LATE_POLL_US
        has_waited = timeout_ms != 0 and took_us > MAX_SHORT_ROUND_US
        self.arrived_after_us = returned_us if has_waited and not is_late else self._polled_us
        self._polled_us = began_us if is_late else returned_us
        return events

    def note_clock_advanced(self) -> None:
        """Record that a virtual clock has jumped: the jump stands for a wait in which nothing came."""
        self._polled_us = self.arrived_after_us = self._clock.now()

    def dispatch(self, events: list[tuple[int, int]]) -> None:
        """Call back those who wait for the events of one poll."""
        self._round += 1
        for fd, event_mask in events:
            self._dispatch_one(fd, event_mask)

    def _descriptor(self, fd: int) -> _Descriptor:
        return self._descriptors.get(fd) or self._descriptors.setdefault(fd, _Descriptor(self._round))

    def _register(self, fd: int, descriptor: _Descriptor) -> None:
        event_mask = descriptor.event_mask
        if descriptor.reader:
            event_mask |= READABLE
        if descriptor.writer:
            event_mask |= WRITABLE
        if event_mask != descriptor.event_mask:
            descriptor.event_mask = event_mask
            self._poll_object.register(fd, event_mask)

    def _dispatch_one(self, fd: int, events: int) -> None:
        descriptor = self._descriptors.get(fd)
        if descriptor is None or descriptor.created_round == self._round:
            return  # the event is that of a closed socket which had the same number
        reader = descriptor.reader if events & (READABLE | BROKEN) else None
        writer = descriptor.writer if events & (WRITABLE | BROKEN) else None
        if reader is not None:
            descriptor.reader = None
            self._run_guarded("reader", reader)
        if writer is not None:
            descriptor.writer = None
            self._run_guarded("writer", writer)
        # What the callbacks have just begun to wait for is no idle interest.
        idle_mask = 0
        if reader is None and descriptor.reader is None and events & (READABLE | BROKEN):
            idle_mask |= READABLE
        if writer is None and descriptor.writer is None and events & (WRITABLE | BROKEN):
            idle_mask |= WRITABLE
        if idle_mask:
            self._drop_interest(fd, descriptor, idle_mask)

    def _drop_interest(self, fd: int, descriptor: _Descriptor, idle_mask: int) -> None:
        if not descriptor.event_mask & idle_mask or self._descriptors.get(fd) is not descriptor:
            return
        descriptor.event_mask &= ~idle_mask
        if descriptor.event_mask:
            self._poll_object.modify(fd, descriptor.event_mask)
        else:
            self._poll_object.unregister(fd)
