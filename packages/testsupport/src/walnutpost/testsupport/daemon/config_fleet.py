"""A test fleet whose front end watches a fake relay."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

from walnutpost.config.entries import FUNCTION_PREFIX, encode_site, encode_value
from walnutpost.config.site import FunctionConfig
from walnutpost.configstore import ConfigStore, Mutation
from walnutpost.daemon.config_watch import ConfigWatch
from walnutpost.testsupport.daemon.fake_relay import FakeRelay
from walnutpost.testsupport.daemon.fleet import Fleet

CLASS_NAMES = ["valuation", "reservation"]
FUNCTION_SETTINGS = {"class": "valuation", "memory_mb": 100, "lanes": 2, "load_ms": 50}
FAST_WORK = {"work_ms": 20, "spread": 0, "load_ms": 50}
SITE_SETTINGS = {
    "site": {
        "functions": dict.fromkeys(("left", "right", "extra"), FUNCTION_SETTINGS),
        "rules": {"free_loads": 99},
    },
    "fleet": {"work": dict.fromkeys(("left", "right", "extra"), FAST_WORK)},
}


def function_entry(version: int = 1, **overrides: str | int) -> bytes:
    """Return the stored value of a function; `overrides` replace its default settings."""
    settings = {"class": "valuation", "memory_mb": 100, "lanes": 2, "load_ms": 50, "version": str(version)}
    return encode_value(FunctionConfig.model_validate(settings | overrides))


def put_function(name: str, version: int = 1, **overrides: str | int) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, function_entry(version, **overrides))


def delete_function(name: str) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, None)


class ConfigFleet(Fleet):
    """A fleet whose front end watches a fake relay.

    `has_stored_config`: whether the relay's store starts with the front end's configuration or empty.
    """

    def __init__(
        self, path: Path, overrides: dict[str, Any] | None = None, has_stored_config: bool = True
    ) -> None:
        super().__init__(path, overrides or SITE_SETTINGS)
        self.has_stored_config = has_stored_config
        self.relay: FakeRelay
        self.relay_addresses: dict[str, str] = {}
        self.watch_overrides: dict[str, Any] = {}

    def run_script(self, script: Callable[[], None]) -> None:
        """Start the workers, the relay and the front end, and run `script` in a task."""

        def main() -> None:
            self.start_workers()
            store = ConfigStore()
            if self.has_stored_config:
                store.propose(
                    1, [Mutation(key, value) for key, value in encode_site(self.config.site).items()]
                )
            self.start_relay(store)
            self.start_front_end()
            script()

        try:
            self.loop.run(main)
        finally:
            if hasattr(self, "front"):
                self.front.close()
        assert not self.errors, self.errors

    def start_relay(self, store: ConfigStore) -> None:
        self.relay = FakeRelay(self.loop, store)
        self.relay_addresses = {"r1": "{}:{}".format(*self.relay.address)}

    def start_front_end(self, listed: bool = True) -> None:
        settings = json.loads(self.front_config.model_dump_json(by_alias=True, exclude_unset=True))
        settings["agreement"] = {"member": "front-0", "relays": self.relay_addresses} | self.watch_overrides
        self.front_config = type(self.front_config).model_validate(settings)
        self.front = self.start_front(listed)

    def remove_from_own_config(self, name: str) -> None:
        """Remove a function from the front end's configuration file, as if the file were outdated."""
        site = self.front_config.site
        remaining = {other: config for other, config in site.functions.items() if other != name}
        site = site.model_copy(update={"functions": remaining})
        self.front_config = self.front_config.model_copy(update={"site": site})

    @property
    def config_watch(self) -> ConfigWatch:
        assert self.front.config_watch is not None
        return self.front.config_watch

    def commit_and_wait(self, *mutations: Mutation) -> int:
        """Commit a change set, wait until the front end has applied it, and return its revision."""
        revision = self.relay.commit(list(mutations))
        self.wait_until(lambda: self.config_watch.watch_state.applied_revision == revision)
        return revision

    def invoked_version(self, function: str) -> str:
        """Call a function and return the version that was executed."""
        response = self.invoke(function)
        assert response.status == 200, (response.status, response.body)
        return response.headers["x-amz-executed-version"]

    def count_logged(self, event: str, text: str) -> int:
        """Count the log events of this name whose fields contain `text`."""
        return sum(name == event and text in repr(fields) for name, fields in self.log.events)
