"""Application of configuration store revisions: decides when a front end uses new settings."""

from __future__ import annotations

from walnutpost.configstore import ApplyOutcome, WatchState
from walnutpost.daemon.config_cache import ConfigCache
from walnutpost.daemon.config_validation import ConfigValidator
from walnutpost.daemon.dynamic_functions import DynamicFunctions
from walnutpost.eventloop import Logger, Loop, Task


class ConfigApplier:
    """Validates each revision of the watched store, and applies the valid ones.

    Only functions are taken from the store; classes, tenants and all other settings come from the
    configuration file. A function with an unknown class blocks its revision and all later ones until one
    corrects it; the reason is reported to the relays. Only `_apply` changes the settings in use: it applies
    a whole revision at once, without waiting.
    """

    def __init__(
        self,
        loop: Loop,
        watch_state: WatchState,
        functions: DynamicFunctions,
        cache: ConfigCache,
        log: Logger,
    ) -> None:
        self._loop = loop
        self._watch_state = watch_state
        self._functions = functions
        self._cache = cache
        self._log = log
        self.validator = ConfigValidator(loop, functions)
        self._validation: Task[None] | None = None
        self._reported_reason = ""

    @property
    def is_validating(self) -> bool:
        """Whether the functions of a store that was replaced are being validated."""
        return self._validation is not None

    def handle_outcome(self, outcome: ApplyOutcome) -> None:
        """Validate and apply the changes in a watch response; the next watch request acknowledges them.

        Does not wait: if the whole store was replaced, it is validated in a separate task.
        """
        if outcome.is_store_replaced:
            self.validator.mark_replaced()
        self.validator.mark_changed(
            mutation.key for change in outcome.changes for mutation in change.mutations
        )
        self.validator.mark_changed(outcome.repaired_keys)
        if outcome.repaired_keys:
            self._cache.mark_outdated()
        if self._validation is not None:
            return  # the running validation covers these changes
        if self.validator.must_validate_all:
            self._validation = self._loop.spawn(self._validate_all, name="validate settings")
        else:
            self._apply()

    def join_validation(self) -> None:
        """Wait for the validation in progress, if there is one."""
        if self._validation is not None:
            self._validation.join()

    def stop(self) -> None:
        """Cancel the validation in progress, if there is one."""
        if self._validation is not None:
            self._validation.cancel()

    def _validate_all(self) -> None:
        try:
            while self.validator.must_validate_all:
                self.validator.validate_all(self._watch_state.store.entries)
        finally:
            self._validation = None
        self._apply()

    def _apply(self) -> None:
        """Validate the changes since the last validation, and apply the revision if it is valid."""
        store = self._watch_state.store
        self.validator.validate_changed(store.entries)
        reason = self.validator.blocked_reason
        if reason:
            self._report_blocked(store.revision, reason)
            return
        function_count = self.validator.function_count
        if store.entries is not self._functions.entries:
            self._functions.replace_all(store.entries, function_count)
        if store.revision > self._watch_state.applied_revision:
            self._watch_state.mark_applied(store.revision)
            self._reported_reason = ""
            self._log.info("config_applied", revision=store.revision, functions=function_count)
        self._cache.schedule_write(store)

    def _report_blocked(self, revision: int, reason: str) -> None:
        self._watch_state.mark_blocked(revision, reason)
        if reason != self._reported_reason:
            self._reported_reason = reason
            applied = self._watch_state.applied_revision
            self._log.warning("config_blocked", revision=revision, reason=reason, applied_revision=applied)
