"""The thread for calls that block: one call at a time, in order, while the loop's tasks go on."""

from __future__ import annotations

import queue
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

JOIN_TIMEOUT_S = 10.0  # what the thread gets at the end to finish the calls that it was given


@dataclass(slots=True)
class Job:
    """A blocking call and, once it has run, its outcome."""

    call: Callable[[], Any]
    on_done: Callable[[Any, Exception | None], object]  # gets the result or the error, on the loop's thread
    notify: Callable[[], None]  # called on the worker thread once the outcome is there
    result: Any = None
    error: Exception | None = None


class WorkerThread:
    """Runs jobs on a thread that is started when first needed, and hands their outcomes to the loop."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[Job | None] | None = None
        self._thread: threading.Thread | None = None
        self._finished: deque[Job] = deque()
        self.pending_jobs = 0  # submitted, and their outcomes not delivered yet

    def submit(self, job: Job) -> None:
        """Run `job` after those submitted before."""
        self.pending_jobs += 1
        self._job_queue().put(job)

    def start(self) -> None:
        """Start the thread unless it runs."""
        self._job_queue()

    def deliver(self) -> None:
        """Hand over the outcomes that are there; for the loop's thread, after a notification."""
        while self._finished:
            job = self._finished.popleft()
            self.pending_jobs -= 1
            job.on_done(job.result, job.error)

    def close(self) -> None:
        """Wait for the submitted jobs, at most JOIN_TIMEOUT_S: what they work on is closed after the loop."""
        if self._jobs is not None:
            self._jobs.put(None)
            self._jobs = None
            assert self._thread is not None
            self._thread.join(JOIN_TIMEOUT_S)

    def _job_queue(self) -> queue.SimpleQueue[Job | None]:
        if self._jobs is None:
            self._jobs = queue.SimpleQueue()
            self._thread = threading.Thread(target=self._run_jobs, args=(self._jobs,), daemon=True)
            self._thread.start()
        return self._jobs

    def _run_jobs(self, jobs: queue.SimpleQueue[Job | None]) -> None:
        while (job := jobs.get()) is not None:
            try:
                job.result = job.call()
            except Exception as error:
                job.error = error
            self._finished.append(job)
            job.notify()
