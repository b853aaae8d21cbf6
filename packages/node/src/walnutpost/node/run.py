"""Wiring and signals of one node."""

from __future__ import annotations

import os
import signal
import sys
import time
import traceback
from pathlib import Path
from typing import Any

from walnutpost.core import Core
from walnutpost.gateway import Catalogue, Gateway, WorkersTold
from walnutpost.interface import ListKind, Outcome
from walnutpost.loop import Listener, Loop
from walnutpost.node.clients import Clients
from walnutpost.node.config import Config, ConfigError, parse
from walnutpost.node.directory import BadList, Directory
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.node.pool import WorkerLimits, WorkerPool

WORKER_SHARE, CLIENT_SHARE = 0.4, 0.5  # of the descriptors; the rest is for files and what else is open
DRAIN_PERIOD_US = 700_000  # from SIGTERM: until then connections and requests keep coming
DRAIN_STEP_US = 5_000
FIGURES_EVERY_US = 5_000_000


class Log:
    """Lines on standard error: a word, and fields."""

    def info(self, event: str, **fields: object) -> None:
        told = " ".join(f"{key}={value!r}" for key, value in fields.items())
        print(f"{event} {told}", file=sys.stderr, flush=True)

    warning = info


class Node:
    def __init__(self, loop: Loop, config: Config, log: Any) -> None:
        self._loop = loop
        self._log = log
        gateway = Gateway(config.settings, Catalogue({}), config.seed)
        limits = WorkerLimits(
            config.dial_timeout_us,
            config.idle_time_us,
            config.settings.order_timeout,
            config.streams,
            int(config.sockets * WORKER_SHARE),
            config.report_fields,
        )
        self.workers = WorkerPool(loop, limits, lambda ticket: self.clients.identity(ticket))
        self.core = Core(loop, gateway, self.workers, log)
        self.clients = Clients(
            loop, self.core, config.settings, config.classes, int(config.sockets * CLIENT_SHARE), log
        )
        self.directory = Directory(config.names)
        self._listed(self.directory.known(config.known))
        self.discovery = DiscoveryClient(loop, self.directory, config.dns, config.seed, self._listed, log)
        self.listener = Listener(loop, config.listen, role="client")
        self._accepting = loop.spawn(self.clients.accept, self.listener, name="accept")
        loop.call_later(FIGURES_EVERY_US, self._figures)

    def _listed(self, told: WorkersTold) -> None:
        self.workers.update(self.directory.addresses)
        self.core.feed(told)
        if told.kind is not ListKind.CACHED:
            states = " ".join(f"{w.name}:{w.state.value}" for w in told.workers)
            self._log.info("list", serial=told.version, workers=states)

    def reload(self, config: Config) -> None:
        """Takes up what may change under load: where the name server is."""
        self.discovery.move(config.dns)
        self._log.info("configuration", dns=config.dns)

    def shut_down(self) -> None:
        """A task's work: serves on for DRAIN_PERIOD_US, then ends what is open, and nothing new is taken."""
        self._loop.sleep(DRAIN_PERIOD_US)
        self._accepting.cancel()
        self.listener.close()
        self.clients.end()
        while self.clients.connections:
            self._loop.sleep(DRAIN_STEP_US)
        self.discovery.close()

    def _figures(self) -> None:
        clients, workers = self.clients, self.workers
        self._log.info(
            "figures",
            **self.core.answers,
            open=self.core.open_calls,
            clients=len(clients.connections),
            links=workers.connections,
            dialled=workers.dialled,
            ordered=workers.ordered,
            asked=workers.asked,
            listed=self.discovery.asked,
            spoilt=workers.spoilt_answers,
            bad=clients.bad,
            unreadable=clients.unreadable,
            turned_away=clients.turned_away,
            lists=self.discovery.useless,
            cpu=round(time.process_time(), 2),
        )
        ends = (f"{worker}:{outcome.value}:{n}" for (worker, outcome), n in sorted_ends(workers))
        self._log.info("attempts", ended=" ".join(ends))
        workers.ends.clear()
        self._loop.call_later(FIGURES_EVERY_US, self._figures)


def sorted_ends(workers: WorkerPool) -> list[tuple[tuple[str, Outcome], int]]:
    return sorted(workers.ends.items(), key=lambda item: (item[0][0], item[0][1].value))


def main() -> int:
    log = Log()
    path = os.environ.get("NODE_CONFIG")
    if not path:
        log.info("NODE_CONFIG: found none, wanted the path of the configuration")
        return 2
    try:
        config = parse(Path(path).read_bytes())
    except (OSError, ConfigError) as error:
        log.info("configuration", path=path, why=str(error))
        return 2

    def wrong(name: str, error: BaseException) -> None:
        log.info("error", where=name)
        traceback.print_exception(error, file=sys.stderr)

    loop = Loop(on_error=wrong)

    def serve() -> None:
        try:
            node = Node(loop, config, log)
        except BadList as error:
            raise ConfigError(str(error)) from error
        me, token = loop.waiting()

        def reload() -> None:
            try:
                node.reload(parse(Path(path).read_bytes()))
            except (OSError, ConfigError) as error:
                log.info("configuration kept", path=path, why=str(error))

        loop.on_signal(signal.SIGHUP, reload)
        loop.on_signal(signal.SIGTERM, lambda: loop.wake(me, token))
        log.info("listening", address=node.listener.address)
        loop.park()
        log.info("ending")
        node.shut_down()

    try:
        loop.run(serve)
    except (OSError, ConfigError) as error:
        log.info("configuration", path=path, why=str(error))
        return 2
    log.info("ended")
    return 0
