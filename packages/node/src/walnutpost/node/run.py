"""Wiring and signals of one node."""

from __future__ import annotations

import os
import signal
import sys
import time
import traceback
from pathlib import Path
from typing import Any

from walnutpost.dispatch import Core
from walnutpost.eventloop import Listener, Loop
from walnutpost.gateway import Catalogue, Gateway, ShuttingDown, WorkersListed
from walnutpost.interface import ListKind, Outcome
from walnutpost.node.clients import Clients
from walnutpost.node.config import Config, ConfigError, parse
from walnutpost.node.directory import BadList, Directory
from walnutpost.node.discovery import DiscoveryClient
from walnutpost.node.pool import WorkerLimits, WorkerPool

WORKER_SHARE, CLIENT_SHARE = 0.4, 0.5  # of the descriptors; the rest is for files and what else is open
DRAIN_PERIOD_US = 700_000  # from SIGTERM: until then connections and requests keep coming
KILL_AFTER_US = 3_000_000  # beyond that, or the longest deadline where it is less, SIGKILL may come
KILL_MARGIN_US = 100_000  # for the last answers to get to their clients
EXIT_TIME_US = 100_000  # for the process itself to exit, once no client is owed anything
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
        gateway = Gateway(config.settings, Catalogue({}, config.tenants, allows_no_tenant=True), config.seed)
        longest = max((cls.deadline_us for cls in config.settings.classes), default=0)
        self._drain_limit_us = DRAIN_PERIOD_US + min(longest, KILL_AFTER_US) - KILL_MARGIN_US
        limits = WorkerLimits(
            config.dial_timeout_us,
            config.idle_time_us,
            config.settings.load_order_timeout_us,
            config.streams,
            int(config.sockets * WORKER_SHARE),
            config.report_fields,
            config.settings.limits.may_cancel,
        )
        self.workers = WorkerPool(loop, limits, lambda ticket: self.clients.identity(ticket))
        self.core = Core(loop, gateway, self.workers, log)
        self.clients = Clients(
            loop,
            self.core,
            config.settings,
            config.classes,
            config.tenants,
            int(config.sockets * CLIENT_SHARE),
            log,
        )
        self.directory = Directory(config.names)
        self._listed(self.directory.known(config.known))
        self.discovery = DiscoveryClient(loop, self.directory, config.dns, config.seed, self._listed, log)
        self.listener = Listener(loop, config.listen, role="client", make_room=self._make_room)
        self._accepting = loop.spawn(self.clients.accept, self.listener, name="accept")
        self.reporting = loop.every(FIGURES_EVERY_US, self._figures, "figures")

    def _make_room(self) -> bool:
        return self.workers.spare_one() or self.clients.make_room()

    def _listed(self, told: WorkersListed) -> None:
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
        """A task's work, graceful shutdown: serves on for DRAIN_PERIOD_US, then takes nothing new. What is
        open gets its final answer before the process may be killed; it ends once all have left."""
        began = self._loop.now()
        self.clients.draining = True
        self.core.feed(ShuttingDown(self._drain_limit_us))
        self._loop.sleep(DRAIN_PERIOD_US)
        self._accepting.cancel()
        self.clients.take_queued(self.listener)
        self.listener.close()
        self.clients.end()
        while self._waits_for_clients(began + self._drain_limit_us + KILL_MARGIN_US):
            self._loop.sleep(DRAIN_STEP_US)
        self.discovery.close()

    def _waits_for_clients(self, killed_at_us: int) -> bool:
        """Whether the end waits on: for answers that are still to leave up to the kill, for clients that only
        haven't closed their connections until there is just time to exit."""
        connections = self.clients.connections
        owes = any(not connection.idle for connection in connections)
        return bool(connections) and self._loop.now() < killed_at_us - (0 if owes else EXIT_TIME_US)

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
        # The handlers stand before the listener does: a signal in between would end the process with
        # connections that the machine has accepted.
        me, token = loop.waiting()
        nodes: list[Node] = []

        def reload() -> None:
            try:
                told = parse(Path(path).read_bytes())
                for node in nodes:
                    node.reload(told)
            except (OSError, ConfigError) as error:
                log.info("configuration kept", path=path, why=str(error))

        loop.on_signal(signal.SIGHUP, reload)
        loop.on_signal(signal.SIGTERM, lambda: loop.wake(me, token))
        try:
            node = Node(loop, config, log)
        except BadList as error:
            raise ConfigError(str(error)) from error
        nodes.append(node)
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
