"""A thread for blocking calls, which run one at a time and in order while the loop's tasks continue."""

from __future__ import annotations

import queue
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

JOIN_TIMEOUT_S = 10.0  # time for the thread to finish its submitted jobs when the loop closes


@dataclass(slots=True)
class Job:
    """A blocking call and, after it has run, its outcome."""

    call: Callable[[], Any]
    on_done: Callable[
        [Any, Exception | None], object
    ]  # receives the result or the error, on the loop's thread
    notify: Callable[[], None]  # called on the worker thread when the outcome is available
    result: Any = None
    error: Exception | None = None


class WorkerThread:
    """Runs jobs on a thread that is started on first use, and delivers their outcomes to the loop."""

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[Job | None] | None = None
        self._thread: threading.Thread | None = None
        self._finished: deque[Job] = deque()
        self.pending_jobs = 0  # submitted jobs whose outcome is not yet delivered

    def submit(self, job: Job) -> None:
        """Queue `job`; it runs after the jobs submitted before it."""
        self.pending_jobs += 1
        self._job_queue().put(job)

    def start(self) -> None:
        """Start the thread unless it is running."""
        self._job_queue()

    def deliver(self) -> None:
        """Deliver the available outcomes; called on the loop's thread after a notification."""
        while self._finished:
            job = self._finished.popleft()
            self.pending_jobs -= 1
            job.on_done(job.result, job.error)

    def close(self) -> None:
        """Wait up to JOIN_TIMEOUT_S for submitted jobs: the resources they use are closed after the loop."""
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
