"""A fleet whose front end watches a fake relay."""

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

CLASSES = ["valuation", "reservation"]
PAIR = {"class": "valuation", "memory_mb": 100, "lanes": 2, "load_ms": 50}
QUICK = {"work_ms": 20, "spread": 0, "load_ms": 50}
SITE = {
    "site": {"functions": dict.fromkeys(("left", "right", "extra"), PAIR), "rules": {"free_loads": 99}},
    "fleet": {"work": dict.fromkeys(("left", "right", "extra"), QUICK)},
}


def function_entry(version: int = 1, **more: str | int) -> bytes:
    settings = {"class": "valuation", "memory_mb": 100, "lanes": 2, "load_ms": 50, "version": str(version)}
    return encode_value(FunctionConfig.model_validate(settings | more))


def put_function(name: str, version: int = 1, **more: str | int) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, function_entry(version, **more))


def delete_function(name: str) -> Mutation:
    return Mutation(FUNCTION_PREFIX + name, None)


class ConfigFleet(Fleet):
    """A fleet whose front end watches a relay; the relay's table begins with the front end's own settings."""

    def __init__(self, path: Path, more: dict[str, Any] | None = None, agreed: bool = True) -> None:
        super().__init__(path, more or SITE)
        self.agreed = agreed
        self.relay: FakeRelay
        self.relays: dict[str, str] = {}
        self.more: dict[str, Any] = {}

    def play(self, script: Callable[[], None]) -> None:
        def main() -> None:
            self.start_workers()
            table = ConfigStore()
            if self.agreed:
                table.propose(
                    1, [Mutation(key, value) for key, value in encode_site(self.config.site).items()]
                )
            self.start_relay(table)
            self.start_front_end()
            script()

        try:
            self.loop.run(main)
        finally:
            if hasattr(self, "front"):
                self.front.close()
        assert not self.errors, self.errors

    def start_relay(self, table: ConfigStore) -> None:
        self.relay = FakeRelay(self.loop, table)
        self.relays = {"r1": "{}:{}".format(*self.relay.address)}

    def start_front_end(self, listed: bool = True) -> None:
        settings = json.loads(self.front_config.model_dump_json(by_alias=True, exclude_unset=True))
        settings["agreement"] = {"member": "front-0", "relays": self.relays} | self.more
        self.front_config = type(self.front_config).model_validate(settings)
        self.front = self.start_front(listed)

    def remove_from_own_config(self, name: str) -> None:
        """Remove a function from the front end's own configuration, as if that were older."""
        site = self.front_config.site
        remaining = {other: config for other, config in site.functions.items() if other != name}
        site = site.model_copy(update={"functions": remaining})
        self.front_config = self.front_config.model_copy(update={"site": site})

    @property
    def watch(self) -> ConfigWatch:
        assert self.front.config_watch is not None
        return self.front.config_watch

    def change(self, *mutations: Mutation) -> int:
        """Commit a change set; return its revision once the front end has applied it."""
        revision = self.relay.change(list(mutations))
        self.until(lambda: self.watch.watch_state.applied_revision == revision)
        return revision

    def invoked_version(self, function: str) -> str:
        response = self.invoke(function)
        assert response.status == 200, (response.status, response.body)
        return response.headers["x-amz-executed-version"]

    def count_logged(self, event: str, part: str) -> int:
        return sum(name == event and part in repr(fields) for name, fields in self.log.lines)
