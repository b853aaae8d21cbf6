"""The front end's config watch: receives changes of the configuration store from relays at runtime.

No call waits for it.
"""

from __future__ import annotations

from walnutpost.configstore import ApplyOutcome, WatchState
from walnutpost.daemon.config_application import ConfigApplier
from walnutpost.daemon.config_cache import ConfigCache
from walnutpost.eventloop import Loop, Task
from walnutpost.watch import Watcher

US_PER_S = 1_000_000
FIRST_ANSWER_TIMEOUT_US = US_PER_S  # limits how long the start waits for a relay
POLL_INTERVAL_US = 10_000


class ConfigWatch:
    """Starts and stops the watcher of the configuration store, and tells whether its state is current.

    `watcher` updates `watch_state`, and passes each outcome to `applier`. `cache` has the last applied store.
    """

    def __init__(
        self,
        loop: Loop,
        watch_state: WatchState,
        watcher: Watcher,
        applier: ConfigApplier,
        cache: ConfigCache,
    ) -> None:
        self._loop = loop
        self.watch_state = watch_state
        self.watcher = watcher
        self.applier = applier
        self.cache = cache
        self._watch_task: Task[None] | None = None

    @property
    def is_stale(self) -> bool:
        """Whether no leader has confirmed the applied revision in the last 9 s."""
        return self.watch_state.is_stale(self._loop.now())

    @property
    def is_up_to_date(self) -> bool:
        """Whether this process has received and validated all committed changes."""
        return self.watcher.is_complete and not self.applier.is_validating

    def catch_up(self) -> None:
        """Apply the cached store, then start watching and wait up to FIRST_ANSWER_TIMEOUT_US for a relay."""
        if self.watch_state.store.revision:
            self.applier.handle_outcome(ApplyOutcome(is_store_replaced=True))
            self.applier.join_validation()
        self._watch_task = self._loop.spawn(self.watcher.run, name="settings")
        deadline_us = self._loop.now() + FIRST_ANSWER_TIMEOUT_US
        while self._loop.now() < deadline_us and not self.is_up_to_date:
            self._loop.sleep(POLL_INTERVAL_US)

    def stop(self) -> None:
        """Stop watching, and write the applied store if it is not on disk yet."""
        self.watcher.stop()
        self.applier.stop()
        self.cache.close()
