"""Watches descriptors with `select.poll`, runs their callbacks and bounds the arrival time of events."""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Protocol

from walnutpost.eventloop.clock import Clock

Callback = Callable[[], object]
READABLE = select.POLLIN | select.POLLRDHUP
WRITABLE = select.POLLOUT
BROKEN = select.POLLERR | select.POLLHUP | select.POLLNVAL
NEGLIGIBLE_DURATION_US = 2_000  # a round or a poll of at most this length counts as instantaneous
LATE_POLL_THRESHOLD_US = 20_000  # a poll that exceeds its timeout by more shows that the process was stopped


class PollObject(Protocol):
    """The methods of `select.poll()` that the poller uses."""

    def register(self, fd: int, event_mask: int, /) -> object:
        """Start reporting these events of a descriptor."""

    def modify(self, fd: int, event_mask: int, /) -> object:
        """Change the events of a registered descriptor."""

    def unregister(self, fd: int, /) -> object:
        """Stop reporting events of a descriptor."""

    def poll(self, timeout_ms: int | None, /) -> list[tuple[int, int]]:
        """Wait for events; return pairs of a descriptor and its events."""


class _Descriptor:
    """The callbacks that wait for a descriptor, and the events that the poll object reports for it."""

    __slots__ = ("created_round", "event_mask", "reader", "writer")

    def __init__(self, created_round: int) -> None:
        self.created_round = created_round
        self.event_mask = 0
        self.reader: Callback | None = None
        self.writer: Callback | None = None


class Poller:
    """Watches descriptors, and calls each reader or writer back once.

    A descriptor stays registered after its callback has run, because a poll object rebuilds its whole array
    after each change, and a connection in regular use should cause no changes. Events are registered when a
    callback is set for them, and unregistered when they occur without a callback.
    """

    def __init__(
        self,
        clock: Clock,
        run_guarded: Callable[[str, Callback], bool],
        poll_object: PollObject | None = None,
    ) -> None:
        """`run_guarded` runs a callback and reports its errors under a name; tests pass a `poll_object`."""
        self._clock = clock
        self._run_guarded = run_guarded
        self._poll_object: PollObject = poll_object or select.poll()
        self._descriptors: dict[int, _Descriptor] = {}
        self._round = 0
        self._reported_until_us = clock.now()  # earlier events were reported by earlier polls
        self.arrived_after_us = self._reported_until_us  # see Loop.arrived_after

    def set_reader(self, fd: int, callback: Callback | None) -> None:
        """Call `callback` once when `fd` is readable or has an error; None removes the callback."""
        descriptor = self._get_or_add_descriptor(fd)
        descriptor.reader = callback
        if callback is not None:
            self._register(fd, descriptor)

    def set_writer(self, fd: int, callback: Callback | None) -> None:
        """Call `callback` once when `fd` is writable or has an error; None removes the callback."""
        descriptor = self._get_or_add_descriptor(fd)
        descriptor.writer = callback
        if callback is not None:
            self._register(fd, descriptor)

    def clear_reader(self, fd: int) -> None:
        """Remove the reader of `fd`; do nothing if `fd` is no longer watched."""
        descriptor = self._descriptors.get(fd)
        if descriptor is not None:
            descriptor.reader = None

    def clear_writer(self, fd: int) -> None:
        """Remove the writer of `fd`; do nothing if `fd` is no longer watched."""
        descriptor = self._descriptors.get(fd)
        if descriptor is not None:
            descriptor.writer = None

    def stop_watching(self, fd: int) -> None:
        """Stop watching a descriptor that is about to be closed, and call its reader and writer."""
        descriptor = self._descriptors.pop(fd, None)
        if descriptor is None:
            return
        if descriptor.event_mask:
            self._poll_object.unregister(fd)
        for callback in (descriptor.reader, descriptor.writer):
            if callback is not None:
                callback()

    def poll(self, start_us: int, timeout_ms: int | None) -> list[tuple[int, int]]:
        """Poll once, beginning now at `start_us`; return pairs of a descriptor and its events.

        Sets `arrived_after_us` to a lower bound on the arrival time of these events.
        """
        if timeout_ms != 0 and start_us - self._reported_until_us > NEGLIGIBLE_DURATION_US:
            # The last poll was a while ago, so it matters whether events are already there. The duration of a
            # poll would not show this reliably, so poll without waiting first.
            events = self._poll_object.poll(0)
            if events:
                timeout_ms = 0
            else:
                self._reported_until_us = start_us
                events = self._poll_object.poll(timeout_ms)
        else:
            events = self._poll_object.poll(timeout_ms)
        returned_us = self._clock.now()
        duration_us = returned_us - start_us
        is_late = timeout_ms is not None and duration_us > timeout_ms * 1000 + LATE_POLL_THRESHOLD_US
        has_waited = timeout_ms != 0 and duration_us > NEGLIGIBLE_DURATION_US
        self.arrived_after_us = returned_us if has_waited and not is_late else self._reported_until_us
        self._reported_until_us = start_us if is_late else returned_us
        return events

    def record_clock_advance(self) -> None:
        """Record that a virtual clock has advanced, which counts as a wait without events."""
        self._reported_until_us = self.arrived_after_us = self._clock.now()

    def dispatch(self, events: list[tuple[int, int]]) -> None:
        """Call the readers and writers that wait for the events of one poll."""
        self._round += 1
        for fd, event_mask in events:
            self._dispatch_one(fd, event_mask)

    def _get_or_add_descriptor(self, fd: int) -> _Descriptor:
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
            return  # the event belongs to a closed socket that had the same descriptor number
        reader = descriptor.reader if events & (READABLE | BROKEN) else None
        writer = descriptor.writer if events & (WRITABLE | BROKEN) else None
        if reader is not None:
            descriptor.reader = None
            self._run_guarded("reader", reader)
        if writer is not None:
            descriptor.writer = None
            self._run_guarded("writer", writer)
        # Events for which a callback has just set a new reader or writer are still wanted.
        unwanted_mask = 0
        if reader is None and descriptor.reader is None and events & (READABLE | BROKEN):
            unwanted_mask |= READABLE
        if writer is None and descriptor.writer is None and events & (WRITABLE | BROKEN):
            unwanted_mask |= WRITABLE
        if unwanted_mask:
            self._unregister_events(fd, descriptor, unwanted_mask)

    def _unregister_events(self, fd: int, descriptor: _Descriptor, unwanted_mask: int) -> None:
        if not descriptor.event_mask & unwanted_mask or self._descriptors.get(fd) is not descriptor:
            return
        descriptor.event_mask &= ~unwanted_mask
        if descriptor.event_mask:
            self._poll_object.modify(fd, descriptor.event_mask)
        else:
            self._poll_object.unregister(fd)
